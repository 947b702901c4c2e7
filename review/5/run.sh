#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: without SIGTERM and the restart.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
[ -x "$root/target/review-2/stop_case" ] || exit 2
timeout -k 5 110 "$root/target/review-2/stop_case" \
    "$root" "$folder" "$here/record.txt" "${TROUBLE:-1}"
verdict=$?
[ "$verdict" -le 2 ] || verdict=2
exit "$verdict"
