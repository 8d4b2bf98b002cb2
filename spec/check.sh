#!/usr/bin/env bash
# Checks the models exhaustively, and that each broken variant is caught.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# check NAME expected(pass|caught) MODEL run-flags compile-flags
check() {
  local name=$1 expected=$2 model=$3 flags=$4 defines=${5:-}
  local folder="$work/$name"
  mkdir -p "$folder"
  cp "$model" "$folder/"
  (cd "$folder" && spin $defines -a "$model" > spin.log 2>&1 \
    && gcc -O2 -w -DVECTORSZ=2048 $([ "$flags" = safety ] && echo -DSAFETY) -o pan pan.c) || {
    echo "model $name: does not compile"; cat "$folder/spin.log"; failed=1; return; }
  local run='-m200000 -w24'
  [ "$flags" = liveness ] && run="$run -a -f"
  (cd "$folder" && timeout 300 ./pan $run > pan.log 2>&1) || true
  local errors states
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$folder/pan.log" | tail -1)
  states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$folder/pan.log" | head -1)
  local verdict=pass
  [ "${errors:-x}" = 0 ] || verdict=caught
  if [ -z "${errors}" ] || grep -q -e 'max search depth too small' -e 'out of memory' "$folder/pan.log"; then
    verdict=incomplete
  fi
  echo "model $name: $verdict (expected $expected), ${states:-?} states"
  if [ "$verdict" != "$expected" ]; then failed=1; tail -20 "$folder/pan.log"; fi
}

check claim pass claim.pml safety
check claim-reclaim pass claim.pml liveness -DLIVENESS
check claim-broken-claim caught claim.pml safety -DBREAK_CLAIM
check claim-broken-release caught claim.pml safety -DBREAK_RELEASE
check claim-broken-replay caught claim.pml liveness "-DLIVENESS -DBREAK_REPLAY"
check claim-broken-reclaim caught claim.pml liveness "-DLIVENESS -DBREAK_RECLAIM"
check ownership pass ownership.pml safety
check ownership-broken-fence caught ownership.pml safety -DBREAK_FENCE
check ownership-broken-quarantine caught ownership.pml safety -DBREAK_QUARANTINE
check ownership-broken-unknown caught ownership.pml safety -DBREAK_UNKNOWN
exit "$failed"
