#!/usr/bin/env bash
# The soak must report a head that treats submits that may have run as not run. Usage: planted.sh SOAK PLANTED_HEAD
set -uo pipefail
output=$("$1" run --seed 2 --program "$2")
code=$?
echo "$output"
[ $code = 1 ] || { echo "exit code $code, 1 expected"; exit 1; }
grep -q '^  effect: ' <<< "$output" || { echo "the repeated effect was not reported"; exit 1; }
