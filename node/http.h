/*
 * http.h - helpers on top of libmicrohttpd, used by the callers' and the operators' interface.
 */
#ifndef BCT_NODE_HTTP_H
#define BCT_NODE_HTTP_H

#include "policy/reason.h"

#include <jansson.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The content of a refusal. */
typedef struct bct_refusal {
	bct_refuse_t why;
	bct_run_t run;
	uint32_t retry_after_ms; /* 0: no Retry-After header */
	uint64_t req_id;	 /* 0: no request object was made */
	const char *detail;	 /* the invalid field; may be NULL */
	bool close; /* close the connection: the rest of the request is not processed */
} bct_refusal_t;

/* bct_http_refusal_json(3): the JSON error object, a malloc()ed string; NULL if out of memory. */
char *bct_http_refusal_json(const bct_refusal_t *f);

/*
 * bct_http_queue(3): queue a response, which is taken over; if the connection is to end, the
 * response says so.
 *
 * resp     NULL: nothing is queued
 * returns  MHD_NO if nothing was queued; libmicrohttpd then closes the connection
 */
enum MHD_Result bct_http_queue(struct MHD_Connection *c, int status, struct MHD_Response *resp);

/* bct_http_refuse(3): queue a refusal as the response. */
enum MHD_Result bct_http_refuse(struct MHD_Connection *c, const bct_refusal_t *f);

/*
 * bct_http_json(3): queue a JSON response.
 *
 * doc      the reference is taken over; NULL (out of memory): nothing is queued
 * returns  MHD_NO if nothing was queued; libmicrohttpd then closes the connection
 */
enum MHD_Result bct_http_json(struct MHD_Connection *c, int status, json_t *doc);

/* bct_http_text(3): queue a response of len_bytes bytes, which are copied. */
enum MHD_Result bct_http_text(struct MHD_Connection *c, int status, const char *content_type,
			      const char *text, size_t len_bytes);

/* bct_http_header(3): the value of a request header; NULL if it is missing. */
const char *bct_http_header(struct MHD_Connection *c, const char *name);

/*
 * bct_http_check_framing(3): reject requests that libmicrohttpd accepts but a proxy must not: two
 * lengths, a length that is not a number, a length together with a transfer coding, an unknown
 * transfer coding (BAD_FRAMING), two Host headers, or none in HTTP/1.1 (BAD_REQUEST).
 *
 * returns  BCT_REFUSE_NONE, BCT_REFUSE_BAD_FRAMING or BCT_REFUSE_BAD_REQUEST
 */
bct_refuse_t bct_http_check_framing(struct MHD_Connection *c, const char *version);

/* bct_http_bearer(3): the bearer token of a request; NULL if there is none. */
const char *bct_http_bearer(struct MHD_Connection *c);

struct sockaddr_storage;

/*
 * bct_http_bind(3): fill a socket address from a numeric IPv4 or IPv6 address and a port.
 *
 * returns  0 or -BCT_EINVAL
 */
int bct_http_bind(const char *address, uint16_t port, struct sockaddr_storage *out);

/* bct_http_port(3): the port that a daemon listens on; 0 on failure. */
uint16_t bct_http_port(struct MHD_Daemon *d);

#endif
