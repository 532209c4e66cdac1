#!/usr/bin/env bash
# Runs every check in order: format, lint, types, tests. Ends with "N passed, N failed".
set -euo pipefail
cd "$(dirname "$0")/.."
node admin/format.mjs --check
npx --no-install tsc --build
node admin/checkPlatformNames.mjs
node admin/bundle.mjs
npx --no-install eslint . --max-warnings 0
npx --no-install knip --no-config-hints
node admin/runTests.mjs "$@"
