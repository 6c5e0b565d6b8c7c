/*
 * test_curl_lines.c - heads of answers that libcurl reads for the parts of chuted and the
 * operators' programs. A malformed one must end the transfer, as its status and body can't be
 * believed.
 */
#include "base/err.h"
#include "http/curl_lines.h"
#include "tests/util_raw.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define TIMEOUT_MS 5000L
#define END "\r\n\r\n"
#define COUNT(list) (uint32_t)(sizeof(list) / sizeof(list[0]))

static size_t on_body(char *data, size_t size, size_t n, void *ctx)
{
	(void)data;
	*(size_t *)ctx += size * n;
	return size * n;
}

/* Fetches an answer. Returns its status, or 0 if the transfer failed. */
static long fetch(const raw_answer_t *a, size_t *body_bytes)
{
	CURL *e = curl_easy_init();
	bct_answer_lines_t lines;
	char url[64];
	long status = 0;

	*body_bytes = 0;
	snprintf(url, sizeof(url), "http://127.0.0.1:%u/", test_raw_serve(a, 1, "X-Id", NULL));
	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, body_bytes);
	bct_curl_check_lines(e, &lines);
	if (bct_curl_result(curl_easy_perform(e), &lines) == CURLE_OK)
		curl_easy_getinfo(e, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(e);
	return status;
}

Test(curl_lines, malformed_heads_end_a_transfer, .timeout = 60)
{
	static const raw_answer_t raw[] = {
		{ .text = "HTTP/1.1 000 X\r\nContent-Length: 2" END "{}" },
		{ .text = "HTTP/1.1 600 X\r\nContent-Length: 2" END "{}" },
		{ .text = "HTTP/1.1  200 X\r\nContent-Length: 2" END "{}" },
		{ .text = "HTTP/1.1 101 X\r\nContent-Length: 2" END "{}" },
		{ .text = "HTTP/1.1 200 X\r\nX Foo: a\r\nContent-Length: 2" END "{}" },
		{ .text = "HTTP/1.1 200 X\r\nContent-Length : 2" END "{}", .end = RAW_CLOSE },
		{ .text = "HTTP/1.1 200 X\nContent-Length: 2\n\n{}" },
		{ .text = "HTTP/1.1 100 X\r\nX Foo: a" END "HTTP/1.1 200 X\r\nContent-Length: 2" END
			  "{}" },
		{ .text = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked" END
			  "2\r\n{}\r\n0\r\nX Foo: a" END },
		{ .text = "HTTP/1.1 200 X\r\n", .end = RAW_ENDLESS, .again = "X-More: 1\r\n" },
		{ .text = "", .end = RAW_ENDLESS, .again = "HTTP/1.1 100 Continue" END },
	};
	size_t body_bytes;

	for (uint32_t i = 0; i < COUNT(raw); i++)
		cr_expect_eq(fetch(&raw[i], &body_bytes), 0, "%u: %s", i, raw[i].text);
}

/* libcurl takes the end of a connection for that of an answer, also within the head. */
Test(curl_lines, a_head_that_ends_early_is_none, .timeout = 60)
{
	static const raw_answer_t raw[] = {
		{ .text = "HTTP/1.1 200", .end = RAW_CLOSE },
		{ .text = "HTTP/1.1 200 X\r\n", .end = RAW_CLOSE },
		{ .text = "HTTP/1.1 200 X\r\nX-Foo: a\r\n", .end = RAW_CLOSE },
		{ .text = "HTTP/1.1 200 X\r\nX-Foo: a\r\n\r", .end = RAW_CLOSE },
		{ .text = "HTTP/1.1 200 X\r\nContent-Le", .end = RAW_CLOSE },
		{ .text = "HTTP/1.1 200 X\r\nContent-Length: 0\r\n", .end = RAW_CLOSE },
		{ .text = "HTTP/1.1 204 X\r\n", .end = RAW_CLOSE },
		{ .text = "HTTP/1.1 503 X\r\n", .end = RAW_CLOSE },
		{ .text = "HTTP/1.1 100 X" END, .end = RAW_CLOSE },
		{ .text = "HTTP/1.1 100 X" END "HTTP/1.1 200 X\r\n", .end = RAW_CLOSE },
	};
	size_t body_bytes;

	for (uint32_t i = 0; i < COUNT(raw); i++)
		cr_expect_eq(fetch(&raw[i], &body_bytes), 0, "%u: %s", i, raw[i].text);
}

Test(curl_lines, sound_heads_are_read, .timeout = 60)
{
	static const raw_answer_t raw[] = {
		{ .text = "HTTP/1.1 200 X\r\nContent-Length: 2" END "{}" },
		{ .text = "HTTP/1.0 200\r\n\r\n{}", .end = RAW_CLOSE },
		{ .text = "HTTP/1.1 100 X" END "HTTP/1.1 200 X\r\nContent-Length: 2" END "{}" },
		{ .text = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked" END
			  "2\r\n{}\r\n0\r\nX-Foo: a" END },
	};
	size_t body_bytes;

	for (uint32_t i = 0; i < COUNT(raw); i++) {
		cr_expect_eq(fetch(&raw[i], &body_bytes), 200, "%u: %s", i, raw[i].text);
		cr_expect_eq(body_bytes, 2, "%u: %s", i, raw[i].text);
	}
}

/* All lines of an answer together: BCT_ANSWER_LINES_MAX_BYTES, and one byte more. */
Test(curl_lines, the_edge_of_the_length)
{
	static const char status[] = "HTTP/1.1 200 X\r\n", end[] = "\r\n";
	static char field[BCT_ANSWER_LINES_MAX_BYTES];
	size_t room = BCT_ANSWER_LINES_MAX_BYTES - strlen(status) - strlen(end);

	memset(field, 'a', sizeof(field));
	memcpy(field, "X:", 2);
	for (size_t more = 0; more <= 1; more++) {
		bct_answer_lines_t a = { 0 };

		memset(field + 2, 'a', sizeof(field) - 2);
		memcpy(field + room + more - 2, "\r\n", 2);
		cr_assert_eq(bct_answer_line(&a, status, strlen(status)), 0);
		cr_assert_eq(bct_answer_line(&a, field, room + more), 0);
		cr_expect_eq(bct_answer_line(&a, end, strlen(end)), more ? -BCT_ETOO_LARGE : 0);
	}
}
