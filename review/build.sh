#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/target.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -d target standins/*.java
cp standins/*.json standins/*.properties target/
