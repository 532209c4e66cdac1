#!/usr/bin/env bash
# Installs the workspace's packages when the lock file is newer than the installed packages.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! node_modules/.package-lock.json -nt package-lock.json ]; then
    npm ci --no-audit --no-fund
    touch node_modules/.package-lock.json
fi
