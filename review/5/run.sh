#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/wisteriapin-edge target/review/case-5; do
    [ -x "$program" ] || { echo "$program is missing"; exit 2; }
done
exec target/review/case-5
