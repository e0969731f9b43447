#!/usr/bin/env bash
# Builds hallwall, starts a small fleet on free loopback ports, declares a sample, prints a streamed answer and the
# status, and stops what it started. With --keep it leaves the fleet running and prints the addresses.
set -euo pipefail

here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
home="$here/dist/target/hallwall"
keep=false
build=true
for arg in "$@"; do
  case "$arg" in
    --keep) keep=true ;;
    --no-build) build=false ;;
    *) echo "usage: quickstart.sh [--keep] [--no-build]" >&2; exit 2 ;;
  esac
done

work=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}

fail() {
  echo "quickstart: $1" >&2
  for log in "$work"/*.log; do
    echo "--- $(basename "$log")" >&2
    tail -n 5 "$log" >&2
  done
  exit 1
}

trap 'code=$?; if ! $keep || [ "$code" -ne 0 ]; then stop_all; fi' EXIT

for tool in java curl; do
  command -v "$tool" > /dev/null || { echo "quickstart: $tool is not installed" >&2; exit 1; }
done

if $build; then
  echo "Building (mvn package) ..."
  (cd "$here" && mvn -q -B -DskipTests -Dspotless.check.skip -Dcheckstyle.skip package) || fail "the build failed"
fi

next=$((11000 + RANDOM % 18000))
free_port() {
  while (exec 3<> "/dev/tcp/127.0.0.1/$next") 2> /dev/null; do next=$((next + 1)); done
  port=$next
  next=$((next + 1))
}

wait_for() { # what, seconds, command ...
  local what=$1 seconds=$2
  shift 2
  local until=$((SECONDS + seconds))
  while [ "$SECONDS" -lt "$until" ]; do
    if "$@" > /dev/null 2>&1; then return 0; fi
    sleep 0.2
  done
  fail "$what did not happen within $seconds seconds"
}

start() { # name program settings
  "$home/bin/hallwall-$2" --settings "$3" > "$work/$1.out" 2> "$work/$1.log" &
  pids+=($!)
}

voters="" entries="" servers="" announce=""
declare -A v_peer v_api v_admin e_callers e_targets e_peer e_admin
for i in 1 2 3; do
  free_port; v_peer[$i]=$port
  free_port; v_api[$i]=$port
  free_port; v_admin[$i]=$port
  free_port; e_callers[$i]=$port
  free_port; e_targets[$i]=$port
  free_port; e_peer[$i]=$port
  free_port; e_admin[$i]=$port
  voters+="${voters:+, }{\"instance\": \"voter-$i\", \"peer\": \"127.0.0.1:${v_peer[$i]}\"}"
  entries+="${entries:+, }{\"instance\": \"entry-$i\", \"peer\": \"127.0.0.1:${e_peer[$i]}\"}"
  servers+="${servers:+,}127.0.0.1:${v_api[$i]}"
  announce+="${announce:+, }\"127.0.0.1:${e_targets[$i]}\""
done
export HALLWALL_SERVERS=$servers

for i in 1 2 3; do
  cat > "$work/voter-$i.json" <<EOF
{
  "fleet": "quickstart", "instance": "voter-$i", "failureDomain": "domain-a",
  "dataFolder": "$work/data-$i", "voters": [$voters],
  "api": "127.0.0.1:${v_api[$i]}", "admin": "127.0.0.1:${v_admin[$i]}"
}
EOF
  cat > "$work/entry-$i.json" <<EOF
{
  "fleet": "quickstart", "instance": "entry-$i", "failureDomain": "domain-a",
  "callers": "127.0.0.1:${e_callers[$i]}", "targets": "127.0.0.1:${e_targets[$i]}",
  "peer": "127.0.0.1:${e_peer[$i]}", "admin": "127.0.0.1:${e_admin[$i]}",
  "domainEntries": [$entries], "voters": [$voters]
}
EOF
  "$home/bin/hallwall-control" --settings "$work/voter-$i.json" --form > /dev/null || fail "a data folder was not formed"
  start "voter-$i" control "$work/voter-$i.json"
  start "entry-$i" entry "$work/entry-$i.json"
done

for i in 1 2 3 4; do
  free_port
  targets_port=$port
  free_port
  cat > "$work/target-$i.json" <<EOF
{
  "entries": [$announce], "admin": "127.0.0.1:$port",
  "targets": [{
    "instance": "target-$i", "failureDomain": "domain-a", "fabricDomain": "fabric-$(((i + 1) / 2))",
    "listen": "127.0.0.1:$targets_port", "tokensPerSecond": 40
  }]
}
EOF
  start "target-$i" fake-engine "$work/target-$i.json"
done

cat > "$work/declarations.json" <<'EOF'
[
  // Two replicas of two targets each.
  {"kind": "ModelGroup", "name": "menu-planner",
   "spec": {"model": "menu-model", "version": "1", "targetsPerReplica": 2, "replicas": 2}},
  // The key of the workspace is "quickstart-key"; only its SHA-256 is declared.
  {"kind": "Workspace", "name": "kitchen",
   "spec": {"keySha256": ["a75b0b72efc1ae8303c2d3fd4c58aa6a2bd2b5f7a2c2e2e0bd3b3ec2e6b2f2f1"],
            "models": [{"name": "menu", "modelGroup": "menu-planner"}]}}
]
EOF
hash=$(printf %s quickstart-key | sha256sum | cut -d' ' -f1)
sed -i "s/a75b0b72efc1ae8303c2d3fd4c58aa6a2bd2b5f7a2c2e2e0bd3b3ec2e6b2f2f1/$hash/" "$work/declarations.json"

echo "Declaring ..."
wait_for "a leader among the voters" 30 curl -sf "http://127.0.0.1:${v_admin[1]}/readyz"
"$home/bin/hallwall" apply "$work/declarations.json" || fail "the declaration was refused"

both_complete() {
  [ "$("$home/bin/hallwall" get modelgroup menu-planner | grep -c '"completeReplicas" : 2')" = 1 ]
}
wait_for "the completion of both groups" 20 both_complete
wait_for "the readiness of the entry" 30 curl -sf "http://127.0.0.1:${e_admin[1]}/readyz"

echo "A streamed answer through entry-1:"
curl -sSN --max-time 30 "http://127.0.0.1:${e_callers[1]}/v1/chat/completions" \
  -H "Authorization: Bearer quickstart-key" -H "Content-Type: application/json" \
  -d '{"model": "menu", "stream": true, "max_tokens": 8, "messages": [{"role": "user", "content": "Plan lunch for Monday."}]}' \
  | tee "$work/answer.txt"
grep -q '^data: \[DONE\]' "$work/answer.txt" || fail "the answer is not whole"

echo "hallwall status:"
"$home/bin/hallwall" status || fail "the status was not printed"

if $keep; then
  echo
  echo "Running: callers at 127.0.0.1:${e_callers[1]} ${e_callers[2]} ${e_callers[3]}, resource API at $servers,"
  echo "admin ports of the entries ${e_admin[1]} ${e_admin[2]} ${e_admin[3]}. Key: quickstart-key."
  echo "Stop it with: kill ${pids[*]}; rm -rf $work"
fi
echo "quickstart: ok"
