#!/usr/bin/env bash
# Writes the stand-ins and the scripts of the cases 11 to 15 to target/review-3/. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cp review/stand-ins-3/lib.mjs.txt target/review-3/lib.mjs
for folder in review/1[1-5]; do
    if [ -f "$folder/case.mjs.txt" ]; then
        cp "$folder/case.mjs.txt" "target/review-3/case-$(basename "$folder").mjs"
    fi
done
