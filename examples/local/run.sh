#!/usr/bin/env bash
# Runs the whole path on loopback as separate processes: store and fabric stand-ins,
# two balancers, three upstreams with an agent each, an operator who applies
# a file, and a caller. Every packet of the caller's requests may meet another
# balancer. Prints the answers, stops everything it started and exits with the
# caller's code.
#
# usage: examples/local/run.sh [REQUESTS]
set -euo pipefail
cd "$(dirname "$0")/../.."
requests=${1:-5}
base=${CW_PORT:-17000}
work=$(mktemp -d)
started=()

stop() {
  for ((i = ${#started[@]} - 1; i >= 0; i--)); do
    kill -TERM "${started[i]}" 2>/dev/null || true
  done
  for p in "${started[@]}"; do
    wait "$p" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap stop EXIT

start() {
  local log=$1
  shift
  "$@" >"$work/$log.out" 2>"$work/$log.log" &
  started+=($!)
}

go build -o "$work/" ./cmd/clementinewing ./cmd/cwfake
key=$(printf 'ab%.0s' {1..32})
common="[keys]
1 = $key
[tls]
insecure = yes"
contacts="127.0.0.1:$((base + 12)), 127.0.0.1:$((base + 22))"

start fabric "$work/cwfake" fabric --listen "127.0.0.1:$base" \
  --balancer "127.0.0.1:$((base + 10))" --balancer "127.0.0.1:$((base + 20))" \
  --loss 0.01 --double 0.01 --reorder 0.05

start store "$work/cwfake" store --listen "127.0.0.1:$((base + 5))"

for n in 1 2; do
  cat >"$work/balancer-$n.ini" <<END
[balancer]
name = balancer-$n
region = oberbayern
domain = muenchen-nord
fabric = 127.0.0.1:$((base + 10 * n))
tunnel = 127.0.0.1:$((base + 10 * n + 1))
control = 127.0.0.1:$((base + 10 * n + 2))
status = 127.0.0.1:$((base + 10 * n + 3))
contacts = $contacts
[store]
address = 127.0.0.1:$((base + 5))
$common
END
  start "balancer-$n" "$work/clementinewing" balancer --settings "$work/balancer-$n.ini"
done

for n in 1 2 3; do
  start "origin-$n" "$work/cwfake" origin --service dienstplan --name "dienstplan-$n" \
    --listen "127.0.0.1:$((base + 100 + 10 * n))"
  cat >"$work/agent-$n.ini" <<END
[agent]
name = dienstplan-$n
region = oberbayern
domain = freising
tunnel = 127.0.0.1:$((base + 100 + 10 * n + 1))
status = 127.0.0.1:$((base + 100 + 10 * n + 2))
contacts = $contacts
fabric = 127.0.0.1:$((base + 1))
service = dienstplan
upstream = 127.0.0.1:$((base + 100 + 10 * n))
drain_seconds = 2
$common
END
  start "agent-$n" "$work/clementinewing" agent --settings "$work/agent-$n.ini"
done

public=$("$work/clementinewing" keygen --key "$work/operator.key")
sed "s|^key = .*|$public|" examples/local/file.ini >"$work/file.ini"
"$work/clementinewing" apply --insecure --store "127.0.0.1:$((base + 5))" --key "$work/operator.key" "$work/file.ini"

# Both balancers must know all three endpoints before the first request.
for n in 1 2; do
  known=0
  for _ in $(seq 100); do
    known=$("$work/clementinewing" show "127.0.0.1:$((base + 10 * n + 3))" 2>/dev/null | grep -c "^dienstplan .*serving") || true
    [ "$known" = 3 ] && break
    sleep 0.1
  done
  if [ "$known" != 3 ]; then
    echo "balancer-$n knows $known of 3 endpoints" >&2
    tail -n 5 "$work"/*.log >&2
    exit 1
  fi
done

code=0
"$work/cwfake" caller --fabric "127.0.0.1:$base" --target 10.99.0.1:80 --requests "$requests" || code=$?
if [ $code -ne 0 ]; then
  tail -n 5 "$work"/*.log >&2
fi
"$work/clementinewing" show "127.0.0.1:$((base + 13))"
exit $code
