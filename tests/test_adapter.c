/*
 * test_adapter.c - decoding of the platform's documents and headers, and rejection of malformed
 * ones.
 */
#include "base/err.h"
#include "platform/adapter.h"
#include "platform/decode.h"

#include <criterion/criterion.h>
#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENTRY                                                                          \
	"{\"service\":\"s\",\"address\":\"10.0.0.9:8080\",\"zone\":\"z\","             \
	"\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0," \
	"\"sequence\":4,\"born\":1700000000000}"

static int decode(const char *id, const char *text, bct_gate_entry_t *e)
{
	return bct_decode_entry(id, text, strlen(text), e);
}

Test(adapter, entry)
{
	bct_gate_entry_t e;

	cr_assert_eq(decode("i-1", ENTRY, &e), 0);
	cr_assert_str_eq(e.ip, "10.0.0.9");
	cr_assert_eq(e.port, 8080);
	cr_assert_eq(e.born_ms, 1700000000000);
	cr_assert_eq(e.sequence, 4);
	cr_assert_not(e.draining);
}

Test(adapter, spot_entry)
{
	bct_gate_entry_t e;

	cr_assert_eq(decode("i-1", ENTRY, &e), 0);
	cr_assert_not(e.spot);
	cr_assert_eq(decode("i-1",
			    "{\"service\":\"s\",\"address\":\"10.0.0.9:8080\",\"zone\":\"z\","
			    "\"version\":\"v1\",\"slots\":64,\"state\":\"draining\",\"spot\":true,"
			    "\"leaves_ms\":1900.5,\"sequence\":5,\"cold_remaining_ms\":0}",
			    &e),
		     0);
	cr_assert(e.spot);
	cr_assert_eq(e.leaves_ms, 1900);
}

/* The topic may hold records of other writers. Malformed ones must not become upstreams. */
Test(adapter, malformed_entries_are_rejected)
{
	static const char *const bad[] = {
		"",
		"{",
		"[]",
		"7",
		"{\"service\":\"s\"}",
		"\xff\xfe",
		"{\"service\":1,\"address\":\"10.0.0.9:8080\",\"zone\":\"z\",\"slots\":1,"
		"\"state\":\"ready\",\"sequence\":1}",
		"{\"service\":\"s\",\"address\":\"10.0.0.9\",\"zone\":\"z\",\"slots\":1,"
		"\"state\":\"ready\",\"sequence\":1}",
		"{\"service\":\"s\",\"address\":\"10.0.0.9:99999\",\"zone\":\"z\",\"slots\":1,"
		"\"state\":\"ready\",\"sequence\":1}",
		"{\"service\":\"s\",\"address\":\"10.0.0.9:80x\",\"zone\":\"z\",\"slots\":1,"
		"\"state\":\"ready\",\"sequence\":1}",
		"{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":1,"
		"\"state\":\"odd\",\"sequence\":1}",
		"{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":1,"
		"\"state\":\"ready\",\"sequence\":\"1\"}",
		"{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":1,"
		"\"state\":\"ready\",\"sequence\":1,\"born\":1.5}",
	};
	bct_gate_entry_t e;

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		cr_assert_eq(decode("i-1", bad[i], &e), -BCT_ECODEC, "%s", bad[i]);
	cr_assert_eq(decode("", ENTRY, &e), -BCT_ECODEC);
}

/* An entry whose fields are sound but for one. */
#define ODD(address, slots, cold, sequence, born)                                       \
	"{\"service\":\"s\",\"address\":" address ",\"zone\":\"z\",\"version\":\"v1\"," \
	"\"slots\":" slots ",\"state\":\"ready\",\"cold_remaining_ms\":" cold           \
	",\"sequence\":" sequence ",\"born\":" born "}"
#define SOUND "\"10.0.0.9:8080\""

/* Numbers that are too large or of another type, and addresses that nobody can have: such an entry
 * was used as an upstream, or outdid all later entries under its id. */
Test(adapter, entries_that_name_no_upstream_are_rejected)
{
	static const char *const bad[] = {
		ODD("\"10.0.0.9:65536\"", "1", "0", "1", "1"),
		ODD("\"10.0.0.9:-65535\"", "1", "0", "1", "1"),
		ODD("\"10.0.0.9:-18446744073709551536\"", "1", "0", "1", "1"),
		ODD("\"10.0.0.9:+80\"", "1", "0", "1", "1"),
		ODD("\"10.0.0.9: 80\"", "1", "0", "1", "1"),
		ODD("\"10.0.0.9:\"", "1", "0", "1", "1"),
		ODD("\"10.0.0.256:80\"", "1", "0", "1", "1"),
		ODD("\"10.0.0:80\"", "1", "0", "1", "1"),
		ODD("\"engine:80\"", "1", "0", "1", "1"),
		ODD("\"0.0.0.0:80\"", "1", "0", "1", "1"),
		ODD("\"239.1.1.1:80\"", "1", "0", "1", "1"),
		ODD("\"255.255.255.255:80\"", "1", "0", "1", "1"),
		ODD("[\"10.0.0.9:8080\"]", "1", "0", "1", "1"),
		ODD(SOUND, "0", "0", "1", "1"),
		ODD(SOUND, "-1", "0", "1", "1"),
		ODD(SOUND, "4294967297", "0", "1", "1"),
		ODD(SOUND, "9223372036854775807", "0", "1", "1"),
		ODD(SOUND, "9223372036854775808", "0", "1", "1"),
		ODD(SOUND, "1e30", "0", "1", "1"),
		ODD(SOUND, "1e999", "0", "1", "1"),
		ODD(SOUND, "true", "0", "1", "1"),
		ODD(SOUND, "1", "-1", "1", "1"),
		ODD(SOUND, "1", "1e300", "1", "1"),
		ODD(SOUND, "1", "\"0\"", "1", "1"),
		ODD(SOUND, "1", "null", "1", "1"),
		ODD(SOUND, "1", "0", "-1", "1"),
		ODD(SOUND, "1", "0", "9223372036854775807", "1"),
		ODD(SOUND, "1", "0", "4294967296", "1"),
		ODD(SOUND, "1", "0", "1", "-1"),
		ODD(SOUND, "1", "0", "1", "9223372036854775807"),
		ODD(SOUND, "1", "0", "1", "8000000000001"),
		ODD(SOUND, "1", "0", "1", "1,\"born\":2"),
	};
	bct_gate_entry_t e;

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		cr_assert_eq(decode("i-1", bad[i], &e), -BCT_ECODEC, "%s", bad[i]);
	cr_assert_eq(decode("i-1", ODD(SOUND, "1", "0.5", "4294967295", "8000000000000"), &e), 0);
	cr_assert_eq(decode("i 1", ENTRY, &e), -BCT_ECODEC);
	cr_assert_eq(decode("i-1\r\nX: 1", ENTRY, &e), -BCT_ECODEC);
}

/* The stack of the thread that reads the registry has its limits. */
Test(adapter, deep_nesting_is_rejected)
{
	static const char *const opening[] = { "[", "{\"a\":", "[{\"a\":" };
	size_t depth = 80000;
	char *text = malloc(depth * 8);
	bct_gate_entry_t e;

	for (size_t i = 0; i < sizeof(opening) / sizeof(opening[0]); i++) {
		text[0] = '\0';
		for (size_t k = 0, n = strlen(opening[i]); k < depth; k++)
			memcpy(text + k * n, opening[i], n + 1);
		cr_assert_eq(decode("i-1", text, &e), -BCT_ECODEC);
	}
	free(text);
}

#define ENTRY_WITH(more)                                                         \
	"{\"service\":\"s\",\"address\":\"10.0.0.9:8080\",\"zone\":\"z\","       \
	"\"version\":\"v1\",\"slots\":64,\"state\":\"draining\",\"sequence\":4," \
	"\"cold_remaining_ms\":0,\"born\":1700000000000," more "}"

/* An engine whose reclaiming can't be read must still count as an engine. */
Test(adapter, reclaiming_of_an_entry)
{
	static const char *const bad[] = {
		ENTRY_WITH("\"spot\":1,\"leaves_ms\":\"soon\""),
		ENTRY_WITH("\"spot\":\"true\",\"leaves_ms\":-1"),
		ENTRY_WITH("\"spot\":null,\"leaves_ms\":1e300"),
	};
	bct_gate_entry_t e;

	cr_assert_eq(decode("i-1", ENTRY, &e), 0);
	cr_assert_not(e.spot);
	cr_assert_eq(e.leaves_ms, 0);
	cr_assert_eq(decode("i-1", ENTRY_WITH("\"spot\":true,\"leaves_ms\":1800.9"), &e), 0);
	cr_assert(e.spot);
	cr_assert_eq(e.leaves_ms, 1800);
	cr_assert_eq(decode("i-1", ENTRY_WITH("\"leaves_ms\":99999999999"), &e), 0);
	cr_assert_eq(e.leaves_ms, UINT32_MAX);
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		cr_assert_eq(decode("i-1", bad[i], &e), 0, "%s", bad[i]);
		cr_assert_not(e.spot, "%s", bad[i]);
		cr_assert_eq(e.leaves_ms, 0, "%s", bad[i]);
	}
}

/* Decodes a configuration with one service that has this autoscaling. */
static bct_gate_routes_t *scaled(const char *autoscaling)
{
	bct_gate_routes_t *t = NULL;
	char text[2048];

	snprintf(text, sizeof(text),
		 "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\","
		 "\"service\":\"s\"}],\"services\":[{\"name\":\"s\",\"autoscaling\":%s}]}",
		 autoscaling);
	cr_assert_eq(bct_decode_routes(text, strlen(text), &t), 0, "%s", autoscaling);
	return t;
}

Test(adapter, scaling)
{
	bct_gate_routes_t *t =
		scaled("{\"minimum\":1,\"maximum\":12,\"boot_s\":2.5,\"spot_price\":0.15,"
		       "\"zone_prices\":{\"za\":1,\"zb\":1.25}}");
	const bct_autoscale_conf_t *c = &t->services[0].scaling;

	cr_assert_null(t->services[0].scaling_fault);
	cr_assert_eq(c->minimum, 1);
	cr_assert_eq(c->maximum, 12);
	cr_assert_eq(c->boot_ms, 2500);
	cr_assert_float_eq(c->spot_price, 0.15, 1e-9);
	cr_assert_eq(c->n_domains, 2);
	cr_assert_str_eq(c->domains[1].name, "zb");
	cr_assert_float_eq(c->domains[1].price, 1.25, 1e-9);
	bct_gate_routes_unref(t);
	t = scaled("null");
	cr_assert_eq(t->services[0].scaling.n_domains, 0);
	cr_assert_null(t->services[0].scaling_fault);
	bct_gate_routes_unref(t);
}

/*
 * A mistake in the scaling of one service must not stop the routes of all from being updated, nor
 * order engines by half of it.
 */
Test(adapter, an_invalid_scaling_leaves_the_service_unscaled)
{
	static const char *const bad[] = {
		"7",
		"[]",
		"{}",
		"{\"minimum\":1,\"maximum\":3}",
		"{\"minimum\":1,\"maximum\":3,\"zone_prices\":{}}",
		"{\"minimum\":4,\"maximum\":3,\"zone_prices\":{\"z\":1}}",
		"{\"minimum\":-1,\"maximum\":3,\"zone_prices\":{\"z\":1}}",
		"{\"minimum\":1.5,\"maximum\":3,\"zone_prices\":{\"z\":1}}",
		"{\"minimum\":1,\"maximum\":\"3\",\"zone_prices\":{\"z\":1}}",
		"{\"minimum\":1,\"maximum\":4294967297,\"zone_prices\":{\"z\":1}}",
		"{\"maximum\":3,\"zone_prices\":{\"z\":1}}",
		"{\"minimum\":1,\"maximum\":3,\"boot_s\":\"4\",\"zone_prices\":{\"z\":1}}",
		"{\"minimum\":1,\"maximum\":3,\"boot_s\":-4,\"zone_prices\":{\"z\":1}}",
		"{\"minimum\":1,\"maximum\":3,\"spot_price\":-1,\"zone_prices\":{\"z\":1}}",
		"{\"minimum\":1,\"maximum\":3,\"spot_price\":true,\"zone_prices\":{\"z\":1}}",
		"{\"minimum\":1,\"maximum\":3,\"zone_prices\":{\"z\":\"1\"}}",
		"{\"minimum\":1,\"maximum\":3,\"zone_prices\":{\"z\":-1}}",
		"{\"minimum\":1,\"maximum\":3,\"zone_prices\":{\"\":1}}",
		"{\"minimum\":1,\"maximum\":3,\"zone_prices\":[1]}",
		"{\"minimum\":1,\"maximum\":3,\"zone_prices\":{\"a\":1,\"b\":1,\"c\":1,\"d\":1,"
		"\"e\":1,\"f\":1,\"g\":1,\"h\":1,\"i\":1}}",
		"{\"minimum\":1,\"maximum\":3,\"zone_prices\":{\"0123456789012345678901234567890123"
		"456789012345678901234567890123\":1}}",
	};

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		bct_gate_routes_t *t = scaled(bad[i]);

		cr_assert_eq(t->services[0].scaling.n_domains, 0, "%s", bad[i]);
		cr_assert_eq(t->services[0].scaling.maximum, 0, "%s", bad[i]);
		cr_assert_not_null(t->services[0].scaling_fault, "%s", bad[i]);
		bct_gate_routes_unref(t);
	}
}

Test(adapter, incomplete_configurations_are_rejected)
{
	static const char *const bad[] = {
		"",
		"{}",
		"{\"version\":1}",
		"{\"version\":\"1\",\"routes\":[],\"services\":[]}",
		"{\"version\":1,\"routes\":[{\"name\":\"r\"}],\"services\":[]}",
		"{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\","
		"\"service\":\"none\"}],\"services\":[]}",
	};
	bct_gate_routes_t *t = NULL;

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		cr_assert_lt(bct_decode_routes(bad[i], strlen(bad[i]), &t), 0, "%s", bad[i]);
	cr_assert_null(t);
}

/* Failure guarded against: a service that is to be scaled is not, or engines are ordered for one
 * whose failure domains don't fit. */
Test(adapter, scaling_by_failure_domain)
{
	static const char text[] =
		"{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\"},{\"name\":\"e\","
		"\"autoscaling\":{\"minimum\":2,\"maximum\":23,\"boot_s\":4.5,\"spot_price\":0.15,"
		"\"zone_prices\":{\"a\":1,\"b\":1.25}}},{\"name\":\"m\",\"autoscaling\":{"
		"\"zone_prices\":{\"1\":1,\"2\":1,\"3\":1,\"4\":1,\"5\":1,\"6\":1,\"7\":1,"
		"\"8\":1,\"9\":1}}}]}";
	bct_gate_routes_t *t = NULL;
	const bct_autoscale_conf_t *c;

	cr_assert_eq(bct_decode_routes(text, strlen(text), &t), 0);
	c = &t->services[1].scaling;
	cr_assert_eq(t->services[0].scaling.n_domains, 0);
	cr_assert_eq(t->services[2].scaling.n_domains, 0);
	cr_assert_eq(c->n_domains, 2);
	cr_assert_eq(c->minimum, 2);
	cr_assert_eq(c->maximum, 23);
	cr_assert_eq(c->boot_ms, 4500);
	cr_assert_float_eq(c->spot_price, 0.15, 1e-9);
	cr_assert_str_eq(c->domains[1].name, "b");
	cr_assert_float_eq(c->domains[1].price, 1.25, 1e-9);
	bct_gate_routes_unref(t);
}

static void read_head(bct_http_msg_t *m, enum http_parser_type type, const char *text)
{
	struct evbuffer *in = evbuffer_new();

	bct_http_msg_init(m, type);
	evbuffer_add(in, text, strlen(text));
	bct_http_msg_read(m, in, 4096);
	evbuffer_free(in);
}

Test(adapter, calls)
{
	bct_wire_call_t call;
	bct_http_msg_t m;

	read_head(&m, HTTP_REQUEST,
		  "POST /a HTTP/1.1\r\nHost: h\r\nX-Buckthornchute-Request-Attempt-Id: 9c\r\n"
		  "X-Buckthornchute-Token-Counts: 1460,80\r\nApi-Key: k\r\nLast-Event-Id: 7\r\n"
		  "X-Buckthornchute-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410, e4402b7d:250\r\n"
		  "X-Buckthornchute-Deadline-Milliseconds: 8000\r\n\r\n");
	bct_adapter_wire()->decode_call(&m, &call);
	cr_assert_str_eq(call.id, "9c");
	cr_assert_str_eq(call.secret, "k");
	cr_assert_eq(call.wait_ms, 8000);
	cr_assert_eq(call.prompt_tokens, 1460);
	cr_assert_eq(call.max_output_tokens, 80);
	cr_assert_eq(call.n_segments, 3);
	cr_assert_eq(call.segments[2].id, 0xe4402b7d);
	cr_assert_eq(call.segments[2].tokens, 250);
	cr_assert(call.resumes);
	cr_assert_eq(call.after_event, 7);
	bct_http_msg_free(&m);
	read_head(&m, HTTP_REQUEST, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
	bct_adapter_wire()->decode_call(&m, &call);
	cr_assert_eq(call.wait_ms, -1);
	cr_assert_eq(call.n_segments, 0);
	cr_assert_not(call.resumes);
	bct_http_msg_free(&m);
}

/* A caller that states a wait beyond any clock still waits: the sum of it and the time of arrival
 * overflowed, so that the request counted as late when it came. */
Test(adapter, a_wait_of_any_length_is_one)
{
	static const char *const waits[] = { "9223372036854775807", "99999999999999999999999" };
	bct_wire_call_t call;
	bct_http_msg_t m;

	for (int i = 0; i < 2; i++) {
		char head[256];

		snprintf(head, sizeof(head),
			 "GET /a HTTP/1.1\r\nHost: h\r\n"
			 "X-Buckthornchute-Deadline-Milliseconds: %s\r\n\r\n",
			 waits[i]);
		read_head(&m, HTTP_REQUEST, head);
		bct_adapter_wire()->decode_call(&m, &call);
		cr_expect_gt(call.wait_ms, 3600000, "%s", waits[i]);
		cr_expect_lt(call.wait_ms, INT64_MAX / 2, "%s", waits[i]);
		bct_http_msg_free(&m);
	}
}

Test(adapter, answers)
{
	bct_wire_answer_t a;
	bct_http_msg_t m;

	read_head(&m, HTTP_RESPONSE,
		  "HTTP/1.1 200 OK\r\nX-Buckthornchute-Request-Attempt-Id: 9c\r\n"
		  "X-Buckthornchute-Server-Seal: s\r\nKeep-Alive: timeout=5\r\n"
		  "Content-Length: 0\r\n\r\n");
	bct_adapter_wire()->decode_answer(&m, &a);
	cr_assert(a.sealed && !a.not_run && !a.identity_mismatch);
	cr_assert_str_eq(a.call_id, "9c");
	cr_assert_eq(a.idle_ms, 5000);
	bct_http_msg_free(&m);
	read_head(&m, HTTP_RESPONSE, "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n");
	bct_adapter_wire()->decode_answer(&m, &a);
	cr_assert(a.identity_mismatch && a.not_run);
	bct_http_msg_free(&m);
	read_head(&m, HTTP_RESPONSE, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
	bct_adapter_wire()->decode_answer(&m, &a);
	cr_assert_not(a.not_run);
	bct_http_msg_free(&m);
}

static bct_gate_notice_t notice_of(const char *headers)
{
	bct_wire_answer_t a;
	bct_http_msg_t m;
	char text[512];

	snprintf(text, sizeof(text), "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", headers);
	read_head(&m, HTTP_RESPONSE, text);
	bct_adapter_wire()->decode_answer(&m, &a);
	bct_http_msg_free(&m);
	return a.notice;
}

/* An upstream names its limit as a decimal number; anything else is ignored and reported. */
Test(adapter, limits)
{
	static const char *const bad[] = {
		"Server-Limit: \r\n",	  "Server-Limit: -1\r\n",
		"Server-Limit: 1e3\r\n",  "Server-Limit: 1,5\r\n",
		"Server-Limit: nan\r\n",  "Server-Limit: 0x10\r\n",
		"Server-Limit: 1.\r\n",	  "Server-Limit: 1.5.2\r\n",
		"Server-Limit: many\r\n", "Server-Limit: 1\r\nServer-Limit: 2\r\n",
	};

	cr_assert_not(notice_of("").limits);
	cr_assert_not(notice_of("").malformed);
	cr_assert_eq(notice_of("Server-Limit: 1.8\r\n").limit_mrps, 1800);
	cr_assert_eq(notice_of("server-limit: 12\r\n").limit_mrps, 12000);
	cr_assert_eq(notice_of("Server-Limit: 0.25\r\n").limit_mrps, 250);
	cr_assert(notice_of("Server-Limit: 0\r\n").limits);
	cr_assert_eq(notice_of("Server-Limit: 99999999999\r\n").limit_mrps, 1000000000);
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		cr_assert_not(notice_of(bad[i]).limits, "%s", bad[i]);
		cr_assert(notice_of(bad[i]).malformed, "%s", bad[i]);
	}
}

Test(adapter, leaving)
{
	cr_assert_not(notice_of("").leaves);
	cr_assert(notice_of("Server-Leaving: 1\r\n").leaves);
	cr_assert_not(notice_of("Server-Leaving: 0\r\n").leaves);
	cr_assert_not(notice_of("Server-Leaving: true\r\n").leaves);
	cr_assert(notice_of("Server-Leaving: 11\r\n").malformed);
	/* One statement that can't be read doesn't hide the other. */
	cr_assert(notice_of("Server-Limit: x\r\nServer-Leaving: 1\r\n").leaves);
}

Test(adapter, brittle)
{
	static const char *const bad[] = { "Server-Brittle: \r\n", "Server-Brittle: -1\r\n",
					   "Server-Brittle: few\r\n",
					   "Server-Brittle: 1\r\nServer-Brittle: 1\r\n" };

	cr_assert_not(notice_of("").brittle);
	cr_assert(notice_of("Server-Brittle: 0\r\n").brittle);
	cr_assert_eq(notice_of("server-brittle: 3\r\n").bears, 3);
	cr_assert_eq(notice_of("Server-Brittle: 3.9\r\n").bears, 3);
	cr_assert_eq(notice_of("Server-Brittle: 99999999999\r\n").bears, 1000000);
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		cr_assert_not(notice_of(bad[i]).brittle, "%s", bad[i]);
		cr_assert(notice_of(bad[i]).malformed, "%s", bad[i]);
	}
}

static uint32_t pause_of(int status, const char *headers)
{
	bct_wire_answer_t a;
	bct_http_msg_t m;
	char text[512];

	snprintf(text, sizeof(text), "HTTP/1.1 %d X\r\n%sContent-Length: 0\r\n\r\n", status,
		 headers);
	read_head(&m, HTTP_RESPONSE, text);
	bct_adapter_wire()->decode_answer(&m, &a);
	bct_http_msg_free(&m);
	return a.notice.pause_ms;
}

/* A pause is asked for with a 503 only, in seconds that may be fractions, an hour at most. */
Test(adapter, pauses)
{
	static const char *const bad[] = {
		"Retry-After: -1\r\n",
		"Retry-After: \r\n",
		"Retry-After: Fri, 04 Dec 2026 08:00:00 GMT\r\n",
		"Retry-After: 1\r\nRetry-After: 2\r\n",
	};

	cr_assert_eq(pause_of(503, "Retry-After: 2\r\n"), 2000);
	cr_assert_eq(pause_of(503, "Retry-After: 0.25\r\n"), 250);
	cr_assert_eq(pause_of(503, "Retry-After: 0\r\n"), 0);
	cr_assert_eq(pause_of(503, "Retry-After: 9999999999\r\n"), 3600000);
	cr_assert_eq(pause_of(500, "Retry-After: 2\r\n"), 0);
	cr_assert_eq(pause_of(200, "Retry-After: 2\r\n"), 0);
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		cr_assert_eq(pause_of(503, bad[i]), 0, "%s", bad[i]);
}

Test(adapter, addresses)
{
	const char *const list[] = { "10.0.0.1:80", "10.0.0.2:80" };
	bct_buf_t out;

	bct_buf_init(&out, 0);
	bct_adapter_wire()->encode_addresses(list, 2, 1500, &out);
	cr_assert_str_eq(out.data,
			 "{\"addresses\":[\"10.0.0.1:80\",\"10.0.0.2:80\"],\"ttl_s\":1.5}");
	bct_buf_free(&out);
}
