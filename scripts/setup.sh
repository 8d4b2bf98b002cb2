#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and CI need. Does nothing if all are installed.
set -euo pipefail
packages=(g++ cmake ninja-build ccache pkg-config clang-format clang-tidy
  libevent-dev libevhtp-dev libflatbuffers-dev libgoogle-glog-dev catch2
  libboost-program-options-dev libboost-dev libtomlplusplus-dev nlohmann-json3-dev
  libssl-dev libxxhash-dev spin)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -q
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q "${missing[@]}"
fi
