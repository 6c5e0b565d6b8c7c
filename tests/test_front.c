/*
 * test_front.c - invalid input from callers. Each kind must get an answer with the right status and
 * reason, or a closed connection, and nothing may reach an upstream.
 */
#include "base/clock.h"
#include "base/err.h"
#include "tests/util_node.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define AUTH "Authorization: Bearer " TEST_TOKEN "\r\n"
#define HOST "Host: x\r\n"
#define GOOD "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}"
#define WAIT_MS 5000

/*
 * Sends raw bytes and checks the status and reason of the answer, and that no upstream was reached.
 *
 * status  0: the connection is closed without an answer
 * reason  NULL: libmicrohttpd itself may answer, so the body is not checked
 */
static void refused_raw(const void *bytes, size_t len, int status, const char *reason)
{
	char expected[64];
	test_node_t t;
	bct_buf_t out;

	test_node_start(&t, ", \"receive_timeout_ms\": 300, \"max_body_bytes\": 4096");
	test_exchange(bct_node_caller_port(t.node), bytes, len, WAIT_MS, &out);
	cr_assert_eq(test_status(&out), status, "status %d: %s", test_status(&out),
		     out.data ? out.data : "(no answer)");
	if (reason) {
		snprintf(expected, sizeof(expected), "\"reason\":\"%s\"", reason);
		cr_assert(strstr(out.data, expected), "no %s in %s", expected, out.data);
		cr_assert(strstr(out.data, "\"run\":\"not_run\""), "%s", out.data);
	}
	cr_assert_eq(test_upstream_connections(&t), 0, "the request reached an upstream");
	bct_buf_free(&out);
	test_node_stop(&t);
}

/* As refused_raw(), for a string. */
static void refused(const char *request, int status, const char *reason)
{
	refused_raw(request, strlen(request), status, reason);
}

/* Sends a completion request with valid headers and the given body. */
static void refused_body(const char *body, int status, const char *reason)
{
	char request[8192];
	int n = snprintf(request, sizeof(request),
			 "POST /v1/chat/completions HTTP/1.1\r\n" HOST AUTH
			 "Content-Length: %zu\r\n\r\n%s",
			 strlen(body), body);

	refused_raw(request, (size_t)n, status, reason);
}

/* Sends a valid body with the given header lines. */
static void refused_headers(const char *headers, int status, const char *reason)
{
	char request[8192];
	int n = snprintf(request, sizeof(request),
			 "POST /v1/chat/completions HTTP/1.1\r\n%s\r\n" GOOD, headers);

	refused_raw(request, (size_t)n, status, reason);
}

Test(front, bad_json)
{
	refused_body("{\"model\": ", 400, "bad_json");
}

Test(front, json_that_is_no_object)
{
	refused_body("[1, 2]", 400, "bad_json");
}

Test(front, duplicate_key_in_json)
{
	refused_body("{\"model\":\"m\",\"model\":\"m\",\"messages\":[]}", 400, "bad_json");
}

Test(front, json_too_deep)
{
	refused_body("{\"a\":[[[[[[[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]]]]]]]}", 400, "bad_json");
}

Test(front, bytes_that_are_not_utf8)
{
	refused_body(
		"{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"\xff\xfe\"}]}",
		400, "bad_json");
}

Test(front, field_of_the_wrong_type)
{
	refused_body("{\"model\":7,\"messages\":[]}", 400, "bad_field");
}

Test(front, stream_that_is_no_boolean)
{
	refused_body("{\"model\":\"m\",\"stream\":1,\"messages\":[{\"role\":\"user\","
		     "\"content\":\"x\"}]}",
		     400, "bad_field");
}

Test(front, max_tokens_out_of_range)
{
	refused_body("{\"model\":\"m\",\"max_tokens\":-1,\"messages\":[{\"role\":\"user\","
		     "\"content\":\"x\"}]}",
		     400, "bad_field");
}

Test(front, messages_missing)
{
	refused_body("{\"model\":\"m\"}", 400, "bad_field");
}

Test(front, content_of_the_wrong_type)
{
	refused_body("{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":3}]}", 400,
		     "bad_field");
}

Test(front, unknown_model)
{
	refused_body("{\"model\":\"other\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}",
		     404, "unknown_model");
}

Test(front, unknown_class)
{
	char headers[256];

	snprintf(headers, sizeof(headers), HOST AUTH "Chute-Class: nope\r\nContent-Length: %zu\r\n",
		 strlen(GOOD));
	refused_headers(headers, 404, "unknown_class");
}

Test(front, unknown_account)
{
	refused_headers(HOST "Authorization: Bearer wrong\r\nContent-Length: 58\r\n", 401,
			"bad_token");
}

Test(front, missing_token)
{
	refused_headers(HOST "Content-Length: 58\r\n", 401, "bad_token");
}

Test(front, token_of_another_scheme)
{
	refused_headers(HOST "Authorization: Basic " TEST_TOKEN "\r\nContent-Length: 58\r\n", 401,
			"bad_token");
}

Test(front, body_larger_than_allowed)
{
	refused("POST /v1/chat/completions HTTP/1.1\r\n" HOST AUTH "Content-Length: 999999\r\n\r\n",
		413, "too_large");
}

Test(front, chunked_body_larger_than_allowed)
{
	static char request[16384];
	int n = snprintf(request, sizeof(request),
			 "POST /v1/chat/completions HTTP/1.1\r\n" HOST AUTH
			 "Transfer-Encoding: chunked\r\n\r\n2000\r\n");

	memset(request + n, 'x', 0x2000);
	n += 0x2000;
	n += snprintf(request + n, sizeof(request) - (size_t)n, "\r\n0\r\n\r\n");
	refused_raw(request, (size_t)n, 413, "too_large");
}

Test(front, headers_larger_than_allowed)
{
	static char request[65536];
	int n = snprintf(request, sizeof(request), "GET /v1/models HTTP/1.1\r\n" HOST "X: ");

	memset(request + n, 'x', 40000);
	snprintf(request + n + 40000, 16, "\r\n\r\n");
	refused_raw(request, (size_t)n + 40004, 431, NULL);
}

Test(front, target_longer_than_allowed)
{
	static char request[8192];
	int n = snprintf(request, sizeof(request), "GET /v1/");

	memset(request + n, 'x', 3000);
	n += 3000;
	n += snprintf(request + n, sizeof(request) - (size_t)n, " HTTP/1.1\r\n" HOST "\r\n");
	refused_raw(request, (size_t)n, 413, "too_large");
}

Test(front, two_content_lengths)
{
	refused_headers(HOST AUTH "Content-Length: 58\r\nContent-Length: 10\r\n", 400,
			"bad_framing");
}

Test(front, content_length_beside_chunked)
{
	refused_headers(HOST AUTH "Content-Length: 58\r\nTransfer-Encoding: chunked\r\n", 400,
			"bad_framing");
}

Test(front, unknown_transfer_coding)
{
	refused_headers(HOST AUTH "Transfer-Encoding: gzip, chunked\r\n", 400, "bad_framing");
}

Test(front, content_length_that_is_no_number)
{
	refused_headers(HOST AUTH "Content-Length: +58\r\n", 400, NULL);
}

Test(front, no_host)
{
	refused_headers(AUTH "Content-Length: 58\r\n", 400, NULL);
}

Test(front, two_hosts)
{
	refused_headers(HOST HOST AUTH "Content-Length: 58\r\n", 400, "bad_request");
}

Test(front, unknown_path)
{
	refused("GET /v2/x HTTP/1.1\r\n" HOST AUTH "\r\n", 404, "unknown_path");
}

Test(front, method_not_allowed)
{
	refused("DELETE /v1/models HTTP/1.1\r\n" HOST AUTH "\r\n", 405, "bad_method");
}

Test(front, unknown_service)
{
	refused("GET /v1/services/nope/x HTTP/1.1\r\n" HOST AUTH "\r\n", 404, "unknown_service");
}

Test(front, idempotency_key_too_long)
{
	char request[1024];
	char key[400];

	memset(key, 'k', sizeof(key) - 1);
	key[sizeof(key) - 1] = '\0';
	snprintf(request, sizeof(request),
		 "POST /v1/services/booking/x HTTP/1.1\r\n" HOST AUTH
		 "Idempotency-Key: %s\r\nContent-Length: 0\r\n\r\n",
		 key);
	refused(request, 400, "bad_field");
}

Test(front, headers_that_never_end)
{
	refused("POST /v1/chat/completions HTTP/1.1\r\nHost: ", 0, NULL);
}

Test(front, body_that_never_ends)
{
	refused("POST /v1/chat/completions HTTP/1.1\r\n" HOST AUTH "Content-Length: 500\r\n\r\n{",
		0, NULL);
}

/*
 * A caller that sends a byte every 20 ms must not keep its connection open: the receive time limit
 * applies to the complete request and does not restart with every byte.
 */
Test(front, headers_sent_byte_by_byte)
{
	test_node_t t;
	char c;
	int fd;

	test_node_start(&t, ", \"receive_timeout_ms\": 300");
	fd = test_connect(bct_node_caller_port(t.node));
	cr_assert_eq(send(fd, "GET / HTTP/1.1\r\nX: ", 19, MSG_NOSIGNAL), 19);
	for (int i = 0; i < 100; i++) {
		usleep(20000);
		if (send(fd, "x", 1, MSG_NOSIGNAL) != 1 || recv(fd, &c, 1, MSG_DONTWAIT) == 0)
			break;
		cr_assert_lt(i, 99, "the connection is still open");
	}
	close(fd);
	test_node_stop(&t);
}

/* Idle connections must not keep another caller from being served. */
Test(front, a_thousand_idle_connections)
{
	static int fds[1000];
	test_node_t t;
	bct_buf_t out;
	uint16_t port;

	test_node_start(&t, ", \"receive_timeout_ms\": 60000");
	port = bct_node_caller_port(t.node);
	for (int i = 0; i < 1000; i++) {
		fds[i] = test_connect(port);
		cr_assert_geq(fds[i], 0, "connection %d", i);
	}
	test_exchange(port, "GET /v1/entry HTTP/1.1\r\n" HOST "\r\n", 36, WAIT_MS, &out);
	cr_assert_eq(test_status(&out), 200);
	for (int i = 0; i < 1000; i++)
		close(fds[i]);
	bct_buf_free(&out);
	test_node_stop(&t);
}

/* Shows that the check for upstream connections works: a valid request does reach the upstream. */
Test(front, good_request_reaches_the_upstream)
{
	char request[512];
	test_node_t t;
	bct_buf_t out;
	int n = snprintf(request, sizeof(request),
			 "POST /v1/chat/completions HTTP/1.1\r\n" HOST AUTH
			 "Content-Length: %zu\r\n\r\n" GOOD,
			 strlen(GOOD));

	test_node_start(&t, "");
	test_exchange(bct_node_caller_port(t.node), request, (size_t)n, WAIT_MS, &out);
	cr_assert_geq(test_upstream_connections(&t), 1);
	/* The stub closes every connection, like an upstream that crashes on the request. */
	cr_assert_geq(test_status(&out), 400);
	bct_buf_free(&out);
	test_node_stop(&t);
}

#define KEPT 8

/* Reads what has arrived. Returns false when the connection has ended. */
static bool read_kept(int fd, bct_buf_t *out)
{
	char buf[2048];
	ssize_t n;

	while ((n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
		bct_buf_put(out, buf, (size_t)n);
	return n != 0;
}

/*
 * A caller that went on using its kept connection was served without end after a stop, and the
 * process never left: after the lifetime of the addresses each answer says that the connection
 * closes, and idle ones are closed.
 */
Test(front, a_stop_ends_kept_connections, .timeout = 60)
{
	static const char request[] = "GET /v1/entry HTTP/1.1\r\n" HOST "\r\n";
	bct_time_t end;
	test_node_t t;
	int fds[KEPT], open = KEPT;
	bct_buf_t out[KEPT];

	test_node_start(&t, ", \"entry_lifetime_ms\": 200, \"receive_timeout_ms\": 60000");
	for (int i = 0; i < KEPT; i++) {
		fds[i] = test_connect(bct_node_caller_port(t.node));
		bct_buf_init(&out[i], 0);
		cr_assert_gt(send(fds[i], request, sizeof(request) - 1, MSG_NOSIGNAL), 0);
	}
	bct_node_drain(t.node);
	end = bct_clock_now() + WAIT_MS;
	while ((!bct_node_drained(t.node) || open) && bct_clock_now() < end) {
		for (int i = 0; i < KEPT; i++) {
			/* Half of them go on without a pause, the others are idle. */
			if (fds[i] >= 0 && i % 2)
				send(fds[i], request, sizeof(request) - 1, MSG_NOSIGNAL);
			if (fds[i] < 0 || read_kept(fds[i], &out[i]))
				continue;
			close(fds[i]);
			fds[i] = -1;
			open--;
		}
		bct_clock_sleep(5);
	}
	cr_expect_eq(open, 0, "%d connections are still open", open);
	cr_expect(bct_node_drained(t.node));
	for (int i = 0; i < KEPT; i++) {
		cr_expect(strstr(out[i].data, "HTTP/1.1 200"));
		cr_expect_eq(strstr(out[i].data, "onnection: close") != NULL, i % 2 == 1);
		bct_buf_free(&out[i]);
		if (fds[i] >= 0)
			close(fds[i]);
	}
	test_node_stop(&t);
}

/* Two parsers may disagree where such a request ends; the next node might take its body for one. */
static void framing_is_refused(const char *bytes, size_t len)
{
	test_node_t t;
	bct_buf_t out;

	test_node_start(&t, "");
	test_exchange(bct_node_caller_port(t.node), bytes, len, WAIT_MS, &out);
	cr_expect_eq(test_status(&out), 400, "%s", out.data ? out.data : "(no answer)");
	cr_expect_eq(test_upstream_connections(&t), 0, "the request reached an upstream");
	bct_buf_free(&out);
	test_node_stop(&t);
}

#define FRAMED(head, length_line) \
	"POST /v1/chat/completions HTTP/1.1" head AUTH length_line "\r\n" GOOD
#define REFUSED(bytes) framing_is_refused(bytes, sizeof(bytes) - 1)

Test(front, framing_bare_line_feeds)
{
	REFUSED(FRAMED("\n" HOST, "Content-Length: 57\r\n"));
}

Test(front, framing_space_before_the_colon)
{
	REFUSED(FRAMED("\r\n" HOST, "Content-Length : 57\r\n"));
}

Test(front, framing_sign_in_the_length)
{
	REFUSED(FRAMED("\r\n" HOST, "Content-Length: +57\r\n"));
}

Test(front, framing_folded_header)
{
	REFUSED(FRAMED("\r\n" HOST "X-A: b\r\n c\r\n", "Content-Length: 57\r\n"));
}

Test(front, framing_nul_in_a_header)
{
	REFUSED(FRAMED("\r\n" HOST "X-A: b\0c\r\n", "Content-Length: 57\r\n"));
}

/* Answers to what came before a malformed request come first, then its refusal; what looks like a
 * request in its body is none. */
Test(front, framing_is_refused_in_order)
{
	static const char bytes[] = "GET /v1/entry HTTP/1.1\r\n" HOST "\r\n"
				    "GET /v1/entry HTTP/1.1\r\n" HOST "Content-Length : 36\r\n\r\n"
				    "GET /v1/entry HTTP/1.1\r\n" HOST "\r\n";
	const char *first, *second;
	test_node_t t;
	bct_buf_t out;
	bct_time_t end;
	int fd;

	test_node_start(&t, "");
	bct_buf_init(&out, 0);
	fd = test_connect(bct_node_caller_port(t.node));
	cr_assert_eq(send(fd, bytes, sizeof(bytes) - 1, MSG_NOSIGNAL), sizeof(bytes) - 1);
	for (end = bct_clock_now() + WAIT_MS; read_kept(fd, &out) && bct_clock_now() < end;)
		bct_clock_sleep(5);
	close(fd);
	first = strstr(out.data, "HTTP/1.1 200");
	second = strstr(out.data, "HTTP/1.1 400");
	cr_expect(first && second && first < second, "%s", out.data);
	cr_expect_not(first && strstr(first + 1, "HTTP/1.1 200"), "%s", out.data);
	bct_buf_free(&out);
	test_node_stop(&t);
}

/* A body that comes in pieces, by length and in chunks, passes the check unchanged. */
Test(front, a_request_in_pieces_is_whole)
{
	static const char *const requests[] = {
		"POST /v1/chat/completions HTTP/1.1\r\n" HOST AUTH
		"Content-Length: 57\r\n\r\n" GOOD,
		"POST /v1/chat/completions HTTP/1.1\r\n" HOST AUTH
		"Transfer-Encoding: chunked\r\n\r\n39\r\n" GOOD "\r\n0\r\n\r\n",
	};

	for (int i = 0; i < 2; i++) {
		size_t len = strlen(requests[i]);
		test_node_t t;
		bct_buf_t out;
		bct_time_t end;
		int fd;

		test_node_start(&t, "");
		bct_buf_init(&out, 0);
		fd = test_connect(bct_node_caller_port(t.node));
		for (size_t at = 0; at < len; at++) {
			cr_assert_eq(send(fd, requests[i] + at, 1, MSG_NOSIGNAL), 1);
			usleep(500);
		}
		for (end = bct_clock_now() + WAIT_MS;
		     !out.len_bytes && read_kept(fd, &out) && bct_clock_now() < end;)
			bct_clock_sleep(5);
		close(fd);
		/* The stub closes every connection, like an upstream that crashes on the request.
		 */
		cr_expect_geq(test_status(&out), 422);
		cr_expect_geq(test_upstream_connections(&t), 1);
		bct_buf_free(&out);
		test_node_stop(&t);
	}
}
