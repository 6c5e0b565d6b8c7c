#!/bin/sh
# fault_cell.sh STEP FAULT [SEED]: runs one cell of the fault matrix on processes of its own. FAULT
# is injected 800 ms into a mixed load on two nodes, which is set up so that most requests are at
# STEP by then.
# A fault that ends in +log is injected during an outage of the log. Prints
# "STEP|FAULT|VERDICT|counts of requests". With VERBOSE set, prints chuteload's table to stderr.
set -eu
step=$1 fault=$2 seed=${3:-1}
. tests/lib_proc.sh

tokens=40 engine_options="--decode-tokens-per-s 80" run_options=
case $step in
queued) engine_options="--decode-tokens-per-s 80 --max-waiting 4" tokens=120 ;;
first-token) engine_options="--decode-tokens-per-s 80 --prefill-tokens-per-s 400" ;;
mid-stream) tokens=100 ;;
last-token) tokens=2 ;;
esac
case $fault in
node-kill*) run_options=--node-dies ;;
esac

# Sets delays of the stand-ins that keep requests at the step.
arrange() {
	case $step in
	intent) fault "$platform" '{"slow_ms": 300}' ;;
	outcome) fault "$platform" '{"slow_after_ms": 300}' ;;
	sent)
		fault "$engine1" '{"late": 1000, "late_ms": 400}'
		fault "$engine2" '{"late": 1000, "late_ms": 400}'
		fault "$service" '{"slow_ms": 400}'
		;;
	accepted | queued | first-token | mid-stream | last-token) ;;
	*) fail "unknown step $step" ;;
	esac
}

# inject FAULT: injects a fault; returns after it has ended if it is one of limited time.
inject() {
	case $1 in
	none) ;;
	engine-crash) fault "$engine1" '{"crash_ms": 500}' ;;
	engine-hang) fault "$engine1" '{"hang": 1}' ;;
	engine-straggle) fault "$engine1" '{"slow_percent": 800}' ;;
	engine-reset) fault "$engine1" '{"reset": 4, "reset_token": 2}' ;;
	engine-wrong) fault "$engine1" '{"wrong": 4}' ;;
	engine-crossed) fault "$engine1" '{"crossed": 4}' ;;
	engine-late) fault "$engine1" '{"late": 4, "late_ms": 3000}' ;;
	engine-twice) fault "$engine1" '{"crash_ms": 300}' && sleep 0.6 && fault "$engine2" '{"crash_ms": 300}' ;;
	service-reset) fault "$service" '{"reset_after": 2}' ;;
	service-hang) fault "$service" '{"hang": 2}' ;;
	node-kill) kill -9 "$n1_pid" ;;
	node-pause) kill -STOP "$n1_pid" && sleep 3 && kill -CONT "$n1_pid" ;;
	node-stop) kill "$n1_pid" ;;
	log-down) fault "$platform" '{"outage": 1}' && sleep 2 && fault "$platform" '{"outage": 0}' ;;
	log-slow) fault "$platform" '{"slow_ms": 1000}' && sleep 2 && fault "$platform" '{"slow_ms": 0}' ;;
	log-answers-lost) fault "$platform" '{"lose_answers": 8}' ;;
	log-expired) fault "$platform" '{"expire_below": 3}' ;;
	vms-stale) "$BIN/chuteload" post "$platform" /admin/vms '[]' >/dev/null ;;
	*+log) fault "$platform" '{"outage": 1}' && inject "${1%+log}" && sleep 2 && fault "$platform" '{"outage": 0}' ;;
	*) fail "unknown fault $1" ;;
	esac
}

start_backends $engine_options
start_node n1 demo-a
n1=$caller n1_pid=$pid
start_node n2 demo-b
cat >"$work/cell.json" <<EOT
{ "seed": $seed, "duration_ms": 1600, "drain_ms": 33000, "entries": ["$n1", "$caller"],
  "classes": [
    { "name": "draft", "tier": 1, "model": "demo-7b", "token": "demo-token-claims", "rate": 6,
      "stream": true, "output_tokens": $tokens, "resends": 5 },
    { "name": "archive", "tier": 5, "model": "demo-7b", "token": "demo-token-claims", "rate": 6,
      "stream": true, "output_tokens": $tokens, "resends": 5, "leave_permille": 200,
      "leave_ms": 600 },
    { "name": "notes", "tier": 3, "model": "demo-7b", "token": "demo-token-repairs", "rate": 3,
      "output_tokens": $tokens, "resends": 5 },
    { "name": "book", "tier": 1, "service": "booking/slot", "token": "demo-token-repairs",
      "rate": 8, "keyed": true, "resends": 5 },
    { "name": "unkeyed", "class": "book", "tier": 1, "service": "booking/slot",
      "token": "demo-token-repairs", "rate": 3 }] }
EOT
arrange
(sleep 0.8 && inject "$fault") >"$work/inject.out" 2>&1 &
injector=$!
pids="$pids $injector"
verdict=held
load "$work/cell.json" $run_options || verdict=BROKEN
wait "$injector" || fail "fault injection failed: $(cat "$work/inject.out")"
if [ "$fault" = node-stop ]; then
	wait "$n1_pid" || verdict=BROKEN
fi
if [ -n "${VERBOSE:-}" ]; then cat "$work/table" >&2; fi
seen=$(awk 'NR > 1 && $1 ~ /^(draft|archive|notes|book|unkeyed)$/ { n += $3; ok += $4; no += $10; un += $11 }
	END { printf "%d requests: %d complete, %d refused, %d in doubt", n, ok, no, un }' "$work/table")
faults=$(sed -n 's/^FAULT //p' "$work/table" | tr '\n' ';')
echo "$step|$fault|$verdict|$seen${faults:+. $faults}"
