#!/usr/bin/env bash
# Formats the C++ sources in place; with --check it only reports and fails on differences.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=-i
[ "${1:-}" = "--check" ] && mode='--dry-run -Werror'
git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v _generated | xargs -r -P 8 -n 8 clang-format $mode
