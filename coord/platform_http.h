/*
 * platform_http.h - the platform's services over HTTP (libcurl), as docs/PLATFORM.md describes.
 */
#ifndef BCT_COORD_PLATFORM_HTTP_H
#define BCT_COORD_PLATFORM_HTTP_H

#include "coord/platform.h"

typedef struct bct_platform_http_opts {
	const char *base_url;	     /* "http://10.0.0.1:8080", with or without a final slash */
	uint32_t connect_timeout_ms; /* 0: one second */
} bct_platform_http_opts_t;

/*
 * bct_platform_http_new(3): a client of the platform; calls may come from several threads.
 *
 * Each append goes over a connection of its own, because libcurl repeats a POST by itself when a
 * reused connection dies. An append answers -BCT_EUNAVAILABLE only when no byte of it was sent or
 * when the platform says so itself; any other failure is -BCT_EUNKNOWN_OUTCOME.
 *
 * returns  0, -BCT_EINVAL without a usable URL, -BCT_ENOMEM
 */
int bct_platform_http_new(const bct_platform_http_opts_t *opts, bct_platform_t **out);

#endif
