#!/usr/bin/env bash
# Generates the protobuf code again; run it after a change of a .proto file.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --cpp_out=. nutmegusher/messages/*.proto
