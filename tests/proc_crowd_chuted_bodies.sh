#!/bin/sh
# Clients of chuted whose requests never end.
. tests/lib_crowd.sh
start_chuted
crowd "bodies" "$caller" chuted_body unread --connections 100 --bytes 4000000 --hold-ms 6000
crowd "lines" "$caller" endless_line unread --connections 100
crowd "bodies to operators' address" "$admin" chuted_body unread --connections 100 --bytes 4000000 --hold-ms 6000
crowd "lines to operators' address" "$admin" endless_line unread --connections 100
done_crowds
