#!/usr/bin/env bash
# Fails where a source file is not as clang-format leaves it.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp' | grep -v '\.pb\.' |
    xargs -r clang-format --dry-run --Werror
