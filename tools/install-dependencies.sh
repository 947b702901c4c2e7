#!/usr/bin/env bash
# Installs the declared libraries and tools on Debian 12.
set -euo pipefail
as_root=""
[ "$(id -u)" -eq 0 ] || as_root=sudo
packages="
  g++ cmake ninja-build ccache clang clang-format clang-tidy libclang-rt-14-dev
  libboost1.81-dev libboost-json1.81-dev libnghttp2-dev liblog4cxx-dev
  libcxxopts-dev libprotobuf-dev protobuf-compiler libxxhash-dev libssl-dev
  libmimalloc-dev valgrind
  libgtest-dev libgmock-dev libbenchmark-dev librapidcheck-dev"
missing=""
for package in $packages; do
    dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
        grep -q 'install ok installed' || missing="$missing $package"
done
if [ -n "$missing" ]; then
    $as_root apt-get update
    # shellcheck disable=SC2086
    DEBIAN_FRONTEND=noninteractive $as_root apt-get install -y \
        --no-install-recommends $missing
fi
