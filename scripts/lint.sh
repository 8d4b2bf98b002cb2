#!/usr/bin/env bash
# Runs clang-tidy over all sources (or the files given) with the compile commands of build/. A file
# that passed is not checked again while it, all headers and the checks are the same.
set -euo pipefail
cd "$(dirname "$0")/.."
export build=${BUILD_DIR:-build}
export cache=${LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/corneltally-lint}
mkdir -p "$cache"
if [ "$#" -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp'); fi
common=$({ git ls-files -co --exclude-standard '*.h' | LC_ALL=C sort | xargs sha256sum; sha256sum .clang-tidy CMakeLists.txt; clang-tidy --version; } | sha256sum | cut -c1-32)
export common

check() {
  local key
  key=$cache/$common-$({ echo "$1"; cat "$1"; } | sha256sum | cut -c1-32)
  [ -e "$key" ] && return 0
  clang-tidy -p "$build" --quiet "$1" && : > "$key"
}
export -f check
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -I{} bash -c 'check {}' 2> >(grep -vE 'warnings generated|^Suppressed|^Use -header' >&2)
# Results of earlier versions are of no use any more.
find "$cache" -type f -mtime +14 -delete
