/*
 * platform_http.h - client of the platform's HTTP interface (docs/PLATFORM.md), based on libcurl.
 */
#ifndef BCT_COORD_PLATFORM_HTTP_H
#define BCT_COORD_PLATFORM_HTTP_H

#include "coord/platform.h"

typedef struct bct_platform_http_opts {
	const char *base_url;	     /* "http://10.0.0.1:8080"; a trailing slash is removed */
	uint32_t connect_timeout_ms; /* 0: 1000 ms */
} bct_platform_http_opts_t;

/*
 * bct_platform_http_new(3): create a client of the platform, for use by several threads.
 *
 * Each append uses a new connection, because libcurl silently resends a POST when a reused
 * connection breaks. An append returns -BCT_EUNAVAILABLE only when no byte of it was sent or when
 * the platform reports that it appended nothing; any other failure is -BCT_EUNKNOWN_OUTCOME, except
 * that -BCT_ETOO_LARGE is reported as such.
 *
 * returns  0; -BCT_EINVAL when base_url is missing, empty or too long; -BCT_ENOMEM
 */
int bct_platform_http_new(const bct_platform_http_opts_t *opts, bct_platform_t **out);

#endif
