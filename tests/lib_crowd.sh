# Shell functions for the tests of clients that don't behave (tests/proc_crowd_*.sh), which source
# this file. Each runs one crowd at a time against one daemon, and fails unless the daemon's process
# lives, stays within the memory and the descriptors of its machine, and answers an ordinary request.
# The bounds are those of a small machine, so that a small crowd suffices. MEMORY=0 sets no bound on
# memory, for builds with sanitizers.
. tests/lib_proc.sh
MEMORY=${MEMORY-40000000} # bytes of the machine, for what the process and the kernel hold
DESCRIPTORS=${DESCRIPTORS-256}	  # that the process may open
crowd_ip=127.77.$(($$ / 250 % 250 + 1)).$(($$ % 250 + 1))
failed=0

# text NAME: writes standard input to $work/NAME, with the line ends of HTTP.
text() {
	sed -e 's/$/\r/' >"$work/$1"
}

# Requests to a gateway. %k is another number in each.
text usual <<'T'
GET /safe/a HTTP/1.1
Host: h
Api-Key: k1
X-Buckthornchute-Request-Attempt-Id: %k
X-Buckthornchute-Deadline-Milliseconds: 4000

T

text keyed <<'T'
POST /unsafe/a HTTP/1.1
Host: h
Api-Key: k1
X-Buckthornchute-Request-Attempt-Id: %k
X-Buckthornchute-Model: m
X-Buckthornchute-Token-Counts: 1460,80
X-Buckthornchute-Prompt-Prefix: %k:800,%k:410
X-Buckthornchute-Deadline-Milliseconds: 4000
Content-Length: 10

0123456789
T
text stranger <<'T'
GET /safe/a HTTP/1.1
Host: h
Api-Key: %k
X-Buckthornchute-Request-Attempt-Id: %k
X-Buckthornchute-Deadline-Milliseconds: 4000

T
text bare <<'T'
GET /safe/a HTTP/1.1
Host: h

T
text ready <<'T'
GET /api/readiness HTTP/1.1
Host: h

T
text large <<'T'
GET /safe/large HTTP/1.1
Host: h
Api-Key: k1
X-Buckthornchute-Request-Attempt-Id: %k
X-Buckthornchute-Deadline-Milliseconds: 4000

T
# Never complete, however often they are repeated on a connection.
printf 'GET /%%k' >"$work/endless_line"
text endless_body <<'T'
POST /unsafe/a HTTP/1.1
Host: h
Api-Key: k1
Content-Length: 4000000

T
text endless_chunk <<'T'
POST /unsafe/a HTTP/1.1
Host: h
Api-Key: k1
Transfer-Encoding: chunked

3D0900
T

# get NAME PATH: a plain GET.
get() {
	printf 'GET %s HTTP/1.1\r\nHost: h\r\n\r\n' "$2" >"$work/$1"
}

# start_gate: starts chutegate with a store and an upstream. Sets pid, and ports of $crowd_ip:
# callers, resolve, readiness, admin, relay, peer, share.
start_gate() {
	start backend crowd-backend
	callers=18100 resolve=18101 readiness=18102 admin_port=18103 relay=18104 peer=18105 share=18106
	cat >"$work/gate.json" <<T
{
	"vm": { "name": "n0", "failure_domain": "z", "region": "r" },
	"caller": { "address": "$crowd_ip", "entry_lifetime_ms": 300 },
	"admin": { "address": "$crowd_ip", "port": $admin_port },
	"peer": { "address": "$crowd_ip", "port": $peer, "secret": "crowd-crowd-crowd", "seeds": [] },
	"platform": { "url": "$addr", "timeout_ms": 500, "poll_ms": 300 },
	"gate": { "listen": "$crowd_ip:$callers", "resolve": "$crowd_ip:$resolve",
		"readiness": "$crowd_ip:$readiness", "relay_port": $relay, "share_port": $share,
		"grace_ms": 2000, "memory_bytes": ${MEMORY_SETTING:-40000000} },
	"log": { "format": "json", "lines_per_s": 100 }
}
T
	(ulimit -n $DESCRIPTORS && exec "$BIN/chutegate" --config "$work/gate.json") \
		>"$work/gate.log" 2>"$work/gate.err" &
	pid=$!
	node_pids="$node_pids $pid"
	ask=$crowd_ip:$callers ask_text=$work/usual
	wait_for 10 gate_serves || fail "the gateway did not start"
}

gate_serves() {
	"$BIN/chuteload" get "$crowd_ip:$readiness" /api/readiness
}

# Requests to chuted.
text booking <<'T'
POST /v1/services/booking/book HTTP/1.1
Host: h
Authorization: Bearer demo-token-repairs
Content-Type: application/json
Idempotency-Key: %k
Chute-Class: book
Content-Length: 2

{}
T
truncate -s -1 "$work/booking"; truncate -s -1 "$work/booking"
text lookup <<'T'
GET /v1/services/booking/lookup HTTP/1.1
Host: h
Authorization: Bearer demo-token-repairs
Chute-Class: lookup

T
text chuted_body <<'T'
POST /v1/services/booking/book HTTP/1.1
Host: h
Authorization: Bearer demo-token-repairs
Chute-Class: book
Content-Length: 4000000

T

# start_chuted: starts chuted with its stand-ins, with the bounds of the nodes it is designed for.
start_chuted() {
	start_backends
	[ "$MEMORY" = 0 ] || MEMORY=256000000
	DESCRIPTORS=512
	ulimit -n $DESCRIPTORS
	start_node n0
	ulimit -n 4096 2>/dev/null || true
	ask=$caller ask_text=$work/lookup
}

# crowd WHAT ADDRESS TEXT WAY OPTIONS...: runs one crowd.
crowd() {
	what=$1 to=$2 file=$3 way=$4
	shift 4
	"$BIN/crowd" --pid "$pid" --to "$to" --text "$work/$file" --way "$way" --memory "$MEMORY" \
		--descriptors "$DESCRIPTORS" ${ask:+--ask "$ask" --ask-text "$ask_text"} "$@" >"$work/crowd.out" 2>&1 || {
		echo "FAILS: $what"
		failed=1
	}
	sed "s/^/$what: /" "$work/crowd.out"
}

# done_crowds: ends a test: the daemon still runs, and none of its crowds failed.
done_crowds() {
	kill -0 "$pid" 2>/dev/null || { wait "$pid"; fail "the process ended with status $?"; }
	[ "$failed" -eq 0 ] || fail "see above"
}
