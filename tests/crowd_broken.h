/*
 * crowd_broken.h - an upstream whose answers are broken, for crowds of requests. The last part of a
 * request's path names what it sends:
 *
 *   head, line, interim, chunk, body  head lines, one line, interim answers, digits of a chunk's
 *                                     size, or a body, without end
 *   longhead   most of the longest head, and nothing more
 *   wholehead  the longest head, of an answer whose body does not come
 *   longbody   most of a large body, and nothing more
 */
#ifndef BCT_TESTS_CROWD_BROKEN_H
#define BCT_TESTS_CROWD_BROKEN_H

#include <stdint.h>

/* Serves until the process ends. Returns the port on 127.0.0.1, 0 on failure. */
uint16_t crowd_broken_serve(void);

#endif
