#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 (standard library only) beside the program. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    case=review/$number/case.rs
    [ -f "$case" ] || continue
    rustc --edition 2021 -O -o "target/review-2/case-$number" "$case"
done
