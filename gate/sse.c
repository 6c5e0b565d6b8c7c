/*
 * sse.c - parser of server-sent events. An event ends with an empty line; if it has several "id:"
 * lines, the last one counts.
 */
#include "gate/sse.h"
#include "base/err.h"

#include <stdlib.h>
#include <string.h>

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

/* Finds the event's id. returns false if it has none. */
static bool find_id(const char *text, size_t len, uint64_t *id)
{
	const char *at = text, *end = text + len;
	bool found = false;

	while (at < end) {
		const char *nl = memchr(at, '\n', (size_t)(end - at));
		char number[24] = "";
		size_t n;

		if (!nl)
			break;
		n = (size_t)(nl - at);
		if (n > 3 && n < sizeof(number) + 3 && !memcmp(at, "id:", 3)) {
			memcpy(number, at + 3, n - 3);
			*id = strtoull(number, NULL, 10);
			found = true;
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

	if (!text)
		return -BCT_ENOMEM;
	if (find_id((const char *)text, len, &id)) {
		if (e->skipping && id <= e->skip_to_id) {
			evbuffer_drain(e->partial, len);
			return 0;
		}
		if (e->has_id && id <= e->last_id)
			return -BCT_ECODEC;
		e->last_id = id;
		e->has_id = true;
	}
	evbuffer_remove_buffer(e->partial, out, len);
	e->count++;
	return 1;
}

int bct_gate_sse_feed(bct_gate_sse_t *e, const char *data, size_t len_bytes, struct evbuffer *out)
{
	int n = 0, rc;
	size_t len;

	if (evbuffer_add(e->partial, data, len_bytes))
		return -BCT_ENOMEM;
	while ((len = event_bytes(e->partial)) > 0) {
		rc = pass_event(e, len, out);
		if (rc < 0)
			return rc;
		n += rc;
	}
	return evbuffer_get_length(e->partial) > EVENT_MAX_BYTES ? -BCT_ETOO_LARGE : n;
}

void bct_gate_sse_resume(bct_gate_sse_t *e)
{
	evbuffer_drain(e->partial, evbuffer_get_length(e->partial));
	e->skipping = e->has_id;
	e->skip_to_id = e->last_id;
}

bool bct_gate_sse_at_boundary(const bct_gate_sse_t *e)
{
	return evbuffer_get_length(e->partial) == 0;
}
