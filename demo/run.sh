#!/usr/bin/env bash
# Starts the platform stand-in, four daemons in two regions, their backend
# servers and a caller on loopback addresses. Shows an answered call, a refused
# call and the explanation of the catalogue entry, and stops all processes that
# it started. The argument is the build directory (default: build).
set -u
cd "$(dirname "$0")/.."
build=$(realpath "${1:-build}")
work=$(mktemp -d)
platform=127.0.0.1:17000
export LACEWINGWHARF_PLATFORM=$platform
ctl="$build/lacewingwharfctl"
hosts=(caerfyrddin abertawe bangor wrecsam)
regions=(de-cymru de-cymru gogledd gogledd)
addresses=(127.0.1.1 127.0.1.2 127.0.2.1 127.0.2.2)
services=(preview orders fonts status)
call_port=18080
admin_port=18081
peer_port=17100
pids=()
failed=0

start() {
  local log=$1
  shift
  "$@" >"$work/$log.log" 2>&1 &
  pids+=($!)
}

stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
}
trap stop_all EXIT

step() { printf '\n== %s\n' "$1"; }
seen() { printf 'seen: %s\n' "$1"; }
missing() {
  printf 'NOT seen: %s (logs in %s)\n' "$1" "$work"
  failed=1
}

# Repeats a command until it succeeds, at most 300 times (30 s of pauses).
wait_for() {
  local tries
  for tries in $(seq 300); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  return 1
}

daemon_options=()
peers=$(printf "%s:$peer_port, " "${addresses[@]}" | sed 's/, $//')
for i in "${!hosts[@]}"; do
  daemon_options+=(--daemon "${addresses[$i]}:$admin_port")
  cat >"$work/${hosts[$i]}.ini" <<INI
[daemon]
host = host-${hosts[$i]}
address = ${addresses[$i]}
region = ${regions[$i]}
domain = ${hosts[$i]}
[peer]
port = $peer_port
[http]
callport = $call_port
adminport = $admin_port
[platform]
address = $platform
region = de-cymru
[membership]
peers = $peers
INI
done

step "starting the platform stand-in, four daemons and sixteen backend servers"
start platform "$build/lww-platform" --address 127.0.0.1 --port 17000
for i in "${!hosts[@]}"; do
  start "daemon-${hosts[$i]}" "$build/lacewingwharfd" \
    --config "$work/${hosts[$i]}.ini"
  port=19000
  for service in "${services[@]}"; do
    port=$((port + 1))
    start "backend-$service-${hosts[$i]}" "$build/lww-backend" \
      --address "${addresses[$i]}" --port "$port" --service "$service" \
      --slots 6 --connections 110 --admin "${addresses[$i]}:$admin_port" \
      --service-ms 5
  done
done

step "storing the catalogue"
wait_for "$ctl" list || missing "the platform"
for file in demo/catalogue/*.json; do
  "$ctl" put "$(basename "$file" .json)" "$file" || missing "put of $file"
done
if "$ctl" wait status-route "${daemon_options[@]}" --timeout 30000; then
  seen "the catalogue is in force on every daemon"
else
  missing "the catalogue in force on every daemon"
fi
"$ctl" list
"$ctl" status "${daemon_options[@]}"

step "an answered call"
order() {
  curl -sS -i --max-time 5 -X POST -H "Idempotency-Key: $1" \
    -d 'tag=Bramble' "http://${addresses[2]}:$call_port/orders/$1"
}
answered() { order "demo-$1" | tee "$work/answer" | grep -qi 'outcome: done'; }
tries=0
until answered $tries || [ $tries -ge 100 ]; do
  tries=$((tries + 1))
  sleep 0.2
done
sed -n '1,/^\r*$/p' "$work/answer"
if grep -qi 'outcome: done' "$work/answer"; then
  seen "an answered call"
else
  missing "an answered call"
fi

step "load from a caller on all daemons"
start caller "$build/lww-caller" --daemon "${addresses[0]}:$call_port" \
  --daemon "${addresses[3]}:$call_port" --path /preview/1 --path /status/1 \
  --rate 100 --time-ms 3000
wait "${pids[-1]}"
unset 'pids[-1]'
cat "$work/caller.log"

step "editing a limit: one order a second"
revision=$("$ctl" get orders-route --json | sed 's/.*"revision":\([0-9]*\).*/\1/')
sed 's/"rate":400/"rate":1/' demo/catalogue/orders-route.json >"$work/edit.json"
"$ctl" put orders-route "$work/edit.json" --expect "$revision"
"$ctl" put orders-route "$work/edit.json" --expect "$revision"
if [ $? -eq 3 ]; then
  seen "the second of two concurrent edits is refused"
else
  missing "a refusal of the second of two concurrent edits"
fi
if "$ctl" wait orders-route "${daemon_options[@]}" --timeout 30000; then
  seen "every daemon has the new version"
else
  missing "the new version on every daemon"
fi
"$ctl" status "${daemon_options[@]}"

step "a call refused by that limit"
for i in $(seq 60); do
  order "demo-limit-$i" >"$work/refused"
  grep -qi 'limit: entry-rate' "$work/refused" && break
done
cat "$work/refused"
if grep -qi 'outcome: not-run' "$work/refused" &&
  grep -qi 'owner: shop-tills' "$work/refused" &&
  grep -qi 'limit: entry-rate' "$work/refused"; then
  seen "a refused call that names owner and limit"
else
  missing "a refused call that names owner and limit"
fi

step "explaining the entry"
explained() {
  "$ctl" explain orders-route >"$work/explain" 2>&1 &&
    grep -q 'entry-rate' "$work/explain"
}
if wait_for explained; then
  cat "$work/explain"
  seen "the explanation of the entry"
else
  cat "$work/explain"
  missing "the explanation of the entry"
fi

step "stopping"
stop_all
pids=()
if [ $failed -eq 0 ]; then
  rm -rf "$work"
  echo "demo: everything was seen"
fi
exit $failed
