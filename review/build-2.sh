#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10. They need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/case*.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2024 -O -o "target/review-2/$name" "$source"
done
