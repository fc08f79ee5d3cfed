#!/usr/bin/env bash
# Formats all sources; with --check only reports files that would change.
set -euo pipefail
cd "$(dirname "$0")/.."

mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run -Werror)
git ls-files -co --exclude-standard '*.cpp' '*.hpp' |
    xargs -r -n 20 -P "$(nproc)" clang-format "${mode[@]}"
