#!/usr/bin/env bash
# One experiment: a member of a group dies under load. Writes measure/results/member-killed.{txt,json,svg}.
set -euo pipefail
source "$(dirname "$0")/lib.sh"
fleet 1 3 24 4 ", \"tokensPerSecond\": 200, \"slots\": 64"
load_entries="\"127.0.0.1:${e_callers[1]}\", \"127.0.0.1:${e_callers[2]}\", \"127.0.0.1:${e_callers[3]}\""
report="$root/measure/results"
load member-killed 60 30 32 ", \"warmupSeconds\": 3, \"keyedShare\": 0.2, \"streamedShare\": 0.7, \"faults\": [{\"atMillis\": 10000, \"engine\": \"127.0.0.1:${t_ports[2]}\", \"switch\": {\"dead\": true}}]"
