/*
 * delivery.c - asks the kernel for the state of a connection.
 */
#include "http/delivery.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#define STATE_CLOSED \
	7 /* TCP_CLOSE of <netinet/tcp.h>, which can't be included beside <linux/tcp.h> */

bct_delivery_t bct_delivery(int fd)
{
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);

	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len))
		return BCT_DELIVERY_WHOLE;
	if (info.tcpi_state == STATE_CLOSED)
		return BCT_DELIVERY_RESET;
	if (info.tcpi_unacked || info.tcpi_notsent_bytes)
		return BCT_DELIVERY_PENDING;
	return BCT_DELIVERY_WHOLE;
}
