/*
 * delivery.c - asks the kernel for the state of a connection.
 */
#include "gate/delivery.h"

#include <event2/buffer.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <sys/socket.h>

#define STATE_CLOSED \
	7 /* TCP_CLOSE of <netinet/tcp.h>, which can't be included beside <linux/tcp.h> */

bct_delivery_t bct_delivery(struct bufferevent *bev)
{
	bool unwritten = evbuffer_get_length(bufferevent_get_output(bev)) > 0;
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);

	if (getsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_INFO, &info, &len))
		return unwritten ? BCT_DELIVERY_PENDING : BCT_DELIVERY_WHOLE;
	if (info.tcpi_state == STATE_CLOSED)
		return BCT_DELIVERY_RESET;
	if (unwritten || info.tcpi_unacked || info.tcpi_notsent_bytes)
		return BCT_DELIVERY_PENDING;
	return BCT_DELIVERY_WHOLE;
}
