#!/bin/sh
# Callers whose requests never end.
. tests/lib_crowd.sh
start_gate
crowd "bodies" "$crowd_ip:$callers" endless_body unread --connections 100
crowd "chunks" "$crowd_ip:$callers" endless_chunk unread --connections 100
crowd "lines" "$crowd_ip:$callers" endless_line unread --connections 100
crowd "bodies in drips" "$crowd_ip:$callers" endless_body drip --connections 100
crowd "bodies without their end" "$crowd_ip:$callers" endless_body once --connections 100
done_crowds
