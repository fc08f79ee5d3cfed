#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. They are
# Python programs beside the scripts, which need no build: this checks that the
# interpreter runs them. The project's own stand-ins are not used.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'END'
import sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
END
for file in common-2/standins.py common-2/memory.py 6/case.py \
    7/case.py 7/crowd.py 8/case.py 8/crowd.py 9/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
