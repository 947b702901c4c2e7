#!/usr/bin/env bash
# Fails if a routed call takes more instructions in its two daemons than the
# budget allows. Counted by valgrind, so the verdict depends on no clock and on
# nothing that runs beside it. A change of compiler or library moves the count:
# then measure the reference release again (docs/measurements/path.md).
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/${BUILD_DIR:-build}/bin
# 2% above the reference release.
budget=${BUDGET:-200721}
few=2000
many=6000

tools/install-dependencies.sh
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cp "$bin/platform_path_bench" "$folder/"
cp "${DAEMON:-$bin/nutmegusherd}" "$folder/daemon"
# Control hosts run as they are: they carry no calls.
cat >"$folder/nutmegusherd" <<'WRAPPER'
#!/bin/sh
here=$(dirname "$0")
name=$(basename "$2" .ini)
case $name in
d*) exec valgrind --tool=callgrind --callgrind-out-file="$here/$name.out" \
    --log-file="$here/$name.log" "$here/daemon" "$@" ;;
*) exec "$here/daemon" "$@" ;;
esac
WRAPPER
chmod +x "$folder/nutmegusherd"

# The instructions of all daemons in a run with so many calls.
count() {
    rm -f "$folder"/*.out
    "$folder/platform_path_bench" "$1" 4 >"$folder/printed" || {
        cat "$folder/printed" >&2
        return 1
    }
    grep -q '^not completed *0$' "$folder/printed" || {
        cat "$folder/printed" >&2
        return 1
    }
    awk '$1 == "summary:" { sum += $2 } END { print sum }' "$folder"/*.out
}

# The difference leaves out what starting and stopping take.
first=$(count $few)
second=$(count $many)
used=$(((second - first) / (many - few)))
echo "instructions a routed call in both daemons: $used, budget $budget"
[ "$used" -le "$budget" ]
