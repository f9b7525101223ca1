#!/bin/sh
# yewmount plan as operators call it: what it writes, its exit codes, its one line for what is bad.
bin=$1 work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
fail() { echo "$*"; exit 1; }
bad() {
  wanted=$1
  shift
  said=$("$@" 2>&1 >/dev/null)
  code=$?
  [ $code -eq 2 ] || fail "exit $code: $*: $said"
  [ "$(printf '%s\n' "$said" | wc -l)" -eq 1 ] || fail "not one line: $said"
  case $said in *"$wanted"*) ;; *) fail "said '$said', wanted '$wanted'" ;; esac
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
plan solve "$work/p.json" --out "$work/1.json" --brute >/dev/null 2>"$work/said" || fail "solve: $(cat "$work/said")"
grep -q "the same" "$work/said" || fail "brute force did not say the same"
grep -q '"number": 1' "$work/1.json" || fail "no number"
plan explain "$work/p.json" >/dev/null || fail "explain"
echo '{"nodes": [{"name": "a1"}, {"name": "b1"}]}' > "$work/m.json"
plan solve "$work/p.json" --from "$work/1.json" --members "$work/m.json" --out "$work/2.json" >/dev/null || fail "re-plan"
grep -q '"number": 2' "$work/2.json" || fail "the next number"
plan diff "$work/1.json" "$work/2.json" | grep -q "volumes move" || fail "diff"
plan solve "$work/p.json" --json > "$work/3.json" && plan diff "$work/1.json" "$work/3.json" | grep -q "^0 volumes move" ||
  fail "the same problem twice, and not the same plan"
# Too much: exit 3, the zone and the volumes named, and what would do.
sed 's/"capacity": 120/"capacity": 50/' "$work/p.json" > "$work/much.json"
said=$(plan solve "$work/much.json" 2>&1 >/dev/null)
[ $? -eq 3 ] || fail "not exit 3: $said"
for part in "with zone batiment-a lost" "zone batiment-b can't bear the reserve of volumes v, w" "40 units short" "would do"; do
  case $said in *"$part"*) ;; *) fail "said '$said', wanted '$part'" ;; esac
done
plan solve "$work/much.json" --brute >/dev/null 2>&1
[ $? -eq 3 ] || fail "brute force agrees, exit 3"
printf '{"zones": []}' > "$work/empty.json"
bad "empty.json: /" plan check "$work/empty.json"
sed 's/"capacity": 120/"capacity": -1/' "$work/p.json" > "$work/minus.json"
bad "/nodes/2/capacity" plan solve "$work/minus.json"
sed 's/"capacity": 120/"capacity": NaN/' "$work/p.json" > "$work/nan.json"
bad "not JSON" plan solve "$work/nan.json"
sed 's/"zone": "batiment-b", "capacity"/"zone": "batiment-c", "capacity"/' "$work/p.json" > "$work/zone.json"
bad "unknown zone 'batiment-c'" plan explain "$work/zone.json"
bad "can't open" plan check "$work/none.json"
bad "plan 2" plan solve "$work/p.json" --from "$work/2.json" --number 2
bad "1.json" plan check "$work/1.json"
bad "p.json: /" plan diff "$work/p.json" "$work/1.json"
exit 0
