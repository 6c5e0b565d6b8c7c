#!/bin/sh
# chutectl explain finds a request by its id in the logs of several nodes and explains how it ended.
set -eu
. tests/lib_proc.sh

# output_lacks PATTERN: the output of the last command must not match the pattern.
output_lacks() {
	! grep -q "$1" "$work/out" || { cat "$work/out"; fail "'$1' is in the output"; }
}

cat >"$work/a.log" <<'LOG'
   1.2 a {"time_ms":1000000,"vm":"a","level":"info","event":413,"name":"GATE_REQUEST_FAILED","request":"over","how":"OVERLOAD","status":503,"version":9,"registry_age_ms":81,"upstream":"","attempts":0,"predicted_wait_ms":1865,"predicted_work_ms":154,"first_byte_limit_ms":900,"overload_permille":700,"ahead_permille":620,"predicted_output_ms":7400}
   1.3 a {"time_ms":1000900,"vm":"a","level":"info","event":510,"name":"UPSTREAM_PRESENCE","upstream":"i-1","presence":4}
   1.3 a {"time_ms":1000901,"vm":"a","level":"info","event":510,"name":"UPSTREAM_PRESENCE","upstream":"i-9","presence":4}
   1.3 a {"time_ms":1000902,"vm":"a","level":"info","event":514,"name":"UPSTREAMS_READY","count":2,"upstreams":"i-7,i-1","within_ms":500}
   1.3 a {"time_ms":1000903,"vm":"a","level":"info","event":514,"name":"UPSTREAMS_READY","count":2,"upstreams":"i-8,i-9","within_ms":500}
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
cat >"$work/c.log" <<'LOG'
{"time_ms":1000100,"vm":"c","level":"info","event":511,"name":"UPSTREAM_LIMIT","upstream":"i-4","request":"early","named":1,"limit_mrps":1300,"age_ms":0,"owner":0,"share_mrps":0}
{"time_ms":1000200,"vm":"c","level":"info","event":513,"name":"UPSTREAM_PAUSED","upstream":"i-5","request":"other","pause_ms":2000}
{"time_ms":1000960,"vm":"c","level":"info","event":413,"name":"GATE_REQUEST_FAILED","request":"limit","how":"LIMITED","status":503,"version":4,"registry_age_ms":829,"upstream":"","attempts":0,"limited":2,"limited_ms":1240}
{"time_ms":1000970,"vm":"c","level":"info","event":413,"name":"GATE_REQUEST_FAILED","request":"never","how":"LIMITED","status":503,"version":4,"registry_age_ms":829,"upstream":"","attempts":0,"limited":1,"limited_ms":4294967295}
LOG

expect_exit 0 explain over "$work/a.log" "$work/b.log"
output_has 'cause: The fleet had no capacity: the best upstream had a predicted wait of 1865 ms and prefill of 154 ms, against a limit of 900 ms (overload 700 permille). Of the wait only work that is as urgent counts: 620 permille. Its output was predicted to take 7400 ms more; it is refused if it can.t end before the deadline. It did not run.'
output_has 'unreadable lines: 1'

expect_exit 0 explain lost "$work/a.log" "$work/b.log"
output_has 'cause: It was sent to i-1 and the response was lost'
output_has 'An attempt at i-1 failed (broken) at 1 ms'
output_has 'The presence of i-1 changed to gone'
output_has 'registry data was 5000 ms old'
output_lacks 'i-9'
output_has 'UPSTREAMS_READY count=2 upstreams=i-7,i-1'
output_lacks ' b UPSTREAM_PRESENCE'
[ "$(grep -n GATE_ATTEMPT_FAILED "$work/out" | cut -d: -f1)" -lt \
	"$(grep -n GATE_REQUEST_FAILED "$work/out" | cut -d: -f1)" ] || fail "lines are not in order of time"

expect_exit 0 explain cut "$work/b.log"
output_has "began after 78 ms and was truncated after 13 events and 3652 ms: the request's deadline passed"

expect_exit 0 explain limit "$work/a.log" "$work/c.log"
output_has 'It was not run: the limits or pauses that 2 upstreams of its service had named allowed no request of this node for 1240 ms more'
output_has 'UPSTREAM_LIMIT upstream=i-4'
output_has 'UPSTREAM_PAUSED upstream=i-5'
expect_exit 0 explain never "$work/c.log"
output_has 'which sends no part of them'

expect_exit 0 explain runs "$work/b.log"
output_has 'No line states how it ended'
output_has 'An attempt at i-3 failed (silent) at 400 ms'

expect_exit 0 explain over --json "$work/a.log"
output_has '"unreadable": 1'
output_has '"cause": "The fleet had no capacity'

"$BIN/chutectl" explain cut <"$work/b.log" >"$work/out" || fail "chutectl explain failed on standard input"
output_has 'was truncated after 13 events'

# Streams that are taken up, and requests that go through another node.
cat >"$work/d.log" <<'LOG'
{"time_ms":1000100,"vm":"d","level":"warn","event":425,"name":"REACH_LOST","service":"model","upstream":"i-2","failed":3}
{"time_ms":1000200,"vm":"d","level":"info","event":424,"name":"GATE_ORIGIN","request":"again","resumes":"first","source":"none","age_ms":0,"began_software":"","rounds":2,"ms":121}
{"time_ms":1000201,"vm":"d","level":"info","event":413,"name":"GATE_REQUEST_FAILED","request":"again","how":"ORIGIN_UNKNOWN","status":503,"version":4,"resumes":"first","began_software":"","upstream":"","attempts":0}
{"time_ms":1000300,"vm":"d","level":"info","event":413,"name":"GATE_REQUEST_FAILED","request":"late","how":"RELEASE_GONE","status":503,"version":4,"resumes":"first","began_software":"v1.1","upstream":"","attempts":0}
{"time_ms":1000400,"vm":"d","level":"info","event":427,"name":"GATE_RELAYED","request":"far","helper":"e","cut":1,"helpers":1}
{"time_ms":1000402,"vm":"e","level":"info","event":413,"name":"GATE_REQUEST_FAILED","request":"far","how":"UNKNOWN_OUTCOME","status":502,"version":4,"upstream":"i-3","attempts":1,"relayed":1}
{"time_ms":1000403,"vm":"d","level":"info","event":413,"name":"GATE_REQUEST_FAILED","request":"far","how":"UNKNOWN_OUTCOME","status":502,"version":4,"upstream":"e","attempts":0,"helpers":1}
LOG
expect_exit 0 explain again "$work/d.log"
output_has 'It takes up the stream of first, and neither this node nor those that it asked knew'
output_has 'REACH_LOST service=model'
expect_exit 0 explain late "$work/d.log"
output_has 'which software v1.1 had begun, and no upstream with that version was accepting work'
expect_exit 0 explain far "$work/d.log"
output_has 'd reached no upstream of its service (event 425) and sent it through e'

# The duties: window 100 is in time; 101 is late, as the holder was killed; 102 fails twice; 104 and 105
# are given up; 103 is named by no line. Each cause must come from the lines of its own time.
cat >"$work/f.log" <<'LOG'
{"time_ms":2004100,"vm":"f","level":"info","event":817,"name":"DUTY_REPORT","window":100,"accounts":2,"requests":41,"error":"OK","age_ms":4100,"tries":0,"token":7,"took_ms":9}
{"time_ms":2020000,"vm":"f","level":"warn","event":818,"name":"DUTY_REPORT_FAILED","window":102,"accounts":2,"requests":7,"error":"EUNKNOWN_OUTCOME","age_ms":9000,"tries":0,"token":11,"took_ms":1500}
{"time_ms":2020600,"vm":"f","level":"warn","event":818,"name":"DUTY_REPORT_FAILED","window":102,"accounts":2,"requests":7,"error":"EBUDGET","age_ms":9600,"tries":1,"token":12,"took_ms":4}
{"time_ms":2030000,"vm":"f","level":"info","event":817,"name":"DUTY_REPORT","window":106,"accounts":1,"requests":1,"error":"OK","age_ms":4200,"tries":0,"token":14,"took_ms":9}
{"time_ms":2090000,"vm":"f","level":"error","event":819,"name":"DUTY_REPORT_LOST","first":104,"last":105,"tries":0}
{"time_ms":2040000,"vm":"f","level":"warn","event":814,"name":"DUTY_STORE_DOWN","error":"EUNAVAILABLE","took_ms":1500,"act":2}
LOG
cat >"$work/g.log" <<'LOG'
{"time_ms":2010000,"vm":"g","level":"info","event":810,"name":"DUTY_ACQUIRED","token":9,"revision":4,"decided":100,"reports":0,"services":1}
{"time_ms":2016200,"vm":"g","level":"info","event":817,"name":"DUTY_REPORT","window":101,"accounts":2,"requests":40,"error":"OK","age_ms":11200,"tries":0,"token":9,"took_ms":9}
{"time_ms":2016900,"vm":"g","level":"warn","event":811,"name":"DUTY_LOST","token":9,"why":"not renewed in time","holder":"00000000000000ff"}
{"time_ms":2050000,"vm":"g","level":"info","event":823,"name":"DUTY_ORDER","service":"chat","domain":"z1","kind":"standard","engines":2,"present":3,"demand_permille":900,"demand_age_ms":80,"refused_permille":0,"reason":"idle","error":"OK","tries":0,"token":20,"took_ms":5}
{"time_ms":2050100,"vm":"g","level":"warn","event":824,"name":"DUTY_ORDER_FAILED","service":"chat","domain":"z2","kind":"spot","engines":4,"present":1,"demand_permille":2900,"demand_age_ms":80,"refused_permille":20,"reason":"demand","error":"EFENCED","tries":0,"token":20,"took_ms":5}
{"time_ms":2050900,"vm":"g","level":"info","event":510,"name":"UPSTREAM_PRESENCE","upstream":"e-1","presence":2,"service":"chat","domain":"z1","spot":0,"leaves_ms":0}
{"time_ms":2051000,"vm":"g","level":"info","event":510,"name":"UPSTREAM_PRESENCE","upstream":"e-2","presence":2,"service":"chat","domain":"z1","spot":1,"leaves_ms":1900}
{"time_ms":2080000,"vm":"g","level":"info","event":510,"name":"UPSTREAM_PRESENCE","upstream":"e-3","presence":4,"service":"chat","domain":"z1","spot":0,"leaves_ms":0}
{"time_ms":2052000,"vm":"g","level":"info","event":823,"name":"DUTY_ORDER","service":"chat","domain":"z2","kind":"standard","engines":5,"present":2,"demand_permille":2900,"demand_age_ms":80,"refused_permille":20,"reason":"demand","error":"OK","tries":0,"token":21,"took_ms":5}
{"time_ms":2057000,"vm":"g","level":"info","event":510,"name":"UPSTREAM_PRESENCE","upstream":"e-4","presence":1,"service":"chat","domain":"z2","spot":0,"leaves_ms":0}
LOG
expect_exit 0 explain 100 "$work/f.log" "$work/g.log"
output_has 'cause: Window 100 was reported by f 4100 ms after its end, in time: 41 requests of 2 accounts.$'
expect_exit 0 explain 101 "$work/f.log" "$work/g.log"
output_has 'by g 11200 ms after its end, which is late: 40 requests of 2 accounts. g took over the duties.$'
output_has 'DUTY_ACQUIRED token=9'
expect_exit 0 explain 102 "$work/f.log" "$work/g.log"
output_has 'Window 102 was not accepted up to the end of the logs. 2 tries failed, the last at f with EBUDGET'
output_has 'g lost them: not renewed in time'
output_lacks 'took over'
expect_exit 0 explain 105 "$work/f.log" "$work/g.log"
output_has 'given up by f, as it was not accepted within 60 s of its end; its usage is missing. f did not reach the store of the record (EUNAVAILABLE)'
expect_exit 0 explain 103 "$work/f.log" "$work/g.log"
output_has 'No line names window 103, though others around it were reported'
expect_exit 6 explain 99 "$work/f.log" "$work/g.log"
expect_exit 6 explain 107 "$work/f.log" "$work/g.log"

expect_exit 0 explain chat "$work/f.log" "$work/g.log"
output_has '2 orders were accepted, 1 failed. The last: g ordered 5 standard engines of chat in z2, where 2 were present (reason demand; demand 2900 permille of an engine, 80 ms old; 20 permille refused), and the order was accepted.'
expect_exit 0 explain e-1 "$work/f.log" "$work/g.log"
output_has 'It was taken away after an order: g ordered 2 standard engines of chat in z1, where 3 were present (reason idle'
expect_exit 0 explain e-2 "$work/g.log"
output_has 'without an order: as a spot engine it was reclaimed, with 1900 ms left'
expect_exit 0 explain e-3 "$work/g.log"
output_has 'no accepted order of the 15 s before explains it: it failed or was stopped otherwise'
expect_exit 0 explain e-4 "$work/g.log"
output_has 'It came after an order: g ordered 5 standard engines of chat in z2'
expect_exit 0 explain e-1 "$work/g.log" --json
output_has '"id": "e-1"'

expect_exit 6 explain nobody "$work/a.log"
output_has 'nobody not found in 9 log lines'
expect_exit 2 explain over "$work/missing.log"
expect_exit 1 explain
echo "explain: the causes of ten requests, six windows, a service and four engines were found"
