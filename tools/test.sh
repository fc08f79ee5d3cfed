#!/usr/bin/env bash
# Runs all tests: unit tests side by side, process tests one at a time. Those
# that KNOWN-RED.txt names run apart; their results are printed and do not
# decide.
set -euo pipefail
cd "$(dirname "$0")/.."

jobs=$((($(nproc) + 1) / 2))
run_tests() {
    ctest --test-dir build --output-on-failure -j "$jobs" "$@"
}

mapfile -t red < <(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null)
if [ "${#red[@]}" -eq 0 ]; then
    run_tests
    exit
fi
pattern="^($(
    IFS='|'
    echo "${red[*]}"
))\$"
echo "known red, see KNOWN-RED.txt: ${red[*]}"
# Their output is the trace of a failure that does not come again.
ctest --test-dir build --output-on-failure -R "$pattern" ||
    echo "known red tests failed"
echo "all other tests:"
run_tests -E "$pattern"
