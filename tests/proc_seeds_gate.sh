#!/bin/sh
# Gateways that start with seeds that are gone find each other once their settings files name live
# ones, with SIGHUP and without it. They used to keep the seeds of their start, and each judged
# crashing requests and counted the fleet's limits by itself.
set -eu
. tests/lib_proc.sh
net=127.78.$(($$ / 80 % 250 + 1)) # its own, also beside other runs of this script
host=$(($$ % 80 * 3 + 1)) # of the first gateway
callers=18200 resolve=18201 readiness=18202 admin_port=18203 relay=18204 peer=18205 share=18206

# settings NAME IP SEED...: writes the settings file of a gateway, in one step.
settings() {
	name=$1 ip=$2
	shift 2
	list=$(printf ', "%s"' "$@")
	cat >"$work/$name.new" <<T
{
	"vm": { "name": "$name", "failure_domain": "z", "region": "r" },
	"caller": { "address": "$ip", "entry_lifetime_ms": 300 },
	"admin": { "address": "$ip", "port": $admin_port },
	"peer": { "address": "$ip", "port": $peer, "secret": "seeds-seeds-seeds-s",
		"seeds": [${list#, }] },
	"platform": { "url": "$backend", "timeout_ms": 500, "poll_ms": 300 },
	"gate": { "listen": "$ip:$callers", "resolve": "$ip:$resolve", "readiness": "$ip:$readiness",
		"relay_port": $relay, "share_port": $share, "grace_ms": 2000 },
	"log": { "format": "json", "level": "info", "lines_per_s": 100 }
}
T
	mv "$work/$name.new" "$work/$name.json"
}

# start_gateway NAME IP: sets pid.
start_gateway() {
	"$BIN/chutegate" --config "$work/$1.json" >"$work/$1.log" 2>"$work/$1.err" &
	pid=$!
	node_pids="$node_pids $pid"
	wait_for 10 "$BIN/chuteload" get "$2:$readiness" /api/readiness || fail "$1 did not start"
}

# lists IP N: whether callers of a gateway are told N addresses.
lists() {
	[ "$("$BIN/chuteload" get "$1:$resolve" "/api/resolution?name=h&region=r&zone=z" |
		grep -o ":$callers\"" | wc -l)" -eq "$2" ]
}

gone=$net.250
start backend crowd-backend
backend=$addr
a=$net.$host b=$net.$((host + 1)) c=$net.$((host + 2))
settings g0 "$a" "$gone:1" "$gone:2"
settings g1 "$b" "$gone:1" "$gone:2"
settings g2 "$c" "$gone:1"
start_gateway g0 "$a"
start_gateway g1 "$b"
b_pid=$pid
start_gateway g2 "$c"
for ip in $a $b $c; do
	lists $ip 1 || fail "$ip is not alone"
done

settings g1 "$b" "$gone:1" "$a:1"
kill -HUP "$b_pid"
wait_for 15 lists "$a" 2 || fail "new seeds with SIGHUP are not used"
wait_for 15 lists "$b" 2 || fail "new seeds with SIGHUP are not used by the node itself"

settings g2 "$c" "$b:1"
wait_for 15 lists "$a" 3 || fail "a settings file that changed without a signal is not read"
wait_for 15 lists "$c" 3 || fail "a settings file that changed without a signal is not read by the node itself"
# The checks below compare with this list, which each node updates in its own time.
wait_for 15 lists "$b" 3 || fail "the seed itself does not list the node that joined through it"

# A file that can't be used leaves the node as it is.
echo '{' >"$work/g1.json"
kill -HUP "$b_pid"
wait_for 5 grep -q SETTINGS_KEPT "$work/g1.log" || fail "a broken settings file is not reported"
lists "$b" 3 || fail "a broken settings file changed the fleet"
settings g1 "$b" "no address"
wait_for 5 sh -c "[ \$(grep -c SETTINGS_KEPT '$work/g1.log') -ge 2 ]" ||
	fail "seeds that are no addresses are not reported"
lists "$b" 3 || fail "seeds that are no addresses changed the fleet"
kill -0 "$b_pid" || fail "g1 ended"
echo "proc_seeds_gate: passed"
