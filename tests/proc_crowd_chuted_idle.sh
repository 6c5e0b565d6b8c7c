#!/bin/sh
# More connections to chuted than it may have descriptors, which stay open and bring no whole
# request.
. tests/lib_crowd.sh
start_chuted
for to in $caller $admin; do
	crowd "idle connections to $to" "$to" bare idle --connections 300
	crowd "half requests to $to" "$to" endless_line once --connections 300
	crowd "bytes now and then to $to" "$to" bare drip --connections 300
	crowd "one request each to $to" "$to" bare once --connections 300
done
done_crowds
