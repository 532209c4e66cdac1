#!/bin/sh
# Builds the stand-ins and scripts of the second review into target/review-2/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for file in review/stand-ins-2/*.mjs.txt; do
    cp "$file" "target/review-2/$(basename "$file" .txt)"
done
for folder in review/6 review/7 review/8 review/9 review/10; do
    if [ -e "$folder/case.mjs.txt" ]; then
        cp "$folder/case.mjs.txt" "target/review-2/case-$(basename "$folder").mjs"
    fi
done
