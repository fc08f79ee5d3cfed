#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs, which need no build. The
# routers that they start come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v python3 >/dev/null
python3 -m py_compile review/common/fleet.py review/*/case.py
find review -name __pycache__ -prune -exec rm -r {} +
