#!/bin/sh
# chuted refuses invalid settings with exit code 2 and an error line: the event number, the place in
# the file and what is allowed.
set -eu
. tests/lib_proc.sh

valid='"vm": {"name": "n", "failure_domain": "a", "region": "r"}, "caller": {"address": "127.0.0.1"}'
# refused NAME CONTENT PATTERN: the settings must be refused, and the error line must match the
# pattern.
refused() {
	printf '%s' "$2" >"$work/$1.json"
	rc=0
	"$BIN/chuted" --check --config "$work/$1.json" >"$work/out" 2>&1 || rc=$?
	[ "$rc" -eq 2 ] || fail "$1: exit code $rc"
	grep -q "event=103 $work/$1.json:$3" "$work/out" || fail "$1: $(cat "$work/out")"
}

printf '{ // settings\n%s /* all */ }' "$valid" >"$work/valid.json"
"$BIN/chuted" --check --config "$work/valid.json" || fail "valid settings were refused"
refused syntax "{
$valid, x }" "2:"
refused duplicate "{ \"log\": {}, \"log\": {}, $valid }" "1:"
refused unknown "{ \"colour\": 1, $valid }" " colour: EUNKNOWN_KEY"
refused unknown_in_group "{ \"log\": {\"colour\": 1}, $valid }" " log.colour: EUNKNOWN_KEY"
refused type "{ \"policy\": {\"max_queued\": \"x\"}, $valid }" " policy.max_queued: ETYPE: must be an integer"
refused range "{ \"policy\": {\"max_queued\": 1}, $valid }" " policy.max_queued: ERANGE: 1 is not within 16 to 1000000"
refused missing "{ \"vm\": {\"name\": \"n\"} }" " vm.failure_domain: EMISSING_KEY"
refused meaning "{ \"log\": {\"level\": \"loud\"}, $valid }" " log.level: ERANGE: must be error, warn, info or debug"
refused deep "{ \"log\": [[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]], $valid }" " ETOO_DEEP"
head -c 1100000 /dev/zero | tr '\0' ' ' >"$work/large.txt"
refused large "$(cat "$work/large.txt")1" " ETOO_LARGE"
rc=0
"$BIN/chuted" --check --config "$work/none.json" 2>"$work/out" || rc=$?
[ "$rc" -eq 2 ] || fail "missing file: exit code $rc"
echo "proc_settings: passed"
