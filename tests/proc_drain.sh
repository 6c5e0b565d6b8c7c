#!/bin/sh
# A planned stop of one of two nodes while long streams are open: no stream is truncated, no request
# is lost or refused, and the node exits by itself with 0.
set -eu
. tests/lib_proc.sh

start_backends --decode-tokens-per-s 100
start_node n1 demo-a
n1=$caller n1_pid=$pid
start_node n2 demo-b
cat >"$work/drain.json" <<EOT
{ "duration_ms": 3000, "drain_ms": 10000, "entries": ["$n1", "$caller"],
  "classes": [
    { "name": "explain", "tier": 3, "model": "demo-7b", "token": "demo-token-claims",
      "rate": 6, "stream": true, "output_tokens": 150 },
    { "name": "book", "tier": 1, "service": "booking/slot", "token": "demo-token-repairs",
      "rate": 10, "keyed": true, "resends": 3 }] }
EOT
(sleep 1 && kill "$n1_pid") &
pids="$pids $!"
must_pass "planned stop" "$work/drain.json"
wait "$n1_pid" && rc=0 || rc=$?
[ "$rc" -eq 0 ] || fail "the stopped node exited with $rc"
[ "$(column explain 4)" = "$(column explain 3)" ] || fail "not all streams are complete: $(cat "$work/table")"
[ "$(column explain 10)" = 0 ] || fail "requests refused during a planned stop: $(cat "$work/table")"
grep -q 'name=NODE_STOPPED' "$work/n1.err" || fail "n1 did not log NODE_STOPPED"
echo "proc_drain: $(column explain 3) streams complete"
