#!/usr/bin/env bash
# Replays the Monday trace against separate processes. Meanwhile one instance is
# killed, one is stopped for longer than its peers' failure timeout, and one is
# drained and replaced.
set -euo pipefail
cd "$(dirname "$0")/.."
BINARY=${1:-build/hibiscusnotch}
BASE=deploy/chattahoochee/base.yaml
WORK=$(mktemp -d)
declare -A PID
trap 'kill -9 "${PID[@]}" 2>/dev/null || true; rm -rf "$WORK"' EXIT

start() { # NAME ARGUMENTS...
  local name=$1
  shift
  "$BINARY" "$@" --base "$BASE" 2>>"$WORK/$name.log" &
  PID[$name]=$!
  disown
}
serve() { start "$1" serve --overlay "deploy/chattahoochee/${1%-*}.yaml" --instance "entry-$1"; }

for kind in platform rater engine service; do start "$kind" stand-in "$kind"; done
sleep 0.5
TARGETS=()
zone=0
for place in macon:3 valdosta:2 albany:2; do
  zone=$((zone + 1))
  for number in $(seq 1 "${place#*:}"); do
    serve "${place%:*}-$number"
    TARGETS+=("http://127.1.$zone.$number:8000")
  done
done
sleep 1.5

"$BINARY" replay --trace traces/chattahoochee-monday.jsonl \
  --expect traces/chattahoochee-monday.expect.json --baselines false \
  --target "${TARGETS[@]}" --report "$WORK/report.json" >"$WORK/replay.log" &
REPLAY=$!

sleep 4
kill -9 "${PID[macon-2]}"
sleep 1
serve macon-2
sleep 2
kill -STOP "${PID[valdosta-1]}"
sleep 3
kill -CONT "${PID[valdosta-1]}"
sleep 2
kill -TERM "${PID[albany-2]}"
for _ in $(seq 1 100); do kill -0 "${PID[albany-2]}" 2>/dev/null || break; sleep 0.1; done
serve albany-2

status=0
wait "$REPLAY" || status=$?
grep -v ' open ' "$WORK/replay.log" || true
grep -h -o 'E[0-9]* [a-z_]*' "$WORK"/*.log | sort | uniq -c
cp "$WORK/report.json" build/report-processes.json
exit "$status"
