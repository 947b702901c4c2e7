#!/usr/bin/env bash
# Builds and passes all tests. Tests named in KNOWN-RED.txt are run and
# printed, and fail nothing.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
tools/install-dependencies.sh
tools/build.sh

red=$(sed -e 's/#.*//' -e '/^[[:space:]]*$/d' -e 's/[[:space:]].*//' KNOWN-RED.txt)
if [ -n "$red" ]; then
    echo "Known red, run but not counted:"
    cat KNOWN-RED.txt
    pattern="^($(echo "$red" | paste -sd '|'))\$"
    ctest --test-dir "$build" -R "$pattern" --output-on-failure || true
    ctest --test-dir "$build" -E "$pattern" --output-on-failure -j "${JOBS:-4}"
else
    ctest --test-dir "$build" --output-on-failure -j "${JOBS:-4}"
fi
