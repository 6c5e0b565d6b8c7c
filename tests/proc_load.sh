#!/bin/sh
# chuteload against an engine and a service without a router. A run without faults passes; each kind
# of faulty answer makes the run fail and is counted as what it is.
set -eu
. tests/lib_proc.sh

start engine fake-engine --decode-tokens-per-s 500 --honours-priority
engine=$addr
start service fake-service
service=$addr

cat >"$work/gen.json" <<EOT
{ // one class of streams
  "duration_ms": 400, "drain_ms": 3000, "engines": ["$engine"], "direct": true,
  "classes": [{ "name": "a", "model": "base", "rate": 50, "stream": true, "output_tokens": 10 }] }
EOT
cat >"$work/keyed.json" <<EOT
{ "duration_ms": 400, "drain_ms": 3000, "nodes": ["$service"], "services": ["$service"],
  "classes": [{ "name": "b", "service": "submit", "rate": 50, "keyed": true, "resends": 1 }] }
EOT

load() {
	"$BIN/chuteload" run "$@" >"$work/table" 2>"$work/load.err"
}
# must_fail FAULT TEXT SCENARIO: the run must fail and its table must contain the text.
must_fail() {
	if load "$3"; then
		cat "$work/table"
		fail "chuteload passed in spite of the fault: $1"
	fi
	grep -q "$2" "$work/table" || { cat "$work/table"; fail "$1: '$2' is not in the table"; }
}

load "$work/gen.json" --node "$engine" || fail "generation without faults: $(cat "$work/table")"
fault "$engine" '{"crossed": 1}'
must_fail crossed 'crossed 1' "$work/gen.json"
fault "$engine" '{"reset": 1, "reset_token": 4}'
must_fail reset 'cut 1' "$work/gen.json"
fault "$engine" '{"no_done": 1}'
must_fail "no end" 'cut 1' "$work/gen.json"
fault "$engine" '{"reset": 1, "reset_token": 1, "busy": 2}'
must_fail busy 'http_503=2' "$work/gen.json"

load "$work/keyed.json" || fail "service calls without faults: $(cat "$work/table")"
fault "$service" '{"reset_after": 1}'
must_fail "a call that ran twice" 'doubled 1' "$work/keyed.json"
fault "$service" '{"crossed": 1}'
load "$work/keyed.json" || fail "a mismatched attempt id alone must not fail the run"

echo '{"classes": [{"name": "a", "model": "m", "rate": 1, "colour": 2}]}' >"$work/bad.json"
rc=0
"$BIN/chuteload" check "$work/bad.json" 2>"$work/bad.err" || rc=$?
[ "$rc" -eq 2 ] || fail "unknown key: exit code $rc"
grep -q 'classes.0.colour: EUNKNOWN_KEY' "$work/bad.err" || fail "unknown key: $(cat "$work/bad.err")"
echo "proc_load: passed"
