#!/usr/bin/env bash
# Builds the project's own stand-ins that the cases start, into build-review/. Run after the `build` line of the
# deploy file, from anywhere; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -B build-review -DCMAKE_BUILD_TYPE=Release -DYEWMOUNT_PROGRAM=ON >/dev/null
cmake --build build-review -j4 --target yewmount-node yewmount-list yewmount-catalogue
