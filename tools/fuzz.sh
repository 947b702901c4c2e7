#!/usr/bin/env bash
# tools/fuzz.sh TARGET SECONDS: builds a libFuzzer target of testing/fuzz and
# runs it on its corpus. New inputs go to build-fuzz/found/TARGET; a crash
# leaves its input there too, and fails.
set -euo pipefail
cd "$(dirname "$0")/.."
target=${1:?usage: tools/fuzz.sh TARGET SECONDS}
seconds=${2:?usage: tools/fuzz.sh TARGET SECONDS}
build=${BUILD_DIR:-build-fuzz}
cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER=clang++ \
    -DNUTMEGUSHER_FUZZ=ON >/dev/null
cmake --build "$build" -j "${JOBS:-$(nproc)}" --target "${target}_fuzz"
found="$build/found/$target"
mkdir -p "$found"
"$build/bin/${target}_fuzz" -max_total_time="$seconds" -max_len=8192 \
    -timeout=20 -print_final_stats=1 -artifact_prefix="$found/" \
    "$found" "testing/fuzz/corpus/$target"
