#!/bin/sh
# The placement lease. The holder orders engines to load the models that the configuration names. A
# holder that is paused until its lease has expired, and then resumed, must give no order under its
# old fencing token, not even to an engine that does not check tokens.
set -eu
. tests/lib_proc.sh

start platform fake-platform
platform=$addr
start engine1 fake-engine --model other --checks-fencing
engine1=$addr
start engine2 fake-engine --model other
engine2=$addr
start service fake-service
service=$addr
sed -e "s/@ENGINE1_PORT@/${engine1#*:}/; s/@ENGINE2_PORT@/${engine2#*:}/; s/@SERVICE1_PORT@/${service#*:}/" \
	-e 's/"service_ms": 5000/"service_ms": 5000, "order_ms": 1000/' \
	examples/demo.json >"$work/conf.json"

# node NAME: starts a node that uses the platform; sets the variable NAME to its process id.
node() {
	cat >"$work/$1.json" <<EOT
{ "vm": { "name": "$1", "failure_domain": "demo-a", "region": "demo" },
  "caller": { "address": "127.0.0.1", "port": 0, "entry_lifetime_ms": 200 },
  "admin": { "port": 0 }, "peer": { "port": 0 },
  "placement": { "interval_ms": 200, "lease_ms": 1500 },
  "platform": { "url": "http://$platform", "poll_ms": 100 } }
EOT
	"$BIN/chuted" --config "$work/$1.json" >"$work/$1.out" 2>"$work/$1.err" &
	eval "$1=$!"
	pids="$pids $!"
	wait_for 5 grep -q '^listening' "$work/$1.out" || fail "$1 did not start"
}
# ordered ENGINE MODEL: whether the engine's last order names the model.
ordered() {
	"$BIN/chuteload" get "$1" /engine/v1/orders | grep -q "\"$2\""
}

node n1
wait_for 5 grep -q LEASE_ACQUIRED "$work/n1.err" || fail "n1 did not acquire the lease"
"$BIN/chutectl" publish "$work/conf.json" --platform "http://$platform" >/dev/null || fail "publish failed"
wait_for 10 ordered "$engine1" demo-7b || fail "engine 1 got no order"
wait_for 10 ordered "$engine2" demo-7b || fail "engine 2 got no order"

node n2
sleep 0.5
kill -STOP "$n1"
wait_for 10 grep -q LEASE_ACQUIRED "$work/n2.err" || fail "n2 did not acquire the lease"
sed -e 's/"demo-7b": { "context/"demo-9b": { "context_tokens": 4096 }, "demo-7b": { "context/' \
	-e 's/"models": \["demo-7b"\]/"models": ["demo-7b", "demo-9b"]/' "$work/conf.json" >"$work/conf2.json"
"$BIN/chutectl" publish "$work/conf2.json" --platform "http://$platform" >/dev/null || fail "second publish failed"
wait_for 10 ordered "$engine1" demo-9b || fail "engine 1 got no order from n2"
wait_for 10 ordered "$engine2" demo-9b || fail "engine 2 got no order from n2"
kill -CONT "$n1"
sleep 1.5
for engine in "$engine1" "$engine2"; do
	"$BIN/chuteload" get "$engine" /admin/orders | tr '{' '\n' |
		sed -n 's/.*"fence": *\([0-9]*\).*/\1/p' >"$work/fences"
	sort -n "$work/fences" | cmp -s - "$work/fences" || fail "fencing tokens decreased: $(cat "$work/fences")"
	[ "$(sort -un "$work/fences" | wc -l)" -eq 2 ] || fail "orders not from exactly two holders: $(cat "$work/fences")"
done
grep -q LEASE_LOST "$work/n1.err" || fail "n1 did not log LEASE_LOST"
echo "proc_placement: passed"
