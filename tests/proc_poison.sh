#!/bin/sh
# A request that crashes every engine that runs it is refused after the second crash, on every node
# and also when its caller sends it again. All other requests still get their answers.
set -eu
. tests/lib_proc.sh

start_backends --decode-tokens-per-s 100
start_node n1 demo-a
n1=$caller
start_node n2 demo-b
n2=$caller
cat >"$work/innocent.json" <<EOT
{ "duration_ms": 4000, "drain_ms": 15000, "nodes": ["$n1", "$n2"],
  "classes": [{ "name": "innocent", "class": "draft", "tier": 1, "model": "demo-7b",
    "token": "demo-token-claims", "rate": 4, "stream": true, "output_tokens": 30 }] }
EOT

# send_poison NODE: sends the crashing request; the answer goes to $work/poison.out.
send_poison() {
	"$BIN/chuteload" post "$1" /v1/chat/completions \
		'{"model": "demo-7b", "messages": [{"role": "user", "content": "[[poison]] [[len=5]]"}]}' \
		--header 'Authorization: Bearer demo-token-repairs' --header 'Chute-Class: notes' \
		>"$work/poison.out" 2>/dev/null || true
}
# crashes: prints the number of crashes of both engines.
crashes() {
	echo $(($(number "$engine1" /admin/stats crashes) + $(number "$engine2" /admin/stats crashes)))
}

load "$work/innocent.json" &
load_pid=$!
pids="$pids $load_pid"
sleep 0.5
send_poison "$n1"
send_poison "$n1"
sleep 1
send_poison "$n2"
send_poison "$n2"
grep -q poison_request "$work/poison.out" || fail "not refused as poison: $(cat "$work/poison.out")"
n_crashes=$(crashes)
[ "$n_crashes" -le 2 ] || fail "one request crashed engines $n_crashes times"
wait "$load_pid" || fail "other requests: $(cat "$work/table")"
[ "$(column innocent 4)" = "$(column innocent 3)" ] ||
	fail "not all other requests were answered: $(cat "$work/table")"
echo "proc_poison: $n_crashes crashes, $(column innocent 4) other streams complete"
