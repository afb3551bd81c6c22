#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts in review/6 to review/10, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
shopt -s nullglob
javac -encoding UTF-8 -d target/review-2 review/harness-2/*.java review/{6,7,8,9,10}/*.java
