#!/bin/sh
# The `yewmount plan` command line: its output, exit codes, and one-line errors for invalid input.
bin=$1 work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
fail() { echo "$*"; exit 1; }
# Checks that a command exits with 2 and prints one line with the expected text.
expect_error() {
  expected=$1
  shift
  output=$("$@" 2>&1 >/dev/null)
  code=$?
  [ $code -eq 2 ] || fail "exit $code: $*: $output"
  [ "$(printf '%s\n' "$output" | wc -l)" -eq 1 ] || fail "not one line: $output"
  case $output in *"$expected"*) ;; *) fail "output '$output', expected '$expected'" ;; esac
}
plan() { "$bin/yewmount" plan "$@"; }
cat > "$work/p.json" <<'END'
{"zones": ["batiment-a", "batiment-b"], "keep": "zone",
 "nodes": [{"name": "a1", "zone": "batiment-a", "capacity": 100}, {"name": "a2", "zone": "batiment-a", "capacity": 100},
           {"name": "b1", "zone": "batiment-b", "capacity": 120}],
 "volumes": [{"name": "v", "demand": 60, "reserve": 40, "nodes": 2, "zones": 2},
             {"name": "w", "demand": 90, "reserve": 50, "weight": 2, "nodes": 2, "zones": 2}]}
END
plan check "$work/p.json" >/dev/null || fail "check"
plan solve "$work/p.json" --out "$work/1.json" --brute >/dev/null 2>"$work/output" || fail "solve: $(cat "$work/output")"
grep -q "the same" "$work/output" || fail "brute force did not say the same"
grep -q '"number": 1' "$work/1.json" || fail "no number"
plan explain "$work/p.json" >/dev/null || fail "explain"
echo '{"nodes": [{"name": "a1"}, {"name": "b1"}]}' > "$work/m.json"
plan solve "$work/p.json" --from "$work/1.json" --members "$work/m.json" --out "$work/2.json" >/dev/null || fail "re-plan"
grep -q '"number": 2' "$work/2.json" || fail "the next number"
plan diff "$work/1.json" "$work/2.json" | grep -q "volumes move" || fail "diff"
plan solve "$work/p.json" --json > "$work/3.json" && plan diff "$work/1.json" "$work/3.json" | grep -q "^0 volumes move" ||
  fail "the same problem twice, and not the same plan"
# Too much reserve: exit 3, with the zone, the volumes and a sufficient change in the output.
sed 's/"capacity": 120/"capacity": 50/' "$work/p.json" > "$work/much.json"
output=$(plan solve "$work/much.json" 2>&1 >/dev/null)
[ $? -eq 3 ] || fail "not exit 3: $output"
for part in "with zone batiment-a lost" "zone batiment-b can't bear the reserve of volumes v, w" "40 units short" "would do"; do
  case $output in *"$part"*) ;; *) fail "output '$output', expected '$part'" ;; esac
done
plan solve "$work/much.json" --brute >/dev/null 2>&1
[ $? -eq 3 ] || fail "brute force agrees, exit 3"
printf '{"zones": []}' > "$work/empty.json"
expect_error "empty.json: /" plan check "$work/empty.json"
sed 's/"capacity": 120/"capacity": -1/' "$work/p.json" > "$work/minus.json"
expect_error "/nodes/2/capacity" plan solve "$work/minus.json"
sed 's/"capacity": 120/"capacity": NaN/' "$work/p.json" > "$work/nan.json"
expect_error "not JSON" plan solve "$work/nan.json"
sed 's/"zone": "batiment-b", "capacity"/"zone": "batiment-c", "capacity"/' "$work/p.json" > "$work/zone.json"
expect_error "unknown zone 'batiment-c'" plan explain "$work/zone.json"
expect_error "can't open" plan check "$work/none.json"
expect_error "plan 2" plan solve "$work/p.json" --from "$work/2.json" --number 2
expect_error "1.json" plan check "$work/1.json"
expect_error "p.json: /" plan diff "$work/p.json" "$work/1.json"
exit 0
