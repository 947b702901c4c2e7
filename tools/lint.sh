#!/usr/bin/env bash
# clang-tidy over every translation unit, or over the given files only.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' |
        grep -v '\.pb\.')
fi
report=$(mktemp)
trap 'rm -f "$report"' EXIT
verdict=0
printf '%s\n' "${files[@]}" |
    xargs -r -P "${JOBS:-$(nproc)}" -n 1 clang-tidy -p "$build" --quiet \
        >"$report" 2>&1 || verdict=1
grep -v -E 'warnings? generated|^Suppressed|^Use -header-filter' "$report" || true
exit "$verdict"
