#!/bin/sh
# Strangers that flood chuted's port for datagrams of other nodes.
. tests/lib_crowd.sh
start_chuted
peer_address=127.0.0.1:$(sed -n 's/.*peer=\([0-9]*\).*/\1/p' "$work/n0.out")
crowd "datagrams" "$peer_address" bare unread --udp --connections 50
crowd "long datagrams" "$peer_address" keyed unread --udp --connections 50
done_crowds
