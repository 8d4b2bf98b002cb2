#!/usr/bin/env bash
# Builds the drivers of the cases 6 and later and the stand-ins that they start into build/review-2/.
# Needs the build of the deploy file in target/ and nothing beside the packages that it names.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/harness-2 -B build/review-2 -DCMAKE_BUILD_TYPE=Release > /dev/null
cmake --build build/review-2 -j 4
