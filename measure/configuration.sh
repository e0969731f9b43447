#!/usr/bin/env bash
# Prints what one change of the configuration costs by step, with 100, 4,510 and 10,000 routes, in the heap and with the compiler of the
# deployed programs. Takes about a minute.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -q -B -ntp -DskipTests package -pl platform -am
libraries=$(printf '%s:' platform/target/hallwall/lib/*.jar)
java -Xms24m -Xmx64m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -cp "platform/target/test-classes:$libraries" \
  org.hallwall.platform.ConfigurationChangeBenchmark
