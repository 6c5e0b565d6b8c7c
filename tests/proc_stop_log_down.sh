#!/bin/sh
# A planned stop while the log is down ends after keys.flush_ms, although the outcome of a call
# could not be written to the log.
set -eu
. tests/lib_proc.sh

start platform fake-platform
platform=$addr
start engine1 fake-engine
engine1=$addr
start engine2 fake-engine
engine2=$addr
start service fake-service
service=$addr
sed -e "s/@ENGINE1_PORT@/${engine1#*:}/; s/@ENGINE2_PORT@/${engine2#*:}/; s/@SERVICE1_PORT@/${service#*:}/" \
	examples/demo.json >"$work/conf.json"
cat >"$work/n1.json" <<EOT
{ "vm": { "name": "n1", "failure_domain": "demo-a", "region": "demo" },
  "caller": { "address": "127.0.0.1", "port": 0, "entry_lifetime_ms": 200 },
  "admin": { "port": 0 }, "peer": { "port": 0 },
  "keys": { "flush_ms": 500, "commit_ms": 1000 },
  "platform": { "url": "http://$platform", "poll_ms": 100 } }
EOT
"$BIN/chuted" --config "$work/n1.json" >"$work/n1.out" 2>"$work/n1.err" &
node=$!
pids="$pids $node"
wait_for 5 grep -q '^listening' "$work/n1.out" || fail "n1 did not start"
caller=127.0.0.1:$(sed -n 's/.*caller=\([0-9]*\).*/\1/p' "$work/n1.out")
"$BIN/chutectl" publish "$work/conf.json" --platform "http://$platform" >/dev/null || fail "publish failed"
wait_for 5 grep -q 'CONFIG_ADOPTED revision=1' "$work/n1.err" || fail "revision 1 is not in force"
# book: makes a call that must not be repeated.
book() {
	"$BIN/chuteload" post "$caller" /v1/services/booking/x '{}' \
		--header "Authorization: Bearer demo-token-repairs" --header "Chute-Class: book" \
		--header "Idempotency-Key: k1"
}
wait_for 5 book || fail "the booking was refused"
# The log goes down before the group commit that would write the outcome.
fault "$platform" '{"outage": 1}'
kill "$node"
wait "$node" || fail "n1 stopped with exit code $?"
grep -q 'KEYS_UNWRITTEN' "$work/n1.err" || fail "n1 did not log event 704, KEYS_UNWRITTEN"
echo "proc_stop_log_down: passed"
