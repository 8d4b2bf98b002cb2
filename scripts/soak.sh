#!/usr/bin/env bash
# Runs the fault soak of forwarding instances: scripts/soak.sh --seed S --seconds N. Other flags of
# build/bench/soak may follow (--instances, --engines, --applications, --callers, --break machine).
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh
folder=build/soak_run.$$
build/bench/soak --binaries build --folder "$folder" "$@" || {
  code=$?
  echo "logs and ledger: $folder"
  exit "$code"
}
rm -rf "$folder"
