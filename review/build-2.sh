#!/usr/bin/env bash
# Builds the stand-ins of the second review. They use the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -Xlint:-options -d target/review-2 review/rig-2/*.java review/[4-8]/Case[4-8].java
cp review/rig-2/*.properties review/rig-2/*.json target/review-2/
