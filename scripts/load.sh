#!/bin/bash
# Runs a load test on loopback addresses and checks every answer: starts
# stand-ins for the platform and the pools and six nodes in four availability
# zones, applies an example folder, runs dotterelhollow-load and injects an
# event during the load. Exits 0 only if every check passes. See docs/LOAD.md.
#
#   scripts/load.sh [quillmark|cooperative] [zone|kill|stop|none] [FLAG...]
#
#   zone   the availability zone of the busiest node is reclaimed, with notice
#   kill   the busiest node is killed with SIGKILL
#   stop   all nodes are stopped gracefully and restarted, one by one
#   none   no event
#
# FLAG... is passed to dotterelhollow-load. Variables: KEEP=1 keeps the logs,
# NOTICE_MS is the notice before a zone is reclaimed, EVENT_AT is the time of the
# event in seconds after the load starts, LOAD_PORT is the first port (the default
# is random), BIN is the directory of the programs.
#
# Requires bash, awk, sha256sum and the programs that "make build" puts into bin/.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly deployment=${1:-quillmark} event=${2:-zone}
shift $(($# < 2 ? $# : 2))
readonly bin=${BIN:-$PWD/bin} keep=${KEEP:-0} notice_ms=${NOTICE_MS:-5000} event_at=${EVENT_AT:-15}
readonly operator_key=load-operator
operator_key_hash=$(printf %s "$operator_key" | sha256sum | cut -d' ' -f1)
readonly operator_key_hash
# Ports are random by default, so that concurrent runs do not collide.
readonly port=${LOAD_PORT:-$((30000 + RANDOM % 1000))}
readonly peer_port=$((port + 1000))
readonly platform=127.0.20.2:$((port + 1)) pool=127.0.20.3:$((port + 2))
readonly nodes=(1 2 3 4 5 6)

case $deployment in
quillmark)
  readonly region=new-england all_zones=(boston-a boston-b providence portland-me)
  readonly groups=(
    pool=reading,kind=model,class=engine,model=reader-large,count=10,on_demand=2,slots=8,tokens_per_second=40,prefill_per_second=4000,kv_tokens=65536,kv_bytes_per_token=131072,transfer_rate=209715200,checks_fence=true
    pool=portal,kind=plain,class=small,count=4,on_demand=1,slots=32
  )
  ;;
cooperative)
  readonly region=tasmania all_zones=(hobart-a hobart-b kingston huonville)
  readonly groups=(
    pool=model,kind=model,class=engine,model=herd-book,count=10,on_demand=1,slots=8,tokens_per_second=35,prefill_per_second=3000,kv_tokens=65536,kv_bytes_per_token=98304,transfer_rate=104857600,checks_fence=false
    pool=depot,kind=plain,class=small,count=4,on_demand=1,slots=24
  )
  ;;
*)
  echo "unknown deployment: $deployment" >&2
  exit 2
  ;;
esac
case $event in
zone | kill | stop | none) ;;
*)
  echo "unknown event: $event" >&2
  exit 2
  ;;
esac

work=$(mktemp -d)
readonly work
stand_ins=()
load_pid=
declare -A node_pid=()
failures=0

say() { printf '%(%H:%M:%S)T %s\n' -1 "$*"; }

fail() {
  say "FAILED: $*"
  failures=$((failures + 1))
}

node_address() { echo "127.0.20.$((10 + $1)):$port"; }

# zone_of NODE prints the zone of a node. The first two zones have two nodes each,
# the others one.
zone_of() { echo "${all_zones[$1 <= 4 ? ($1 - 1) / 2 : $1 - 3]}"; }

# wait_for SECONDS COMMAND... repeats the command until it succeeds.
wait_for() {
  local tries=$(($1 * 10))
  shift
  for ((; tries > 0; tries--)); do
    if "$@" >/dev/null 2>&1; then
      return 0
    fi
    sleep 0.1
  done
  return 1
}

# http METHOD HOST:PORT PATH [BODY] prints the body of the response.
http() {
  local method=$1 address=$2 path=$3 body=${4-}
  exec 3<>"/dev/tcp/${address%:*}/${address#*:}" || return 1
  printf '%s %s HTTP/1.0\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s' \
    "$method" "$path" "$address" "${#body}" "$body" >&3
  sed '1,/^\r$/d' <&3
  exec 3>&-
}

# stop PID... sends SIGTERM to child processes and waits for them to exit.
stop() {
  local pid
  for pid in "$@"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "$@"; do
    wait "$pid" 2>/dev/null || true
  done
}

cleanup() {
  local status=$? node
  trap - EXIT
  [ -z "$load_pid" ] || stop "$load_pid"
  for node in "${!node_pid[@]}"; do
    kill -KILL "${node_pid[$node]}" 2>/dev/null || true
    wait "${node_pid[$node]}" 2>/dev/null || true
  done
  stop "${stand_ins[@]}"
  if [ "$status" -ne 0 ] || [ "$keep" = 1 ]; then
    echo "logs are in $work"
  else
    rm -rf "$work"
  fi
  exit "$status"
}
trap cleanup EXIT
trap 'exit 1' INT TERM

start_stand_ins() {
  "$bin/dotterelhollow-standin" platform --listen "$platform" >"$work/platform.log" 2>&1 &
  stand_ins+=($!)
  wait_for 5 http GET "$platform" /vms
  local flags=() zone group
  for zone in "${all_zones[@]}"; do
    flags+=(--zone "$zone")
  done
  for group in "${groups[@]}"; do
    flags+=(--group "$group")
  done
  "$bin/dotterelhollow-standin" pool --listen "$pool" --platform "$platform" --host "${pool%:*}" "${flags[@]}" \
    >"$work/pool.log" 2>&1 &
  stand_ins+=($!)
  wait_for 5 http GET "$pool" /admin/vms
}

write_settings() {
  local node=$1 folder=$2 address=127.0.20.$((10 + $1))
  mkdir -p "$folder"
  cat >"$folder/10-node.ini" <<INI
[node]
vm = entry-$node
zone = $(zone_of "$node")
region = $region
drain_time = 20s
log_level = info

[caller_port]
listen = $address:$port

[peer_port]
listen = $address:$peer_port

[platform]
address = $platform

[operator]
key_sha256 = $operator_key_hash
INI
}

start_node() {
  local node=$1
  write_settings "$node" "$work/entry-$node"
  http POST "$platform" /admin/vms "{\"vm\":\"entry-$node\",\"zone\":\"$(zone_of "$node")\",\"class\":\"small\",\"market\":\"reclaimable\",\"address\":\"127.0.20.$((10 + node)):$peer_port\"}" >/dev/null
  "$bin/dotterelhollow" serve --settings "$work/entry-$node" >>"$work/entry-$node.log" 2>&1 &
  node_pid[$node]=$!
}

operator() {
  local command=$1 flags=() node
  shift
  for node in "${!node_pid[@]}"; do
    flags+=(--node "$(node_address "$node")")
  done
  # shellcheck disable=SC2086 # A command such as "config apply" has two words.
  "$bin/dotterelhollow" $command --operator-key "$operator_key" "${flags[@]}" "$@"
}

start_load() {
  local flags=() node
  for node in "${nodes[@]}"; do
    flags+=(--node "$(node_address "$node")")
  done
  "$bin/dotterelhollow-load" "${flags[@]}" --pool "$pool" --folder "examples/$deployment" --deployment "$deployment" \
    --json-file "$work/report.json" "$@" >"$work/report.txt" &
  load_pid=$!
}

# kill_entry NODE ends a node with SIGKILL.
kill_entry() {
  kill -KILL "${node_pid[$1]}" 2>/dev/null || true
  wait "${node_pid[$1]}" 2>/dev/null || true
  unset "node_pid[$1]"
  say "entry-$1 was killed"
}

# under_way NODE prints the number of unfinished long requests for which a node
# has sent a copy to a holder.
under_way() {
  awk '
    !match($0, /"request":"[^"]*"/) { next }
    { request = substr($0, RSTART, RLENGTH) }
    /"@message":"hold_sent"/ { held[request] = 1 }
    /"@message":"finished"/ { ended[request] = 1 }
    END { for (request in held) n += !(request in ended); print n + 0 }' "$work/entry-$1.log"
}

# busiest_node prints the node with the most unfinished long requests.
busiest_node() {
  local node count most=-1 busiest=1
  for node in "${nodes[@]}"; do
    count=$(under_way "$node")
    if [ "$count" -gt "$most" ]; then
      most=$count
      busiest=$node
    fi
  done
  echo "$busiest"
}

reclaim_zone() {
  local zone node
  zone=$(zone_of "$(busiest_node)")
  say "zone $zone is reclaimed with $notice_ms ms of notice"
  http POST "$platform" /admin/reclaim "{\"zone\":\"$zone\",\"on_demand\":true,\"notice_ms\":$notice_ms}"
  echo
  sleep "$((notice_ms / 1000))"
  for node in "${nodes[@]}"; do
    if [ "$(zone_of "$node")" = "$zone" ]; then
      kill_entry "$node"
    fi
  done
}

replace_nodes() {
  local node status
  for node in "${nodes[@]}"; do
    say "stopping entry-$node"
    status=0
    kill -TERM "${node_pid[$node]}"
    wait "${node_pid[$node]}" || status=$?
    unset "node_pid[$node]"
    [ "$status" -eq 0 ] || fail "entry-$node stopped with status $status"
    say "entry-$node has stopped; restarting it"
    start_node "$node"
    wait_for 20 operator status --agree || fail "the nodes do not agree after the restart of entry-$node"
  done
  say "all nodes were restarted"
}

happen() {
  case $event in
  zone) reclaim_zone ;;
  kill) kill_entry "$(busiest_node)" ;;
  stop) replace_nodes ;;
  none) ;;
  esac
}

# check_logs fails on a crash or data race, and prints the number of errors logged.
check_logs() {
  if grep -l '^panic:\|^fatal error:\|DATA RACE' "$work"/*.log; then
    fail "a process crashed or had a data race"
  fi
  say "errors in the nodes' logs: $(cat "$work"/entry-*.log | grep -c '"@level":"error"' || true)"
}

say "$deployment, event: $event"
start_stand_ins
for node in "${nodes[@]}"; do
  start_node "$node"
done
wait_for 10 operator status || { echo "the nodes did not start"; exit 1; }
operator "config apply" "examples/$deployment" >"$work/apply.log"
wait_for 10 operator status --agree || fail "the nodes do not agree on the configuration"
wait_for 5 "$bin/dotterelhollow-load" --node "$(node_address 1)" --folder "examples/$deployment" \
  --deployment "$deployment" --window 100ms --requests 1 --drain 5s || fail "the nodes do not answer requests"

say "the load starts"
start_load "$@"
sleep "$event_at"
happen
status=0
wait "$load_pid" || status=$?
load_pid=
say "the load has ended"
cat "$work/report.txt"
[ "$status" -eq 0 ] || fail "dotterelhollow-load exited with status $status"
check_logs
wait_for 20 operator status --agree || fail "the nodes do not agree at the end"
[ "$failures" -eq 0 ] || operator timeline >"$work/timeline.txt" 2>&1 || true

stopping=("${node_pid[@]}")
for pid in "${stopping[@]}"; do
  kill -TERM "$pid"
done
for pid in "${stopping[@]}"; do
  wait "$pid" || fail "a node did not stop gracefully"
done
node_pid=()
stop "${stand_ins[@]}"
stand_ins=()
[ "$failures" -eq 0 ] || exit 1
say "all checks passed"
