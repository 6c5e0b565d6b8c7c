# Sourced by process tests and by examples/demo.sh: starts programs and stops them again by id.
# BIN names the folder of the programs.
BIN=${BIN:-build/bin}
work=$(mktemp -d)
pids=

# Stops what this script started, also when it fails.
stop_all() {
	for pid in $pids; do
		kill "$pid" 2>/dev/null || true
	done
	for pid in $pids; do
		wait "$pid" 2>/dev/null || true
	done
	rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 1' INT TERM

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
