#!/usr/bin/env bash
# Compares the balancing policies over 20 seeds, on traces of 240 s, and prints
# the ratios.
set -euo pipefail
cd "$(dirname "$0")/.."
for name in chattahoochee tripa-dorada; do
  rate=45
  [ "$name" = chattahoochee ] && rate=30
  build/hibiscusnotch trace generate --base "deploy/$name/base.yaml" \
    --seconds 240 --rate "$rate" --seed 7 --out "build/$name-long.jsonl"
  build/hibiscusnotch replay --trace "build/$name-long.jsonl" \
    --expect "traces/$name-monday.expect.json" --virtual --seed 1 \
    --seeds "${SEEDS:-20}" --report "build/policy-$name.json" || true
done
