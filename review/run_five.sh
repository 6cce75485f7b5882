#!/bin/sh
# Runs the script of each case five times, and once without the disruption.
cd "$(dirname "$0")"
for case in ${*:-1 2 3 4 5}; do
    [ -x "$case/run.sh" ] || continue
    echo "case $case without the disruption: $(TROUBLE=0 "$case/run.sh" >&2; echo $?)"
    for turn in 1 2 3 4 5; do
        "$case/run.sh"
        echo "case $case run $turn: $?"
    done
done
