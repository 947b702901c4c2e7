#!/usr/bin/env bash
# Installs what is needed, builds, and shows a deployment on loopback. Ends
# all processes that it started; the exit code says whether all steps passed.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install-dependencies.sh
tools/build.sh
"${BUILD_DIR:-build}/bin/demonstration"
