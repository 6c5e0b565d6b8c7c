/*
 * test_registry_backlog.c - a reader of the registry that is behind by more than one answer of the
 * store holds, against a stand-in of the store's log.
 */
#include "base/buf.h"
#include "base/err.h"
#include "gate/gate_int.h"
#include "gate/registry_reader.h"
#include "gate/registry_sync.h"
#include "platform/adapter.h"
#include "tests/util_gate.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_MS 2000
#define IDLE_LIMIT_MS 20000 /* for a reader to become idle */
#define RECORDS_MAX 8192
#define ANSWER_BYTES (1024 * 1024) /* that the reader asks for at most */
#define OFFSETS_BYTES 16
#define FRAME_BYTES 5 /* length of a record, and of its key */
#define LISTED_VALUE_BYTES 4096

typedef struct record {
	char key[32];
	char *value; /* NULL: the key is removed */
	size_t value_bytes;
} record_t;

/* A topic of the store, and what was asked of it. */
typedef struct store {
	int fd;
	uint16_t port;
	pthread_t thread;
	pthread_mutex_t lock; /* guards the members below */
	record_t records[RECORDS_MAX];
	size_t n;
	bool whole_only;	   /* no record that is larger than an answer may be */
	uint32_t refused_listings; /* how many listings to refuse */
	uint32_t reads;
	uint32_t listings;
	size_t largest; /* answer to a read, in bytes */
} store_t;

static void put_big_endian(bct_buf_t *b, uint64_t v, int n)
{
	for (int i = n - 1; i >= 0; i--) {
		char c = (char)(v >> (8 * i));

		bct_buf_put(b, &c, 1);
	}
}

/* Whole records, as many as fit. The first one is sent however large it is, unless whole_only. */
static void answer_read(store_t *s, uint64_t from, size_t max_bytes, bct_buf_t *b)
{
	put_big_endian(b, s->n, 8);
	put_big_endian(b, 0, 8);
	for (size_t i = from; i < s->n; i++) {
		const record_t *r = &s->records[i];
		size_t len = 1 + strlen(r->key) + r->value_bytes;

		if ((i > from || s->whole_only) && b->len_bytes + 4 + len > max_bytes)
			break;
		put_big_endian(b, len, 4);
		put_big_endian(b, strlen(r->key), 1);
		bct_buf_puts(b, r->key);
		bct_buf_put(b, r->value, r->value_bytes);
	}
	s->reads++;
	if (b->len_bytes > s->largest)
		s->largest = b->len_bytes;
}

static void put_base64(bct_buf_t *b, const char *data, size_t n)
{
	static const char digits[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

	for (size_t i = 0; i < n; i += 3) {
		uint32_t v = 0;
		char out[4];

		for (size_t j = 0; j < 3; j++)
			v = v << 8 | (i + j < n ? (unsigned char)data[i + j] : 0);
		for (size_t j = 0; j < 4; j++)
			out[j] = i + j <= n ? digits[v >> (18 - 6 * j) & 63] : '=';
		bct_buf_put(b, out, 4);
	}
}

static bool is_newest(const store_t *s, size_t i)
{
	for (size_t j = i + 1; j < s->n; j++) {
		if (!strcmp(s->records[i].key, s->records[j].key))
			return false;
	}
	return s->records[i].value != NULL;
}

static void answer_listing(store_t *s, bct_buf_t *b)
{
	bool first = true;

	bct_buf_puts(b, "{\"items\":[");
	for (size_t i = 0; i < s->n; i++) {
		const record_t *r = &s->records[i];

		if (!is_newest(s, i))
			continue;
		bct_buf_printf(b, "%s{\"key\":\"%s\",\"offset\":%zu,\"value\":\"", first ? "" : ",",
			       r->key, i);
		put_base64(b, r->value, r->value_bytes);
		bct_buf_puts(b, "\"}");
		first = false;
	}
	bct_buf_printf(b, "],\"more\":false,\"end_offset\":%zu}", s->n);
	s->listings++;
}

static uint64_t query(const char *target, const char *name)
{
	const char *at = strstr(target, name);

	return at ? strtoull(at + strlen(name), NULL, 10) : 0;
}

static void answer(store_t *s, int fd, const char *head)
{
	bool listing = strstr(head, "/api/log-newest") != NULL;
	bct_buf_t b;
	bool refused;

	bct_buf_init(&b, 0);
	pthread_mutex_lock(&s->lock);
	refused = listing && s->refused_listings;
	if (refused)
		s->refused_listings--;
	else if (listing)
		answer_listing(s, &b);
	else
		answer_read(s, query(head, "from="), query(head, "maximum_kilobytes=") * 1024, &b);
	pthread_mutex_unlock(&s->lock);
	dprintf(fd, "HTTP/1.1 %d x\r\nContent-Length: %zu\r\n\r\n", refused ? 503 : 200,
		b.len_bytes);
	for (size_t at = 0; at < b.len_bytes;) {
		ssize_t n = send(fd, b.data + at, b.len_bytes - at, MSG_NOSIGNAL);

		if (n <= 0)
			break;
		at += (size_t)n;
	}
	bct_buf_free(&b);
}

/* One connection at a time, one request after the other. */
static void *serve(void *arg)
{
	store_t *s = arg;
	int fd;

	while ((fd = accept(s->fd, NULL, NULL)) >= 0) {
		char head[2048];
		size_t n = 0;
		ssize_t got;

		while ((got = read(fd, head + n, sizeof(head) - 1 - n)) > 0) {
			n += (size_t)got;
			head[n] = '\0';
			if (!strstr(head, "\r\n\r\n"))
				continue;
			answer(s, fd, head);
			n = 0;
		}
		close(fd);
	}
	return NULL;
}

/* Takes over the value. */
static void append(store_t *s, const char *key, char *value, size_t value_bytes)
{
	record_t *r;

	pthread_mutex_lock(&s->lock);
	cr_assert_lt(s->n, RECORDS_MAX);
	r = &s->records[s->n++];
	snprintf(r->key, sizeof(r->key), "%s", key);
	r->value = value;
	r->value_bytes = value ? value_bytes : 0;
	pthread_mutex_unlock(&s->lock);
}

/* Appends a version whose record has so many bytes in a read, its length included. */
static void publish(store_t *s, uint64_t version, size_t record_bytes)
{
	size_t bytes = record_bytes - FRAME_BYTES - strlen("config");
	char *text = malloc(bytes + 1);
	int n;

	cr_assert(text);
	memset(text, ' ', bytes);
	n = sprintf(text, "{\"version\":%llu,\"routes\":[],\"services\":[]",
		    (unsigned long long)version);
	text[n] = ' ';
	text[bytes - 1] = '}';
	append(s, "config", text, bytes);
}

/* The entry of an upstream, of LISTED_VALUE_BYTES. */
static void enter(store_t *s, const char *id, uint64_t sequence, const char *state)
{
	char *text = malloc(LISTED_VALUE_BYTES + 1);
	int n;

	cr_assert(text);
	memset(text, ' ', LISTED_VALUE_BYTES);
	n = sprintf(text,
		    "{\"service\":\"desk\",\"address\":\"127.0.0.1:80\",\"zone\":\"z\",\"version\":"
		    "\"v1\",\"slots\":4,\"state\":\"%s\",\"cold_remaining_ms\":0,\"sequence\":%llu",
		    state, (unsigned long long)sequence);
	text[n] = ' ';
	text[LISTED_VALUE_BYTES - 1] = '}';
	append(s, id, text, LISTED_VALUE_BYTES);
}

static void store_start(store_t *s)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(sa);

	pthread_mutex_init(&s->lock, NULL);
	s->fd = socket(AF_INET, SOCK_STREAM, 0);
	cr_assert_eq(bind(s->fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	cr_assert_eq(listen(s->fd, 4), 0);
	getsockname(s->fd, (struct sockaddr *)&sa, &len);
	s->port = ntohs(sa.sin_port);
	pthread_create(&s->thread, NULL, serve, s);
}

/* What a reader has passed on. */
typedef struct follower {
	bct_registry_t *registry;
	bct_registry_reader_t *reader;
	pthread_mutex_t lock; /* guards the members below */
	uint64_t version;     /* of the last table */
	uint64_t sequence;    /* of the last entry of upstream "a" */
	bool draining;	      /* its state there */
	uint32_t results;
} follower_t;

static void note(follower_t *f, const bct_registry_change_t *c)
{
	if (c->kind == BCT_REGISTRY_TABLE)
		f->version = c->table->version;
	if (c->kind != BCT_REGISTRY_ENTRY || strcmp(c->name, "a") != 0)
		return;
	f->sequence = c->entry.sequence;
	f->draining = c->entry.draining;
}

static void on_result(void *ctx, bct_registry_result_t *d)
{
	follower_t *f = ctx;

	pthread_mutex_lock(&f->lock);
	f->results++;
	for (uint32_t i = 0; i < d->batch.n; i++)
		note(f, &d->batch.changes[i]);
	pthread_mutex_unlock(&f->lock);
	bct_registry_result_free(d);
}

/* Makes one poll and waits for its end. */
static void poll_once(follower_t *f)
{
	bct_registry_reader_call(f->reader, BCT_GATE_POLL_CHANGES);
	for (uint32_t ms = 0; bct_registry_reader_busy(f->reader); ms++) {
		cr_assert_lt(ms, IDLE_LIMIT_MS);
		usleep(1000);
	}
}

/* Starts a store and a reader of a topic; the first poll lists what is there. */
static void start(store_t *s, follower_t *f, bct_registry_topic_t topic)
{
	bct_registry_reader_opts_t o = {
		.topic = topic, .timeout_ms = TIMEOUT_MS, .on_result = on_result, .ctx = f
	};
	char address[64];

	store_start(s);
	snprintf(address, sizeof(address), "127.0.0.1:%u", s->port);
	cr_assert_eq(bct_adapter_registry(address, &f->registry), 0);
	o.registry = f->registry;
	pthread_mutex_init(&f->lock, NULL);
	cr_assert_eq(bct_registry_reader_new(&o, &f->reader), 0);
	poll_once(f);
	cr_assert_eq(s->listings, 1);
}

static store_t store;
static follower_t follower;

/* review/8: versions that came faster than one a poll were adopted one a poll, the newest of them
 * seconds late; a key that was taken away went on working. */
Test(registry_backlog, the_newest_version_is_known_after_one_poll)
{
	publish(&store, 1, 200);
	start(&store, &follower, BCT_REGISTRY_ROUTES);
	for (uint64_t version = 2; version <= 13; version++)
		publish(&store, version, 777 * 1024);
	poll_once(&follower);
	cr_assert_eq(follower.version, 13);
	/* However far behind, the node fetches one answer and the newest version. */
	cr_assert_eq(store.reads, 1);
	cr_assert_eq(store.listings, 2);
	poll_once(&follower);
	cr_assert_eq(store.listings, 2, "a node that is up to date listed the topic");
}

/* An answer that holds all changes needs no further call. */
Test(registry_backlog, changes_that_fit_are_read_with_one_call)
{
	publish(&store, 1, 200);
	start(&store, &follower, BCT_REGISTRY_ROUTES);
	publish(&store, 2, ANSWER_BYTES / 2 - OFFSETS_BYTES);
	publish(&store, 3, ANSWER_BYTES / 2);
	poll_once(&follower);
	cr_assert_eq(store.largest, ANSWER_BYTES);
	cr_assert_eq(follower.version, 3);
	cr_assert_eq(store.reads, 1);
	cr_assert_eq(store.listings, 1);
}

/* One byte more than an answer holds: the last version would wait for the next poll. */
Test(registry_backlog, one_byte_too_much_is_fetched_at_once)
{
	publish(&store, 1, 200);
	start(&store, &follower, BCT_REGISTRY_ROUTES);
	publish(&store, 2, ANSWER_BYTES / 2 - OFFSETS_BYTES);
	publish(&store, 3, ANSWER_BYTES / 2 + 1);
	poll_once(&follower);
	cr_assert_eq(follower.version, 3);
	cr_assert_eq(store.listings, 2);
}

/* A store that sends no record larger than an answer: the node would read the same offset for ever.
 */
Test(registry_backlog, a_version_larger_than_an_answer_is_adopted)
{
	store.whole_only = true;
	publish(&store, 1, 200);
	start(&store, &follower, BCT_REGISTRY_ROUTES);
	publish(&store, 2, ANSWER_BYTES + 1);
	publish(&store, 3, 200);
	poll_once(&follower);
	cr_assert_eq(follower.version, 3);
}

/* The statement that an upstream is leaving stands behind 2 MB of heartbeats. */
Test(registry_backlog, a_statement_behind_many_heartbeats_is_known_after_one_poll)
{
	char id[16];

	enter(&store, "a", 1, "ready");
	start(&store, &follower, BCT_REGISTRY_UPSTREAMS);
	for (uint64_t i = 0; i < 512; i++) {
		snprintf(id, sizeof(id), "b-%llu", (unsigned long long)i % 8);
		enter(&store, id, 1 + i, "ready");
	}
	enter(&store, "a", 2, "draining");
	poll_once(&follower);
	cr_assert_eq(follower.sequence, 2);
	cr_assert(follower.draining);
}

/* A listing that the store refuses is made with the next poll. */
Test(registry_backlog, a_refused_listing_is_made_later)
{
	publish(&store, 1, 200);
	start(&store, &follower, BCT_REGISTRY_ROUTES);
	for (uint64_t version = 2; version <= 5; version++)
		publish(&store, version, 777 * 1024);
	store.refused_listings = 1;
	poll_once(&follower);
	cr_assert_eq(follower.version, 2);
	poll_once(&follower);
	cr_assert_eq(follower.version, 5);
}

#define APPLIED_US 300000 /* for the gateway to apply an answer */

/*
 * A node that has only a part of the changes believed, and told its peers, that it knew the
 * registry's state: a take-up could be decided on upstreams that had been replaced.
 */
Test(registry_backlog, a_part_of_the_changes_is_not_the_state)
{
	static test_gate_t gate;
	const bct_registry_sync_t *sync;
	bct_time_t since, behind_at = 0;
	bct_gate_read_t last;

	test_gate_start(&gate);
	sync = gate.gate->registry_sync;
	pthread_mutex_lock(&gate.lock);
	gate.behind = gate.down = true;
	since = bct_clock_now();
	pthread_mutex_unlock(&gate.lock);
	for (uint32_t ms = 0; !behind_at && ms < IDLE_LIMIT_MS; ms += 10) {
		usleep(10000);
		pthread_mutex_lock(&gate.lock);
		behind_at = gate.behind_at;
		pthread_mutex_unlock(&gate.lock);
	}
	cr_assert(behind_at);
	usleep(APPLIED_US);
	last = bct_registry_sync_read(sync, BCT_REGISTRY_UPSTREAMS, true);
	cr_expect_leq(bct_registry_sync_as_of(sync), since);
	cr_expect_lt(last.answered_at, behind_at);
	test_gate_stop(&gate);
}
