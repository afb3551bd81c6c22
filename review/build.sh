#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/build.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
"${JAVA_HOME:+$JAVA_HOME/bin/}javac" --release 17 -d build standins/*.java
