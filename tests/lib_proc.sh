# Shell functions for the process tests, the scripts in bench/ and examples/demo.sh, which source
# this file. They start programs, and stop them by process id when the script ends. BIN is the
# folder of the programs. $work is a temporary folder that is removed at the end.
BIN=${BIN:-build/bin}
work=$(mktemp -d)
pids=
node_pids=

# stop_pids PID...: terminates processes of this script and waits for them. One that still runs
# after 8 s is killed.
stop_pids() {
	for pid in "$@"; do
		kill "$pid" 2>/dev/null || true
	done
	(
		sleep 8 2>/dev/null
		for pid in "$@"; do
			kill -9 "$pid" 2>/dev/null && echo "$0: killed process $pid, which did not stop within 8 s" >&2
		done
	) </dev/null >/dev/null &
	kill_timer=$!
	for pid in "$@"; do
		wait "$pid" 2>/dev/null || true
	done
	kill "$kill_timer" 2>/dev/null || true
}

# Stops all processes of this script, also when it fails. Nodes are stopped first, because they need
# the other programs to finish their requests in flight.
stop_all() {
	stop_pids $node_pids
	stop_pids $pids
	rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 1' HUP INT PIPE TERM

# fail TEXT...: prints the text and the ends of all error logs, and exits with 1.
fail() {
	echo "$0: $*" >&2
	for log in "$work"/*.err; do
		[ -s "$log" ] && { echo "--- $log" >&2; tail -20 "$log" >&2; }
	done
	exit 1
}

# wait_for SECONDS COMMAND...: runs the command every 50 ms until it succeeds. Returns 1 after
# SECONDS, not counting the time that the command takes.
wait_for() {
	tries=$(($1 * 20))
	shift
	while ! "$@" >/dev/null 2>&1; do
		tries=$((tries - 1))
		[ "$tries" -gt 0 ] || return 1
		sleep 0.05
	done
}

# start NAME PROGRAM ARGS...: starts a stand-in and waits until it listens. Sets pid, and addr to
# 127.0.0.1:PORT.
start() {
	name=$1 program=$2
	shift 2
	"$BIN/$program" "$@" >"$work/$name.out" 2>"$work/$name.err" &
	pid=$!
	pids="$pids $pid"
	wait_for 5 grep -q '^listening' "$work/$name.out" || fail "$name did not start"
	addr=127.0.0.1:$(sed -n 's/^listening //p' "$work/$name.out")
}

# fault ADDRESS JSON: makes a stand-in inject faults.
fault() {
	"$BIN/chuteload" post "$1" /admin/fault "$2" >/dev/null || fail "could not set fault $2 at $1"
}

# BLAKE2b-256 of "demo-operator", the operator token of the nodes.
operator_hash=7277fd166ceeb8b440a8bd05ad2bc6f017f665f243076d44dbd508f585c14c8d
seeds=
ready_pattern='"ready":true,"keys_ready":true' # in the answer of /readyz

# start_backends ARGS...: starts stand-ins for the platform, two engines and a service, and
# publishes a configuration for them. The arguments go to both engines. Sets platform, engine1,
# engine2 and service to their addresses, and audit to the options of chuteload run that name them.
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

# publish FILE: publishes a configuration document.
publish() {
	"$BIN/chutectl" publish "$1" --platform "http://$platform" --author demo \
		>"$work/publish.out" 2>&1 || fail "publish failed: $(cat "$work/publish.out")"
}

# ctl ADMIN_ADDRESS COMMAND...: runs a chutectl command on one node.
ctl() {
	to=$1
	shift
	"$BIN/chutectl" "$@" --node "$to" --token-file "$work/token"
}

# ready: the node that was started last has a configuration and has read the key history.
ready() {
	"$BIN/chuteload" get "$admin" /readyz | grep -q "$ready_pattern"
}

# start_node NAME [FAILURE_DOMAIN]: starts chuted and waits until it is ready. Sets pid, and caller
# and admin to its addresses for callers and operators. The nodes started before it are its seeds.
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

# load SCENARIO OPTIONS...: runs chuteload; its table goes to $work/table. Fails if an audit fails.
load() {
	scenario=$1
	shift
	"$BIN/chuteload" run "$scenario" $audit "$@" >"$work/table" 2>"$work/load.err"
}

# must_pass WHAT SCENARIO OPTIONS...: runs chuteload and fails the script unless all audits pass.
must_pass() {
	what=$1
	shift
	load "$@" || fail "$what: $(cat "$work/table" "$work/load.err")"
}

# column CLASS N: column N of a class in the last table: 3 requests, 4 whole (answered completely),
# 10 refused, 11 doubt (requests whose outcome is unknown).
column() {
	awk -v class="$1" -v n="$2" '$1 == class { print $n }' "$work/table"
}

# number ADDRESS PATH KEY: gets a JSON answer and prints the number under the key.
number() {
	"$BIN/chuteload" get "$1" "$2" | sed -n "s/.*\"$3\": *\([0-9]*\).*/\1/p"
}

# expect_exit CODE COMMAND...: runs a chutectl command, which must exit with the code. Its output
# goes to $work/out and $work/ctl.err.
expect_exit() {
	wanted_code=$1
	shift
	rc=0
	"$BIN/chutectl" "$@" >"$work/out" 2>"$work/ctl.err" || rc=$?
	[ "$rc" -eq "$wanted_code" ] || { cat "$work/out"; fail "chutectl $*: exit code $rc, not $wanted_code"; }
}

# output_has PATTERN: the output of the last chutectl command must match the pattern.
output_has() {
	grep -q "$1" "$work/out" "$work/ctl.err" || { cat "$work/out"; fail "'$1' is not in the output"; }
}
