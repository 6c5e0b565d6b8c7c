/*
 * test_gate_head.c - answers to HEAD: they have no body, so that the next answer on the connection
 * begins right behind their head. util_gate.h lists the scripted actions.
 */
#include "tests/util_gate.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

static test_gate_t gate;

#define CALL "Host: h.example\r\nX-Buckthornchute-Request-Attempt-Id: "

/*
 * Sends HEAD and then a booking on one connection. Checks that the answer to the first has the
 * status and no body, and that the second is answered by its upstream.
 */
static void expect_no_body(const char *head_request, const char *status)
{
	char text[1024], begin[32];
	const char *end;
	bct_buf_t out;
	int n = snprintf(text, sizeof(text),
			 "%sPOST /unsafe/b HTTP/1.1\r\nApi-Key: k1\r\nX-Script: ok\r\n"
			 "Content-Length: 0\r\nConnection: close\r\n" CALL "b\r\n\r\n",
			 head_request);

	test_gate_raw(&gate, text, (size_t)n, 3000, &out);
	snprintf(begin, sizeof(begin), "HTTP/1.1 %s ", status);
	cr_expect_eq(strncmp(out.data, begin, strlen(begin)), 0, "%s", out.data);
	end = strstr(out.data, "\r\n\r\n");
	cr_assert(end);
	cr_expect_eq(strncmp(end + 4, "HTTP/1.1 200 ", 13), 0, "%s", out.data);
	cr_expect(strstr(end + 4, "\r\n\r\nbody"), "%s", out.data);
	bct_buf_free(&out);
}

/* review/2: the text of the gateway's own answer stood where the answer to the next request on the
 * connection was due. */
Test(gate_head, own_answers_have_no_body)
{
	test_gate_start(&gate);
	expect_no_body("HEAD /none HTTP/1.1\r\nApi-Key: k1\r\n" CALL "h1\r\n\r\n", "404");
	expect_no_body("HEAD /safe/a HTTP/1.1\r\nApi-Key: k9\r\n" CALL "h2\r\n\r\n", "401");
	expect_no_body("HEAD /unsafe/a HTTP/1.1\r\nApi-Key: k1\r\nX-Script: reset\r\n" CALL
		       "h3\r\n\r\n",
		       "502");
	expect_no_body("HEAD /unsafe/a HTTP/1.1\r\nApi-Key: k1\r\nX-Script: notrun\r\n" CALL
		       "h4\r\n\r\n",
		       "503");
	test_gate_stop(&gate);
}

/* An upstream's answer keeps the length that it states of a body that is not sent. */
Test(gate_head, forwarded_answers_have_no_body)
{
	bct_buf_t out;

	test_gate_start(&gate);
	expect_no_body("HEAD /safe/a HTTP/1.1\r\nApi-Key: k1\r\nX-Script: head\r\n" CALL
		       "f1\r\n\r\n",
		       "200");
	expect_no_body("HEAD /resume/a HTTP/1.1\r\nApi-Key: k1\r\nX-Script: headstream\r\n" CALL
		       "f2\r\n\r\n",
		       "200");
	test_gate_call(&gate, "HEAD", "/safe/a", "f3", "head", &out);
	cr_expect(strstr(out.data, "\r\nContent-Length: 4\r\n"), "%s", out.data);
	bct_buf_free(&out);
	test_gate_stop(&gate);
}

/* Without a configuration, and for a head that is too large. */
Test(gate_head, early_answers_have_no_body)
{
	bct_buf_t out;

	test_gate_start_down(&gate);
	test_gate_call(&gate, "HEAD", "/safe/a", "e1", "ok", &out);
	cr_expect_eq(strncmp(out.data, "HTTP/1.1 503 ", 13), 0, "%s", out.data);
	cr_expect_str_eq(strstr(out.data, "\r\n\r\n"), "\r\n\r\n");
	bct_buf_free(&out);
	test_gate_stop(&gate);
}
