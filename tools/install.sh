#!/usr/bin/env bash
# Installs the packages that the build needs.
set -euo pipefail
cd "$(dirname "$0")"
if ! dpkg-query -W -f='${Status}\n' $(cat packages.txt) 2>/dev/null | grep -vq 'install ok installed' \
    && dpkg-query -W $(cat packages.txt) >/dev/null 2>&1; then
    echo "install: all packages are present"
    exit 0
fi
apt-get update -q
DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends $(cat packages.txt)
