/*
 * http.h - small helpers over libmicrohttpd shared by the callers' and the operators' side.
 */
#ifndef BCT_NODE_HTTP_H
#define BCT_NODE_HTTP_H

#include "policy/reason.h"

#include <jansson.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What a refused caller is told. */
typedef struct bct_refusal {
	bct_refuse_t why;
	bct_run_t run;
	uint32_t retry_after_ms;
	uint64_t req_id;    /* 0: none yet */
	const char *detail; /* the field at fault; may be NULL */
	bool close;	    /* end the connection, the rest of the request cannot be trusted */
} bct_refusal_t;

/* bct_http_refusal_json(3): the error object, a malloc()ed string; NULL without memory. */
char *bct_http_refusal_json(const bct_refusal_t *f);

/* bct_http_refuse(3): queue a refusal. */
enum MHD_Result bct_http_refuse(struct MHD_Connection *c, const bct_refusal_t *f);

/* bct_http_json(3): queue a JSON answer; takes over the reference. NULL is answered with 500. */
enum MHD_Result bct_http_json(struct MHD_Connection *c, int status, json_t *doc);

/* bct_http_text(3): queue bytes, which are copied. */
enum MHD_Result bct_http_text(struct MHD_Connection *c, int status, const char *content_type,
			      const char *text, size_t len_bytes);

/* bct_http_header(3): one header of a request; NULL when it is missing. */
const char *bct_http_header(struct MHD_Connection *c, const char *name);

/*
 * bct_http_check_framing(3): what libmicrohttpd lets through and a proxy must not: two lengths,
 * a length beside chunks, no Host, an unknown transfer coding.
 *
 * returns  BCT_REFUSE_NONE or BCT_REFUSE_BAD_FRAMING, BCT_REFUSE_BAD_REQUEST
 */
bct_refuse_t bct_http_check_framing(struct MHD_Connection *c, const char *version);

/* bct_http_bearer(3): the bearer token of a request; NULL when there is none. */
const char *bct_http_bearer(struct MHD_Connection *c);

/* bct_http_bind(3): fill a socket address. returns 0 or -BCT_EINVAL. */
struct sockaddr_storage;
int bct_http_bind(const char *address, uint16_t port, struct sockaddr_storage *out);

/* bct_http_port(3): the port a daemon listens on; 0 on failure. */
uint16_t bct_http_port(struct MHD_Daemon *d);

#endif
