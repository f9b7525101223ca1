#!/usr/bin/env bash
# tools/variant on a tiny base of the test's own, in a copy of the folders it needs.
set -u
top=$(cd "$(dirname "$0")/../.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir -p "$work/repo/tools" "$work/repo/deploy/sites" "$work/base"
cp "$top/tools/variant" "$work/repo/tools/"
cat > "$work/base/tiny.toml" <<'T'
name = "tiny"

[load]
quiet = [0.3, 0.4]

[[class]]
name = "one"
share = 0.5

[[class]]
name = "two"
share = 0.5

[[fam.plan]]
size = 1

[[fam.plan]]
size = 2
T
for f in real.json wire.json unlock.txt; do echo "of the base: $f" > "$work/base/$f"; done
cat > "$work/repo/deploy/sites/other.json" <<'T'
{"base": "tiny", "about": "a test's", "differs": {"load.quiet": [0.1, 0.2], "class[two].name": "second",
 "class[two].share": 0.75, "fam.plan[1].size": 3}}
T
echo '{"base": "tiny", "differs": {"class[three].share": 1}}' > "$work/repo/deploy/sites/amiss.json"
echo '{"base": "tiny", "differs": {"load.loud": 1}}' > "$work/repo/deploy/sites/absent.json"
echo '{"base": "tiny"' > "$work/repo/deploy/sites/broken.json"
failed=0
is() { [ "$2" = "$3" ] || { echo "$1: wanted '$2', got '$3'"; failed=1; }; }
refused() {  # WHAT WORDS...: one line that holds WHAT, exit code 2
  local what=$1 said code
  shift
  said=$("$work/repo/tools/variant" "$@" 2>&1 >/dev/null)
  code=$?
  is "$* exit" 2 $code
  is "$* lines" 1 "$(printf '%s\n' "$said" | wc -l)"
  case $said in *"$what"*) ;; *) echo "$*: '$said' without '$what'"; failed=1 ;; esac
}
is "made" deploy/sites/other/other.toml "$("$work/repo/tools/variant" other --base "$work/base")"
made="$work/repo/deploy/sites/other"
is "what differs" 'name = "other"|quiet = [0.1, 0.2]|name = "second"|share = 0.75|size = 3' \
  "$(diff "$work/base/tiny.toml" "$made/other.toml" | sed -n 's/^> //p' | paste -sd'|')"
for f in real.json wire.json unlock.txt; do is "$f" "of the base: $f" "$(cat "$made/$f")"; done
refused "no such variant" elsewhere --base "$work/base"
refused "no such variant" ../other --base "$work/base"
refused "class[three].share" amiss --base "$work/base"
refused "load.loud" absent --base "$work/base"
refused "broken.json" broken --base "$work/base"
refused "tiny.toml: missing" other --base "$work/nowhere"
refused "tiny.toml: missing" other
rm "$work/base/wire.json"
refused "wire.json: missing" other --base "$work/base"
refused "usage"
exit $failed
