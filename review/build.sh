#!/usr/bin/env bash
# Builds the stand-ins of the scripts in this folder into review/bin. Needs
# what the project's own build needs, and no network.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
flags=(-std=c++20 -O1 -g0 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c stand_in/site.cpp -o bin/site.o
for source in [1-3]/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ "${flags[@]}" "$source" bin/site.o -o "bin/$name"
done
