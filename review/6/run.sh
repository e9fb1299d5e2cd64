#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
cd "$(dirname "$0")/../.." || exit 2
test -x target/hibiscusnotch && test -x target/review-2/case-6 || exit 2
exec target/review-2/case-6 review/6/record.txt
