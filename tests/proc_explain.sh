#!/bin/sh
# chutectl explain: finds a request by its id in the logs of several nodes and explains its outcome.
set -eu
. tests/lib_proc.sh

silent_on() {
	! grep -q "$1" "$work/out" || { cat "$work/out"; fail "there is '$1'"; }
}

cat >"$work/a.log" <<'LOG'
   1.2 a {"time_ms":1000000,"vm":"a","level":"info","event":413,"name":"GATE_REQUEST_FAILED","request":"over","how":"OVERLOAD","status":503,"version":9,"registry_age_ms":81,"upstream":"","attempts":0,"predicted_wait_ms":1865,"predicted_work_ms":154,"first_byte_limit_ms":900,"overload_permille":700}
   1.3 a {"time_ms":1000900,"vm":"a","level":"info","event":510,"name":"UPSTREAM_PRESENCE","upstream":"i-1","presence":4}
   1.3 a {"time_ms":1000901,"vm":"a","level":"info","event":510,"name":"UPSTREAM_PRESENCE","upstream":"i-9","presence":4}
   1.4 a {"time_ms":1001000,"vm":"a","level":"info","event":413,"name":"GATE_REQUEST_FAILED","request":"lost","how":"UNKNOWN_OUTCOME","status":502,"version":9,"registry_age_ms":5000,"upstream":"i-1","attempts":1,"fault":2,"total_ms":1}
   1.4 a {"time_ms":1000999,"vm":"a","level":"info","event":412,"name":"GATE_ATTEMPT_FAILED","request":"lost","what":"broken","upstream":"i-1","attempts":1,"again":0,"ms":1}
a line of something else
   1.5 a {"time_ms":1001100,"vm":"a", cut short
LOG
cat >"$work/b.log" <<'LOG'
{"time_ms":1000950,"vm":"b","level":"info","event":510,"name":"UPSTREAM_PRESENCE","upstream":"i-1","presence":2}
{"time_ms":1000960,"vm":"b","level":"info","event":413,"name":"GATE_REQUEST_FAILED","request":"cut","how":"CUT","status":504,"version":4,"registry_age_ms":829,"upstream":"i-7","attempts":1,"first_byte_ms":78,"total_ms":3652,"events":13}
{"time_ms":1000970,"vm":"b","level":"info","event":412,"name":"GATE_ATTEMPT_FAILED","request":"runs","what":"silent","upstream":"i-3","attempts":1,"again":1,"ms":400}
LOG

expect 0 explain over "$work/a.log" "$work/b.log"
says 'cause: The fleet had no capacity: the best upstream had a predicted wait of 1865 ms and prefill of 154 ms, over the limit of 900 ms'
says 'unreadable lines: 1'

expect 0 explain lost "$work/a.log" "$work/b.log"
says 'cause: It was sent to i-1 and the response was lost'
says 'An attempt at i-1 failed (broken) at 1 ms'
says 'The presence of i-1 changed to gone'
says 'registry data was 5000 ms old'
silent_on 'i-9'
silent_on ' b UPSTREAM_PRESENCE'
[ "$(grep -n GATE_ATTEMPT_FAILED "$work/out" | cut -d: -f1)" -lt \
	"$(grep -n GATE_REQUEST_FAILED "$work/out" | cut -d: -f1)" ] || fail "lines out of order"

expect 0 explain cut "$work/b.log"
says "began after 78 ms and was truncated after 13 events and 3652 ms: the request's deadline passed"

expect 0 explain runs "$work/b.log"
says 'No line states how it ended'
says 'An attempt at i-3 failed (silent) at 400 ms'

expect 0 explain over --json "$work/a.log"
says '"unreadable": 1'
says '"cause": "The fleet had no capacity'

"$BIN/chutectl" explain cut <"$work/b.log" >"$work/out" || fail "from standard input"
says 'was truncated after 13 events'

expect 6 explain nobody "$work/a.log"
says 'request nobody not found in 7 log lines'
expect 2 explain over "$work/missing.log"
expect 1 explain
echo "explain: the causes of five requests were found"
