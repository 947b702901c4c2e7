#!/usr/bin/env bash
# clang-tidy over every translation unit, or over the given files only. A file
# that passed isn't checked again until it, a file that it includes, the checks
# or the build change ($LINT_CACHE, emptied to check everything).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
export build
export cache=${LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/nutmegusher-lint}
mkdir -p "$cache"
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' |
        grep -v '\.pb\.')
fi
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

# What every verdict depends on.
{
    clang-tidy --version
    git ls-files '*CMakeLists.txt' 'cmake/*' .clang-tidy | xargs sha256sum
} | sha256sum >"$scratch/common"

# Each source with the files that the compiler read for it, itself first.
ninja -C "$build" -t deps |
    awk '/^[^ ]/ { source = ""; next }
         NF == 1 { if (source == "") source = $1; print source, $1 }' >"$scratch/pairs"
cut -d ' ' -f 2 "$scratch/pairs" | sort -u |
    (cd "$build" && xargs sha256sum) >"$scratch/sums"
awk 'NR == FNR { sum[$2] = $1; next }
     { all[$1] = all[$1] sum[$2] }
     END { for (source in all) print source, all[source] }' \
    "$scratch/sums" "$scratch/pairs" | sed "s|^$PWD/||; s|^\.\./||" >"$scratch/contents"

lint_one() {
    local key report
    # No key for a file that wasn't compiled.
    key=$(awk -v file="$1" '$1 == file' "$scratch/contents")
    [ -z "$key" ] || key=$(echo "$key" | cat "$scratch/common" - | sha256sum | cut -d ' ' -f 1)
    [ -z "$key" ] || [ ! -e "$cache/$key" ] || return 0
    clang-tidy -p "$build" --quiet "$1" 2>&1 || return 1
    [ -z "$key" ] || touch "$cache/$key"
}
export -f lint_one
export scratch

verdict=0
printf '%s\n' "${files[@]}" |
    xargs -r -P "${JOBS:-$(nproc)}" -I {} bash -c 'lint_one "$1"' lint {} \
        >"$scratch/report" 2>&1 || verdict=1
grep -v -E 'warnings? generated|^Suppressed|^Use -header-filter' "$scratch/report" || true
exit "$verdict"
