#!/usr/bin/env bash
# Installs and builds, then runs a fleet of four routers with stand-ins on
# loopback, sends returning chats and bookings, and shows what came back.
set -euo pipefail
cd "$(dirname "$0")/.."

tools/install.sh
cmake --preset release >/dev/null
cmake --build build
python3 tools/demo.py
