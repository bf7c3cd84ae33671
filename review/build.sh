#!/bin/sh
# Builds the stand-ins of all cases into target/review, with the compiler alone: no dependency, no network. Run it after the
# build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for play in review/[0-9]*/play.rs; do
    number=$(basename "$(dirname "$play")")
    rustc --edition 2021 -O -A dead_code -o "target/review/case-$number" "$play"
done
