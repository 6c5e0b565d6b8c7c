#!/bin/sh
# Callers that send many requests ahead, each with a new key, and don't read the answers: what is
# kept for each request, for its answer and for what waits behind it is bounded.
. tests/lib_crowd.sh
start_gate
for way in unread slow half churn; do
	crowd "$way, a new attempt each" "$crowd_ip:$callers" keyed $way --connections 100
	crowd "$way, a new API key each" "$crowd_ip:$callers" stranger $way --connections 100
done
crowd "large answers" "$crowd_ip:$callers" large unread --connections 100
done_crowds
