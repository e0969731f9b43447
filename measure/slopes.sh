#!/usr/bin/env bash
# Measures the slopes that docs/CAPACITY.md is worked out from. Takes about eight minutes and prints one line a figure.
# With an argument, runs only that part: targets, requests, streams, declarations.
set -euo pipefail
source "$(dirname "$0")/lib.sh"

seconds=${SECONDS_EACH:-20}
part=${1:-all}
runs() { [ "$part" = all ] || [ "$part" = "$1" ]; }
say() { printf '%-44s %s\n' "$1" "$2"; }

if runs targets; then
echo "# announcements and memory by targets ($seconds s each, two entries, groups of 4)"
for n in 60 120 240; do
  fleet 1 2 "$n" 4 ""
  # The first half minute of a JVM is spent on compiling.
  sleep 30
  a0=$(curl -s "http://127.0.0.1:${e_admin[1]}/debug/dump" | number announcementsTaken)
  for i in 1 2; do
    cpu0[i]=$(usage "${e_admin[i]}" cpuMillis)
    bytes0[i]=$(curl -s "http://127.0.0.1:${e_admin[i]}/metrics" | awk '/^hallwall_peer_bytes/ {printf "%d", $2}')
  done
  sleep "$seconds"
  a1=$(curl -s "http://127.0.0.1:${e_admin[1]}/debug/dump" | number announcementsTaken)
  for i in 1 2; do
    cpu=$(($(usage "${e_admin[i]}" cpuMillis) - cpu0[i]))
    bytes=$(($(curl -s "http://127.0.0.1:${e_admin[i]}/metrics" | awk '/^hallwall_peer_bytes/ {printf "%d", $2}') - bytes0[i]))
    say "targets $n entry e$i" "announcements $((a1 - a0)) cpu-ms $cpu peer-bytes $bytes heap $(usage "${e_admin[i]}" heapBytes) rss $(usage "${e_admin[i]}" residentBytes)"
  done
  stop_all
done

fi

if runs requests; then
echo "# requests and tokens through one entry (CPU of the entry, voter idle)"
fleet 1 1 64 8 ", \"tokensPerSecond\": 2000, \"slots\": 256"
load warm 100 5 8 "" > /dev/null
for tokens in 8 32 128; do
  c0=$(usage "${e_admin[1]}" cpuMillis)
  seed=$tokens load "tokens-$tokens" 100 10 "$tokens" "" | sed -n 2p
  say "tokens $tokens at 100 requests/s for 10 s" "cpu-ms $(($(usage "${e_admin[1]}" cpuMillis) - c0))"
done
for rate in 50 100 200; do
  c0=$(usage "${e_admin[1]}" cpuMillis)
  seed=$((rate + 7)) load "rate-$rate" "$rate" 10 8 "" | sed -n 2p
  say "rate $rate, 8 tokens, for 10 s" "cpu-ms $(($(usage "${e_admin[1]}" cpuMillis) - c0))"
done
echo "# claims (keys of finished requests, answers of 8 tokens)"
for n in 1 2 3; do
  seed=$((n + 1000)) load "claims-$n" 100 10 8 ", \"keyedShare\": 1" | sed -n 2p
  say "after $n thousand keys, about" "claims $(curl -s "http://127.0.0.1:${e_admin[1]}/debug/dump" | number claims) heap $(usage "${e_admin[1]}" heapBytes)"
done
stop_all

fi

if runs streams; then
echo "# running streams (20 tokens/s, 200 tokens: 10 s each)"
fleet 1 1 64 8 ", \"tokensPerSecond\": 20, \"slots\": 400"
load warm 50 4 4 "" > /dev/null
say "idle" "heap $(usage "${e_admin[1]}" heapBytes) rss $(usage "${e_admin[1]}" residentBytes)"
for rate in 20 40 80; do
  load "streams-$rate" "$rate" 14 200 "" > /dev/null &
  sleep 13
  say "streams, $rate started a second" "in-flight $(curl -s "http://127.0.0.1:${e_admin[1]}/debug/dump" | number inFlight) heap $(usage "${e_admin[1]}" heapBytes)"
  wait $!
done
stop_all

fi

if runs declarations; then
echo "# declarations (three voters, one entry)"
fleet 3 1 8 4 ""
sleep 30
for i in 1 2 3; do cpu0[i]=$(usage "${v_admin[i]}" cpuMillis); done
sleep "$seconds"
for i in 1 2 3; do
  role=$(curl -s "http://127.0.0.1:${v_admin[i]}/debug/dump" | grep -m1 '"role"' | tr -d ' ",' | cut -d: -f2)
  say "voter v$i idle, $role, for $seconds s" "cpu-ms $(($(usage "${v_admin[i]}" cpuMillis) - cpu0[i])) heap $(usage "${v_admin[i]}" heapBytes) rss $(usage "${v_admin[i]}" residentBytes)"
done
total=0
for n in 100 200 400; do
  for i in 1 2 3; do cpu0[i]=$(usage "${v_admin[i]}" cpuMillis); done
  e0=$(usage "${e_admin[1]}" cpuMillis)
  l0=$(curl -s "http://127.0.0.1:${v_admin[1]}/debug/dump" | number logBytes)
  for r in $(seq "$n"); do
    put services Service "s$n-$r" '{"repeatableMethods": ["GET", "PUT"], "timeoutMillis": 2000}'
  done
  total=$((total + n))
  for i in 1 2 3; do
    say "voter v$i, $n changes" "cpu-ms $(($(usage "${v_admin[i]}" cpuMillis) - cpu0[i])) heap $(usage "${v_admin[i]}" heapBytes)"
  done
  say "entry, $n changes, $total resources" "cpu-ms $(($(usage "${e_admin[1]}" cpuMillis) - e0)) heap $(usage "${e_admin[1]}" heapBytes)"
  say "log of v1, bytes" "before $l0 after $(curl -s "http://127.0.0.1:${v_admin[1]}/debug/dump" | number logBytes) snapshot $(stat -c %s "$work/data-1/snapshot")"
done
fi
