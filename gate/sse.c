/*
 * sse.c - parser of server-sent events. An event ends with an empty line; if it has several "id:"
 * lines, the last one counts.
 */
#include "gate/sse.h"
#include "base/err.h"

#include <stdlib.h>
#include <string.h>

#define ID_MAX_DIGITS 20
#define EVENT_MAX_BYTES (256 * 1024) /* limit of an incomplete event in memory */

int bct_gate_sse_init(bct_gate_sse_t *e)
{
	memset(e, 0, sizeof(*e));
	e->partial = evbuffer_new();
	return e->partial ? 0 : -BCT_ENOMEM;
}

void bct_gate_sse_free(bct_gate_sse_t *e)
{
	if (e->partial)
		evbuffer_free(e->partial);
	e->partial = NULL;
}

/* Returns the length of the first event including its empty line, or 0 while it is incomplete. */
static size_t event_bytes(struct evbuffer *b)
{
	struct evbuffer_ptr lf = evbuffer_search(b, "\n\n", 2, NULL);
	struct evbuffer_ptr crlf = evbuffer_search(b, "\r\n\r\n", 4, NULL);

	if (crlf.pos >= 0 && (lf.pos < 0 || crlf.pos < lf.pos))
		return (size_t)crlf.pos + 4;
	return lf.pos >= 0 ? (size_t)lf.pos + 2 : 0;
}

/* Parses the value of an "id:" line, a whole number between blanks. returns 0 or -BCT_ECODEC. */
static int parse_id(const char *text, size_t len, uint64_t *id)
{
	const char *end = text + len;
	uint64_t value = 0;

	while (end > text && (end[-1] == ' ' || end[-1] == '\r'))
		end--;
	while (end > text && *text == ' ')
		text++;
	if (text == end || end - text > ID_MAX_DIGITS)
		return -BCT_ECODEC;
	for (; text < end; text++) {
		uint64_t digit = (uint64_t)(unsigned char)*text - '0';

		if (digit > 9 || value > (UINT64_MAX - digit) / 10)
			return -BCT_ECODEC;
		value = value * 10 + digit;
	}
	*id = value;
	return 0;
}

/* Finds the event's id. returns 1, 0 if it has none, or -BCT_ECODEC. */
static int find_id(const char *text, size_t len, uint64_t *id)
{
	const char *at = text, *end = text + len, *nl;
	int found = 0;

	while (at < end && (nl = memchr(at, '\n', (size_t)(end - at))) != NULL) {
		size_t n = (size_t)(nl - at);

		if (n >= 3 && !memcmp(at, "id:", 3)) {
			if (parse_id(at + 3, n - 3, id))
				return -BCT_ECODEC;
			found = 1;
		}
		at = nl + 1;
	}
	return found;
}

/* Moves the first len bytes, one event, to out, or drops them if an earlier attempt delivered the
 * event. returns 1 when moved, 0 when dropped, -BCT_ECODEC when ids do not increase, -BCT_ENOMEM.
 */
static int pass_event(bct_gate_sse_t *e, size_t len, struct evbuffer *out)
{
	const unsigned char *text = evbuffer_pullup(e->partial, (ev_ssize_t)len);
	uint64_t id = 0;
	int has_id;

	if (!text)
		return -BCT_ENOMEM;
	has_id = find_id((const char *)text, len, &id);
	if (has_id < 0)
		return has_id;
	if (has_id && e->skipping && id <= e->skip_to_id) {
		evbuffer_drain(e->partial, len);
		return 0;
	}
	if (has_id && e->has_read_id && id <= e->read_id)
		return -BCT_ECODEC;
	if (evbuffer_remove_buffer(e->partial, out, len) != (int)len)
		return -BCT_ENOMEM;
	if (has_id) {
		e->read_id = id;
		e->has_read_id = true;
	}
	e->read++;
	return 1;
}

int bct_gate_sse_feed(bct_gate_sse_t *e, const char *data, size_t len_bytes, struct evbuffer *out,
		      uint32_t *n)
{
	size_t len;
	int rc;

	*n = 0;
	if (evbuffer_add(e->partial, data, len_bytes))
		return -BCT_ENOMEM;
	while ((len = event_bytes(e->partial)) > 0) {
		rc = pass_event(e, len, out);
		if (rc < 0)
			return rc;
		*n += (uint32_t)rc;
	}
	return evbuffer_get_length(e->partial) > EVENT_MAX_BYTES ? -BCT_ETOO_LARGE : 0;
}

void bct_gate_sse_forwarded(bct_gate_sse_t *e)
{
	e->count += e->read;
	e->read = 0;
	e->last_id = e->read_id;
	e->has_id = e->has_read_id;
}

void bct_gate_sse_resume(bct_gate_sse_t *e)
{
	evbuffer_drain(e->partial, evbuffer_get_length(e->partial));
	e->read = 0;
	e->read_id = e->last_id;
	e->has_read_id = e->has_id;
	e->skipping = e->has_id;
	e->skip_to_id = e->last_id;
}

bool bct_gate_sse_at_boundary(const bct_gate_sse_t *e)
{
	return evbuffer_get_length(e->partial) == 0;
}
