# Shared by the measurements: starts a small fleet on free loopback ports and reads the usage of its processes.
# shellcheck shell=bash

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin="$root/dist/target/hallwall/bin"
work=$(mktemp -d)
pids=()
key=measure-key
hash=$(printf %s "$key" | sha256sum | cut -d' ' -f1)

stop_all() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2> /dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2> /dev/null || true; done
  pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT

next=$((11000 + RANDOM % 18000))
free_port() {
  while (exec 3<> "/dev/tcp/127.0.0.1/$next") 2> /dev/null; do next=$((next + 1)); done
  port=$next
  next=$((next + 1))
}

start() { # name program
  "$bin/hallwall-$2" --settings "$work/$1.json" > "$work/$1.log" 2>&1 &
  pids+=($!)
}

number() { # name, from pretty JSON on standard input; the first one
  grep -m1 "\"$1\" :" | sed -E 's/.*: *([0-9.]+).*/\1/'
}

usage() { # admin-port, field; memory is read after a collection, processor time without one
  local collect=""
  [ "$2" = cpuMillis ] || collect="?collect=true"
  curl -s "http://127.0.0.1:$1/debug/usage$collect" | number "$2"
}

await() { # seconds command ...
  local until=$((SECONDS + $1))
  shift
  until "$@" > /dev/null 2>&1; do
    if [ "$SECONDS" -ge "$until" ]; then
      echo "measure: gave up on: $*" >&2
      tail -n 3 "$work"/*.log >&2
      exit 1
    fi
    sleep 0.2
  done
}

# fleet VOTERS ENTRIES TARGETS MEMBERS EXTRA: one failure domain, all targets in one stand-in process, ten to a fabric.
fleet() {
  local voters=$1 entries=$2 targets=$3 members=$4 extra=$5 v="" e="" t="" announce="" i
  v_api=() v_admin=() e_callers=() e_admin=() t_ports=()
  local v_peer=() e_peer=() e_targets=()
  rm -rf "$work"/data-*
  for i in $(seq "$voters"); do
    free_port; v_peer[i]=$port; free_port; v_api[i]=$port; free_port; v_admin[i]=$port
    v+="${v:+, }{\"instance\": \"v$i\", \"peer\": \"127.0.0.1:${v_peer[i]}\"}"
  done
  for i in $(seq "$entries"); do
    free_port; e_peer[i]=$port; free_port; e_callers[i]=$port
    free_port; e_targets[i]=$port; free_port; e_admin[i]=$port
    e+="${e:+, }{\"instance\": \"e$i\", \"peer\": \"127.0.0.1:${e_peer[i]}\", \"callers\": \"127.0.0.1:${e_callers[i]}\"}"
  done
  # All announce at the first entry, so that the others show the cost of what is passed on.
  announce="\"127.0.0.1:${e_targets[1]}\""
  for i in $(seq "$voters"); do
    cat > "$work/v$i.json" << EOF
{"fleet": "measure", "instance": "v$i", "failureDomain": "d", "dataFolder": "$work/data-$i", "voters": [$v],
 "api": "127.0.0.1:${v_api[i]}", "admin": "127.0.0.1:${v_admin[i]}"}
EOF
    "$bin/hallwall-control" --settings "$work/v$i.json" --form > /dev/null
    start "v$i" control
  done
  for i in $(seq "$entries"); do
    cat > "$work/e$i.json" << EOF
{"fleet": "measure", "instance": "e$i", "failureDomain": "d", "callers": "127.0.0.1:${e_callers[i]}",
 "targets": "127.0.0.1:${e_targets[i]}", "peer": "127.0.0.1:${e_peer[i]}", "admin": "127.0.0.1:${e_admin[i]}",
 "domainEntries": [$e], "voters": [$v]}
EOF
    start "e$i" entry
  done
  for i in $(seq "$targets"); do
    free_port
    t_ports[i]=$port
    t+="${t:+, }{\"instance\": \"t$i\", \"failureDomain\": \"d\", \"fabricDomain\": \"f$(((i - 1) / 8))\", \"listen\": \"127.0.0.1:$port\", \"weightMillis\": 100$extra}"
  done
  free_port
  echo "{\"entries\": [$announce], \"admin\": \"127.0.0.1:$port\", \"targets\": [$t]}" > "$work/fake.json"
  HALLWALL_JAVA_OPTS=-Xmx1g start fake fake-engine
  await 30 curl -sf "http://127.0.0.1:${v_admin[1]}/readyz"
  put modelgroups ModelGroup menu "{\"model\": \"x\", \"version\": \"1\", \"targetsPerReplica\": $members, \"replicas\": $((targets / members))}"
  put workspaces Workspace w "{\"keySha256\": [\"$hash\"], \"models\": [{\"name\": \"m\", \"modelGroup\": \"menu\"}]}"
  await 60 complete $((targets / members))
}

complete() {
  curl -s "http://127.0.0.1:${v_api[1]}/api/v1/modelgroups/menu" | grep -q "\"completeReplicas\":$1,"
}

put() { # plural kind name spec [version]
  local until=$((SECONDS + 20)) body="{\"kind\": \"$2\", \"name\": \"$3\", \"resourceVersion\": ${5:-0}, \"spec\": $4}"
  until curl -sf -X PUT "http://127.0.0.1:${v_api[1]}/api/v1/$1/$3" -d "$body" > /dev/null; do
    [ "$SECONDS" -lt "$until" ] || { echo "measure: $1/$3 was refused" >&2; exit 1; }
    sleep 0.2
  done
}

# load NAME RATE SECONDS TOKENS MORE: runs hallwall-load through the first entry and prints its report.
load() {
  local engines="" p
  for p in "${t_ports[@]}"; do engines+="${engines:+, }\"127.0.0.1:$p\""; done
  cat > "$work/$1.load.json" << EOF
{"name": "$1", "entries": [${load_entries:-\"127.0.0.1:${e_callers[1]}\"}], "engines": [$engines], "key": "$key",
 "model": "m", "requestsPerSecond": $2, "seconds": $3, "tokens": $4, "seed": ${seed:-1}$5}
EOF
  "$bin/hallwall-load" --settings "$work/$1.load.json" ${report:+--report "$report"} 2> "$work/$1.load.err"
}
