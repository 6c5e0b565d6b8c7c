#!/bin/sh
# make demo: runs the whole system on the loopback interface in under a minute. Starts stand-ins for
# the platform, two engines and a service, then three nodes; publishes a configuration and sends
# requests. Exits with 0 only if no request was lost or duplicated and no response truncated.
set -eu
cd "$(dirname "$0")/.."
. tests/lib_proc.sh

say() {
	printf '\n== %s\n' "$*"
}

say "starting the stand-ins and publishing examples/demo.json"
start_backends --decode-tokens-per-s 60
cat "$work/publish.out"

say "starting three nodes in three failure domains"
start_node n1 demo-a
n1=$caller n1_admin=$admin
start_node n2 demo-b
n2=$caller n2_admin=$admin n2_pid=$pid
start_node n3 demo-c
n3=$caller
entries="--entry $n1 --entry $n2 --entry $n3"
echo "n1 $n1, n2 $n2, n3 $n3"

# all_listed: the entry list of n1 contains all three nodes.
all_listed() {
	list=$("$BIN/chuteload" get "$n1" /v1/entry)
	for a in "$n1" "$n2" "$n3"; do
		case $list in
		*"\"port\":${a#*:}"*) ;;
		*) return 1 ;;
		esac
	done
}

say "the addresses that callers should use, GET /v1/entry"
wait_for 15 all_listed || fail "n1 does not list all nodes: $("$BIN/chuteload" get "$n1" /v1/entry)"
"$BIN/chuteload" get "$n1" /v1/entry
echo

say "a streamed completion, POST /v1/chat/completions"
"$BIN/chuteload" post "$n1" /v1/chat/completions \
	'{"model": "demo-7b", "stream": true, "messages": [{"role": "user", "content": "Which form do I need? [[len=5]]"}]}' \
	--header 'Authorization: Bearer demo-token-claims' --header 'Chute-Class: draft' >"$work/stream"
cat "$work/stream"
[ "$(grep -c '^data: ' "$work/stream")" = 6 ] || fail "the stream is incomplete"

say "a booking that must not run twice, sent to two nodes with the same idempotency key"
# The second node may answer in_progress until it has received the outcome, so it is asked again.
book() {
	"$BIN/chuteload" post "$1" /v1/services/booking/slot '{"slot": "Tuesday 9 am"}' \
		--header 'Authorization: Bearer demo-token-repairs' --header 'Chute-Class: book' \
		--header 'Idempotency-Key: demo-booking' >"$work/booking" 2>&1
}
for node in "$n1" "$n3"; do
	wait_for 5 book "$node" || fail "the booking was refused: $(cat "$work/booking")"
	cat "$work/booking"
	echo
done
runs=$(number "$service" /admin/runs demo-booking)
echo "the service ran it $runs time(s)"
[ "$runs" = 1 ] || fail "the booking ran $runs times"

say "mixed load, a burst of the lowest tier, and a planned stop of n2 while it streams"
(sleep 3 && ctl "$n2_admin" drain >"$work/drain.out" 2>&1) &
pids="$pids $!"
passed=yes
"$BIN/chuteload" run examples/demo_load.json $entries $audit --json "$work/result.json" ||
	passed=no
wait "$n2_pid" && rc=0 || rc=$?
echo "n2 stopped with exit code $rc"

say "the operators' view, chutectl status"
ctl "$n1_admin" status || true
[ "$rc" = 0 ] || fail "n2 did not stop as planned: $(cat "$work/drain.out")"
[ "$passed" = yes ] || fail "the audit failed"
say "demo passed: nothing lost, nothing duplicated, nothing truncated"
