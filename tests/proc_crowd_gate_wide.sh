#!/bin/sh
# Crowds that stay below the limits of connections, so that nothing but the bounds of each
# connection, of what is sent ahead and of bodies keeps the process within its memory.
DESCRIPTORS=1024
. tests/lib_crowd.sh
start_gate
for text in bare keyed stranger ready large; do
	crowd "unread, $text" "$crowd_ip:$callers" $text unread --connections 200
done
for text in endless_body endless_chunk; do
	crowd "$text" "$crowd_ip:$callers" $text unread --connections 200
	crowd "$text, slowly" "$crowd_ip:$callers" $text drip --connections 200
	crowd "$text to the relay port" "$crowd_ip:$relay" $text unread --connections 60
done
done_crowds
