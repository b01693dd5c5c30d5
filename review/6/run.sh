#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fernlink ] && [ -x target/review-stand2 ] || exit 2
timeout -k 5 115 target/review-stand2 abandoned "$PWD" "$PWD/review/6/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
