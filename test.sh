#!/usr/bin/env bash
# Builds everything, runs the formatter, the linter and all tests, and prints how many passed. Test classes that KNOWN-RED.txt lists
# (the first word of a line) are passed over and named.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
log=$(mktemp)
red=$(mktemp)
trap 'rm -f "$log" "$red"' EXIT
grep -oE '^[A-Z][A-Za-z0-9]*Test\b' KNOWN-RED.txt | sort -u | sed 's#.*#**/&.java#' >"$red"
passed_over=()
if [ -s "$red" ]; then
  passed_over=("-Dsurefire.excludesFile=$red")
  echo "Passed over, known to fail:"
  cat "$red"
fi
mvn -B -ntp verify "${passed_over[@]}" | tee "$log"
code=${PIPESTATUS[0]}
# One line a module sums it up: "Tests run: N, Failures: N, Errors: N, Skipped: N".
grep -E '^\[[A-Z]+\] Tests run: [0-9]+, Failures: [0-9]+, Errors: [0-9]+, Skipped: [0-9]+$' "$log" \
  | tr -d ',' \
  | awk '{run += $4; bad += $6 + $8; skipped += $10} END {
      printf "%d passed, %d failed, %d skipped\n", run - bad - skipped, bad, skipped}'
exit "$code"
