#!/bin/sh
# A node that starts with seeds that are gone joins the others when its settings file names a live one
# and it gets SIGHUP. It used to keep the seeds of its start.
set -eu
. tests/lib_proc.sh

# lists NODE CALLER: whether the entry list of a node contains another node's address.
lists() {
	"$BIN/chuteload" get "$1" /v1/entry | grep -q "\"port\": *${2#*:}[^0-9]"
}

start_backends
start_node n1
n1=$caller live=$seeds
seeds='"127.0.0.1:9"'
start_node n2
! lists "$n1" "$caller" || fail "n2 has joined without a seed"
sed "s/\"127.0.0.1:9\"/$live/" "$work/n2.json" >"$work/n2.new"
mv "$work/n2.new" "$work/n2.json"
kill -HUP "$pid"
wait_for 15 lists "$n1" "$caller" || fail "new seeds are not used"
wait_for 15 lists "$caller" "$n1" || fail "new seeds are not used by the node itself"

# Seeds that are no addresses leave the node as it is.
sed "s/$live/\"no address\"/" "$work/n2.json" >"$work/n2.new"
mv "$work/n2.new" "$work/n2.json"
kill -HUP "$pid"
wait_for 5 grep -q SETTINGS_KEPT "$work/n2.err" || fail "seeds that are no addresses are not reported"
lists "$n1" "$caller" || fail "seeds that are no addresses changed the fleet"
echo "proc_seeds_chuted: passed"
