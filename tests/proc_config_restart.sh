#!/bin/sh
# An accepted configuration is in force everywhere within seconds and never reverts: over a node
# that is replaced, an outage of the log, and a second publisher on the same base.
set -eu
. tests/lib_proc.sh

start_backends
start_node n1 demo-a
n1_admin=$admin n1_pid=$pid
start_node n2 demo-b
n2_admin=$admin

# in_force ADMIN REVISION: the node serves this revision.
in_force() {
	ctl "$1" status | grep -q "^config *revision $2 "
}
wait_for 5 in_force "$n1_admin" 1 || fail "n1 does not have revision 1"
wait_for 5 in_force "$n2_admin" 1 || fail "n2 does not have revision 1"

sed 's/"ttft_ms": 1000/"ttft_ms": 900/' "$work/conf.json" >"$work/conf2.json"
publish "$work/conf2.json"
wait_for 5 in_force "$n1_admin" 2 || fail "n1 does not have revision 2 after 5 s"
wait_for 5 in_force "$n2_admin" 2 || fail "n2 does not have revision 2 after 5 s"

# Two publishers on one base: one wins, the other is told, and no node reverts.
sed 's/"ttft_ms": 1000/"ttft_ms": 800/' "$work/conf.json" >"$work/conf3.json"
if "$BIN/chutectl" publish "$work/conf3.json" --platform "http://$platform" --base 1 \
	>"$work/race.out" 2>&1; then
	fail "a change on an old base was accepted: $(cat "$work/race.out")"
fi
in_force "$n1_admin" 2 || fail "n1 left revision 2"

# A lost answer leaves the publisher unsure; it must find out and publish once.
fault "$platform" '{"lose_answers": 1}'
publish "$work/conf3.json"
wait_for 5 in_force "$n2_admin" 3 || fail "n2 does not have revision 3: $(cat "$work/publish.out")"

# While the log is away, a new node gets the newest revision from its peers.
fault "$platform" '{"outage": 1}'
kill "$n1_pid"
wait "$n1_pid" || fail "n1 did not stop as planned"
# It cannot have the keys' history yet, but it must serve with a configuration.
ready_wants='"ready":true'
start_node n3 demo-a
wait_for 5 in_force "$admin" 3 || fail "n3 does not have revision 3"
in_force "$n2_admin" 3 || fail "n2 left revision 3"
fault "$platform" '{"outage": 0}'
sleep 1
in_force "$admin" 3 || fail "n3 left revision 3"
echo "proc_config_restart: passed"
