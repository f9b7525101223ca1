#!/bin/sh
# A head that resends what may have run is caught by the judge, by rule 2.
build=$1 day=$2 out=$1/days/planted
rm -rf "$out"
"$build/bin/yewmount" day run "$day" --out "$out" --head-program "$build/yewmountd-planted" > "$build/planted.txt"
[ $? -eq 1 ] || { echo "the planted fault was not caught"; cat "$build/planted.txt"; exit 1; }
grep -q '^2 .*BROKEN' "$build/planted.txt" || { echo "another rule was blamed"; cat "$build/planted.txt"; exit 1; }
