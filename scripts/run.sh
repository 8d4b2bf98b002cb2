#!/usr/bin/env bash
# Sets up, builds, starts a fleet of stand-ins and four entry instances for each workload, and
# prints how the calls were served. Extra arguments go to the demo, for example --seconds 5.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh
build=${BUILD_DIR:-build}
exec "$build/standins/standin_demo" --binaries "$build" --folder "$build/demo" "$@"
