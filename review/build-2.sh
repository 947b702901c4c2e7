#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for case in review/stand_in_2/*_case.cpp; do
    name=$(basename "$case" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/$name" "$case" \
        review/stand_in_2/http.cpp review/stand_in_2/site.cpp \
        review/stand_in_2/upstream.cpp
done
