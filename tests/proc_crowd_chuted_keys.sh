#!/bin/sh
# Callers of chuted that send many bookings ahead, each with a new key, and don't read the answers.
. tests/lib_crowd.sh
start_chuted
for way in unread slow half churn; do
	crowd "$way" "$caller" booking $way --connections 100
done
done_crowds
