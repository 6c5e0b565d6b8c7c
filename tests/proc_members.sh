#!/bin/sh
# Four nodes on the loopback interface: one is paused and resumed, one is killed and replaced under
# the same name, and one leaves. The lists of entry addresses must follow. The resumed node must not
# declare the others dead, although it received nothing from them for a long time.
set -eu
. tests/lib_proc.sh

# lists NODE CALLER: whether the entry list of a node contains another node's address.
lists() {
	"$BIN/chuteload" get "$1" /v1/entry | grep -q "\"port\": *${2#*:}[^0-9]"
}

# omits NODE CALLER: whether it does not contain it.
omits() {
	! lists "$1" "$2"
}

# deaths NAME: prints how many times a node declared a member dead.
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
wait_for 20 omits "$n1" "$n3" || fail "a paused node stays on the list"
wait_for 30 grep -q 'name=MEMBER_DEAD' "$work/n1.err" || fail "a paused node is not declared dead"
kill -CONT "$n3_pid"
wait_for 30 lists "$n1" "$n3" || fail "a resumed node is not listed again"
[ "$(deaths n3)" -eq 0 ] || fail "the paused node declared other nodes dead"
[ "$(deaths n1)" -eq 1 ] || fail "n1 declared $(deaths n1) nodes dead, not one"

kill -KILL "$n4_pid"
wait_for 20 omits "$n1" "$n4" || fail "a killed node stays on the list"
start_node n4 demo-a
wait_for 30 lists "$n1" "$caller" || fail "the replacement is not listed"

kill -TERM "$n2_pid"
wait_for 2 omits "$n1" "$n2" || fail "a leaving node stays on the list"
wait_for 2 omits "$n3" "$n2" || fail "a leaving node stays on the list of n3"
wait "$n2_pid" && rc=0 || rc=$?
[ "$rc" -eq 0 ] || fail "the leaving node exited with $rc"
echo "proc_members: paused, killed, replaced and leaving nodes are listed correctly"
