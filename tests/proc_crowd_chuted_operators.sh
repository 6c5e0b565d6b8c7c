#!/bin/sh
# A crowd at chuted's address for operators: checks of readiness are answered there meanwhile.
. tests/lib_crowd.sh
start_chuted
get ready /readyz
ask=$admin ask_text=$work/ready
crowd "idle" "$admin" bare idle --connections 300
crowd "half requests" "$admin" endless_line once --connections 300
crowd "bytes now and then" "$admin" bare drip --connections 300
crowd "unread" "$admin" ready unread --connections 100
done_crowds
