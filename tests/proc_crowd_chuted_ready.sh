#!/bin/sh
# Clients of chuted that send many requests ahead for pages that need no token, and don't read the
# answers.
. tests/lib_crowd.sh
start_chuted
get ready /readyz
get entry /v1/entry
get metrics /metrics
get status /admin/v1/status
for way in unread slow half churn; do
	crowd "$way, readiness" "$admin" ready $way --connections 100
done
crowd "entries" "$caller" entry unread --connections 100
crowd "metrics" "$admin" metrics unread --connections 200
crowd "status by a stranger" "$admin" status unread --connections 100
done_crowds
