#!/usr/bin/env bash
# run-case.sh NAME FOLDER: plays one case with the head that the deploy file's `run` starts. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
name=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.." || exit 2
RUN_COMMAND=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
export RUN_COMMAND
export TROUBLE=${TROUBLE:-1}
[ -n "$RUN_COMMAND" ] && [ -x "build-review-2/$name" ] && [ -x build/bin/yewmountd ] || {
  echo "build first: the deploy file's build line, then review/build-2.sh"
  exit 2
}
work=$(mktemp -d) || exit 2
export SCRIPT_PID=$$
timeout -k 2 118 "build-review-2/$name" "$work" "$folder/record.txt" &
play=$!
# Ended early: the play ends first, and with it all that it started.
trap 'kill "$play" 2>/dev/null; wait "$play"; rm -rf "$work"; exit 2' TERM INT HUP
wait "$play"
code=$?
[ "$code" -le 1 ] || { tail -n 3 "$work"/*.log; code=2; }
rm -rf "$work"
exit "$code"
