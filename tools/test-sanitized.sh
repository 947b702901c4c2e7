#!/usr/bin/env bash
# Runs the tests that stop daemons within their own process under the address
# and undefined behaviour sanitizers, or under those that $SANITIZE names. Built
# without optimization, which compiles fastest.
set -euo pipefail
cd "$(dirname "$0")/.."
sanitize=${SANITIZE:-address,undefined}
build=${BUILD_DIR:-build}-${sanitize//,/-}
tools/install-dependencies.sh
cmake -S . -B "$build" -G Ninja -DNUTMEGUSHER_SANITIZE="$sanitize" \
    -DCMAKE_CXX_FLAGS_RELEASE=-O0 >/dev/null
cmake --build "$build" -j "${JOBS:-$(nproc)}" --target daemon_test
export ASAN_OPTIONS=detect_leaks=0 UBSAN_OPTIONS=print_stacktrace=1
ctest --test-dir "$build" -R '^daemon_test$' --output-on-failure
