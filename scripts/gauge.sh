#!/bin/bash
# Measures the node processes, idle or while they serve reports: memory, CPU time
# and TCP payload by purpose. Starts the nodes and stand-ins on loopback
# addresses. See docs/CAPACITY.md.
#
#   scripts/gauge.sh [NODES [ENGINES [PLAIN [REPORTS]]]]
#
# Requires bash, awk, sha256sum, ss and the programs that "make build" puts into
# bin/. The ports are fixed: run it once at a time, and not together with the demo.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly nodes=${1:-6} engines=${2:-10} plain=${3:-4} reports=${4:-0}
readonly bin=$PWD/bin settle=${SETTLE:-20} watch=${WATCH:-30s}
readonly operator_key=gauge-operator
operator_key_hash=$(printf %s "$operator_key" | sha256sum | cut -d' ' -f1)
readonly operator_key_hash
readonly port=18080 peer_port=19080 platform=127.0.0.2:18081 pool=127.0.0.3:18082
readonly zones=(boston-a boston-b providence portland-me)

work=$(mktemp -d)
readonly work
started=()
pids=()
pid_flags=()
node_flags=()

cleanup() {
  trap - EXIT
  local pid
  for pid in "${pids[@]}" "${started[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}" "${started[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap cleanup EXIT

register() { # VM ZONE ADDRESS
  local body
  body=$(printf '{"vm":"%s","zone":"%s","class":"small","market":"reclaimable","address":"%s"}' "$@")
  exec 3<>"/dev/tcp/${platform%:*}/${platform#*:}"
  printf 'POST /admin/vms HTTP/1.0\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s' \
    "$platform" "${#body}" "$body" >&3
  cat <&3 >/dev/null
  exec 3>&-
}

start_stand_ins() {
  "$bin/dotterelhollow-standin" platform --listen "$platform" >"$work/platform.log" 2>&1 &
  started+=($!)
  sleep 1
  local flags=() zone
  for zone in "${zones[@]}"; do
    flags+=(--zone "$zone")
  done
  "$bin/dotterelhollow-standin" pool --listen "$pool" --platform "$platform" --host 127.0.0.3 "${flags[@]}" \
    --group "pool=reading,kind=model,class=engine,model=reader-large,count=$engines,on_demand=2,slots=8,tokens_per_second=40,prefill_per_second=4000,kv_tokens=65536,kv_bytes_per_token=131072,transfer_rate=209715200,checks_fence=true" \
    --group "pool=portal,kind=plain,class=small,count=$plain,on_demand=1,slots=32" >"$work/pool.log" 2>&1 &
  started+=($!)
  sleep 2
}

start_node() {
  local i=$1 address=127.0.1.$1 zone=${zones[$1 % 4]}
  mkdir "$work/entry-$i"
  cat >"$work/entry-$i/10-node.ini" <<INI
[node]
vm = entry-$i
zone = $zone
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
INI
  register "entry-$i" "$zone" "$address:$peer_port"
  "$bin/dotterelhollow" serve --settings "$work/entry-$i" >"$work/entry-$i.log" 2>&1 &
  pids+=($!)
  pid_flags+=(--pid "$!")
  node_flags+=(--node "$address:$port")
}

# configure sets the sizes of the pools so that no running server is released.
configure() {
  cp -r examples/quillmark "$work/folder"
  sed -i -e "s/^max = 14/max = $((engines + 4))/; s/^min = 4/min = $engines/" \
    -e "s/^max = 6/max = $((plain + 2))/; s/^min = 3/min = $plain/" "$work/folder/30-pools.ini"
  "$bin/dotterelhollow" config apply --operator-key "$operator_key" "${node_flags[@]:0:2}" "$work/folder" | tail -1
}

ask_reports() {
  local i accounts=(monday_reports portal)
  for ((i = 0; i < reports; i++)); do
    "$bin/dotterelhollow" ask --key "demo-${accounts[i % 2]}" "${node_flags[@]}" --service manuscript_report \
      --max-tokens 1600 --idempotency-key "gauge-$i" "Report on manuscript $i." >"$work/report-$i" 2>/dev/null &
    started+=($!)
  done
  sleep 8
}

# tokens prints the number of tokens received for all reports so far.
tokens() { find "$work" -maxdepth 1 -name 'report-*' -exec cat {} + | wc -w; }

# sockets prints address pair, purpose, bytes sent and bytes received of each node socket.
sockets() {
  ss -tinpHO state established | awk -v pids="${pids[*]}" '
    BEGIN { n = split(pids, p, " "); for (i = 1; i <= n; i++) ours[p[i]] = 1 }
    match($0, /pid=[0-9]+/) {
      if (!(substr($0, RSTART + 4, RLENGTH - 4) in ours)) next
      split($3, l, ":"); split($4, r, ":"); sent = got = 0; use = "servers"
      if (r[2] == 18081) use = "platform"
      else if (r[2] == 19080) use = "calls_to_peers"
      else if (l[2] == 19080) use = "calls_of_peers"
      else if (l[2] == 18080) use = "callers"
      if (match($0, /bytes_sent:[0-9]+/)) sent = substr($0, RSTART + 11, RLENGTH - 11)
      if (match($0, /bytes_received:[0-9]+/)) got = substr($0, RSTART + 15, RLENGTH - 15)
      print $3 "-" $4, use, sent, got
    }'
}

payload() {
  sockets >"$work/before"
  sleep 20
  sockets >"$work/after"
  awk -v per="$((20 * nodes))" '
    NR == FNR { sent[$1] = $3; got[$1] = $4; next }
    { s[$2] += $3 - sent[$1]; g[$2] += $4 - got[$1] }
    END { for (use in s) printf "%s: %.0f bytes/s sent, %.0f received per node\n", use, s[use] / per, g[use] / per }' \
    "$work/before" "$work/after" | sort
}

start_stand_ins
for ((i = 1; i <= nodes; i++)); do
  start_node "$i"
done
sleep 5
configure
sleep "$settle"
[ "$reports" -eq 0 ] || ask_reports
before=$(tokens)
began=$SECONDS
"$bin/dotterelhollow-gauge" "${pid_flags[@]}" --watch "$watch"
[ "$reports" -eq 0 ] || echo "$(($(tokens) - before)) tokens in $((SECONDS - began)) s"
payload
