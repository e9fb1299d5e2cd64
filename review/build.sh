#!/usr/bin/env bash
# Builds the programs of the cases, which hold all stand-ins that they start.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in [1-5]/case.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
    -o "build/case-$(dirname "$source")" &
  builds+=($!)
done
for one in "${builds[@]}"; do
  wait "$one"
done
