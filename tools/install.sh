#!/usr/bin/env bash
# Installs the Debian packages that the build, lint and tests need. Does
# nothing when all are there.
set -euo pipefail
cd "$(dirname "$0")/.."

missing=()
while read -r package; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
        grep -q 'install ok installed'; then
        missing+=("$package")
    fi
done <tools/packages.txt
[ "${#missing[@]}" -eq 0 ] && exit 0

as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
export DEBIAN_FRONTEND=noninteractive
"${as_root[@]}" apt-get update -qq
"${as_root[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}"
