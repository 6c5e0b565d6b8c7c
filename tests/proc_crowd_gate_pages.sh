#!/bin/sh
# A crowd at an address of the gateway's own pages: the platform's check of readiness, callers who ask
# where to connect, and whoever reads the metrics are answered there meanwhile.
. tests/lib_crowd.sh
start_gate
get resolve "/api/resolution?name=h&region=r&zone=z"
get metrics /metrics
for page in "$readiness ready" "$resolve resolve" "$admin_port metrics"; do
	ask=$crowd_ip:${page% *} ask_text=$work/${page#* }
	crowd "idle at $page" "$ask" bare idle --connections 300
	crowd "half requests to $page" "$ask" endless_line once --connections 300
	crowd "bytes now and then to $page" "$ask" bare drip --connections 300
	crowd "unread at $page" "$ask" "${page#* }" unread --connections 100
done
done_crowds
