#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out, SEED sets the draws.
set -u
cd "$(dirname "$0")/../.." || exit 2
here=review/5
dir=$(mktemp -d) || exit 2
pids=()
cleanup() {
  for p in "${pids[@]}"; do kill -9 "$p" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$dir"
}
trap cleanup EXIT
[ -x target/dotterelhollow ] && [ -x review/bin/standin-2 ] || exit 2

trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
review/bin/standin-2 -scenario cut-readers -dir "$dir" -record "$here/record.txt" \
  -seed "${SEED:-1}" -trouble="$trouble" &
standin=$!
pids+=("$standin")
for _ in $(seq 100); do
  [ -e "$dir/go" ] && break
  sleep 0.1
done
[ -e "$dir/go" ] || exit 2
for settings in "$dir"/node-*.ini; do
  DOTTERELHOLLOW_CONFIG=$settings target/dotterelhollow serve >"$settings.log" 2>&1 &
  pids+=("$!")
done
wait "$standin"
exit $?
