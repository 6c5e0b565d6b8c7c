#!/bin/sh
# Strangers at the port for requests of other nodes.
. tests/lib_crowd.sh
start_gate
for way in unread slow half churn; do
	crowd "$way" "$crowd_ip:$relay" usual $way --connections 100
done
crowd "an endless line" "$crowd_ip:$relay" endless_line unread --connections 100
crowd "endless bodies" "$crowd_ip:$relay" endless_body unread --connections 100
done_crowds
