/*
 * bev.c - the end of a libevent connection.
 */
#include "http/bev.h"

#include <event2/event.h>

void bct_bev_free(struct bufferevent *bev)
{
	bufferevent_disable(bev, EV_READ | EV_WRITE);
	bufferevent_free(bev);
}
