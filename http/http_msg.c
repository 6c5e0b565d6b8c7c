/*
 * http_msg.c - HTTP message reader. The raw head is validated and split here; http-parser decodes
 * Content-Length and chunked bodies.
 */
#include "http/http_msg.h"
#include "base/err.h"
#include "http/head_lines.h"

#include <string.h>
#include <strings.h>

#define STATUS_INTERIM_MAX 199 /* 1xx responses */
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304
#define HEAD_END "\r\n\r\n"
#define HEAD_END_BYTES 4

void bct_http_msg_init(bct_http_msg_t *m, enum http_parser_type type)
{
	memset(m, 0, sizeof(*m));
	bct_buf_init(&m->text, 0);
	http_parser_init(&m->parser, type);
	m->parser.data = m;
}

void bct_http_msg_free(bct_http_msg_t *m)
{
	bct_buf_free(&m->text);
}

void bct_http_msg_reset(bct_http_msg_t *m)
{
	http_parser_init(&m->parser, (enum http_parser_type)m->parser.type);
	m->parser.data = m;
	bct_buf_clear(&m->text);
	m->state = BCT_HTTP_HEAD;
	m->n_headers = 0;
	m->method = m->target = NULL;
	m->status = 0;
	m->until_close = false;
	m->err = 0;
}

void bct_http_msg_drop_head(bct_http_msg_t *m)
{
	bct_buf_free(&m->text);
	m->n_headers = 0;
	m->method = m->target = NULL;
}

static int check_own_head(const bct_http_msg_t *m, const char *head, size_t len_bytes)
{
	if (m->parser.type == HTTP_REQUEST && m->no_host)
		return bct_http_head_check_hosts(head, len_bytes, true, 0, 1);
	return bct_http_head_check(head, len_bytes, m->parser.type == HTTP_REQUEST);
}

/* Splits lines "Name: value\r\n" in place into pairs of strings, without blanks around values. */
static int split_headers(bct_http_msg_t *m, char *at, char *stop)
{
	while (at < stop) {
		char *cr = strstr(at, "\r\n"), *colon, *value;

		if (m->n_headers == BCT_HTTP_HEADERS_MAX)
			return -BCT_ETOO_LARGE;
		*cr = '\0';
		colon = strchr(at, ':');
		*colon = '\0';
		value = colon + 1 + strspn(colon + 1, " \t");
		while (cr > value && (cr[-1] == ' ' || cr[-1] == '\t'))
			*--cr = '\0';
		m->headers[m->n_headers].name = at;
		m->headers[m->n_headers].value = value;
		m->n_headers++;
		at = value + strlen(value) + 1;
		while (at < stop && *at != '\n')
			at++;
		at++;
	}
	return 0;
}

/* Splits the head, which bct_http_head_check() has accepted, in place. */
static int split_head(bct_http_msg_t *m)
{
	char *line = m->text.data, *end = strstr(line, "\r\n"), *space;

	*end = '\0';
	space = strchr(line, ' ');
	if (m->parser.type == HTTP_REQUEST) {
		*space = '\0';
		m->method = line;
		m->target = space + 1;
		space = strchr(space + 1, ' ');
		*space = '\0';
	}
	return split_headers(m, end + 2, m->text.data + m->text.len_bytes - 2);
}

bool bct_http_status_has_body(int status)
{
	return status > STATUS_INTERIM_MAX && status != STATUS_NO_CONTENT &&
	       status != STATUS_NOT_MODIFIED;
}

static int on_headers(http_parser *p)
{
	bct_http_msg_t *m = p->data;
	bool no_body = m->head_only;

	m->status = p->status_code;
	/* http-parser would read a body if such a response states a length. */
	if (p->type == HTTP_RESPONSE)
		no_body = no_body || !bct_http_status_has_body(m->status);
	/* Protocol upgrades are not supported, neither in requests nor in responses. */
	p->upgrade = 0;
	if (p->type == HTTP_RESPONSE)
		m->until_close = !(p->flags & (F_CHUNKED | F_CONTENTLENGTH)) && !no_body;
	m->keep_alive = http_should_keep_alive(p);
	return no_body ? 1 : 0;
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	bct_http_msg_t *m = p->data;

	if (!m->on_body)
		return 0;
	m->err = m->on_body(m->ctx, at, len);
	return m->err ? 1 : 0;
}

static int on_complete(http_parser *p)
{
	bct_http_msg_t *m = p->data;

	m->state = BCT_HTTP_DONE;
	/* Leaves pipelined bytes behind this message in the input. */
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/* Fails the message, keeping an error that on_body() has set. */
static bct_http_state_t fail(bct_http_msg_t *m, int err)
{
	if (!m->err)
		m->err = err;
	m->state = BCT_HTTP_FAILED;
	return m->state;
}

static bct_http_state_t execute(bct_http_msg_t *m, const char *data, size_t len, size_t *consumed)
{
	enum http_errno e;

	*consumed = http_parser_execute(&m->parser, &callbacks, data, len);
	e = HTTP_PARSER_ERRNO(&m->parser);
	if (e != HPE_OK && e != HPE_PAUSED)
		return fail(m, -BCT_ECODEC);
	return m->state;
}

/* Returns the length of the head including its empty line, or 0 while it is incomplete. */
static size_t head_bytes(struct evbuffer *in)
{
	struct evbuffer_ptr at = evbuffer_search(in, HEAD_END, HEAD_END_BYTES, NULL);

	return at.pos < 0 ? 0 : (size_t)at.pos + HEAD_END_BYTES;
}

/* Ignores empty lines before a request line; anything else there is part of the head. */
static void skip_empty_lines(bct_http_msg_t *m, struct evbuffer *in)
{
	char two[2];

	while (m->parser.type == HTTP_REQUEST && evbuffer_copyout(in, two, 2) == 2 &&
	       two[0] == '\r' && two[1] == '\n')
		evbuffer_drain(in, 2);
}

/* Reads the head once it is complete and feeds it to http-parser; the body is read separately. */
static bct_http_state_t read_head(bct_http_msg_t *m, struct evbuffer *in, size_t max)
{
	size_t len, consumed;
	unsigned char *head;
	int rc;

	skip_empty_lines(m, in);
	len = head_bytes(in);
	if (len > max || (!len && evbuffer_get_length(in) > max))
		return fail(m, -BCT_ETOO_LARGE);
	if (!len)
		return m->state;
	head = evbuffer_pullup(in, (ev_ssize_t)len);
	if (!head || bct_buf_put(&m->text, head, len))
		return fail(m, -BCT_ENOMEM);
	if (memchr(head, '\0', len) || check_own_head(m, (const char *)head, len))
		return fail(m, -BCT_ECODEC);
	m->state = BCT_HTTP_BODY;
	execute(m, (const char *)head, len, &consumed);
	if (m->state == BCT_HTTP_FAILED)
		return m->state;
	evbuffer_drain(in, len);
	rc = split_head(m);
	return rc ? fail(m, rc) : m->state;
}

static bool is_interim(const bct_http_msg_t *m)
{
	return m->parser.type == HTTP_RESPONSE && m->status <= STATUS_INTERIM_MAX;
}

bct_http_state_t bct_http_msg_read(bct_http_msg_t *m, struct evbuffer *in, size_t max_head_bytes)
{
	while (m->state == BCT_HTTP_HEAD) {
		if (read_head(m, in, max_head_bytes) != BCT_HTTP_DONE || !is_interim(m))
			return m->state;
		bct_http_msg_reset(m);
	}
	while (m->state == BCT_HTTP_BODY && evbuffer_get_length(in)) {
		struct evbuffer_iovec v;
		size_t consumed;

		evbuffer_peek(in, -1, NULL, &v, 1);
		execute(m, v.iov_base, v.iov_len, &consumed);
		evbuffer_drain(in, consumed);
	}
	return m->state;
}

bct_http_state_t bct_http_msg_eof(bct_http_msg_t *m)
{
	size_t consumed;

	if (m->state == BCT_HTTP_BODY && m->until_close)
		return execute(m, "", 0, &consumed);
	return m->state == BCT_HTTP_DONE ? m->state : fail(m, -BCT_ECODEC);
}

const char *bct_http_msg_header(const bct_http_msg_t *m, const char *name)
{
	for (uint32_t i = 0; i < m->n_headers; i++) {
		if (!strcasecmp(m->headers[i].name, name))
			return m->headers[i].value;
	}
	return NULL;
}

bool bct_http_is_hop_by_hop(const char *name)
{
	static const char *const hop[] = { "Connection",
					   "Keep-Alive",
					   "Proxy-Connection",
					   "TE",
					   "Trailer",
					   "Transfer-Encoding",
					   "Upgrade",
					   "Content-Length",
					   "Expect",
					   "Proxy-Authenticate",
					   "Proxy-Authorization" };

	for (size_t i = 0; i < sizeof(hop) / sizeof(hop[0]); i++) {
		if (!strcasecmp(name, hop[i]))
			return true;
	}
	return false;
}
