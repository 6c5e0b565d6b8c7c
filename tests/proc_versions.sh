#!/bin/sh
# A rolling update: of four gateways two run the build before duties (commit 176bfc7), which is built
# here, and two the present one. Guards against messages that one build sends and the other refuses
# or misreads. Replaces the older nodes one after the other, then one back by the older build, as when
# an update is rolled back. The soak without faults supplies store, upstreams and callers.
# Skipped if the repository has no such commit, as a shallow clone.
set -eu
older=176bfc7
git rev-parse --quiet --verify "$older^{commit}" >/dev/null 2>&1 || {
	echo "proc_versions: SKIPPED, the history of this repository has no commit $older"
	exit 0
}
. tests/lib_proc.sh

bin=$(cd "$BIN" && pwd)
older_tree=$work/older
remove_older_tree() {
	git worktree remove --force "$older_tree" >/dev/null 2>&1 || true
}
# The soak stops its nodes, but not if it is stopped itself.
stop_nodes() {
	stop_pids $soak_pid
	for file in $(ls "$work"/n?.pid 2>/dev/null); do
		kill -9 "$(cat "$file")" 2>/dev/null || true
	done
	if [ -e "$work/dir" ]; then rm -rf "$(cat "$work/dir")"; fi
}
soak_pid=
trap 'stop_nodes; remove_older_tree; stop_all' EXIT
git worktree add --quiet --detach "$older_tree" "$older" || fail "no worktree of $older"
# The build directory and sanitizers of this run do not apply to it.
env -u MAKEFLAGS -u MAKEOVERRIDES make -C "$older_tree" -j4 BUILD=build SAN= build/bin/chutegate \
	>"$work/build.err" 2>&1 || fail "the build of $older failed"

# The soak starts each node by this program. Node I runs the older build if the file nI.older exists.
cat >"$work/gateway" <<EOT
#!/bin/sh
name=\$(basename "\$2" .json)
cp "\$2" "$work/"
dirname "\$2" >"$work/dir"
echo \$\$ >"$work/\$name.pid"
program=$bin/chutegate
[ -e "$work/\$name.older" ] && program=$older_tree/build/bin/chutegate
exec "\$program" "\$@" >>"$work/\$name.err" 2>&1
EOT
chmod +x "$work/gateway"
touch "$work/n0.older" "$work/n1.older"
"$BIN/soak" --seed 1 --seconds 0 --nodes 4 --program "$work/gateway" >"$work/soak.out" 2>&1 &
soak_pid=$!

# metric NODE NAME: prints a number of the node's metrics page.
metric() {
	admin=$(sed -n 's/.*"admin":{"address":"\([0-9.]*\)","port":\([0-9]*\)}.*/\1:\2/p' "$work/n$1.json")
	"$BIN/chuteload" get "$admin" /metrics | sed -n "s/^$2 //p"
}

# sees_all NODE: the node has four members.
sees_all() {
	[ "$(metric "$1" bct_member_count)" = 4 ]
}

# count PATTERN FILE...: lines that match.
count() {
	pattern=$1
	shift
	cat "$@" | grep -c "$pattern" || true
}

all_see_all() {
	sees_all 0 && sees_all 1 && sees_all 2 && sees_all 3
}

# serves NODE N: the node has got routes after each of N starts.
serves() {
	[ "$(count '"name":"ROUTES_ADOPTED".*"was":0,' "$work/n$1.err")" -ge "$2" ]
}

# replace NODE N: stops the node as an operator does, and waits until it serves for the Nth time.
replace() {
	kill "$(cat "$work/n$1.pid")"
	wait_for 8 serves "$1" "$2" || fail "n$1 does not serve after its replacement"
}

refused() {
	for i in 0 1 2 3; do metric $i bct_gate_shares_refused_total; done | tr '\n' ' '
}

wait_for 8 all_see_all || fail "nodes of two builds are not all members: $(cat "$work/soak.out")"
# A node refuses datagrams of nodes that it does not know yet, in the first second only.
sleep 2
cat "$work"/n0.err "$work"/n1.err >"$work/older.statements"
cat "$work"/n2.err "$work"/n3.err >"$work/newer.statements"
before=$(refused)
sleep 1
[ "$(refused)" = "$before" ] || fail "datagrams of the other build are refused: $before, then $(refused)"
failed_before=$(count '"name":"GATE_REQUEST_FAILED"' "$work"/n?.err)


for step in 0:2 1:2 0:3; do
	node=${step%:*} run=${step#*:}
	rm -f "$work/n$node.older"
	[ "$run" = 3 ] && touch "$work/n$node.older"
	replace "$node" "$run"
	sleep 1
done
kill -0 "$soak_pid" 2>/dev/null || fail "the soak ended before the nodes were replaced: $(cat "$work/soak.out")"
wait_for 5 all_see_all || fail "nodes are not all members after they were replaced"
wait "$soak_pid" && rc=0 || rc=$?
soak_pid=
rm -f "$work"/n?.pid
[ "$rc" -eq 0 ] || fail "the soak failed: $(cat "$work/soak.out")"

# While nodes were replaced, all requests succeeded, by the logs and by what the callers saw.
failed_after=$(count '"name":"GATE_REQUEST_FAILED"' "$work"/n?.err)
[ "$failed_after" = "$failed_before" ] || {
	grep -h '"name":"GATE_REQUEST_FAILED"' "$work"/n?.err | tail -$((failed_after - failed_before)) >&2
	fail "$((failed_after - failed_before)) requests failed while nodes were replaced"
}
callers_failed=$(sed -n 's/.* ok, \([0-9]*\) refused, \([0-9]*\) failed.*/\1 \2/p' "$work/soak.out" | awk '{ print $1 + $2 }')
[ "$callers_failed" -le "$failed_before" ] ||
	fail "callers saw $callers_failed failures, the nodes $failed_before: $(cat "$work/soak.out")"

# What an upstream states goes by the same datagrams as the load. Before the first replacement one
# build has learned of a statement from the other. Incarnations of the older nodes: those that left.
older_ids=$(sed -n 's/.*"name":"MEMBER_LEAVING","member":"n[01]","incarnation":"\([0-9a-f]*\)".*/\1/p' "$work"/n[23].err |
	sort -u | tr '\n' '|' | sed 's/|$//')
statements='"name":"UPSTREAM_\(LIMIT\|LEAVING\)".*"peer":"'
from_newer=$(grep "$statements" "$work/older.statements" | grep -v '"peer":"0000000000000000"' |
	grep -cvE "\"peer\":\"($older_ids)\"" || true)
from_older=$(grep "$statements" "$work/newer.statements" | grep -cE "\"peer\":\"($older_ids)\"" || true)
[ "$((from_newer + from_older))" -gt 0 ] || fail "no statement went from one build to the other"
echo "proc_versions: $(sed -n 's/.*calls: \([0-9]* ok\).*/\1/p' "$work/soak.out"), 3 replacements," \
	"statements from newer to older nodes $from_newer, from older to newer $from_older"
