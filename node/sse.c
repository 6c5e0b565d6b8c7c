/*
 * sse.c - splits the stream into lines and collects data fields; ignores other fields and comments.
 */
#include "node/sse.h"
#include "base/err.h"

#include <string.h>

void bct_sse_init(bct_sse_t *p, size_t max_event_bytes, bct_sse_event_fn on_event, void *ctx)
{
	memset(p, 0, sizeof(*p));
	bct_buf_init(&p->line, max_event_bytes);
	bct_buf_init(&p->data, max_event_bytes);
	p->on_event = on_event;
	p->ctx = ctx;
}

void bct_sse_free(bct_sse_t *p)
{
	bct_buf_free(&p->line);
	bct_buf_free(&p->data);
}

/* An empty line ends an event. An event without data is ignored. */
static int end_event(bct_sse_t *p)
{
	int rc = 0;

	if (p->data.len_bytes)
		rc = p->on_event(p->ctx, p->data.data, p->data.len_bytes);
	bct_buf_clear(&p->data);
	return rc;
}

/* Processes a complete line; several data fields of an event are joined by line feeds. */
static int end_line(bct_sse_t *p)
{
	const char *line = p->line.len_bytes ? p->line.data : "";
	size_t len = p->line.len_bytes;
	int rc = 0;

	if (len && line[len - 1] == '\r')
		len--;
	if (!len) {
		rc = end_event(p);
	} else if (len >= 5 && !memcmp(line, "data:", 5)) {
		size_t skip = len > 5 && line[5] == ' ' ? 6 : 5;

		if (p->data.len_bytes)
			rc = bct_buf_puts(&p->data, "\n");
		if (!rc)
			rc = bct_buf_put(&p->data, line + skip, len - skip);
	}
	bct_buf_clear(&p->line);
	return rc;
}

int bct_sse_feed(bct_sse_t *p, const char *bytes, size_t len_bytes)
{
	const char *end = bytes + len_bytes;
	int rc;

	while (bytes < end) {
		const char *nl = memchr(bytes, '\n', (size_t)(end - bytes));
		const char *stop = nl ? nl : end;

		rc = bct_buf_put(&p->line, bytes, (size_t)(stop - bytes));
		if (rc)
			return rc;
		if (!nl)
			return 0;
		rc = end_line(p);
		if (rc)
			return rc;
		bytes = nl + 1;
	}
	return 0;
}
