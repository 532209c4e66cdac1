#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
script="target/review-3/case-$(basename "$folder").mjs"
[ -f "$script" ] && [ -f target/lovagepitch-entry.mjs ] && [ -f target/lovagepitch-agent.mjs ] || exit 2
exec node "$script" "$folder"
