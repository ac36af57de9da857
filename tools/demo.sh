#!/usr/bin/env bash
# Installs the packages, builds, and runs a site of real processes on loopback under a mixed load.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install.sh
cmake --preset release
cmake --build --preset release --target wasabiroad wasabiroadd wasabiroad-standin wasabiroad-bench
build/release/bin/wasabiroad-bench demo
