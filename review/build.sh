#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into build-review/ (ignored by git).
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B build-review -DCMAKE_BUILD_TYPE=Release > /dev/null
cmake --build build-review --target standin_site_store standin_site_endpoint -j 6
