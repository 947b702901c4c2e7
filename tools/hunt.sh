#!/usr/bin/env bash
# Searches for violations on running processes: tools/hunt.sh SECONDS [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:?usage: tools/hunt.sh SECONDS [SEED]}
seed=${2:-$RANDOM}
tools/build.sh
echo "seed $seed"
"${BUILD_DIR:-build}/bin/hunt" "$seconds" "$seed"
