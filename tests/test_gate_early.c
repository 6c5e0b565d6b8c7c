/*
 * test_gate_early.c - upstreams that answer while their request is still being sent to them, and
 * then end the connection in one way or another. util_raw.h sends the answers.
 */
#include "base/clock.h"
#include "tests/util_gate.h"
#include "tests/util_raw.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BODY_BYTES (4 * 1024 * 1024) /* larger than what kernels buffer on the way */
#define PART_BYTES (64 * 1024)
#define WAIT_MS 5000
#define ABORTS 10
#define OWN "X-Buckthornchute-Request-Attempt-Id: @id\r\nX-Buckthornchute-Server-Seal: s\r\n"
#define EVENTS "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"

static const raw_answer_t answers[] = {
	{ .text = "HTTP/1.1 200 OK\r\n" OWN "\r\ntheirs", .end = RAW_RESET },
	{ .text = "HTTP/1.1 200 OK\r\n" OWN "\r\ntheirs", .end = RAW_LATE_RESET },
	{ .text = "HTTP/1.1 200 OK\r\n" OWN "\r\ntheirs", .end = RAW_CLOSE },
	{ .text = "HTTP/1.1 200 OK\r\n" OWN "\r\nwhole body", .end = RAW_READ },
	{ .text = "HTTP/1.1 200 OK\r\n" OWN "Content-Length: 10\r\n\r\nwhole body",
	  .end = RAW_LATE_RESET },
	{ .text = "HTTP/1.1 200 OK\r\n" OWN EVENTS, .end = RAW_RESET },
	{ .text = "HTTP/1.1 200 OK\r\n" OWN EVENTS, .end = RAW_LATE_RESET },
	{ .text = "HTTP/1.1 200 OK\r\n" OWN EVENTS, .end = RAW_READ },
	{ .text = "HTTP/1.1 200 OK\r\n" OWN "Content-Length: 10\r\n\r\nwhole body",
	  .end = RAW_ABORT },
	{ .text = "HTTP/1.1 503 Service Unavailable\r\n" OWN
		  "X-Buckthornchute-Not-Executed: true\r\nContent-Length: 0\r\n\r\n",
	  .end = RAW_ABORT },
	{ .text = "HTTP/1.1 200 OK\r\n" OWN "\r\ntheirs", .end = RAW_ABORT },
	{ .text = "HTTP/1.1 200 OK\r\n" OWN EVENTS, .end = RAW_ABORT },
	{ .text = "HTTP/1.1 200 OK\r\n" OWN "Content-Length: 7\r\n\r\ntheirs", .end = RAW_ABORT },
};

static test_gate_t t;

/* Starts with room for large bodies, and unsafe requests that have the time to be sent. */
static void start(void)
{
	static const char small[] = "\"max_body_bytes\":4096",
			  large[] = "\"max_body_bytes\":9999999", brief[] = "\"timeout_ms\":1000",
			  lasting[] = "\"timeout_ms\":4000";
	char config[8192], *at;

	test_gate_start(&t);
	t.raw = answers;
	snprintf(config, sizeof(config), "%s", test_gate_config(2, "model"));
	at = strstr(config, brief);
	memcpy(at, lasting, strlen(lasting));
	at = strstr(config, small);
	memmove(at + strlen(large), at + strlen(small), strlen(at + strlen(small)) + 1);
	memcpy(at, large, strlen(large));
	test_gate_publish(&t, config);
}

/* Uploads a body; returns the status, 0 without an answer. */
static int upload(const char *path, const char *id, const char *script, size_t body_bytes,
		  bct_buf_t *out)
{
	size_t size = body_bytes + 512;
	char *text = malloc(size);
	int n = snprintf(text, size,
			 "POST %s HTTP/1.1\r\nHost: h.example\r\nApi-Key: k1\r\n"
			 "Connection: close\r\nX-Script: %s\r\n"
			 "X-Buckthornchute-Request-Attempt-Id: %s\r\nContent-Length: %zu\r\n\r\n",
			 path, script, id, body_bytes);

	memset(text + n, 'u', body_bytes);
	test_gate_raw(&t, text, (size_t)n + body_bytes, WAIT_MS, out);
	free(text);
	return strncmp(out->data, "HTTP/1.1 ", 9) ? 0 : atoi(out->data + 9);
}

/* An answer without a length whose connection is reset is a part, however the reset comes: at once,
 * or after the end of the answer, when more of the request arrives. */
Test(gate_early, a_part_of_an_answer_is_none, .timeout = 60)
{
	static const struct {
		uint32_t answer;
		size_t body_bytes;
	} cases[] = {
		{ 0, PART_BYTES },  { 0, BODY_BYTES },	{ 1, BODY_BYTES },
		{ 2, PART_BYTES },  { 2, BODY_BYTES },	{ 10, PART_BYTES },
		{ 10, BODY_BYTES }, { 12, PART_BYTES }, { 12, BODY_BYTES },
	};

	start();
	for (uint32_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		char id[32], path[32], script[32];
		bct_buf_t out;

		snprintf(id, sizeof(id), "part-%u", i);
		snprintf(path, sizeof(path), "/unsafe/%u", i);
		snprintf(script, sizeof(script), "early%u", cases[i].answer);
		cr_expect_eq(upload(path, id, script, cases[i].body_bytes, &out), 502, "%u: %s", i,
			     out.data);
		cr_expect(!strstr(out.data, "theirs"), "%u: %s", i, out.data);
		bct_buf_free(&out);
	}
	test_gate_stop(&t);
}

/* A request that may be repeated is sent again. */
Test(gate_early, a_part_of_an_answer_is_repaired, .timeout = 60)
{
	start();
	for (uint32_t i = 0; i < 3; i++) {
		char id[32], path[32], script[32];
		bct_buf_t out;

		snprintf(id, sizeof(id), "again-%u", i);
		snprintf(path, sizeof(path), "/safe/%u", i);
		snprintf(script, sizeof(script), "early%u,ok", i);
		cr_expect_eq(upload(path, id, script, BODY_BYTES, &out), 200, "%u: %s", i,
			     out.data);
		cr_expect(strstr(out.data, "\r\n\r\nbody"), "%u: %s", i, out.data);
		bct_buf_free(&out);
	}
	test_gate_stop(&t);
}

/* One whose upstream ends it in order and reads on is whole; and so is one that has a length. */
Test(gate_early, a_whole_early_answer_is_delivered, .timeout = 60)
{
	start();
	for (uint32_t i = 3; i < 5; i++) {
		char id[32], script[32];
		bct_buf_t out;

		snprintf(id, sizeof(id), "whole-%u", i);
		snprintf(script, sizeof(script), "early%u", i);
		cr_expect_eq(upload("/unsafe/a", id, script, BODY_BYTES, &out), 200, "%u: %s", i,
			     out.data);
		cr_expect(strstr(out.data, "\r\n\r\nwhole body"), "%u: %s", i, out.data);
		bct_buf_free(&out);
	}
	test_gate_stop(&t);
}

/* Guards against the loss of an answer that came whole: a reset at once comes beside it, so that
 * sending the request fails before the answer has been read. */
Test(gate_early, a_whole_answer_beside_a_reset_is_delivered, .timeout = 60)
{
	start();
	for (uint32_t i = 0; i < ABORTS; i++) {
		char id[32];
		bct_buf_t out;

		snprintf(id, sizeof(id), "beside-%u", i);
		cr_expect_eq(upload("/unsafe/a", id, "early8", BODY_BYTES, &out), 200, "%u: %s", i,
			     out.data);
		cr_expect(strstr(out.data, "\r\n\r\nwhole body"), "%u: %s", i, out.data);
		bct_buf_free(&out);
	}
	test_gate_stop(&t);
}

/* The same for an answer that says that an unsafe request has not run: its caller may send it
 * again, which it may not after 502. */
Test(gate_early, a_refusal_beside_a_reset_is_passed_on, .timeout = 60)
{
	start();
	for (uint32_t i = 0; i < ABORTS; i++) {
		char id[32];
		bct_buf_t out;

		snprintf(id, sizeof(id), "refused-%u", i);
		cr_expect_eq(upload("/unsafe/a", id, "early9", BODY_BYTES, &out), 503, "%u: %s", i,
			     out.data);
		cr_expect(strstr(out.data, "\r\nRetry-After: "), "%u: %s", i, out.data);
		bct_buf_free(&out);
	}
	test_gate_stop(&t);
}

/* The same for streams: a part must not look complete, and a whole one must. */
Test(gate_early, a_part_of_a_stream_is_not_complete, .timeout = 60)
{
	start();
	for (uint32_t i = 5; i < 8; i++) {
		char id[32], path[32], script[32];
		bct_buf_t out;
		bool whole = i == 7;

		snprintf(id, sizeof(id), "stream-%u", i);
		snprintf(path, sizeof(path), "/stream/%u", i);
		snprintf(script, sizeof(script), "early%u", i);
		cr_expect_eq(upload(path, id, script, BODY_BYTES, &out), 200, "%u: %s", i,
			     out.data);
		cr_expect(strstr(out.data, "data: e2"), "%u: %s", i, out.data);
		cr_expect_eq(strstr(out.data, "\r\n0\r\n\r\n") != NULL, whole, "%u: %s", i,
			     out.data);
		bct_buf_free(&out);
	}
	test_gate_stop(&t);
}

/* A stream that is cut by a reset at once may reach its caller or not, but never looks complete. */
Test(gate_early, a_part_of_a_stream_beside_a_reset_is_not_complete, .timeout = 60)
{
	bct_buf_t out;
	int status;

	start();
	status = upload("/stream/a", "stream-beside", "early11", BODY_BYTES, &out);
	cr_expect(status == 200 || status == 502, "%s", out.data);
	cr_expect(!strstr(out.data, "\r\n0\r\n\r\n"), "%s", out.data);
	bct_buf_free(&out);
	test_gate_stop(&t);
}
