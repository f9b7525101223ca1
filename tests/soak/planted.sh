#!/usr/bin/env bash
# A head that passes off what may have run as surely not run has to be found out: planted.sh SOAK PLANTED_HEAD
set -uo pipefail
output=$("$1" run --seed 2 --program "$2")
code=$?
echo "$output"
[ $code = 1 ] || { echo "exit code $code, 1 expected"; exit 1; }
grep -q '^  effect: ' <<< "$output" || { echo "the effect that happened twice is not named"; exit 1; }
