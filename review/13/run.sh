#!/bin/sh
# Case 13; see claim.txt. Needs the deploy file's build and review/build-3.sh.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/review-3/lapse" ] && [ -x "$root/target/hibiscusnotch" ] || exit 2
exec timeout 115 "$root/target/review-3/lapse" "$root" "$here"
