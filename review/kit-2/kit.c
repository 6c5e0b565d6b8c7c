/*
 * kit.c - see kit.h. Threads that block, one for each connection.
 */
#define _GNU_SOURCE
#include "kit.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PORT_FRONT 8227
#define PORT_READINESS 8220
#define PORT_CONTROL 8229
#define PORT_DIRECTORY 8224
#define PORT_INNER_FIRST 7340
#define PORT_INNER_LAST 7355
#define PORT_STORE 8223
#define HEARTBEAT_MS 1200
#define KEYS_MAX 256
#define BACKLOG 128
#define QUEUED 8 /* connections that fill a queue of one */

static FILE *record;
static int64_t started_ms;
static char temp[128], net[32];
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
kit_node_t kit_nodes[KIT_NODES_MAX];
volatile bool kit_accept_paused;

int64_t kit_now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

void kit_sleep_ms(int64_t ms)
{
	struct timespec ts = { ms / 1000, (ms % 1000) * 1000000 };

	if (ms > 0)
		nanosleep(&ts, NULL);
}

void kit_note(const char *fmt, ...)
{
	int64_t ms = kit_now_ms() - started_ms;
	va_list ap;

	pthread_mutex_lock(&record_lock);
	fprintf(record, "%4lld.%03lld ", (long long)(ms / 1000), (long long)(ms % 1000));
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_lock);
}

bool kit_trouble(void)
{
	const char *t = getenv("TROUBLE");

	return !t || strcmp(t, "0") != 0;
}

const char *kit_ip(int n)
{
	static __thread char text[4][64];
	static __thread int at;

	at = (at + 1) % 4;
	snprintf(text[at], sizeof(text[at]), "%s.%d", net, n + 1);
	return text[at];
}

static struct sockaddr_in address(const char *ip, int port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons((uint16_t)port) };

	inet_pton(AF_INET, ip, &sa.sin_addr);
	return sa;
}

static int listen_at(const char *ip, int port, int backlog)
{
	struct sockaddr_in sa = address(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) || listen(fd, backlog)) {
		close(fd);
		return -1;
	}
	return fd;
}

void kit_init(const char *folder)
{
	char path[512];
	int tries = 0, fd;

	signal(SIGPIPE, SIG_IGN);
	snprintf(path, sizeof(path), "%s/record.txt", folder);
	record = fopen(path, "w");
	if (!record)
		exit(KIT_NOT_RUN);
	started_ms = kit_now_ms();
	for (;; tries++) {
		unsigned n = (unsigned)getpid() + (unsigned)tries * 977;

		snprintf(net, sizeof(net), "127.%u.%u", 64 + n % 64, 1 + n / 64 % 250);
		fd = listen_at(kit_ip(0), PORT_STORE, 1);
		if (fd >= 0)
			break;
		if (tries > 50)
			exit(KIT_NOT_RUN);
	}
	close(fd);
	snprintf(temp, sizeof(temp), "%s/review-XXXXXX", getenv("TMPDIR") ? getenv("TMPDIR") : "/tmp");
	if (!mkdtemp(temp))
		exit(KIT_NOT_RUN);
	kit_note("trouble %d", kit_trouble());
}

void kit_finish(int code)
{
	char command[256];

	for (int i = 0; i < KIT_NODES_MAX; i++) {
		if (kit_nodes[i].pid <= 0)
			continue;
		kill(kit_nodes[i].pid, SIGCONT);
		kill(kit_nodes[i].pid, SIGKILL);
		waitpid(kit_nodes[i].pid, NULL, 0);
	}
	kit_note("result %d: %s", code,
		 code == KIT_HELD ? "held" : code == KIT_BROKEN ? "broken" : "not run");
	if (!getenv("KEEP")) {
		snprintf(command, sizeof(command), "rm -rf '%s'", temp);
		if (system(command))
			fprintf(stderr, "%s was not removed\n", temp);
	} else {
		fprintf(stderr, "logs are in %s\n", temp);
	}
	_exit(code);
}

bool kit_header(const char *head, const char *name, char *out, size_t out_bytes)
{
	size_t len = strlen(name);

	for (const char *at = strstr(head, "\r\n"); at; at = strstr(at, "\r\n")) {
		at += 2;
		if (strncasecmp(at, name, len) || at[len] != ':')
			continue;
		at += len + 1;
		at += strspn(at, " ");
		snprintf(out, out_bytes, "%.*s", (int)strcspn(at, "\r"), at);
		return true;
	}
	return false;
}

bool kit_write(int fd, const void *data, size_t bytes)
{
	const char *at = data;

	while (bytes) {
		ssize_t n = send(fd, at, bytes, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		at += n;
		bytes -= (size_t)n;
	}
	return true;
}

bool kit_printf(int fd, const char *fmt, ...)
{
	char text[16384];
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	return kit_write(fd, text, (size_t)n);
}

/* Reads a head into `head`, and what came behind it into rest. returns its length or -1. */
static ssize_t read_head(int fd, char *head, size_t max, char *rest, size_t *rest_bytes)
{
	size_t n = *rest_bytes;
	char *end;

	memcpy(head, rest, n);
	head[n] = '\0';
	while (!(end = strstr(head, "\r\n\r\n"))) {
		ssize_t got;

		if (n + 1 >= max)
			return -1;
		got = recv(fd, head + n, max - 1 - n, 0);
		if (got <= 0)
			return -1;
		n += (size_t)got;
		head[n] = '\0';
	}
	end += 4;
	*rest_bytes = n - (size_t)(end - head);
	memcpy(rest, end, *rest_bytes);
	*end = '\0';
	return end - head;
}

typedef struct server {
	int fd;
	kit_handler_t *handler;
	void *ctx;
	bool is_engine;
} server_t;

typedef struct served {
	server_t server;
	int fd;
} served_t;

#define OPEN_MAX 4096

/* Connections that are open, for engines that crash. */
static struct {
	int fd;
	const void *ctx;
} open_now[OPEN_MAX];
static pthread_mutex_t open_lock = PTHREAD_MUTEX_INITIALIZER;

static void note_open(int fd, const void *ctx, bool opens)
{
	pthread_mutex_lock(&open_lock);
	for (int i = 0; i < OPEN_MAX; i++) {
		if (opens ? open_now[i].ctx != NULL : open_now[i].fd != fd || !open_now[i].ctx)
			continue;
		open_now[i].fd = fd;
		open_now[i].ctx = opens ? ctx : NULL;
		break;
	}
	pthread_mutex_unlock(&open_lock);
}

/* Resets all connections of a server. */
static void reset_open(const void *ctx)
{
	struct linger l = { 1, 0 };

	pthread_mutex_lock(&open_lock);
	for (int i = 0; i < OPEN_MAX; i++) {
		if (open_now[i].ctx != ctx)
			continue;
		setsockopt(open_now[i].fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
		shutdown(open_now[i].fd, SHUT_RDWR);
	}
	pthread_mutex_unlock(&open_lock);
}

static void *serve_connection(void *arg)
{
	served_t *s = arg;
	kit_request_t *r = calloc(1, sizeof(*r));
	char *rest = malloc(sizeof(r->head)), length[32];
	size_t rest_bytes = 0;

	r->fd = s->fd;
	if (s->server.ctx)
		note_open(s->fd, s->server.ctx, true);
	while (!r->close && read_head(s->fd, r->head, sizeof(r->head), rest, &rest_bytes) > 0) {
		size_t have;

		if (sscanf(r->head, "%15s %1023s", r->method, r->target) != 2)
			break;
		r->body_bytes = kit_header(r->head, "Content-Length", length, sizeof(length))
					? strtoul(length, NULL, 10)
					: 0;
		r->body = malloc(r->body_bytes + 1);
		have = rest_bytes < r->body_bytes ? rest_bytes : r->body_bytes;
		memcpy(r->body, rest, have);
		memmove(rest, rest + have, rest_bytes - have);
		rest_bytes -= have;
		while (have < r->body_bytes) {
			ssize_t n = recv(s->fd, r->body + have, r->body_bytes - have, 0);

			if (n <= 0)
				break;
			have += (size_t)n;
		}
		if (have == r->body_bytes)
			s->server.handler(s->server.ctx, r);
		else
			r->close = true;
		free(r->body);
		r->body = NULL;
	}
	if (s->server.ctx)
		note_open(s->fd, s->server.ctx, false);
	close(s->fd);
	free(rest);
	free(r);
	free(s);
	return NULL;
}

static void note_accepted(int fd);

static void *serve(void *arg)
{
	server_t *s = arg;

	for (;;) {
		pthread_t thread;
		served_t *one;
		int fd, on = 1;

		while (s->is_engine && kit_accept_paused)
			kit_sleep_ms(20);
		fd = accept4(s->fd, NULL, NULL, SOCK_CLOEXEC);
		if (fd < 0)
			return NULL;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		one = calloc(1, sizeof(*one));
		one->server = *s;
		one->fd = fd;
		if (s->is_engine)
			note_accepted(fd);
		pthread_create(&thread, NULL, serve_connection, one);
		pthread_detach(thread);
	}
}

static int serve_at(const char *ip, int port, kit_handler_t *handler, void *ctx)
{
	server_t *s = calloc(1, sizeof(*s));
	pthread_t thread;

	s->fd = listen_at(ip, port, BACKLOG);
	s->handler = handler;
	s->ctx = ctx;
	s->is_engine = ctx != NULL;
	if (s->fd < 0) {
		kit_note("cannot listen at %s:%d", ip, port);
		kit_finish(KIT_NOT_RUN);
	}
	pthread_create(&thread, NULL, serve, s);
	pthread_detach(thread);
	return s->fd;
}

/* The store */

typedef struct log_record {
	uint8_t key_bytes;
	char key[256];
	char *value; /* NULL: the key was dropped */
	size_t value_bytes;
} log_record_t;

typedef struct topic {
	const char *name;
	log_record_t *records;
	size_t n;
} topic_t;

static topic_t topics[] = { { KIT_TOPIC_OP, NULL, 0 }, { KIT_TOPIC_SERVERS, NULL, 0 } };
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static volatile bool store_down;

static topic_t *find_topic(const char *name)
{
	for (size_t i = 0; i < sizeof(topics) / sizeof(topics[0]); i++) {
		if (!strcmp(topics[i].name, name))
			return &topics[i];
	}
	return NULL;
}

int64_t kit_store_put(const char *topic, const void *key, size_t key_bytes, const char *value)
{
	topic_t *t = find_topic(topic);
	log_record_t *r;

	pthread_mutex_lock(&store_lock);
	t->records = realloc(t->records, sizeof(*r) * (t->n + 1));
	r = &t->records[t->n++];
	memset(r, 0, sizeof(*r));
	r->key_bytes = (uint8_t)key_bytes;
	memcpy(r->key, key, key_bytes);
	r->value = value ? strdup(value) : NULL;
	r->value_bytes = value ? strlen(value) : 0;
	pthread_mutex_unlock(&store_lock);
	return kit_now_ms();
}

void kit_store_down(bool down)
{
	store_down = down;
}

typedef struct buffer {
	char *data;
	size_t n, cap;
} buffer_t;

static void put(buffer_t *b, const void *data, size_t bytes)
{
	if (b->n + bytes > b->cap) {
		b->cap = (b->n + bytes) * 2;
		b->data = realloc(b->data, b->cap);
	}
	memcpy(b->data + b->n, data, bytes);
	b->n += bytes;
}

static void put_text(buffer_t *b, const char *text)
{
	put(b, text, strlen(text));
}

static void put_number(buffer_t *b, uint64_t v, int bytes)
{
	for (int i = bytes - 1; i >= 0; i--) {
		char c = (char)(v >> (8 * i));

		put(b, &c, 1);
	}
}

static void put_base64(buffer_t *b, const char *data, size_t n)
{
	static const char digits[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

	for (size_t i = 0; i < n; i += 3) {
		uint32_t v = (uint32_t)(uint8_t)data[i] << 16;
		char out[4];

		v |= i + 1 < n ? (uint32_t)(uint8_t)data[i + 1] << 8 : 0;
		v |= i + 2 < n ? (uint8_t)data[i + 2] : 0;
		out[0] = digits[v >> 18];
		out[1] = digits[v >> 12 & 63];
		out[2] = i + 1 < n ? digits[v >> 6 & 63] : '=';
		out[3] = i + 2 < n ? digits[v & 63] : '=';
		put(b, out, 4);
	}
}

/* A key as a JSON string: control characters are escaped, as JSON requires. */
static void put_key(buffer_t *b, const log_record_t *r)
{
	put_text(b, "\"");
	for (int i = 0; i < r->key_bytes; i++) {
		unsigned char c = (unsigned char)r->key[i];
		char text[8];

		if (c < 0x20 || c == '"' || c == '\\')
			snprintf(text, sizeof(text), "\\u%04x", c);
		else
			snprintf(text, sizeof(text), "%c", c);
		put_text(b, text);
	}
	put_text(b, "\"");
}

static int compare_keys(const log_record_t *a, const log_record_t *b)
{
	size_t n = a->key_bytes < b->key_bytes ? a->key_bytes : b->key_bytes;
	int rc = memcmp(a->key, b->key, n);

	return rc ? rc : a->key_bytes - b->key_bytes;
}

static int by_key(const void *a, const void *b)
{
	const log_record_t *const *x = a, *const *y = b;

	return compare_keys(*x, *y);
}

/* The newest record of each key, in the order of keys. returns their number. */
static size_t newest(const topic_t *t, const log_record_t **out)
{
	size_t n = 0;

	for (size_t i = t->n; i-- > 0;) {
		bool known = false;

		for (size_t j = 0; j < n && !known; j++)
			known = !compare_keys(out[j], &t->records[i]);
		if (!known && n < KEYS_MAX)
			out[n++] = &t->records[i];
	}
	qsort(out, n, sizeof(*out), by_key);
	return n;
}

static void answer_newest(const topic_t *t, buffer_t *b)
{
	const log_record_t *list[KEYS_MAX];
	size_t n = newest(t, list);
	bool first = true;
	char text[96];

	put_text(b, "{\"items\":[");
	for (size_t i = 0; i < n; i++) {
		if (!list[i]->value)
			continue;
		put_text(b, first ? "{\"key\":" : ",{\"key\":");
		first = false;
		put_key(b, list[i]);
		put_text(b, ",\"value\":\"");
		put_base64(b, list[i]->value, list[i]->value_bytes);
		snprintf(text, sizeof(text), "\",\"offset\":%zu}", (size_t)(list[i] - t->records));
		put_text(b, text);
	}
	snprintf(text, sizeof(text), "],\"more\":false,\"end_offset\":%zu}", t->n);
	put_text(b, text);
}

/* Whole records up to the number of kilobytes that the caller takes, but at least one. */
static void answer_read(const topic_t *t, size_t from, size_t max_bytes, buffer_t *b)
{
	put_number(b, t->n, 8);
	put_number(b, 0, 8);
	for (size_t i = from; i < t->n; i++) {
		const log_record_t *r = &t->records[i];
		size_t len = 1 + (size_t)r->key_bytes + r->value_bytes;

		if (i > from && b->n + 4 + len > max_bytes)
			return;
		put_number(b, len, 4);
		put_number(b, r->key_bytes, 1);
		put(b, r->key, r->key_bytes);
		put(b, r->value ? r->value : "", r->value_bytes);
	}
}

static bool query(const char *target, const char *name, char *out, size_t out_bytes)
{
	char key[64];
	const char *at;

	snprintf(key, sizeof(key), "%s=", name);
	for (at = strpbrk(target, "?&"); at; at = strpbrk(at, "?&")) {
		at++;
		if (strncmp(at, key, strlen(key)))
			continue;
		at += strlen(key);
		snprintf(out, out_bytes, "%.*s", (int)strcspn(at, "&"), at);
		return true;
	}
	return false;
}

static void reset(kit_request_t *r)
{
	struct linger l = { 1, 0 };

	setsockopt(r->fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	r->close = true;
}

static void on_store(void *ctx, kit_request_t *r)
{
	char name[64] = "", from[32] = "0", kb[32] = "1024";
	buffer_t b = { 0 };
	topic_t *t;
	int status = 200;

	(void)ctx;
	if (store_down) {
		reset(r);
		return;
	}
	kit_sleep_ms(4);
	query(r->target, "topic", name, sizeof(name));
	query(r->target, "from", from, sizeof(from));
	query(r->target, "maximum_kilobytes", kb, sizeof(kb));
	t = find_topic(name);
	pthread_mutex_lock(&store_lock);
	if (!t)
		status = 404;
	else if (!strncmp(r->target, "/api/log-newest", 15))
		answer_newest(t, &b);
	else if (!strncmp(r->target, "/api/log-read", 13) && strtoul(from, NULL, 10) > t->n)
		status = 410;
	else if (!strncmp(r->target, "/api/log-read", 13))
		answer_read(t, strtoul(from, NULL, 10), strtoul(kb, NULL, 10) * 1024, &b);
	else
		status = 403;
	pthread_mutex_unlock(&store_lock);
	kit_printf(r->fd, "HTTP/1.1 %d x\r\nContent-Length: %zu\r\n\r\n", status, b.n);
	kit_write(r->fd, b.data ? b.data : "", b.n);
	free(b.data);
}

void kit_store_start(void)
{
	serve_at(kit_ip(0), PORT_STORE, on_store, NULL);
}

/* Engines */

static pthread_mutex_t heartbeat_lock = PTHREAD_MUTEX_INITIALIZER;

int64_t kit_engine_list(kit_engine_t *e)
{
	char text[512];

	snprintf(text, sizeof(text),
		 "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"zone-a\",\"version\":\"%s\","
		 "\"slots\":%d,\"state\":\"%s\",\"cold_remaining_ms\":0,\"sequence\":%d,"
		 "\"born\":%lld}",
		 e->service, e->ip, e->port, e->version, e->slots, e->state, ++e->sequence,
		 (long long)e->born_ms);
	return kit_store_put(KIT_TOPIC_SERVERS, e->id, strlen(e->id), text);
}

int64_t kit_engine_unlist(kit_engine_t *e)
{
	pthread_mutex_lock(&heartbeat_lock);
	e->listed = false;
	pthread_mutex_unlock(&heartbeat_lock);
	return kit_store_put(KIT_TOPIC_SERVERS, e->id, strlen(e->id), NULL);
}

static void *heartbeat(void *arg)
{
	kit_engine_t *e = arg;

	for (;;) {
		kit_sleep_ms(HEARTBEAT_MS);
		pthread_mutex_lock(&heartbeat_lock);
		if (e->listed)
			kit_engine_list(e);
		pthread_mutex_unlock(&heartbeat_lock);
	}
	return NULL;
}

static int queued[64];
static int n_queued;
static int accepted[1024]; /* since the queues were last emptied */
static int n_accepted;
static bool notes_accepted;
static pthread_mutex_t accepted_lock = PTHREAD_MUTEX_INITIALIZER;

static void note_accepted(int fd)
{
	pthread_mutex_lock(&accepted_lock);
	if (notes_accepted && n_accepted < 1024)
		accepted[n_accepted++] = dup(fd);
	pthread_mutex_unlock(&accepted_lock);
}

void kit_engines_close_new(void)
{
	pthread_mutex_lock(&accepted_lock);
	for (int i = 0; i < n_accepted; i++) {
		shutdown(accepted[i], SHUT_RDWR);
		close(accepted[i]);
	}
	n_accepted = 0;
	notes_accepted = false;
	pthread_mutex_unlock(&accepted_lock);
}

void kit_engine_empty_queue(kit_engine_t *e)
{
	for (int i = 0; i < n_queued; i++)
		close(queued[i]);
	n_queued = 0;
	notes_accepted = true;
	listen(e->listener, BACKLOG);
}

void kit_engine_fill_queue(kit_engine_t *e)
{
	struct sockaddr_in sa = address(e->ip, e->port);

	listen(e->listener, 1);

	for (int i = 0; i < QUEUED; i++) {
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

		if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) && errno != EINPROGRESS)
			close(fd);
		else if (n_queued < 64)
			queued[n_queued++] = fd;
	}
}

void kit_engine_start(kit_engine_t *e, int machine, int port)
{
	struct timespec ts;
	pthread_t thread;

	clock_gettime(CLOCK_REALTIME, &ts);
	e->born_ms = (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
	snprintf(e->ip, sizeof(e->ip), "%s", kit_ip(machine));
	e->port = port;
	if (!e->slots)
		e->slots = 64;
	if (!e->state)
		e->state = "ready";
	e->listener = serve_at(e->ip, port, e->handler, e);
	e->listed = true;
	kit_engine_list(e);
	pthread_create(&thread, NULL, heartbeat, e);
	pthread_detach(thread);
}

void kit_engine_crash(kit_engine_t *e)
{
	pthread_mutex_lock(&heartbeat_lock);
	e->listed = false;
	pthread_mutex_unlock(&heartbeat_lock);
	shutdown(e->listener, SHUT_RDWR);
	close(e->listener);
	reset_open(e);
}

bool kit_engine_head(kit_request_t *r, const char *status, const char *more)
{
	char id[128] = "";

	kit_header(r->head, "X-Buckthornchute-Request-Attempt-Id", id, sizeof(id));
	return kit_printf(r->fd,
			  "HTTP/1.1 %s\r\nX-Buckthornchute-Request-Attempt-Id: %s\r\n"
			  "X-Buckthornchute-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n%s",
			  status, id, more);
}

/* Gateways */

static void write_settings(int n, int first, int seeds_n, const char *path)
{
	FILE *f = fopen(path, "w");
	char seeds[256] = "";

	for (int i = first; i < first + seeds_n && i < first + 3; i++)
		snprintf(seeds + strlen(seeds), sizeof(seeds) - strlen(seeds), "%s\"%s:%d\"",
			 i > first ? "," : "", kit_ip(i + 1), PORT_CONTROL);
	fprintf(f,
		"{\"vm\": {\"name\": \"%s\", \"failure_domain\": \"zone-a\", \"region\": \"region\"},\n"
		"\"caller\": {\"address\": \"%s\", \"entry_lifetime_ms\": 1000},\n"
		"\"admin\": {\"address\": \"%s\", \"port\": %d},\n"
		"\"peer\": {\"address\": \"%s\", \"port\": %d,\n"
		" \"secret\": \"the platform gives no secret\", \"seeds\": [%s]},\n"
		"\"platform\": {\"url\": \"%s:%d\", \"timeout_ms\": 1000, \"poll_ms\": 700},\n"
		"\"gate\": {\"expect_returns\": true, \"account_shares\": true,\n"
		" \"listen\": \"%s:%d\", \"resolve\": \"%s:%d\", \"readiness\": \"%s:%d\",\n"
		" \"grace_ms\": 8e3, \"budget_window_ms\": 10e3, \"budget_allowance\": 54,\n"
		" \"descriptors\": 4100, \"memory_bytes\": 260e6, \"share_port\": %d,\n"
		" \"relay_port\": %d},\n"
		"\"log\": {\"level\": \"info\", \"format\": \"json\", \"lines_per_s\": 100}}\n",
		kit_nodes[n].name, kit_nodes[n].ip, kit_nodes[n].ip, PORT_INNER_LAST,
		kit_nodes[n].ip, PORT_INNER_FIRST, seeds, kit_ip(0), PORT_STORE, kit_nodes[n].ip,
		PORT_FRONT, kit_nodes[n].ip, PORT_DIRECTORY, kit_nodes[n].ip, PORT_READINESS,
		PORT_INNER_LAST, PORT_INNER_FIRST);
	fclose(f);
}

void kit_node_settings(int n, int first_seed, int seeds)
{
	char settings[256];

	snprintf(settings, sizeof(settings), "%s/settings-%d.json", temp, n);
	write_settings(n, first_seed, seeds, settings);
}

void kit_node_start(int n, int nodes)
{
	kit_node_start_seeds(n, 0, nodes);
}

void kit_node_start_seeds(int n, int first_seed, int seeds)
{
	kit_node_t *k = &kit_nodes[n];
	char settings[256], log[256];

	snprintf(k->ip, sizeof(k->ip), "%s", kit_ip(n + 1));
	snprintf(k->name, sizeof(k->name), "front-%d", n + 1);
	snprintf(settings, sizeof(settings), "%s/settings-%d.json", temp, n);
	snprintf(log, sizeof(log), "%s/log-%d", temp, n);
	write_settings(n, first_seed, seeds, settings);
	k->pid = fork();
	if (!k->pid) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		execl("target/bin/chutegate", "target/bin/chutegate", "--config", settings, NULL);
		_exit(127);
	}
	kit_note("node %d starts at %s", n + 1, k->ip);
}

void kit_node_signal(int n, int sig)
{
	kit_note("node %d gets signal %d", n + 1, sig);
	kill(kit_nodes[n].pid, sig);
}

void kit_node_wait(int n)
{
	waitpid(kit_nodes[n].pid, NULL, 0);
	kit_nodes[n].pid = 0;
}

static int connect_to(const char *ip, int port, int64_t ms)
{
	struct sockaddr_in sa = address(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0), on = 1, err = 0;
	struct pollfd p = { .fd = fd, .events = POLLOUT };
	socklen_t len = sizeof(err);

	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) && errno != EINPROGRESS)
		err = errno;
	if (!err && (poll(&p, 1, (int)ms) <= 0 || getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len)))
		err = ETIMEDOUT;
	if (err) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

bool kit_node_ready(int n)
{
	int fd = connect_to(kit_nodes[n].ip, PORT_READINESS, 500);
	char text[256] = "";
	struct timeval tv = { 1, 0 };

	if (fd < 0)
		return false;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	kit_printf(fd, "GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
	if (recv(fd, text, sizeof(text) - 1, 0) <= 0)
		text[0] = '\0';
	close(fd);
	return !strncmp(text, "HTTP/1.1 200", 12);
}

void kit_wait_ready(int nodes, int64_t ms)
{
	int64_t end = kit_now_ms() + ms;
	int n = 0;

	while (n < nodes) {
		if (kit_now_ms() > end) {
			kit_note("node %d is not ready", n + 1);
			kit_finish(KIT_NOT_RUN);
		}
		if (kit_node_ready(n))
			n++;
		else
			kit_sleep_ms(50);
	}
	kit_note("%d nodes are ready", nodes);
}

/* Clients */

void kit_client_init(kit_client_t *c)
{
	memset(c, 0, sizeof(*c));
	c->fd = -1;
}

void kit_client_close(kit_client_t *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
}

void kit_new_id(char *out, size_t out_bytes)
{
	static unsigned n;
	unsigned at = __atomic_add_fetch(&n, 1, __ATOMIC_RELAXED);

	snprintf(out, out_bytes, "%08x%08x", (unsigned)getpid() * 2654435761u, at);
}

/* Receives until the time is over. returns as recv(2). */
static ssize_t receive(int fd, char *out, size_t max, int64_t end)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };
	int64_t left = end - kit_now_ms();

	if (left <= 0 || poll(&p, 1, (int)left) <= 0)
		return -1;
	return recv(fd, out, max, 0);
}

/* Decodes chunks in place. returns whether the last one has come. */
static bool decode_chunks(kit_client_t *c, const char *raw, size_t bytes)
{
	const char *at = raw, *stop = raw + bytes;

	c->body_bytes = 0;
	while (at < stop) {
		const char *line = memmem(at, (size_t)(stop - at), "\r\n", 2);
		size_t len = line ? strtoul(at, NULL, 16) : 0;

		if (!line)
			return false;
		at = line + 2;
		if (!len)
			return true;
		if ((size_t)(stop - at) < len + 2) {
			len = (size_t)(stop - at);
			memcpy(c->body + c->body_bytes, at, len);
			c->body_bytes += len;
			return false;
		}
		memcpy(c->body + c->body_bytes, at, len);
		c->body_bytes += len;
		at += len + 2;
	}
	return false;
}

static void read_answer(kit_client_t *c, int64_t end)
{
	static __thread char raw[sizeof(c->body)];
	char text[64];
	size_t n = 0, head_bytes = 0, length = 0;
	bool chunked = false;
	char *split;

	for (;;) {
		ssize_t got = receive(c->fd, raw + n, sizeof(raw) - 1 - n, end);

		if (got <= 0)
			break;
		n += (size_t)got;
		raw[n] = '\0';
		if (!head_bytes && (split = strstr(raw, "\r\n\r\n")) != NULL) {
			head_bytes = (size_t)(split - raw) + 4;
			snprintf(c->head, sizeof(c->head), "%.*s", (int)head_bytes, raw);
			c->status = atoi(c->head + 9);
			chunked = kit_header(c->head, "Transfer-Encoding", text, sizeof(text));
			if (kit_header(c->head, "Content-Length", text, sizeof(text)))
				length = strtoul(text, NULL, 10);
		}
		if (!head_bytes)
			continue;
		if (chunked)
			c->complete = decode_chunks(c, raw + head_bytes, n - head_bytes);
		else if ((c->complete = n - head_bytes >= length) == true)
			break;
		if (c->complete)
			break;
	}
	if (!chunked && head_bytes) {
		c->body_bytes = n - head_bytes;
		memcpy(c->body, raw + head_bytes, c->body_bytes);
	}
	c->body[c->body_bytes] = '\0';
}

int kit_client_call(kit_client_t *c, int node, const kit_call_t *call)
{
	int64_t end = kit_now_ms() + call->deadline_ms;
	char text[32] = "";

	c->status = 0;
	c->complete = false;
	c->body_bytes = 0;
	c->body[0] = c->head[0] = c->retry_after[0] = '\0';
	if (c->fd < 0)
		c->fd = connect_to(kit_nodes[node].ip, PORT_FRONT, 1000);
	if (c->fd < 0)
		return 0;
	kit_printf(c->fd,
		   "%s %s HTTP/1.1\r\nHost: %s\r\nX-Buckthornchute-Request-Attempt-Id: %s\r\n"
		   "X-Buckthornchute-Deadline-Milliseconds: %lld\r\n%s%s%s%sContent-Length: %zu\r\n\r\n"
		   "%s",
		   call->method, call->path, call->host, call->id, (long long)call->deadline_ms,
		   call->key ? "Api-Key: " : "", call->key ? call->key : "",
		   call->key ? "\r\n" : "", call->more ? call->more : "",
		   call->body ? strlen(call->body) : 0, call->body ? call->body : "");
	read_answer(c, end);
	kit_header(c->head, "Retry-After", c->retry_after, sizeof(c->retry_after));
	if (!c->complete || (kit_header(c->head, "Connection", text, sizeof(text)) &&
			     !strcasecmp(text, "close")))
		kit_client_close(c);
	return c->status;
}
