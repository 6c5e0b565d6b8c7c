#!/bin/sh
# Callers that send many requests ahead without the usual headers, and don't read the answers, which
# the gateway makes itself.
. tests/lib_crowd.sh
start_gate
for way in unread slow half churn; do
	crowd "$way" "$crowd_ip:$callers" bare $way --connections 100
done
done_crowds
