#!/usr/bin/env bash
# Builds everything, runs the formatter, the linter and all tests, and prints how many passed.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
mvn -B -ntp verify
code=$?
passed=0 failed=0 skipped=0
for report in */target/surefire-reports/TEST-*.xml */target/failsafe-reports/TEST-*.xml; do
  [ -f "$report" ] || continue
  line=$(grep -m1 -o '<testsuite [^>]*>' "$report")
  number() { sed -E "s/.* $1=\"([0-9]+)\".*/\1/" <<< "$line"; }
  bad=$(($(number errors) + $(number failures)))
  failed=$((failed + bad))
  skipped=$((skipped + $(number skipped)))
  passed=$((passed + $(number tests) - bad - $(number skipped)))
done
echo "$passed passed, $failed failed, $skipped skipped"
exit $code
