#!/usr/bin/env bash
# Measures the end-to-end cost of idempotency claims with real processes on
# loopback addresses: platform writes per second and latency of orders with and
# without a key, and the calls refused during a platform outage of 5 s. --csv
# prints comma-separated lines; --calls N sets platform.callspersecond of each
# daemon. Any other argument is the build directory.
set -u
cd "$(dirname "$0")/.."
csv=0
calls=20
build=build
while [ $# -gt 0 ]; do
  case $1 in
  --csv) csv=1 ;;
  --calls)
    calls=$2
    shift
    ;;
  *) build=$1 ;;
  esac
  shift
done
build=$(realpath "$build")
work=$(mktemp -d)
platform=127.81.200.100:17000
url=http://$platform
call_port=18080
admin_port=18081
peer_port=17100
addresses=(127.81.200.1 127.81.200.2 127.81.200.3 127.81.200.4)
seconds=${SECONDS_PER_RUN:-8}
pids=()

start() {
  "$@" >"$work/${#pids[@]}.log" 2>&1 &
  pids+=($!)
}

stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
  rm -rf "$work"
}
trap stop_all EXIT

peers=$(printf "%s:$peer_port, " "${addresses[@]}" | sed 's/, $//')
start "$build/lww-platform" --address "${platform%:*}" --port "${platform#*:}"
targets=()
for i in "${!addresses[@]}"; do
  targets+=(--daemon "${addresses[$i]}:$call_port")
  cat >"$work/$i.ini" <<INI
[daemon]
host = host-$i
address = ${addresses[$i]}
region = north
domain = domain-$((i / 2))
loglevel = warning
[peer]
port = $peer_port
[http]
callport = $call_port
adminport = $admin_port
[platform]
address = $platform
callspersecond = $calls
region = north
[membership]
peers = $peers
INI
  start "$build/lacewingwharfd" --config "$work/$i.ini"
  start "$build/lww-backend" --address "${addresses[$i]}" --port 19001 \
    --service orders --slots 12 --admin "${addresses[$i]}:$admin_port" \
    --service-ms 5
done

export LACEWINGWHARF_PLATFORM=$platform
put() {
  echo "$2" >"$work/entry.json"
  "$build/lacewingwharfctl" put "$1" "$work/entry.json" >/dev/null 2>&1
}
for _ in $(seq 100); do
  put orders '{"kind":"service","owner":"engraving","class":"critical"}' && break
  sleep 0.1
done
put orders-route '{"kind":"route","owner":"tills","class":"critical",
 "service":"orders","match":{"path":"/orders"},
 "limits":{"deadline_ms":3000,"queue_ms":500,"retries":1}}'

is_done() {
  curl -sS -i --max-time 5 -X POST -d x "http://$1:$call_port/orders" 2>&1 |
    grep -qi 'outcome: done'
}
for address in "${addresses[@]}"; do
  for _ in $(seq 200); do
    is_done "$address" && break
    sleep 0.1
  done
done
sleep 2

field() { sed "s/.*\"$1\":\([0-9]*\).*/\1/;t;s/.*/0/"; }
writes() { curl -sS "$url/v1/test/calls" | field put; }
# load RATE SECONDS [OPTION...]: the seed, and with it the idempotency keys,
# depends on the rate and the duration.
load() {
  local rate=$1 time=$2
  shift 2
  "$build/lww-caller" "${targets[@]}" --path /orders --method POST \
    --rate "$rate" --time-ms $((time * 1000)) --seed "$rate$time" "$@"
}

row() {
  if [ $csv -eq 1 ]; then
    local IFS=,
    echo "$*"
  else
    printf '%-22s %8s %10s %10s %10s %10s %10s\n' "$@"
  fi
}

row case rate writes/s p50_us p99_us done not-run
for rate in 20 100 400; do
  for keyed in "" --keys; do
    before=$(writes)
    result=$(load "$rate" "$seconds" $keyed)
    after=$(writes)
    row "orders${keyed:+ with key}" "$rate" $(((after - before) / seconds)) \
      "$(field p50_us <<<"$result")" "$(field p99_us <<<"$result")" \
      "$(field done <<<"$result")" "$(field not-run <<<"$result")"
  done
done
load 100 10 --keys >"$work/outage" &
caller=$!
sleep 2
curl -sS -X POST -d '{"down":true}' "$url/v1/test/switch" >/dev/null
sleep 5
curl -sS -X POST -d '{"down":false}' "$url/v1/test/switch" >/dev/null
wait "$caller"
result=$(cat "$work/outage")
row "outage 5 s of 10 s" 100 - "$(field p50_us <<<"$result")" \
  "$(field p99_us <<<"$result")" "$(field done <<<"$result")" \
  "$(field not-run <<<"$result")"
