#!/bin/sh
# Clients that send many requests ahead for the path that says ready, at its own address and at that
# of callers, and don't read the answers.
. tests/lib_crowd.sh
start_gate
for way in unread slow half churn; do
	crowd "$way" "$crowd_ip:$readiness" ready $way --connections 100
	crowd "$way, callers' address" "$crowd_ip:$callers" ready $way --connections 100
done
done_crowds
