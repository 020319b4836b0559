#!/bin/bash
# Plays one case: play.sh FOLDER CASE TROUBLE. Starts the stand-in of the case, and then a node for each
# of the settings files that it writes. Ends all processes that it started. Exits with 0 if the
# rule held, 1 if it was broken, and 2 if the case could not run. TROUBLE is true or false: whether
# the disruption takes place.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
readonly folder=$1 case=$2 trouble=$3
readonly standin=review/bin/standin node=target/dotterelhollow
if [ ! -x "$standin" ] || [ ! -x "$node" ]; then
  echo "build first: the line of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
work=$(mktemp -d) || exit 2
readonly work
pids=()

finish() {
  local pid
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$work"
}
trap finish EXIT

"$standin" -dir "$work" -record "$folder/record.txt" -trouble="$trouble" "$case" &
judge=$!
pids+=("$judge")
for ((tries = 0; tries < 100; tries++)); do
  [ -e "$work/ready" ] && break
  kill -0 "$judge" 2>/dev/null || break
  sleep 0.1
done
[ -e "$work/ready" ] || exit 2

# start SETTINGS starts a node.
start() {
  DOTTERELHOLLOW_CONFIG=$1 "$node" serve >>"${1%.ini}.log" 2>&1 &
  pids+=("$!")
}

for settings in "$work"/node-*.ini; do
  start "$settings"
done
# A stand-in that writes the file "kill" has that many nodes killed, which start again.
until [ -e "$work/kill" ]; do
  kill -0 "$judge" 2>/dev/null || break
  sleep 0.02
done
if [ -e "$work/kill" ]; then
  count=$(<"$work/kill")
  kill -KILL "${pids[@]:1:count}"
  touch "$work/killed"
  sleep 2
  for ((i = 1; i <= count; i++)); do
    start "$work/node-$i.ini"
  done
fi
wait "$judge"
status=$?
[ "${KEEP:-}" ] && cp "$work"/*.log "$KEEP"/
case $status in
  0 | 1) exit "$status" ;;
esac
exit 2
