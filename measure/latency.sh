#!/usr/bin/env bash
# The load tool is a JVM too: its first seconds, spent on compiling, are not counted.
# Compares requests through one entry with requests straight to the engines, side by side in one run.
set -euo pipefail
source "$(dirname "$0")/lib.sh"
fleet 1 1 64 8 ", \"tokensPerSecond\": 500, \"slots\": 256"
rate=${1:-200}
load warm "$rate" 5 16 "" > /dev/null
load warm-direct "$rate" 5 16 ', "direct": true' > /dev/null
for round in 1 2; do
  echo "round $round, $rate requests/s"
  seed=$round load "through-$round" "$rate" 12 16 ', "warmupSeconds": 6' | sed -n '2,20p'
  seed=$((round + 10)) load "direct-$round" "$rate" 12 16 ', "direct": true, "warmupSeconds": 6' | sed -n '2,20p'
done
echo "entry: resident $(usage "${e_admin[1]}" residentBytes) bytes, heap $(usage "${e_admin[1]}" heapBytes) bytes"
