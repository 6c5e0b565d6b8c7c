/*
 * fuzz_answer.c - events from an engine, for a streamed request and for requests with one JSON
 * answer. The input is split into events at the bytes 0x1e. Checks that a refused event adds
 * nothing to the output, that the answer can always be finished, that a streamed answer consists
 * of data lines only, and that any other answer is valid JSON.
 */
#define _GNU_SOURCE
#include "base/err.h"
#include "base/json.h"
#include "node/answer.h"
#include "tests/fuzz/fuzz.h"

#include <string.h>

#define ATTEMPT_ID "00000000000000aa"
#define EVENT_END 0x1e /* separates events in the fuzz input */
#define REQUEST_ID "00000000000000bb"

static void feed_events(bct_attempt_t *a, const char *data, size_t size)
{
	const char *end = data + size;

	while (data < end) {
		const char *nl = memchr(data, EVENT_END, (size_t)(end - data));
		const char *stop = nl ? nl : end;
		size_t before = a->req->out.len_bytes;

		if (bct_answer_event(a, data, (size_t)(stop - data), 1))
			BCT_FUZZ_CHECK(a->req->out.len_bytes == before);
		data = stop + 1;
	}
}

/* Checks that each line is empty or begins with "data: ", and that the last one is terminated. */
static void check_sse_lines(const bct_buf_t *out)
{
	const char *line = out->data, *end;

	while ((end = strchr(line, '\n'))) {
		BCT_FUZZ_CHECK(end == line || !strncmp(line, "data: ", 6));
		line = end + 1;
	}
	BCT_FUZZ_CHECK(!*line);
}

static void run(const uint8_t *data, size_t size, bool stream, bct_request_kind_t kind)
{
	bct_request_t *r = bct_request_new(1, NULL);
	bct_attempt_t a = { .req = r, .id_hex = ATTEMPT_ID, .req_id_hex = REQUEST_ID };
	bct_json_err_t err;
	json_t *doc;

	BCT_FUZZ_CHECK(r != NULL);
	r->attempt = &a;
	r->stream = stream;
	r->kind = kind;
	feed_events(&a, (const char *)data, size);
	BCT_FUZZ_CHECK(!bct_answer_finish(&a));
	if (stream) {
		check_sse_lines(&r->out);
	} else {
		doc = bct_json_parse_strict(r->out.data, r->out.len_bytes, &err);
		BCT_FUZZ_CHECK(doc != NULL);
		json_decref(doc);
	}
	r->attempt = NULL;
	bct_request_unref(r);
}

BCT_FUZZ(answer)
{
	run(data, size, true, BCT_REQUEST_COMPLETION);
	run(data, size, false, BCT_REQUEST_CHAT);
	run(data, size, false, BCT_REQUEST_COMPLETION);
	return 0;
}
