/*
 * test_platform.c - both platform clients under lost answers, outages, expiry and bad answers.
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

/* A server that reads one request per connection, counts it and sends a fixed answer (or none). */
typedef struct server {
	int fd;
	uint16_t port;
	uint32_t runs;
	char answer[512];
	pthread_t thread;
} server_t;

static void *serve(void *ctx)
{
	server_t *s = ctx;
	char req[4096];
	int c;

	while ((c = accept(s->fd, NULL, NULL)) >= 0) {
		if (read(c, req, sizeof(req)) > 0)
			s->runs++;
		if (s->answer[0])
			cr_expect_gt(write(c, s->answer, strlen(s->answer)), 0);
		close(c);
	}
	return NULL;
}

static bct_platform_t *start(server_t *s, const char *status, const char *body)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	socklen_t len = sizeof(addr);
	bct_platform_t *p;
	char url[64];

	memset(s, 0, sizeof(*s));
	if (status)
		snprintf(s->answer, sizeof(s->answer),
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

static int append_once(const char *status, const char *body, uint64_t *offset, uint32_t *runs)
{
	server_t s;
	bct_platform_t *p = start(&s, status, body);
	int rc = bct_platform_append(p, "config", "abc", 3, TIMEOUT_MS, offset);

	stop(&s, p);
	*runs = s.runs;
	return rc;
}

Test(platform_http, append_is_classified_by_what_was_sent)
{
	uint64_t offset = 0;
	uint32_t runs;

	cr_assert_eq(append_once("200 OK", "{\"offset\": 7}", &offset, &runs), 0);
	cr_assert_eq(offset, 7);
	cr_assert_eq(append_once("200 OK", "{\"off", &offset, &runs), -BCT_EUNKNOWN_OUTCOME);
	cr_assert_eq(append_once("503 Down", "{}", &offset, &runs), -BCT_EUNKNOWN_OUTCOME);
	cr_assert_eq(append_once("503 Down", "{\"appended\": false}", &offset, &runs),
		     -BCT_EUNAVAILABLE);
	cr_assert_eq(append_once("413 Large", "{}", &offset, &runs), -BCT_ETOO_LARGE);
}

Test(platform_http, append_without_an_answer_is_sent_once)
{
	uint64_t offset;
	uint32_t runs;

	cr_assert_eq(append_once(NULL, NULL, &offset, &runs), -BCT_EUNKNOWN_OUTCOME);
	cr_assert_eq(runs, 1);
}

Test(platform_http, append_without_a_connection_was_not_sent)
{
	server_t s;
	bct_platform_t *p = start(&s, NULL, NULL), *gone;
	char url[64];
	uint64_t offset;

	stop(&s, p);
	snprintf(url, sizeof(url), "http://127.0.0.1:%u", s.port);
	bct_platform_http_new(&(bct_platform_http_opts_t){ .base_url = url }, &gone);
	cr_assert_eq(bct_platform_append(gone, "config", "a", 1, TIMEOUT_MS, &offset),
		     -BCT_EUNAVAILABLE);
	bct_platform_free(gone);
}

static int read_once(const char *status, const char *body, bct_records_t *out)
{
	server_t s;
	bct_platform_t *p = start(&s, status, body);
	int rc = bct_platform_read(p, "config", 3, 1000, 0, TIMEOUT_MS, out);

	stop(&s, p);
	return rc;
}

Test(platform_http, read_decodes_and_refuses)
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
	/* An offset below the one asked for, broken base64, and a next that goes back. */
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
	/* The log may end below the offset asked for; the caller sees that in next. */
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

Test(platform_embedded, faults_act_as_named)
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
