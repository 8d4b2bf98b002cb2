#!/usr/bin/env bash
# Builds a release into build/ (or the folder named by BUILD_DIR). Extra arguments go to cmake.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Release "$@" > /dev/null
cmake --build "$build"
