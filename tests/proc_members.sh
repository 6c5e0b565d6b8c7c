#!/bin/sh
# Four nodes on loopback: one is paused, one is killed, one is replaced under its name and one
# leaves. The lists of entry addresses follow, and a node that was paused buries nobody.
set -eu
. tests/lib_proc.sh

# lists NODE CALLER: whether a node names another's address to callers.
lists() {
	"$BIN/chuteload" get "$1" /v1/entry | grep -q "\"port\": *${2#*:}[^0-9]"
}

# drops NODE CALLER: whether it does not.
drops() {
	! lists "$1" "$2"
}

# deaths NAME: how many members a node declared dead.
deaths() {
	grep -c 'name=MEMBER_DEAD' "$work/$1.err" || true
}

start_backends
start_node n1 demo-a
n1=$caller
start_node n2 demo-b
n2=$caller n2_pid=$pid
start_node n3 demo-c
n3=$caller n3_pid=$pid
start_node n4 demo-a
n4=$caller n4_pid=$pid
for node in $n1 $n2 $n3 $n4; do
	for other in $n1 $n2 $n3 $n4; do
		wait_for 20 lists "$node" "$other" || fail "$node does not list $other"
	done
done

kill -STOP "$n3_pid"
wait_for 20 drops "$n1" "$n3" || fail "a paused node stays on the list"
wait_for 30 grep -q 'name=MEMBER_DEAD' "$work/n1.err" || fail "a paused node is not declared dead"
kill -CONT "$n3_pid"
wait_for 30 lists "$n1" "$n3" || fail "a node that woke is not listed again"
[ "$(deaths n3)" -eq 0 ] || fail "the paused node declared others dead"
[ "$(deaths n1)" -eq 1 ] || fail "n1 declared $(deaths n1) dead, not one"

kill -KILL "$n4_pid"
wait_for 20 drops "$n1" "$n4" || fail "a killed node stays on the list"
start_node n4 demo-a
wait_for 30 lists "$n1" "$caller" || fail "the replacement is not listed"

kill -TERM "$n2_pid"
wait_for 2 drops "$n1" "$n2" || fail "a leaving node stays on the list"
wait_for 2 drops "$n3" "$n2" || fail "a leaving node stays on the list of n3"
wait "$n2_pid" && rc=0 || rc=$?
[ "$rc" -eq 0 ] || fail "the leaving node exited with $rc"
echo "proc_members: paused, killed, replaced and leaving nodes are listed as they should"
