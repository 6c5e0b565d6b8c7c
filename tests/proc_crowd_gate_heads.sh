#!/bin/sh
# Callers with heads as long as allowed, whose requests are all in progress at once: what is kept of
# a head for as long as its request lasts counts as held, like a body.
DESCRIPTORS=1024
. tests/lib_crowd.sh
start_gate
{
	printf 'GET /safe/slow HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n'
	printf 'X-Buckthornchute-Request-Attempt-Id: %%k\r\n'
	printf 'X-Buckthornchute-Deadline-Milliseconds: 4000\r\n'
	for i in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15; do
		printf 'X-Long-%d: %0980d\r\n' "$i" 0
	done
	printf '\r\n'
} >"$work/long"
for way in unread slow; do
	crowd "$way" "$crowd_ip:$callers" long $way --connections 380
done
done_crowds
