#!/usr/bin/env bash
# Sets up, builds and passes the tests. --sanitize repeats the unit tests under sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh
ctest --test-dir build --output-on-failure -j "${TEST_JOBS:-4}"
if [ "${1:-}" = "--sanitize" ]; then
  BUILD_DIR=build-sanitize scripts/build.sh -DCORNELTALLY_SANITIZE=address,undefined
  ctest --test-dir build-sanitize --output-on-failure -j "${TEST_JOBS:-4}" -L unit
fi
