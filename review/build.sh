#!/bin/bash
# Writes the stand-ins and scripts of the review to target/review/. They need Node.js only, no packages.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/common/*.mjs.txt review/[0-9]/*.mjs.txt; do
    [ -e "$source" ] || continue
    folder=$(basename "$(dirname "$source")")
    name=$(basename "$source" .txt)
    if [ "$folder" = common ]; then
        cp "$source" "target/review/$name"
    else
        cp "$source" "target/review/$folder-$name"
    fi
done
