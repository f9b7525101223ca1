#!/bin/sh
# The judge must report rule 2 as broken for a head that resends submits that may have run.
# Usage: planted.sh BUILD DAY
build=$1 day=$2 out=$1/days/planted
rm -rf "$out"
"$build/bin/yewmount" day run "$day" --out "$out" --head-program "$build/yewmountd-planted" > "$build/planted.txt"
[ $? -eq 1 ] || { echo "the planted fault was not detected"; cat "$build/planted.txt"; exit 1; }
grep -q '^2 .*BROKEN' "$build/planted.txt" || { echo "rule 2 was not reported as broken"; cat "$build/planted.txt"; exit 1; }
