#!/bin/sh
# Plays the case and writes record.txt beside this file. Ends with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/nickelflow target/review/case-3; do
    [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
exec target/review/case-3 review/3/record.txt
