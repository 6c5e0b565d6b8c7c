#!/bin/sh
# Many requests at once whose upstream sends bytes that are no answer: without end, or long heads and
# bodies that never become whole. What the gateway keeps of them is bounded for all together, so that
# the process lives and requests of other callers are answered.
DESCRIPTORS=1024
. tests/lib_crowd.sh
start_gate
for kind in head line interim chunk body longhead wholehead longbody; do
	text $kind <<T
POST /broken/$kind HTTP/1.1
Host: h
Api-Key: k1
X-Buckthornchute-Request-Attempt-Id: %k
Content-Length: 10

0123456789
T
	truncate -s -2 "$work/$kind"
	crowd "$kind" "$crowd_ip:$callers" $kind once --connections 200 --hold-ms 2000
done
done_crowds
