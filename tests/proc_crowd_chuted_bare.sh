#!/bin/sh
# Callers of chuted that send many requests ahead without a token, and don't read the answers, which
# the daemon makes itself.
. tests/lib_crowd.sh
start_chuted
for way in unread slow half churn; do
	crowd "$way" "$caller" bare $way --connections 100
done
done_crowds
