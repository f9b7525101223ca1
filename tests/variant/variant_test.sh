#!/usr/bin/env bash
# Tests tools/variant on a small base site, in a temporary copy of the folders that it needs.
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
expect_equal() { [ "$2" = "$3" ] || { echo "$1: expected '$2', got '$3'"; failed=1; }; }
expect_error() {  # MESSAGE ARGUMENTS...: one line on standard error that contains MESSAGE, and exit code 2
  local message=$1 output code
  shift
  output=$("$work/repo/tools/variant" "$@" 2>&1 >/dev/null)
  code=$?
  expect_equal "$* exit" 2 $code
  expect_equal "$* lines" 1 "$(printf '%s\n' "$output" | wc -l)"
  case $output in *"$message"*) ;; *) echo "$*: '$output' does not contain '$message'"; failed=1 ;; esac
}
expect_equal "made" deploy/sites/other/other.toml "$("$work/repo/tools/variant" other --base "$work/base")"
variant="$work/repo/deploy/sites/other"
expect_equal "what differs" 'name = "other"|quiet = [0.1, 0.2]|name = "second"|share = 0.75|size = 3' \
  "$(diff "$work/base/tiny.toml" "$variant/other.toml" | sed -n 's/^> //p' | paste -sd'|')"
for f in real.json wire.json unlock.txt; do expect_equal "$f" "of the base: $f" "$(cat "$variant/$f")"; done
expect_error "no such variant" elsewhere --base "$work/base"
expect_error "no such variant" ../other --base "$work/base"
expect_error "class[three].share" amiss --base "$work/base"
expect_error "load.loud" absent --base "$work/base"
expect_error "broken.json" broken --base "$work/base"
expect_error "tiny.toml: missing" other --base "$work/nowhere"
expect_error "tiny.toml: missing" other
rm "$work/base/wire.json"
expect_error "wire.json: missing" other --base "$work/base"
expect_error "usage"
exit $failed
