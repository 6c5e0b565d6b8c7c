#!/bin/sh
# An accepted configuration is in force on all nodes within 5 s, and no node reverts to an older
# one: not when another change on the same base is published, when a node is replaced, or when the
# log has an outage.
set -eu
. tests/lib_proc.sh

start_backends
start_node n1 demo-a
n1_admin=$admin n1_pid=$pid
start_node n2 demo-b
n2_admin=$admin

# in_force ADMIN_ADDRESS REVISION: whether this revision is in force on the node.
in_force() {
	ctl "$1" status | grep -q "^config *revision $2 "
}
wait_for 5 in_force "$n1_admin" 1 || fail "n1 does not have revision 1"
wait_for 5 in_force "$n2_admin" 1 || fail "n2 does not have revision 1"

sed 's/"ttft_ms": 1000/"ttft_ms": 900/' "$work/conf.json" >"$work/conf2.json"
publish "$work/conf2.json"
wait_for 5 in_force "$n1_admin" 2 || fail "n1 does not have revision 2 after 5 s"
wait_for 5 in_force "$n2_admin" 2 || fail "n2 does not have revision 2 after 5 s"

# A second change on the same base is refused, its publisher gets an error, and no node reverts.
sed 's/"ttft_ms": 1000/"ttft_ms": 800/' "$work/conf.json" >"$work/conf3.json"
if "$BIN/chutectl" publish "$work/conf3.json" --platform "http://$platform" --base 1 \
	>"$work/race.out" 2>&1; then
	fail "a change on an outdated base was accepted: $(cat "$work/race.out")"
fi
in_force "$n1_admin" 2 || fail "revision 2 is no longer in force on n1"

# After a lost answer the publisher does not know whether its change is in the log. It must find
# out, and the change must be published exactly once.
fault "$platform" '{"lose_answers": 1}'
publish "$work/conf3.json"
wait_for 5 in_force "$n2_admin" 3 || fail "n2 does not have revision 3: $(cat "$work/publish.out")"

# While the log is down, a new node gets the latest revision from its peers.
fault "$platform" '{"outage": 1}'
kill "$n1_pid"
wait "$n1_pid" || fail "n1 did not stop as planned"
# It cannot have read the key history, but it must be ready with a configuration.
ready_pattern='"ready":true'
start_node n3 demo-a
wait_for 5 in_force "$admin" 3 || fail "n3 does not have revision 3"
in_force "$n2_admin" 3 || fail "revision 3 is no longer in force on n2"
fault "$platform" '{"outage": 0}'
sleep 1
in_force "$admin" 3 || fail "revision 3 is no longer in force on n3"
echo "proc_config_restart: passed"
