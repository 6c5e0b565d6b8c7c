#!/bin/sh
# Callers that send bookings with new keys and leave before the log has confirmed the keys: their
# places at the service come back, so that others are served afterwards.
. tests/lib_crowd.sh
start_chuted
lookup_ask=$ask
for i in 1 2 3; do
	ask=
	crowd "callers that leave, $i" "$caller" booking half --connections 100
done
ask=$lookup_ask
crowd "an ordinary caller afterwards" "$caller" bare idle --connections 1
done_crowds
