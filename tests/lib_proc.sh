# Sourced by process tests and by examples/demo.sh: starts programs and stops them again by id.
# BIN names the folder of the programs.
BIN=${BIN:-build/bin}
work=$(mktemp -d)
pids=
node_pids=

# stop_pids PID...: stops processes of this script; what is not gone after 8 s is killed.
stop_pids() {
	for pid in "$@"; do
		kill "$pid" 2>/dev/null || true
	done
	(
		sleep 8 2>/dev/null
		for pid in "$@"; do
			kill -9 "$pid" 2>/dev/null && echo "$0: killed $pid, which did not stop" >&2
		done
	) </dev/null >/dev/null &
	killer=$!
	for pid in "$@"; do
		wait "$pid" 2>/dev/null || true
	done
	kill "$killer" 2>/dev/null || true
}

# Stops what this script started, also when it fails. Nodes go first: they finish in flight what
# needs the others.
stop_all() {
	stop_pids $node_pids
	stop_pids $pids
	rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 1' HUP INT PIPE TERM

fail() {
	echo "$0: $*" >&2
	for log in "$work"/*.err; do
		[ -s "$log" ] && { echo "--- $log" >&2; tail -20 "$log" >&2; }
	done
	exit 1
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds.
wait_for() {
	tries=$(($1 * 20))
	shift
	while ! "$@" >/dev/null 2>&1; do
		tries=$((tries - 1))
		[ "$tries" -gt 0 ] || return 1
		sleep 0.05
	done
}

# start NAME PROGRAM ARGS...: starts a stand-in; sets pid, and addr to 127.0.0.1:PORT.
start() {
	name=$1 program=$2
	shift 2
	"$BIN/$program" "$@" >"$work/$name.out" 2>"$work/$name.err" &
	pid=$!
	pids="$pids $pid"
	wait_for 5 grep -q '^listening' "$work/$name.out" || fail "$name did not start"
	addr=127.0.0.1:$(sed -n 's/^listening //p' "$work/$name.out")
}

# fault ADDRESS JSON: sets faults of a stand-in.
fault() {
	"$BIN/chuteload" post "$1" /admin/fault "$2" >/dev/null || fail "fault $2 at $1"
}

# BLAKE2b-256 of "demo-operator", the operators' token of these nodes.
operator_hash=7277fd166ceeb8b440a8bd05ad2bc6f017f665f243076d44dbd508f585c14c8d
seeds=
ready_wants='"ready":true,"keys_ready":true' # in the answer of /readyz

# start_backends: the platform, two engines and a service, and a configuration for them, published.
# Sets platform, engine1, engine2, service; the arguments go to both engines.
start_backends() {
	start platform fake-platform
	platform=$addr
	start engine1 fake-engine --model demo-7b --slots 8 --honours-priority --checks-fencing "$@"
	engine1=$addr
	start engine2 fake-engine --model demo-7b --slots 8 --honours-priority "$@"
	engine2=$addr
	start service fake-service --service-ms 5
	service=$addr
	sed -e "s/@ENGINE1_PORT@/${engine1#*:}/" -e "s/@ENGINE2_PORT@/${engine2#*:}/" \
		-e "s/@SERVICE1_PORT@/${service#*:}/" examples/demo.json >"$work/conf.json"
	audit="--engine $engine1 --engine $engine2 --service $service"
	printf demo-operator >"$work/token"
	publish "$work/conf.json"
}

# publish FILE: makes a document the configuration.
publish() {
	"$BIN/chutectl" publish "$1" --platform "http://$platform" --author demo \
		>"$work/publish.out" 2>&1 || fail "publish: $(cat "$work/publish.out")"
}

# ctl NODE_ADMIN COMMAND...: an operator's command to one node.
ctl() {
	to=$1
	shift
	"$BIN/chutectl" "$@" --node "$to" --token-file "$work/token"
}

# ready: the node that was started last has a configuration and its key history.
ready() {
	"$BIN/chuteload" get "$admin" /readyz | grep -q "$ready_wants"
}

# start_node NAME [DOMAIN]: starts chuted; sets pid, caller (its address for callers) and admin.
# Nodes started later join by those started earlier.
start_node() {
	name=$1
	cat >"$work/$name.json" <<EOT
{
	"vm": { "name": "$name", "failure_domain": "${2:-demo-a}", "region": "demo" },
	"caller": { "address": "127.0.0.1", "port": 0, "entry_lifetime_ms": 500 },
	"admin": { "port": 0, "token_hash": "$operator_hash" },
	"peer": { "port": 0, "secret": "demo-secret-of-the-fleet", "seeds": [$seeds] },
	"keys": { "flush_ms": 1000 },
	"platform": { "url": "http://$platform", "poll_ms": 500 }
}
EOT
	"$BIN/chuted" --config "$work/$name.json" >"$work/$name.out" 2>"$work/$name.err" &
	pid=$!
	node_pids="$node_pids $pid"
	wait_for 10 grep -q '^listening' "$work/$name.out" || fail "$name did not start"
	caller=127.0.0.1:$(sed -n 's/.*caller=\([0-9]*\).*/\1/p' "$work/$name.out")
	admin=127.0.0.1:$(sed -n 's/.*admin=\([0-9]*\).*/\1/p' "$work/$name.out")
	seeds="${seeds:+$seeds, }\"127.0.0.1:$(sed -n 's/.*peer=\([0-9]*\).*/\1/p' "$work/$name.out")\""
	wait_for 10 ready || fail "$name is not ready"
}

# load SCENARIO OPTIONS...: runs the load tool; its table goes to $work/table.
load() {
	scenario=$1
	shift
	"$BIN/chuteload" run "$scenario" $audit "$@" >"$work/table" 2>"$work/load.err"
}

# must_pass WHAT SCENARIO OPTIONS...: the load passes its audits.
must_pass() {
	what=$1
	shift
	load "$@" || fail "$what: $(cat "$work/table" "$work/load.err")"
}

# column CLASS N: one column of the last table: 3 requests, 4 whole, 10 refused, 11 doubt.
column() {
	awk -v class="$1" -v n="$2" '$1 == class { print $n }' "$work/table"
}

# number ADDRESS PATH KEY: one number of a JSON answer.
number() {
	"$BIN/chuteload" get "$1" "$2" | sed -n "s/.*\"$3\": *\([0-9]*\).*/\1/p"
}

# expect CODE COMMAND...: runs chutectl, its output goes to $work/out.
expect() {
	want=$1
	shift
	rc=0
	"$BIN/chutectl" "$@" >"$work/out" 2>"$work/ctl.err" || rc=$?
	[ "$rc" -eq "$want" ] || { cat "$work/out"; fail "chutectl $*: exit code $rc, not $want"; }
}
# says TEXT: that is in the output of the last expect.
says() {
	grep -q "$1" "$work/out" "$work/ctl.err" || { cat "$work/out"; fail "no '$1'"; }
}
