#!/bin/sh
# bench/log_table.sh counts requests with a prompt by route and time, and refuses bad input with exit
# code 2 and one line, so that an experiment is not read as one in which nothing happened.
set -eu
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
fail() {
	echo "FAIL: $1"
	exit 1
}
cat >"$work/a.log" <<'LOG'
   0.100 a {"time_ms":1000,"name":"GATE_REQUEST_ENDED","request":"1","how":"OK","route":"r","attempts":1,"prompt_tokens":1000,"cached_tokens":250,"copied_from":"","predicted_wait_ms":10,"predicted_work_ms":20,"first_byte_limit_ms":0,"first_byte_ms":40}
   0.200 a {"time_ms":1100,"name":"GATE_REQUEST_ENDED","request":"2","how":"OK","route":"r","attempts":1,"prompt_tokens":1000,"cached_tokens":750,"copied_from":"e1","predicted_wait_ms":30,"predicted_work_ms":40,"first_byte_limit_ms":0,"first_byte_ms":60}
   2.500 b {"time_ms":3400,"name":"GATE_REQUEST_FAILED","request":"3","how":"OVERLOAD","route":"r","attempts":0,"prompt_tokens":1000,"cached_tokens":0,"copied_from":"","predicted_wait_ms":900,"predicted_work_ms":50,"first_byte_limit_ms":600,"first_byte_ms":-1}
   2.600 b {"time_ms":3500,"name":"GATE_REQUEST_FAILED","request":"4","how":"CUT","route":"r","attempts":1,"prompt_tokens":0}
a line of something else
LOG
out=$(sh bench/log_table.sh "$work/a.log" 2 | tr -s ' ')
echo "$out" | grep -q '^ 0.0 r 2 0 0 | 20 30 0.50 0.50 50 | 0 0 0$' || fail "first two seconds: $out"
echo "$out" | grep -q '^ 2.0 r 0 1 0 | 0 0 0.00 0.00 0 | 900 50 600$' || fail "next two seconds: $out"
[ "$(echo "$out" | wc -l)" -eq 3 ] || fail "a request without a prompt was counted: $out"
echo nothing >"$work/empty.log"
for args in "$work/none.log" "$work/empty.log" "$work/a.log 0" "$work/a.log x" "$work/a.log 1 2" ""; do
	rc=0
	# shellcheck disable=SC2086
	err=$(sh bench/log_table.sh $args 2>&1 >/dev/null) || rc=$?
	[ "$rc" -eq 2 ] || fail "'$args': exit code $rc"
	[ "$(echo "$err" | wc -l)" -eq 1 ] || fail "'$args': $err"
done
echo PASS
