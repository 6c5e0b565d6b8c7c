#!/bin/sh
# Callers that leave while requests that they sent ahead wait to be read: nothing of a connection
# that has ended is used. Guards against a callback on a connection that was freed; a build with
# sanitizers shows it at once, another one ends sooner or later.
MEMORY=0
. tests/lib_crowd.sh
start_gate
for text in bare stranger usual ready; do
	crowd "callers that leave, $text" "$crowd_ip:$callers" $text churn --connections 100
	crowd "strangers at the relay port, $text" "$crowd_ip:$relay" $text churn --connections 100
done
done_crowds
