#!/bin/sh
# More connections than the process may have descriptors, which stay open and bring no whole request.
. tests/lib_crowd.sh
start_gate
for port in $callers $relay $resolve $readiness $admin_port; do
	crowd "idle connections to $port" "$crowd_ip:$port" bare idle --connections 300
	crowd "half requests to $port" "$crowd_ip:$port" endless_line once --connections 300
	crowd "bytes now and then to $port" "$crowd_ip:$port" bare drip --connections 300
	crowd "one request each to $port" "$crowd_ip:$port" bare once --connections 300
done
done_crowds
