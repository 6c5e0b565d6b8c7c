#!/bin/sh
# Strangers that flood the ports for datagrams of other nodes.
. tests/lib_crowd.sh
start_gate
for port in $peer $share; do
	crowd "datagrams to $port" "$crowd_ip:$port" bare unread --udp --connections 50
	crowd "long datagrams to $port" "$crowd_ip:$port" keyed unread --udp --connections 50
done
done_crowds
