#!/bin/sh
# When a caller disconnects, its work at the engine is cancelled at once. The answers have 1000
# tokens and would take 10 s; engines must generate only about as much as the callers waited for.
set -eu
. tests/lib_proc.sh

start_backends --decode-tokens-per-s 100
start_node n1
cat >"$work/gone.json" <<EOT
{ "duration_ms": 800, "drain_ms": 2000,
  "classes": [{ "name": "gone", "class": "explain", "tier": 3, "model": "demo-7b",
    "token": "demo-token-claims", "rate": 12, "stream": true, "output_tokens": 1000,
    "leave_permille": 1000, "leave_ms": 400 }] }
EOT
must_pass "disconnecting callers" "$work/gone.json" --node "$caller"
requests=$(column gone 3)
[ "$requests" -gt 0 ] || fail "no request was sent"

# No engine runs a request.
idle() {
	[ "$(number "$engine1" /engine/v1/load running)" = 0 ] &&
		[ "$(number "$engine2" /engine/v1/load running)" = 0 ]
}
wait_for 2 idle || fail "engines still run requests whose callers have disconnected"
generated=$(($(number "$engine1" /admin/stats tokens) + $(number "$engine2" /admin/stats tokens)))
# A caller waits for 400 ms at most, which is 40 tokens. As many again are allowed for the time that
# the cancellation takes.
[ "$generated" -le $((requests * 80)) ] || fail "$generated tokens for $requests disconnected callers"
echo "proc_caller_gone: $requests callers disconnected, $generated tokens generated"
