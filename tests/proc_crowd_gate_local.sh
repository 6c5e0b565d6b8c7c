#!/bin/sh
# Clients of the gateway's own pages that read nothing, or whose requests never end.
. tests/lib_crowd.sh
start_gate
get resolve "/api/resolution?name=h&region=r&zone=z"
get metrics /metrics
get pull /peer/upstreams
get unknown /unknown
crowd "addresses" "$crowd_ip:$resolve" resolve unread --connections 100
crowd "metrics" "$crowd_ip:$admin_port" metrics unread --connections 100
crowd "pulls by a stranger" "$crowd_ip:$admin_port" pull unread --connections 100
crowd "an unknown page" "$crowd_ip:$admin_port" unknown churn --connections 100
for port in $resolve $readiness $admin_port; do
	crowd "an endless line to $port" "$crowd_ip:$port" endless_line unread --connections 100
	crowd "an endless body to $port" "$crowd_ip:$port" endless_body unread --connections 100
	crowd "an endless chunk to $port" "$crowd_ip:$port" endless_chunk unread --connections 100
done
done_crowds
