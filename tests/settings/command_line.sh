#!/bin/sh
# What the command line can't take: one line, place and reason, exit 2.
bin=$1 work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
bad() {
  wanted=$1
  shift
  said=$("$@" 2>&1 >/dev/null)
  code=$?
  [ $code -eq 2 ] || { echo "exit $code: $*: $said"; exit 1; }
  [ "$(printf '%s\n' "$said" | wc -l)" -eq 1 ] || { echo "not one line: $said"; exit 1; }
  case $said in *"$wanted"*) ;; *) echo "said '$said', wanted '$wanted'"; exit 1 ;; esac
}
printf '{"colour": 1}' > "$work/key.json"
printf '{"heads": ' > "$work/cut.json"
bad "can't open" "$bin/yewmount" check "$work/none.json"
bad "not JSON" "$bin/yewmount" check "$work/cut.json"
bad "key.json: /" "$bin/yewmount" check "$work/key.json"
bad "key.json: /" "$bin/yewmountd" --settings "$work/key.json"
bad "can't open" "$bin/yewmountd" --settings "$work/none.json"
bad "key.json: /" "$bin/yewmount-node" --settings "$work/key.json"
bad "day.json" "$bin/yewmount" day judge "$work"
bad "key.json: /" "$bin/yewmount" day run "$work/key.json" --out "$work/out"
bad "no schema" "$bin/yewmount" schema none
"$bin/yewmount" schema head | grep -q '"title"' || { echo "no schema printed"; exit 1; }
