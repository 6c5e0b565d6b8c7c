/*
 * http_msg.h - reads HTTP/1.1 messages from a connection's input buffer. The raw head is first
 * validated against a strict grammar; http-parser then handles the framing.
 *
 * http-parser alone accepts bare line feeds, folded headers and a space before the colon. With each
 * of these, two parsers of the same message may disagree about where it ends, which allows request
 * smuggling.
 */
#ifndef BCT_HTTP_HTTP_MSG_H
#define BCT_HTTP_HTTP_MSG_H

#include "base/buf.h"

#include <event2/buffer.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stdint.h>

#define BCT_HTTP_HEADERS_MAX 64 /* a message with more fails with -BCT_ETOO_LARGE */

/* Both strings point into bct_http_msg.text and are NUL-terminated there. */
typedef struct bct_http_header {
	const char *name;
	const char *value;
} bct_http_header_t;

typedef enum bct_http_state {
	BCT_HTTP_HEAD = 0, /* waiting for the end of the head */
	BCT_HTTP_BODY,	   /* head complete, reading the body */
	BCT_HTTP_DONE,	   /* the message is complete */
	BCT_HTTP_FAILED,   /* see err */
} bct_http_state_t;

typedef struct bct_http_msg {
	http_parser parser;
	bct_http_state_t state;
	bct_buf_t text; /* copy of the head, split in place into NUL-terminated strings */
	bct_http_header_t headers[BCT_HTTP_HEADERS_MAX];
	uint32_t n_headers;
	const char *method; /* of a request, else NULL */
	const char *target; /* of a request, else NULL */
	int status;	    /* of a response */
	bool keep_alive;
	bool until_close; /* response without a length: the body ends when the connection closes */
	bool no_host;	  /* a request needs no Host header; set by the user, kept by resets */
	bool head_only;	  /* response to HEAD: no body follows; set by the user, kept by resets */
	int err; /* when BCT_HTTP_FAILED: -BCT_ETOO_LARGE, -BCT_ECODEC, -BCT_ENOMEM, or what
		  * on_body returned */
	/* Called with decoded body bytes as they arrive; a nonzero return fails the message. */
	int (*on_body)(void *ctx, const char *data, size_t len_bytes);
	void *ctx;
} bct_http_msg_t;

/* bct_http_msg_init(3): prepare for the first message; type is HTTP_REQUEST or HTTP_RESPONSE. */
void bct_http_msg_init(bct_http_msg_t *m, enum http_parser_type type);
void bct_http_msg_free(bct_http_msg_t *m);

/* bct_http_msg_reset(3): discard the current message and prepare for the next one on the same
 * connection, keeping allocated memory. */
void bct_http_msg_reset(bct_http_msg_t *m);

/* bct_http_msg_drop_head(3): free the memory of the head, whose headers, method and target are
 * gone then; the state of the message stays. */
void bct_http_msg_drop_head(bct_http_msg_t *m);

/*
 * bct_http_msg_read(3): consume the bytes of the current message; bytes behind it stay in the
 * input.
 *
 * Interim (1xx) responses are skipped. A call that completes the head returns before it reads the
 * body, so that the caller can inspect the headers first.
 *
 * max_head_bytes  a longer head fails with -BCT_ETOO_LARGE
 * returns         the new state
 */
bct_http_state_t bct_http_msg_read(bct_http_msg_t *m, struct evbuffer *in, size_t max_head_bytes);

/* bct_http_msg_eof(3): the peer closed the connection cleanly. This completes a body that has no
 * length; any other incomplete message fails. returns the new state. */
bct_http_state_t bct_http_msg_eof(bct_http_msg_t *m);

/* bct_http_msg_header(3): returns the value of the first header with this name, ignoring case, or
 * NULL. */
const char *bct_http_msg_header(const bct_http_msg_t *m, const char *name);

/* bct_http_status_has_body(3): whether a response with this status may have a body; the others end
 * with their head, whatever length that states (RFC 9112, section 6.3). */
bool bct_http_status_has_body(int status);

/* bct_http_is_hop_by_hop(3): returns whether a header applies to a single connection and must not
 * be forwarded. */
bool bct_http_is_hop_by_hop(const char *name);

#endif
