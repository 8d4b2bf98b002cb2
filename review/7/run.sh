#!/usr/bin/env bash
# Runs case 7; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x build/review-2/case_7 ] && [ -x target/corneltally ] || exit 2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 2 115 build/review-2/case_7 "$folder" review/7/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
