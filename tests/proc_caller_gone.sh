#!/bin/sh
# A caller that leaves cancels its upstream work at once: of answers of 1000 tokens, which take
# 10 s, engines generate only what a caller stayed for.
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
must_pass "callers that leave" "$work/gone.json" --node "$caller"
requests=$(column gone 3)
[ "$requests" -gt 0 ] || fail "no request was sent"

idle() {
	[ "$(number "$engine1" /engine/v1/load running)" = 0 ] &&
		[ "$(number "$engine2" /engine/v1/load running)" = 0 ]
}
wait_for 2 idle || fail "engines still run what nobody waits for"
made=$(($(number "$engine1" /admin/stats tokens) + $(number "$engine2" /admin/stats tokens)))
# A caller stays 400 ms at most, which is 40 tokens; as many again are allowed for the cancelling.
[ "$made" -le $((requests * 80)) ] || fail "$made tokens for $requests callers that left"
echo "proc_caller_gone: $requests callers left, $made tokens generated"
