#!/usr/bin/env bash
# Runs clang-tidy over all sources (or the files given) with the compile commands of build/.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
if [ "$#" -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp'); fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet 2> >(grep -vE 'warnings generated|^Suppressed|^Use -header' >&2)
