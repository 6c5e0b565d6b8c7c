/*
 * window.c - raises TCP_USER_TIMEOUT while a peer's receive window is closed.
 */
#include "gate/window.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

/* A caller that reads 1 KB/s opens a window of 128 KB, the default, only every 8 s. */
#define CLOSED_TIMEOUT_MS 60000

static bool is_closed(const struct tcp_info *info)
{
	if (!info->tcpi_unacked)
		return info->tcpi_notsent_bytes > 0;
	return !info->tcpi_snd_wnd;
}

bool bct_window_check(evutil_socket_t fd, bool *closed, int user_timeout_ms)
{
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);
	bool now_closed;

	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len))
		return false;
	now_closed = is_closed(&info);
	if (now_closed != *closed) {
		int ms = now_closed ? CLOSED_TIMEOUT_MS : user_timeout_ms;

		setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
		*closed = now_closed;
	}
	return info.tcpi_unacked || info.tcpi_notsent_bytes;
}
