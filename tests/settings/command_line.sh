#!/bin/sh
# Invalid command line input is refused with exit code 2 and one line that names place and reason.
bin=$1 work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
# Runs a command and expects a refusal that contains the given text.
expect_refusal() {
  expected=$1
  shift
  output=$("$@" 2>&1 >/dev/null)
  code=$?
  [ $code -eq 2 ] || { echo "exit $code: $*: $output"; exit 1; }
  [ "$(printf '%s\n' "$output" | wc -l)" -eq 1 ] || { echo "not one line: $output"; exit 1; }
  case $output in *"$expected"*) ;; *) echo "printed '$output', expected '$expected'"; exit 1 ;; esac
}
printf '{"colour": 1}' > "$work/key.json"
printf '{"heads": ' > "$work/cut.json"
expect_refusal "can't open" "$bin/yewmount" check "$work/none.json"
expect_refusal "not JSON" "$bin/yewmount" check "$work/cut.json"
expect_refusal "key.json: /" "$bin/yewmount" check "$work/key.json"
expect_refusal "key.json: /" "$bin/yewmountd" --settings "$work/key.json"
expect_refusal "can't open" "$bin/yewmountd" --settings "$work/none.json"
expect_refusal "key.json: /" "$bin/yewmount-node" --settings "$work/key.json"
expect_refusal "day.json" "$bin/yewmount" day judge "$work"
expect_refusal "key.json: /" "$bin/yewmount" day run "$work/key.json" --out "$work/out"
expect_refusal "no schema" "$bin/yewmount" schema none
"$bin/yewmount" schema head | grep -q '"title"' || { echo "no schema printed"; exit 1; }
