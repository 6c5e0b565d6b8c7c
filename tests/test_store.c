/*
 * test_store.c - client of the platform's store against a server that answers slowly.
 */
#include "base/err.h"
#include "platform/adapter.h"
#include "platform/store.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_MS 1000
#define PAUSE_US 100000 /* between two parts of an answer */
#define VALUE_BYTES 64000
#define PREFIX_BYTES (16 + 4 + 2) /* offsets, length of the record, and its key "k" */

/* Answers one request. */
typedef struct server {
	int fd;
	uint16_t port;
	pthread_t thread;
	uint32_t parts;	     /* in which the body is sent */
	uint32_t sent;	     /* of them; then the server falls silent until the client leaves */
	const char *headers; /* further ones */
} server_t;

static char body[PREFIX_BYTES + VALUE_BYTES];

static void put_big_endian(char *at, uint32_t v)
{
	for (int i = 0; i < 4; i++)
		at[i] = (char)(v >> (24 - 8 * i));
}

static void *serve(void *arg)
{
	server_t *s = arg;
	int fd = accept(s->fd, NULL, NULL);
	char buf[2048];
	size_t at = 0, part = sizeof(body) / s->parts + 1;

	if (read(fd, buf, sizeof(buf)) <= 0)
		return NULL;
	dprintf(fd, "HTTP/1.1 200 OK\r\n%sContent-Length: %zu\r\n\r\n",
		s->headers ? s->headers : "", sizeof(body));
	for (uint32_t i = 0; i < s->sent && at < sizeof(body); i++) {
		size_t n = sizeof(body) - at < part ? sizeof(body) - at : part;

		if (send(fd, body + at, n, MSG_NOSIGNAL) != (ssize_t)n)
			break;
		at += n;
		usleep(PAUSE_US);
	}
	while (read(fd, buf, sizeof(buf)) > 0)
		;
	close(fd);
	return NULL;
}

static void start(server_t *s)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(sa);

	memset(body, 0, sizeof(body));
	put_big_endian(body + 4, 1); /* the end offset */
	put_big_endian(body + 16, 2 + VALUE_BYTES);
	body[20] = 1;
	memset(body + 21, 'k', 1 + VALUE_BYTES);
	s->fd = socket(AF_INET, SOCK_STREAM, 0);
	cr_assert_eq(bind(s->fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	cr_assert_eq(listen(s->fd, 4), 0);
	getsockname(s->fd, (struct sockaddr *)&sa, &len);
	s->port = ntohs(sa.sin_port);
	pthread_create(&s->thread, NULL, serve, s);
}

static int on_record(void *ctx, const bct_store_record_t *r)
{
	*(size_t *)ctx = r->value_bytes;
	return 0;
}

static int read_log(server_t *s, size_t *value_bytes)
{
	char address[64];
	bct_store_t *store;
	uint64_t next = 0;
	bool more;
	int rc;

	snprintf(address, sizeof(address), "127.0.0.1:%u", s->port);
	cr_assert_eq(bct_store_new(address, &store), 0);
	rc = bct_store_read(store, "keyed.op", 0, TIMEOUT_MS, on_record, value_bytes, &next, &more);
	bct_store_free(store);
	pthread_join(s->thread, NULL);
	close(s->fd);
	return rc;
}

/* A configuration of 1 MB on a link of 10 Mbit/s: it takes longer than a call may be silent. */
Test(store, a_large_answer_on_a_slow_link_arrives)
{
	server_t s = { .parts = 20, .sent = 20 };
	size_t value_bytes = 0;

	start(&s);
	cr_assert_eq(read_log(&s, &value_bytes), 0);
	cr_assert_eq(value_bytes, VALUE_BYTES);
}

Test(store, a_silent_store_is_given_up)
{
	server_t s = { .parts = 20, .sent = 0 };
	size_t value_bytes = 0;

	start(&s);
	cr_assert_eq(read_log(&s, &value_bytes), -BCT_EUNAVAILABLE);
}

Test(store, an_answer_that_stops_is_given_up)
{
	server_t s = { .parts = 20, .sent = 5 };
	size_t value_bytes = 0;

	start(&s);
	cr_assert_eq(read_log(&s, &value_bytes), -BCT_EUNAVAILABLE);
}

/* Reads changes of the upstreams from a position, from a store that states an era by these headers.
 */
static int read_changes(const char *headers, bct_gate_position_t from, bct_registry_batch_t *out)
{
	server_t s = { .parts = 1, .sent = 1, .headers = headers };
	bct_registry_t *r;
	char address[64];
	int rc;

	start(&s);
	snprintf(address, sizeof(address), "127.0.0.1:%u", s.port);
	cr_assert_eq(bct_adapter_registry(address, &r), 0);
	rc = r->ops->changes(r, BCT_REGISTRY_UPSTREAMS, from, TIMEOUT_MS, out);
	bct_registry_free(r);
	pthread_join(s.thread, NULL);
	close(s.fd);
	return rc;
}

/* Offsets of an earlier era are other records: the topic is listed anew. */
Test(store, a_change_of_era_voids_offsets)
{
	bct_registry_batch_t b;

	cr_assert_eq(read_changes("Store-Era: 4\r\n", bct_gate_position(4, 0), &b), 0);
	cr_assert_eq(b.next, bct_gate_position(4, 1));
	cr_assert_eq(b.n, 1);
	cr_assert_eq(b.changes[0].position, bct_gate_position(4, 0));
	bct_registry_batch_free(&b);
	cr_assert_eq(read_changes("Store-Era: 5\r\n", bct_gate_position(4, 0), &b), -BCT_EEXPIRED);
}

/* Without an era, or with one that can't be read, positions are offsets, as before. */
Test(store, a_missing_or_malformed_era_counts_as_none)
{
	static const char *const bad[] = { "Store-Era: \r\n", "Store-Era: -1\r\n",
					   "Store-Era: 7x\r\n", "Store-Era: 99999999999999\r\n",
					   "Store-Era: 1\r\nStore-Era: 2\r\n" };
	bct_registry_batch_t b;

	cr_assert_eq(read_changes("", 0, &b), 0);
	cr_assert_not(b.era_malformed);
	cr_assert_eq(b.next, 1);
	bct_registry_batch_free(&b);
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		cr_assert_eq(read_changes(bad[i], 0, &b), 0, "%s", bad[i]);
		cr_assert(b.era_malformed, "%s", bad[i]);
		cr_assert_eq(b.next, 1);
		bct_registry_batch_free(&b);
	}
}

/* A malformed head is that of no answer: neither its records nor its era count. */
Test(store, a_malformed_head_is_no_answer)
{
	static const char *const bad[] = { "X Foo: a\r\n", "X-Foo : a\r\n", " X-Foo: a\r\n",
					   "Content-Length: 1\r\n", "X\001: a\r\n" };

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		bct_registry_batch_t b = { 0 };
		char headers[128];

		snprintf(headers, sizeof(headers), "Store-Era: 5\r\n%s", bad[i]);
		cr_assert_eq(read_changes(headers, bct_gate_position(4, 0), &b), -BCT_EUNAVAILABLE,
			     "%s", bad[i]);
		bct_registry_batch_free(&b);
	}
}

/* Serves two pages of a listing and keeps the second request line. */
typedef struct pages {
	int fd;
	uint16_t port;
	pthread_t thread;
	const char *first; /* items of the first page */
	char asked[1024];
} pages_t;

static void send_page(int fd, const char *items, const char *more)
{
	char text[1024];
	int n = snprintf(text, sizeof(text), "{\"items\":[%s],\"more\":%s,\"end_offset\":9}", items,
			 more);

	dprintf(fd, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", n, text);
}

static void *serve_pages(void *arg)
{
	static const char sound[] = "{\"key\":\"z\",\"value\":\"QQ==\",\"offset\":8}";
	pages_t *s = arg;
	int fd = accept(s->fd, NULL, NULL);
	char unused[1024];

	if (read(fd, unused, sizeof(unused)) > 0)
		send_page(fd, s->first, "true");
	if (read(fd, s->asked, sizeof(s->asked) - 1) > 0)
		send_page(fd, sound, "false");
	while (read(fd, unused, sizeof(unused)) > 0)
		send_page(fd, s->first, "true");
	close(fd);
	return NULL;
}

static int count_record(void *ctx, const bct_store_record_t *r)
{
	(void)r;
	(*(uint32_t *)ctx)++;
	return 0;
}

/* Lists a topic whose first page has these items. Returns the error; n: records delivered. */
static int list_pages(pages_t *s, uint32_t *n)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(sa);
	char address[64];
	bct_store_t *store;
	uint64_t next;
	int rc;

	s->fd = socket(AF_INET, SOCK_STREAM, 0);
	cr_assert_eq(bind(s->fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	cr_assert_eq(listen(s->fd, 4), 0);
	getsockname(s->fd, (struct sockaddr *)&sa, &len);
	snprintf(address, sizeof(address), "127.0.0.1:%u", ntohs(sa.sin_port));
	pthread_create(&s->thread, NULL, serve_pages, s);
	cr_assert_eq(bct_store_new(address, &store), 0);
	rc = bct_store_newest(store, "keyed.servers", TIMEOUT_MS, count_record, n, &next);
	bct_store_free(store);
	pthread_join(s->thread, NULL);
	close(s->fd);
	return rc;
}

/* The key at the end of a page may be another writer's, and any text: the next page is behind it. A
 * node could not read any further, or read the first page again. */
Test(store, an_odd_key_does_not_end_a_listing)
{
	static pages_t s = { .first = "{\"key\":\"a b&part=1#\\u00e4\\r\\n%\","
				      "\"value\":\"QQ==\",\"offset\":1}" };
	uint32_t n = 0;

	cr_assert_eq(list_pages(&s, &n), 0);
	cr_assert_eq(n, 2);
	cr_assert(strstr(s.asked, "&after=a%20b%26part%3D1%23%C3%A4%0D%0A%25 HTTP/1.1\r\n"), "%s",
		  s.asked);
}

/* Values that are no base64, and items without a key, are left out. */
Test(store, odd_items_leave_the_others)
{
	static pages_t s = { .first = "{\"key\":\"a\",\"value\":\"%\",\"offset\":1},7,null,"
				      "{\"value\":\"QQ==\"},{\"key\":7},"
				      "{\"key\":\"b\",\"value\":\"QQ==\",\"offset\":2}" };
	uint32_t n = 0;

	cr_assert_eq(list_pages(&s, &n), 0);
	cr_assert_eq(n, 2);
}

/* A page without any key would be asked for again and again. */
Test(store, a_page_without_keys_ends_a_listing)
{
	static pages_t s = { .first = "7" };
	uint32_t n = 0;

	cr_assert_eq(list_pages(&s, &n), -BCT_ECODEC);
}
