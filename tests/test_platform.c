/*
 * test_platform.c - the HTTP and the embedded platform with lost and malformed responses, outages
 * and expired records.
 */
#include "base/err.h"
#include "coord/platform_embedded.h"
#include "coord/platform_http.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_MS 300

/* A server that reads and counts one request per connection and sends a fixed response or none. */
typedef struct server {
	int fd;
	uint16_t port;
	uint32_t requests;
	char response[512]; /* empty: closes the connection without a response */
	pthread_t thread;
} server_t;

static void *serve(void *ctx)
{
	server_t *s = ctx;
	char req[4096];
	int c;

	while ((c = accept(s->fd, NULL, NULL)) >= 0) {
		if (read(c, req, sizeof(req)) > 0)
			s->requests++;
		if (s->response[0])
			cr_expect_gt(write(c, s->response, strlen(s->response)), 0);
		close(c);
	}
	return NULL;
}

/* Starts a server and returns a client for it. Without a status the server sends no response. */
static bct_platform_t *start(server_t *s, const char *status, const char *body)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	socklen_t len = sizeof(addr);
	bct_platform_t *p;
	char url[64];

	memset(s, 0, sizeof(*s));
	if (status)
		snprintf(s->response, sizeof(s->response),
			 "HTTP/1.1 %s\r\nContent-Length: %zu\r\n\r\n%s", status, strlen(body),
			 body);
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	s->fd = socket(AF_INET, SOCK_STREAM, 0);
	cr_assert_eq(bind(s->fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
	cr_assert_eq(listen(s->fd, 8), 0);
	getsockname(s->fd, (struct sockaddr *)&addr, &len);
	s->port = ntohs(addr.sin_port);
	pthread_create(&s->thread, NULL, serve, s);
	snprintf(url, sizeof(url), "http://127.0.0.1:%u/", s->port);
	cr_assert_eq(bct_platform_http_new(&(bct_platform_http_opts_t){ .base_url = url }, &p), 0);
	return p;
}

static void stop(server_t *s, bct_platform_t *p)
{
	shutdown(s->fd, SHUT_RDWR);
	pthread_join(s->thread, NULL);
	close(s->fd);
	bct_platform_free(p);
}

/* Appends one record against a fixed response; requests is the number that the server got. */
static int append_once(const char *status, const char *body, uint64_t *offset, uint32_t *requests)
{
	server_t s;
	bct_platform_t *p = start(&s, status, body);
	int rc = bct_platform_append(p, "config", "abc", 3, TIMEOUT_MS, offset);

	stop(&s, p);
	*requests = s.requests;
	return rc;
}

Test(platform_http, append_result_depends_on_what_was_sent_and_answered)
{
	uint64_t offset = 0;
	uint32_t requests;

	cr_assert_eq(append_once("200 OK", "{\"offset\": 7}", &offset, &requests), 0);
	cr_assert_eq(offset, 7);
	cr_assert_eq(append_once("200 OK", "{\"off", &offset, &requests), -BCT_EUNKNOWN_OUTCOME);
	cr_assert_eq(append_once("503 Down", "{}", &offset, &requests), -BCT_EUNKNOWN_OUTCOME);
	cr_assert_eq(append_once("503 Down", "{\"appended\": false}", &offset, &requests),
		     -BCT_EUNAVAILABLE);
	cr_assert_eq(append_once("413 Large", "{}", &offset, &requests), -BCT_ETOO_LARGE);
}

/* Heads that end early; libcurl reports each as a success with this status. */
static const char *const cut_heads[] = {
	"HTTP/1.1 200 X\r\n",
	"HTTP/1.1 404 X\r\nContent-Length: 0\r\n",
	"HTTP/1.1 410 X\r\nContent-Length: 0\r\n",
	"HTTP/1.1 413 X\r\n",
	"HTTP/1.1 413 X\r\nContent-Length: 0\r\n\r",
	"HTTP/1.1 429 X\r\nContent-Le",
	"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 413 X\r\n",
	"HTTP/1.1 100 X\r\n\r\n",
};

/* Their status was believed: a record that may be in the log counted as too large for it, and a
 * weight that could not be asked for as one that does not exist. */
Test(platform_http, a_head_that_ends_early_is_none)
{
	for (size_t i = 0; i < sizeof(cut_heads) / sizeof(cut_heads[0]); i++) {
		server_t s;
		bct_platform_t *p = start(&s, NULL, NULL);
		uint64_t n;

		snprintf(s.response, sizeof(s.response), "%s", cut_heads[i]);
		cr_expect_eq(bct_platform_append(p, "config", "abc", 3, TIMEOUT_MS, &n),
			     -BCT_EUNKNOWN_OUTCOME, "%s", cut_heads[i]);
		cr_expect_eq(bct_platform_weight(p, "w", TIMEOUT_MS, &n), -BCT_EUNAVAILABLE, "%s",
			     cut_heads[i]);
		stop(&s, p);
	}
}

/* Interim heads and trailers do not count as ends of the head. */
Test(platform_http, heads_around_the_answers_own_are_passed_over)
{
	server_t s;
	bct_platform_t *p = start(&s, NULL, NULL);
	uint64_t offset = 0;

	snprintf(s.response, sizeof(s.response),
		 "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
		 "D\r\n{\"offset\": 7}\r\n0\r\nX-Foo: a\r\n\r\n");
	cr_expect_eq(bct_platform_append(p, "config", "abc", 3, TIMEOUT_MS, &offset), 0);
	cr_expect_eq(offset, 7);
	stop(&s, p);
}

Test(platform_http, append_without_response_is_not_resent)
{
	uint64_t offset;
	uint32_t requests;

	cr_assert_eq(append_once(NULL, NULL, &offset, &requests), -BCT_EUNKNOWN_OUTCOME);
	cr_assert_eq(requests, 1);
}

Test(platform_http, append_without_connection_is_unavailable)
{
	server_t s;
	bct_platform_t *p = start(&s, NULL, NULL), *stopped;
	char url[64];
	uint64_t offset;

	stop(&s, p);
	snprintf(url, sizeof(url), "http://127.0.0.1:%u", s.port);
	bct_platform_http_new(&(bct_platform_http_opts_t){ .base_url = url }, &stopped);
	cr_assert_eq(bct_platform_append(stopped, "config", "a", 1, TIMEOUT_MS, &offset),
		     -BCT_EUNAVAILABLE);
	bct_platform_free(stopped);
}

/* Reads from offset 3 against a fixed response. */
static int read_once(const char *status, const char *body, bct_records_t *out)
{
	server_t s;
	bct_platform_t *p = start(&s, status, body);
	int rc = bct_platform_read(p, "config", 3, 1000, 0, TIMEOUT_MS, out);

	stop(&s, p);
	return rc;
}

Test(platform_http, read_decodes_records_and_refuses_malformed_responses)
{
	bct_records_t r;

	cr_assert_eq(read_once("200 OK",
			       "{\"records\": [{\"offset\": 3, \"data\": \"YWJj\"},"
			       "{\"offset\": 4, \"data\": \"\"}], \"next\": 5, \"oldest\": 1}",
			       &r),
		     0);
	cr_assert_eq(r.n, 2);
	cr_assert_eq(r.records[0].len_bytes, 3);
	cr_assert_eq(memcmp(r.records[0].data, "abc", 3), 0);
	cr_assert_eq(r.records[1].len_bytes, 0);
	cr_assert_eq(r.next, 5);
	bct_records_free(&r);
	cr_assert_eq(read_once("410 Gone", "{\"oldest\": 9}", &r), -BCT_EEXPIRED);
	cr_assert_eq(r.oldest, 9);
	/* An offset below the requested one, invalid base64, and next not above the last record. */
	cr_assert_eq(read_once("200 OK",
			       "{\"records\": [{\"offset\": 2, \"data\": \"YWJj\"}],"
			       "\"next\": 5, \"oldest\": 1}",
			       &r),
		     -BCT_ECODEC);
	cr_assert_eq(read_once("200 OK",
			       "{\"records\": [{\"offset\": 3, \"data\": \"Y!\"}],"
			       "\"next\": 5, \"oldest\": 1}",
			       &r),
		     -BCT_ECODEC);
	cr_assert_eq(read_once("200 OK",
			       "{\"records\": [{\"offset\": 3, \"data\": \"YWJj\"}],"
			       "\"next\": 3, \"oldest\": 1}",
			       &r),
		     -BCT_ECODEC);
	/* The log may end below the requested offset, which the caller sees from next. */
	cr_assert_eq(read_once("200 OK", "{\"records\": [], \"next\": 2, \"oldest\": 1}", &r), 0);
	cr_assert_eq(r.next, 2);
	cr_assert_eq(read_once("503 Down", "", &r), -BCT_EUNAVAILABLE);
}

Test(platform_http, vm_list)
{
	server_t s;
	bct_vm_list_t l;
	bct_platform_t *p = start(&s, "200 OK",
				  "{\"revision\": 4, \"vms\": [{\"name\": \"e1\", \"address\":"
				  "\"10.0.0.1\", \"peer_port\": 9001, \"role\": \"entry\","
				  "\"state\": \"leaving\"}]}");

	cr_assert_eq(bct_platform_vms(p, TIMEOUT_MS, &l), 0);
	cr_assert_eq(l.n, 1);
	cr_assert_eq(l.vms[0].peer_port, 9001);
	cr_assert_eq(l.vms[0].role, BCT_VM_ENTRY);
	cr_assert(l.vms[0].leaving);
	bct_vm_list_free(&l);
	stop(&s, p);
}

/* One odd entry took the whole list away: the node followed it no more. */
Test(platform_http, an_odd_vm_leaves_the_others)
{
	static const char *const odd[] = {
		"7",
		"null",
		"{}",
		"[[[[[[[[]]]]]]]]",
		"{\"name\": \"x\", \"address\": 7, \"role\": \"entry\","
		"\"state\": \"ready\"}",
		"{\"name\": \"x\", \"address\": \"10.0.0.2\", \"role\":"
		"\"entry\", \"state\": \"ready\", \"peer_port\": 65536}",
		"{\"name\": \"x\", \"address\": \"10.0.0.2\", \"role\":"
		"\"entry\", \"state\": \"ready\", \"peer_port\": 1e300}"
	};

	for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
		bct_platform_t *p;
		bct_vm_list_t l;
		char text[512];
		server_t s;

		snprintf(text, sizeof(text),
			 "{\"revision\": 4, \"vms\": [%s, {\"name\": \"e1\", \"address\":"
			 "\"10.0.0.1\", \"peer_port\": 9001, \"role\": \"entry\","
			 "\"state\": \"ready\"}]}",
			 odd[i]);
		p = start(&s, "200 OK", text);
		cr_assert_eq(bct_platform_vms(p, TIMEOUT_MS, &l), 0, "%s", odd[i]);
		cr_assert_eq(l.n, 1, "%s", odd[i]);
		cr_assert_eq(l.n_unreadable, 1, "%s", odd[i]);
		cr_assert_str_eq(l.vms[0].name, "e1");
		bct_vm_list_free(&l);
		stop(&s, p);
	}
}

Test(platform_embedded, injected_faults_take_effect)
{
	bct_platform_t *p;
	bct_records_t r;
	uint64_t offset;

	cr_assert_eq(bct_platform_embedded_new(NULL, &p), 0);
	bct_platform_embedded_set_fault(
		p, &(bct_embedded_fault_t){ .lose_answers = 1, .hidden_records = 1 });
	cr_assert_eq(bct_platform_append(p, "s", "a", 1, 0, &offset), -BCT_EUNKNOWN_OUTCOME);
	cr_assert_eq(bct_platform_append(p, "s", "bb", 2, 0, &offset), 0);
	cr_assert_eq(offset, 1);
	cr_assert_eq(bct_platform_read(p, "s", 0, 100, 0, 0, &r), 0);
	cr_assert_eq(r.n, 1);
	cr_assert_eq(r.next, 1);
	bct_records_free(&r);
	bct_platform_embedded_set_fault(p, &(bct_embedded_fault_t){ .lose_requests = 1 });
	cr_assert_eq(bct_platform_append(p, "s", "c", 1, 0, &offset), -BCT_EUNKNOWN_OUTCOME);
	cr_assert_eq(bct_platform_read(p, "s", 1, 100, 0, 0, &r), 0);
	cr_assert_eq(r.n, 1);
	cr_assert_eq(memcmp(r.records[0].data, "bb", 2), 0);
	bct_records_free(&r);
	bct_platform_embedded_expire(p, "s", 1);
	cr_assert_eq(bct_platform_read(p, "s", 0, 100, 0, 0, &r), -BCT_EEXPIRED);
	cr_assert_eq(r.oldest, 1);
	bct_platform_embedded_set_fault(p, &(bct_embedded_fault_t){ .outage = true });
	cr_assert_eq(bct_platform_append(p, "s", "d", 1, 0, &offset), -BCT_EUNAVAILABLE);
	cr_assert_eq(bct_platform_read(p, "s", 2, 100, 0, 0, &r), -BCT_EUNAVAILABLE);
	bct_platform_free(p);
}
