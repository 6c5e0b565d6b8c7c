#!/bin/sh
# Nodes follow published revisions: in normal operation, in an outage of the log, when a node starts
# during the outage, when one is killed and replaced, and when one is paused and resumed. No node
# may ever return to a lower revision.
set -eu
. tests/lib_proc.sh

token=proc-config-token
echo "$token" >"$work/token"
hash=$("$BIN/chutectl" hash-token <"$work/token")
start platform fake-platform
platform=$addr
url=http://$addr
seeds=

# node NAME: starts chuted; sets admin_NAME and pid_NAME, and adds the node to the seeds of later
# ones.
node() {
	cat >"$work/$1.json" <<EOT
{ "vm": { "name": "$1", "failure_domain": "$1-in-a-building-with-a-rather-long-name", "region": "r" },
  "caller": { "address": "127.0.0.1", "port": 0, "entry_lifetime_ms": 200 },
  "admin": { "port": 0, "token_hash": "$hash" },
  "peer": { "port": 0, "secret": "proc-config-secret", "seeds": [$seeds] },
  "platform": { "url": "$url", "timeout_ms": 500, "poll_ms": 200 } }
EOT
	"$BIN/chuted" --config "$work/$1.json" >"$work/$1.out" 2>"$work/$1.err" &
	pids="$pids $!"
	eval "pid_$1=$!"
	wait_for 5 grep -q '^listening' "$work/$1.out" || fail "$1 did not start"
	eval "admin_$1=127.0.0.1:$(sed -n 's/.*admin=\([0-9]*\).*/\1/p' "$work/$1.out")"
	seeds="${seeds:+$seeds, }\"127.0.0.1:$(sed -n 's/.*peer=\([0-9]*\).*/\1/p' "$work/$1.out")\""
}
# status ADDRESS OPTION: prints the status page of a node.
status() {
	"$BIN/chutectl" status --node "$1" --token-file "$work/token" "$2"
}
# has_revision ADDRESS REVISION: whether this revision is in force on the node.
has_revision() {
	status "$1" --json >"$work/status" && grep -q "^    \"revision\": $2,\$" "$work/status"
}
# publish CONTEXT_TOKENS: publishes a document with this context size.
publish() {
	echo "{ \"models\": { \"m\": { \"context_tokens\": $1 } } }" >"$work/doc.json"
	"$BIN/chutectl" publish "$work/doc.json" --platform "$url" >"$work/publish.out" 2>&1
}
# all_have_revision "ADDRESS..." REVISION SECONDS: waits until the revision is in force on all
# nodes.
all_have_revision() {
	for a in $1; do
		wait_for "$3" has_revision "$a" "$2" || fail "$a is not at revision $2: $(cat "$work/status")"
	done
}

publish 1 || fail "first publish: $(cat "$work/publish.out")"
node one
node two
all_have_revision "$admin_one $admin_two" 1 5
publish 2
all_have_revision "$admin_one $admin_two" 2 3

# While the log is down, nobody can publish. Nodes keep the revision in force, and a new node gets
# it from its peers.
fault "$platform" '{"outage": 1}'
rc=0
"$BIN/chutectl" publish "$work/doc.json" --platform "$url" --timeout-ms 700 >/dev/null 2>&1 || rc=$?
[ "$rc" -eq 5 ] || fail "publish in an outage: exit code $rc"
node three
all_have_revision "$admin_one $admin_two $admin_three" 2 5
status "$admin_three" --json | grep -q '"source": "peer"' || fail "the new node did not get the configuration from a peer"
fault "$platform" '{"outage": 0}'
publish 3
all_have_revision "$admin_one $admin_two $admin_three" 3 10

# One node is killed; the node that replaces it starts with the revision in force.
kill -9 "$pid_two"
publish 4
node four
all_have_revision "$admin_one $admin_three $admin_four" 4 10

# A node is paused during two publications; after it is resumed, it catches up.
kill -STOP "$pid_three"
publish 5
publish 6
all_have_revision "$admin_one $admin_four" 6 10
kill -CONT "$pid_three"
all_have_revision "$admin_three" 6 10

"$BIN/chutectl" status --node "$admin_one" --token-file "$work/token" >"$work/page"
[ "$(awk 'length > 80' "$work/page" | wc -l)" -eq 0 ] || { cat "$work/page"; fail "the status page is wider than 80 columns"; }
grep -q 'revision 6 in force' "$work/page" || { cat "$work/page"; fail "the status page does not show revision 6"; }
"$BIN/chuteload" get "$admin_one" /metrics >"$work/metrics"
for line in 'bct_config_changes_total{verdict="accepted"} 6' 'bct_config_revision 6' \
	'bct_config_diverged 0'; do
	grep -qxF "$line" "$work/metrics" || fail "metrics: no '$line'"
done
echo nobody >"$work/wrong"
rc=0
"$BIN/chutectl" status --node "$admin_one" --token-file "$work/wrong" >/dev/null 2>&1 || rc=$?
[ "$rc" -eq 6 ] || fail "wrong token: exit code $rc"
for n in one two three four; do
	[ "$(sed -n 's/.*CONFIG_ADOPTED.*revision=\([0-9]*\).*/\1/p' "$work/$n.err" | sort -n)" = \
	  "$(sed -n 's/.*CONFIG_ADOPTED.*revision=\([0-9]*\).*/\1/p' "$work/$n.err")" ] ||
		fail "$n returned to a lower revision"
done
cat "$work/page"
echo "proc_config: passed"
