#!/usr/bin/env bash
# Runs a case five times and prints how often the rule was broken: run_five.sh N
cd "$(dirname "$0")/.." || exit 2
broken=0
for _ in 1 2 3 4 5; do
    "$1/run.sh"
    status=$?
    echo "case $1: exit status $status"
    [ "$status" -ne 1 ] || broken=$((broken + 1))
done
echo "case $1: broken in $broken of 5 runs"
