#!/usr/bin/env bash
# Runs one case from the repository's root: run_case.sh NUMBER. Exits with 1 if
# the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=target/hibiscusnotch
case=review/build/case-$1
for needed in "$program" "$case"; do
  if [ ! -x "$needed" ]; then
    echo "missing: $needed; run the deploy file's build and review/build.sh"
    exit 2
  fi
done
work=$(mktemp -d) || exit 2
finish() {
  # Ends what a failed test has left; the ids are those of its own processes.
  for id in $(cat "$work/pids" 2>/dev/null); do
    if grep -qsz "^$program\$" "/proc/$id/cmdline"; then
      kill -CONT "$id" 2>/dev/null
      kill -KILL "$id" 2>/dev/null
    fi
  done
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM
timeout -k 2 115 "$case" "review/$1" "$program" "$work"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
