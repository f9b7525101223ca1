#!/usr/bin/env bash
# Builds the stand-ins of the second review into build-review-2/ with the C++ compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/common-2/*.cpp; do
  name=$(basename "$source" .cpp)
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra "$source" -o "build-review-2/$name" &
done
for job in $(jobs -p); do wait "$job"; done
