/*
 * bev.h - the end of a libevent connection.
 */
#ifndef BCT_HTTP_BEV_H
#define BCT_HTTP_BEV_H

#include <event2/bufferevent.h>

/*
 * bct_bev_free(3): frees a connection, which reads and writes nothing more.
 *
 * bufferevent_free(3) alone does not end one that a deferred callback still refers to: until that
 * has run, it reads and writes on, and calls the callbacks on changes of its buffers, whose context
 * may be freed by then. Whoever added such callbacks removes them first.
 */
void bct_bev_free(struct bufferevent *bev);

#endif
