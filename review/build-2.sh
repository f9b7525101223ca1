#!/usr/bin/env bash
# Builds the stand-ins of the second review into build-review-2/: its own with the C++ compiler alone, and the
# project's that a case starts. Run after the `build` line of the deploy file; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/common-2/*.cpp; do
  name=$(basename "$source" .cpp)
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra "$source" -o "build-review-2/$name" &
done
for job in $(jobs -p); do wait "$job"; done
cmake -B build-review-2/project -DCMAKE_BUILD_TYPE=Release -DYEWMOUNT_PROGRAM=ON >/dev/null
cmake --build build-review-2/project -j4 --target yewmount-node yewmount-list yewmount-catalogue
