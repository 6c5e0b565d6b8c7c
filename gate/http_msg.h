/*
 * http_msg.h - reads HTTP/1.1 messages from a connection's input: a strict check of the raw head
 * first, then http-parser for the framing.
 *
 * http-parser alone takes bare line feeds, folded headers and a space before the colon; each of
 * them lets two readers of one message disagree about where it ends.
 */
#ifndef BCT_GATE_HTTP_MSG_H
#define BCT_GATE_HTTP_MSG_H

#include "base/buf.h"

#include <event2/buffer.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stdint.h>

#define BCT_HTTP_HEADERS_MAX 64

/* Offsets into the head's text; both strings are NUL-terminated there. */
typedef struct bct_http_header {
	const char *name;
	const char *value;
} bct_http_header_t;

typedef enum bct_http_state {
	BCT_HTTP_HEAD = 0, /* the head is not complete */
	BCT_HTTP_BODY,
	BCT_HTTP_DONE, /* the message is complete */
	BCT_HTTP_FAILED,
} bct_http_state_t;

typedef struct bct_http_msg {
	http_parser parser;
	bct_http_state_t state;
	bct_buf_t text; /* the head, cut into strings */
	bct_http_header_t headers[BCT_HTTP_HEADERS_MAX];
	uint32_t n_headers;
	const char *method;
	const char *target;
	int status;
	bool keep_alive;
	bool until_close; /* the body has no length: it ends with the connection */
	bool head_only;	  /* the answer to a HEAD request */
	int err;	  /* why it failed: -BCT_ETOO_LARGE, -BCT_ECODEC, -BCT_ENOMEM */
	/* Body bytes as they come; a negative return fails the message. */
	int (*on_body)(void *ctx, const char *data, size_t len_bytes);
	void *ctx;
} bct_http_msg_t;

/* bct_http_msg_init(3): ready for the first message. type is HTTP_REQUEST or HTTP_RESPONSE. */
void bct_http_msg_init(bct_http_msg_t *m, enum http_parser_type type);
void bct_http_msg_free(bct_http_msg_t *m);

/* bct_http_msg_reset(3): forget this message; the memory is kept for the next. */
void bct_http_msg_reset(bct_http_msg_t *m);

/*
 * bct_http_msg_read(3): take what belongs to this message from the input; the rest stays there.
 *
 * max_head_bytes  a longer head fails with -BCT_ETOO_LARGE
 * returns         the state afterwards; once the head is complete the call returns, so that its
 *                 fields may be looked at before the body comes
 */
bct_http_state_t bct_http_msg_read(bct_http_msg_t *m, struct evbuffer *in, size_t max_head_bytes);

/* bct_http_msg_eof(3): the connection ended in order. A body without a length is complete then. */
bct_http_state_t bct_http_msg_eof(bct_http_msg_t *m);

/* bct_http_msg_header(3): value of a header, the first if there are several; NULL without. */
const char *bct_http_msg_header(const bct_http_msg_t *m, const char *name);

/* bct_http_head_check(3): whether a raw head keeps the strict grammar. returns 0 or -BCT_ECODEC. */
int bct_http_head_check(const char *head, size_t len_bytes, bool request);

/* bct_http_is_hop_by_hop(3): whether a header concerns one connection only and is not forwarded. */
bool bct_http_is_hop_by_hop(const char *name);

#endif
