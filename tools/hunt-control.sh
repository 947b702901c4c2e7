#!/usr/bin/env bash
# Fuzzes the replicated log with fresh seeds for SECONDS (default 600). Stops
# at the first violation, with the seed and the shrunk sequence of events.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
limit=${1:-600}
cases=500
start=$SECONDS
rounds=0
while [ $((SECONDS - start)) -lt "$limit" ]; do
    seed=$(od -An -N6 -tu8 /dev/urandom | tr -d ' ')
    if ! output=$(RC_PARAMS="seed=$seed max_success=$cases max_size=200" \
        "$build/bin/control_test" --gtest_filter='*fuzz*' 2>&1); then
        echo "$output"
        echo "violation with seed $seed after $rounds rounds"
        exit 1
    fi
    rounds=$((rounds + 1))
done
echo "no violation: $rounds rounds of $cases cases a property in" \
    "$((SECONDS - start)) s"
