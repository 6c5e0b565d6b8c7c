/*
 * answer.c - writes responses to callers: those that the gateway generates itself, and forwarded
 * ones with the upstream's headers.
 */
#include "gate/relay_head.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#define STATUS_NO_CONTENT 204
#define COPY_MAX_BYTES 1024 /* less is copied, not moved, if memory is bounded */

static const char *reason_phrase(int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 400:
		return "Bad Request";
	case 401:
		return "Unauthorized";
	case 403:
		return "Forbidden";
	case 404:
		return "Not Found";
	case 408:
		return "Request Timeout";
	case 413:
		return "Content Too Large";
	case 431:
		return "Request Header Fields Too Large";
	case 502:
		return "Bad Gateway";
	case 503:
		return "Service Unavailable";
	case 504:
		return "Gateway Timeout";
	default:
		return "Unknown";
	}
}

static void put_connection_header(bct_client_t *c, struct evbuffer *out)
{
	if (c->close_after)
		evbuffer_add_printf(out, "Connection: close\r\n");
}

void bct_answer_local(bct_client_t *c, const bct_answer_opts_t *o)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);

	evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n", o->status,
			    reason_phrase(o->status));
	evbuffer_add_printf(out, "Content-Length: %zu\r\n", strlen(o->text) + 1);
	if (o->retry_after_ms)
		evbuffer_add_printf(out, "Retry-After: %u.%03u\r\n",
				    o->retry_after_ms / BCT_MS_PER_S,
				    o->retry_after_ms % BCT_MS_PER_S);
	if (c->port->is_node)
		bct_relay_put_outcome(o, out);
	put_connection_header(c, out);
	evbuffer_add(out, "\r\n", 2);
	if (!c->head_only)
		evbuffer_add_printf(out, "%s\n", o->text);
}

void bct_answer_page(bct_client_t *c, const bct_page_t *p)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);

	evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n", p->status, reason_phrase(p->status));
	if (p->type)
		evbuffer_add_printf(out, "Content-Type: %s\r\n", p->type);
	evbuffer_add_printf(out, "Content-Length: %zu\r\n", p->body.len_bytes);
	put_connection_header(c, out);
	evbuffer_add(out, "\r\n", 2);
	if (!c->head_only && p->body.len_bytes)
		evbuffer_add(out, p->body.data, p->body.len_bytes);
}

int bct_head_copy(const bct_http_msg_t *m, bct_buf_t *out)
{
	for (uint32_t i = 0; i < m->n_headers; i++) {
		if (!bct_http_is_hop_by_hop(m->headers[i].name) &&
		    !bct_relay_is_own_header(m->headers[i].name))
			bct_buf_printf(out, "%s: %s\r\n", m->headers[i].name, m->headers[i].value);
	}
	return out->err;
}

/*
 * An answer without a body has the length that the upstream stated of the body that is not sent, if
 * any, and one of status 204 none (RFC 9110, section 8.6).
 */
static void put_length(const bct_client_t *c, const bct_http_msg_t *m, int64_t body_bytes,
		       struct evbuffer *out)
{
	const char *stated = bct_http_msg_header(m, "Content-Length");

	if (m->status == STATUS_NO_CONTENT)
		return;
	if (c->head_only || !bct_http_status_has_body(m->status)) {
		if (stated)
			evbuffer_add_printf(out, "Content-Length: %s\r\n", stated);
	} else if (body_bytes < 0) {
		evbuffer_add_printf(out, "Transfer-Encoding: chunked\r\n");
	} else {
		evbuffer_add_printf(out, "Content-Length: %" PRId64 "\r\n", body_bytes);
	}
}

void bct_answer_head(bct_client_t *c, const bct_http_msg_t *m, int64_t body_bytes)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);
	bct_buf_t lines;

	bct_buf_init(&lines, 0);
	bct_head_copy(m, &lines);
	evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n", m->status, reason_phrase(m->status));
	if (lines.len_bytes)
		evbuffer_add(out, lines.data, lines.len_bytes);
	put_length(c, m, body_bytes, out);
	put_connection_header(c, out);
	evbuffer_add(out, "\r\n", 2);
	bct_buf_free(&lines);
}

void bct_answer_chunk(bct_client_t *c, struct evbuffer *data)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);

	if (!evbuffer_get_length(data))
		return;
	evbuffer_add_printf(out, "%zx\r\n", evbuffer_get_length(data));
	/* A moved block takes at least 512 bytes, however small the event, while it is unread. */
	if (c->gate->memory && evbuffer_get_length(data) < COPY_MAX_BYTES) {
		evbuffer_add(out, evbuffer_pullup(data, -1), evbuffer_get_length(data));
		evbuffer_drain(data, evbuffer_get_length(data));
	} else {
		evbuffer_add_buffer(out, data);
	}
	evbuffer_add(out, "\r\n", 2);
}

void bct_answer_last_chunk(bct_client_t *c)
{
	evbuffer_add(bufferevent_get_output(c->bev), "0\r\n\r\n", 5);
}
