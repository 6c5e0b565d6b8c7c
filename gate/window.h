/*
 * window.h - connections whose peer does not read. The kernel ends a connection after its
 * TCP_USER_TIMEOUT also when the peer acknowledges everything but leaves its receive window closed.
 * A short timeout finds dead links, but would end sound connections to peers that read slowly, so
 * it is raised while the window is closed.
 */
#ifndef BCT_GATE_WINDOW_H
#define BCT_GATE_WINDOW_H

#include "gate/gate_int.h"

#define BCT_WINDOW_CHECK_MS 500 /* less than half of the shortest TCP_USER_TIMEOUT */

/*
 * bct_window_check(3): raises or restores the timeout of a connection; to be called every
 * BCT_WINDOW_CHECK_MS while the peer has not acknowledged all output.
 *
 * closed           whether the window was closed at the last check; updated
 * user_timeout_ms  while the window is open
 * returns          whether output is not acknowledged
 */
bool bct_window_check(evutil_socket_t fd, bool *closed, int user_timeout_ms);

#endif
