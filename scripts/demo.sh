#!/bin/bash
# Demonstrates the system on loopback addresses: starts stand-ins for the
# platform and its pools and six nodes in four availability zones, sends one
# request of each kind, and reclaims a zone while a manuscript report is
# generated. Exits 0 only if every check passes.
#
#   KILL_NODE=1 scripts/demo.sh   instead kills the report's node without notice
#   STOP_NODE=1 scripts/demo.sh   instead stops the report's node gracefully, with SIGTERM
#   WAVES=2 scripts/demo.sh       also reclaims the zone of the report's engine, one second later
#   KEEP=1 scripts/demo.sh        keeps the logs
#   DEMO_PORT=20000 scripts/demo.sh   uses ports from 20000; the default is random
#
# Requires only bash and the programs that "make build" puts into bin/.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly bin=$PWD/bin
readonly kill_node=${KILL_NODE:-0}
readonly stop_node=${STOP_NODE:-0}
readonly keep=${KEEP:-0}
readonly waves=${WAVES:-1}
readonly notice_ms=3000
readonly report_tokens=400
readonly reports=(harbor lighthouse orchard ferry)
readonly operator_key=demo-operator
readonly operator_key_hash=9437e87fae95c03d3778f2575bb18ce30e647e51d86a8c37963364e1fc4f374e
# Ports are random by default, so that concurrent runs do not collide.
readonly port=${DEMO_PORT:-$((10000 + RANDOM % 10000))}
readonly peer_port=$((port + 10000))
readonly platform=127.0.0.2:$((port + 1))
readonly pool=127.0.0.3:$((port + 2))
readonly zones=(boston-a boston-a boston-b boston-b providence portland-me)

work=$(mktemp -d)
readonly work
stand_ins=()
declare -A node_pid=()
failures=0

node_address() { echo "127.0.0.$((10 + $1)):$port"; }

say() { printf '\n== %s\n' "$*"; }

# check TEXT COMMAND... runs the command, prints its result and counts failures.
check() {
  local text=$1
  shift
  if "$@"; then
    echo "   ok: $text"
  else
    echo "   FAILED: $text"
    failures=$((failures + 1))
  fi
}

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

# http METHOD HOST:PORT PATH [BODY [HEADER]] prints the body of the response.
http() {
  local method=$1 address=$2 path=$3 body=${4-} header=${5-X-Demo: 1}
  exec 3<>"/dev/tcp/${address%:*}/${address#*:}" || return 1
  printf '%s %s HTTP/1.0\r\nHost: %s\r\nContent-Type: application/json\r\n%b\r\nContent-Length: %d\r\n\r\n%s' \
    "$method" "$path" "$address" "$header" "${#body}" "$body" >&3
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
  local status=$?
  trap - EXIT
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
  local all=()
  local zone
  for zone in boston-a boston-b providence portland-me; do
    all+=(--zone "$zone")
  done
  "$bin/dotterelhollow-standin" pool --listen "$pool" --platform "$platform" --host 127.0.0.3 "${all[@]}" \
    --group pool=reading,kind=model,class=engine,model=reader-large,count=10,on_demand=2,slots=8,tokens_per_second=40,prefill_per_second=4000,kv_tokens=65536,kv_bytes_per_token=131072,transfer_rate=209715200,checks_fence=true \
    --group pool=portal,kind=plain,class=small,count=4,on_demand=1,slots=32 \
    >"$work/pool.log" 2>&1 &
  stand_ins+=($!)
  wait_for 5 http GET "$pool" /admin/vms
  local pid
  for pid in "${stand_ins[@]}"; do
    kill -0 "$pid"
  done
}

write_settings() {
  local node=$1 folder=$2 address
  address=127.0.0.$((10 + node))
  mkdir -p "$folder"
  cat >"$folder/10-node.ini" <<EOF
[node]
vm = entry-$node
zone = ${zones[node - 1]}
region = new-england
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
EOF
}

start_node() {
  local node=$1
  write_settings "$node" "$work/entry-$node"
  http POST "$platform" /admin/vms "{\"vm\":\"entry-$node\",\"zone\":\"${zones[node - 1]}\",\"class\":\"small\",\"market\":\"reclaimable\",\"address\":\"127.0.0.$((10 + node)):$peer_port\"}" >/dev/null
  "$bin/dotterelhollow" serve --settings "$work/entry-$node" >"$work/entry-$node.log" 2>&1 &
  node_pid[$node]=$!
}

operator() {
  local command=$1
  shift
  local nodes=() node
  for node in "${!node_pid[@]}"; do
    nodes+=(--node "$(node_address "$node")")
  done
  # shellcheck disable=SC2086 # A command such as "config apply" has two words.
  "$bin/dotterelhollow" $command --operator-key "$operator_key" "${nodes[@]}" "$@"
}

# ask ACCOUNT FLAG... sends a request as one of the demo's client accounts.
ask() {
  local account=$1
  shift
  local nodes=() node
  for node in 1 2 3 4 5 6; do
    nodes+=(--node "$(node_address "$node")")
  done
  "$bin/dotterelhollow" ask --key "demo-$account" "${nodes[@]}" "$@"
}

served() { ask portal --service "$1" --addresses; }

# runs REQUEST prints the number of times that the plain servers ran a request.
runs() {
  local request=$1 address total=0 count
  while read -r address; do
    count=$(http GET "$address" /ledger | grep -o "\"$request\":[0-9]*" | head -1 | cut -d: -f2 || true)
    total=$((total + ${count:-0}))
  done < <(http GET "$pool" /admin/vms | tr '{' '\n' | grep '"pool":"portal"' | grep -o '"address":"[^"]*"' | cut -d'"' -f4)
  echo "$total"
}

# field NAME FILE prints a string field of a JSON file.
field() { grep -o "\"$1\": *\"[^\"]*\"" "$2" | head -1 | cut -d'"' -f4; }

words() { wc -w <"$1"; }

at_least_words() { [ "$(words "$1")" -ge "$2" ]; }

# home_of FILE prints the last node that the ask command reported a connection to.
home_of() {
  local address
  address=$(grep -o 'at 127[^ ]*' "$1" | tail -1 | cut -d' ' -f2)
  address=${address%:*}
  echo $((${address##*.} - 10))
}

# ask_report KEY MANUSCRIPT requests a report under the idempotency key KEY-MANUSCRIPT.
ask_report() {
  ask monday_reports --service manuscript_report --max-tokens "$report_tokens" --deadline 60s \
    --idempotency-key "$1-$2" "Report on the manuscript '$2' for the Monday acquisitions meeting."
}

# request_of FILE prints the request ID from the log of an ask command.
request_of() { grep -o 'request [^ ]* at' "$1" | head -1 | cut -d' ' -f2; }

timeline_of() { operator timeline --request "$1" 2>/dev/null | tr -s ' '; }

small_requests() {
  say "A summary, a tag and a portal lookup"
  ask portal --service query_summary --whole --max-tokens 40 "Summarize the query letter of a sea novel." \
    >"$work/summary.txt" 2>"$work/summary.log"
  check "the summary is complete" [ "$(words "$work/summary.txt")" -eq 40 ]
  ask dashboard --service genre_tag --max-tokens 4 "Tag this submission." >"$work/tag.txt" 2>"$work/tag.log"
  check "the tag is complete" [ "$(words "$work/tag.txt")" -eq 4 ]
  ask dashboard --service portal_lookup --method GET --path /submissions/17 >"$work/lookup.txt" 2>"$work/lookup.log"
  check "the lookup is answered" grep -q '"/call/submissions/17"' "$work/lookup.txt"
}

rejection_email() {
  say "A rejection email, sent to two nodes with the same idempotency key"
  ask portal --service rejection_email --path /send --idempotency-key demo-email --json "Dear author, not this time." \
    >"$work/email.json" 2>"$work/email.log"
  email_request=$(field request_id "$work/email.json")
  http POST "$(node_address 5)" /v1/services/rejection_email/send "Dear author, not this time." \
    "Authorization: Bearer demo-portal\r\nIdempotency-Key: demo-email" >"$work/email-again.txt" || true
  check "it ran once" [ "$(runs "$email_request")" -eq 1 ]
}

# engine_zone prints the zone of the engine that runs the first report.
engine_zone() {
  local engine
  engine=$(timeline_of "$report_request" | grep ' attempt_sent ' | tail -1 | cut -d' ' -f5)
  engine=${engine#reading-}
  echo "${engine%-*}"
}

# reclaim ZONE sends a reclaim notice to all VMs of a zone.
reclaim() {
  http POST "$platform" /admin/reclaim "{\"zone\":\"$1\",\"on_demand\":true,\"notice_ms\":$notice_ms}"
  echo
}

# end_zone ZONE kills the entry VMs of a zone.
end_zone() {
  local node
  for node in 1 2 3 4 5 6; do
    if [ "${zones[node - 1]}" = "$1" ]; then
      kill_entry "$node"
    fi
  done
}

take_zones_away() {
  local home=$1 zone=${zones[$1 - 1]} second
  second=$(engine_zone)
  say "Zone $zone, with the report's node entry-$home, is reclaimed with $notice_ms ms of notice"
  reclaim "$zone"
  sleep 1
  if [ "$waves" = 2 ] && [ "$second" != "$zone" ]; then
    say "Zone $second, with the report's engine, is reclaimed too"
    reclaim "$second"
  fi
  sleep "$((notice_ms / 1000 - 1))"
  timeline_of "$report_request" >"$work/timeline.before"
  end_zone "$zone"
  if [ "$waves" = 2 ] && [ "$second" != "$zone" ]; then
    sleep 1
    timeline_of "$report_request" >>"$work/timeline.before"
    sort -u -o "$work/timeline.before" "$work/timeline.before"
    end_zone "$second"
  fi
}

# kill_entry NODE ends a node with SIGKILL.
kill_entry() {
  kill -KILL "${node_pid[$1]}" 2>/dev/null || true
  wait "${node_pid[$1]}" 2>/dev/null || true
  unset "node_pid[$1]"
  echo "   entry-$1 was killed"
}

# stop_entry NODE stops a node gracefully and checks its exit status.
stop_entry() {
  local status=0
  kill -TERM "${node_pid[$1]}"
  wait "${node_pid[$1]}" || status=$?
  unset "node_pid[$1]"
  check "entry-$1 stopped gracefully" [ "$status" -eq 0 ]
}

stop_nodes() {
  local node
  for node in "${!node_pid[@]}"; do
    stop_entry "$node"
  done
}

say "Start the stand-ins and six nodes"
start_stand_ins
for node in 1 2 3 4 5 6; do
  start_node "$node"
done
wait_for 10 operator status || { echo "the nodes did not start"; exit 1; }

say "Apply Quillmark's folder"
"$bin/dotterelhollow" config check examples/quillmark
operator "config apply" examples/quillmark
check "all nodes agree on the configuration and the members" wait_for 10 operator status --agree
check "nodes return server addresses" wait_for 5 served manuscript_report
served manuscript_report

say "Start ${#reports[@]} manuscript reports of $report_tokens tokens"
report_pids=()
for name in "${reports[@]}"; do
  ask_report demo "$name" >"$work/$name.txt" 2>"$work/$name.log" &
  report_pids+=($!)
done
for name in "${reports[@]}"; do
  check "the report on $name has started" wait_for 10 at_least_words "$work/$name.txt" 5
done

small_requests
rejection_email

readonly first=${reports[0]}
check "a third of the report on $first is generated" wait_for 20 at_least_words "$work/$first.txt" $((report_tokens / 3))
home=$(home_of "$work/$first.log")
report_request=$(request_of "$work/$first.log")
if [ "$kill_node" = 1 ]; then
  say "The node of the report on $first is killed without notice"
  timeline_of "$report_request" >"$work/timeline.before"
  kill_entry "$home"
elif [ "$stop_node" = 1 ]; then
  say "The node of the report on $first is stopped gracefully"
  timeline_of "$report_request" >"$work/timeline.before"
  stop_entry "$home"
else
  take_zones_away "$home"
fi

say "Wait for the reports"
for i in "${!reports[@]}"; do
  name=${reports[i]}
  report_status=0
  wait "${report_pids[i]}" || report_status=$?
  cat "$work/$name.log"
  check "the report on $name succeeded" [ "$report_status" -eq 0 ]
  check "the report on $name has all its tokens" [ "$(words "$work/$name.txt")" -eq "$report_tokens" ]
done
# A graceful stop may wait for the report to finish; otherwise another node resumes it.
if [ "$stop_node" = 0 ]; then
  check "another node resumed the report on $first" [ "$(home_of "$work/$first.log")" -ne "$home" ]
fi

say "Compare the reports with uninterrupted ones on the same manuscripts"
twin_pids=()
for name in "${reports[@]}"; do
  ask_report twin "$name" >"$work/$name.twin" 2>"$work/$name.twin.log" &
  twin_pids+=($!)
done
for i in "${!reports[@]}"; do
  name=${reports[i]}
  wait "${twin_pids[i]}" || true
  check "both reports on $name are identical" cmp -s "$work/$name.txt" "$work/$name.twin"
done
check "the email ran at most once" [ "$(runs "$email_request")" -le 1 ]

say "The timeline of the report on $first"
timeline_of "$report_request" >"$work/timeline.after"
cat "$work/timeline.before"
echo "-- entries below were read after the removal of the nodes"
grep -vxFf "$work/timeline.before" "$work/timeline.after" || true
check "the timeline contains the acceptance" grep -q ' accepted ' "$work/timeline.before"

say "Stop all processes"
stop_nodes
stop "${stand_ins[@]}"
stand_ins=()

if [ "$failures" -gt 0 ]; then
  say "$failures checks FAILED"
  exit 1
fi
say "All checks passed in $SECONDS seconds"
