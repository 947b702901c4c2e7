#!/usr/bin/env bash
# Measures the slopes behind docs/CAPACITY.md and prints its tables; --write
# puts them into the page, after its mark. DISK names a folder on the disk to
# measure (default: the build folder).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
page=docs/CAPACITY.md
mark='<!-- made by tools/capacity.sh --write -->'
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" -j "${JOBS:-4}" --target capacity >/dev/null
output=$("$build/bin/capacity" "${DISK:-$build}")
if [ "${1:-}" = --write ]; then
    prose=$(sed "\#$mark#,\$d" "$page")
    printf '%s\n\n%s\n\n%s\n' "$prose" "$mark" "$output" >"$page"
else
    printf '%s\n' "$output"
fi
