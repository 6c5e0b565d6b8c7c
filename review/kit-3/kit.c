/*
 * kit.c - see kit.h. One thread for each connection; blocking sockets.
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
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define RECORDS 4096
#define BEAT_S 1.2
#define LONGEST_S 118 /* that a case takes */
#define FIRST_NODE 11 /* last octet of the first gateway's address */

static FILE *record;
static struct timespec started;
static char dir[64];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER; /* of the store and the engines */

/* ---- record, time, end ---- */

static double clock_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

double kit_now(void)
{
	return clock_s() - ((double)started.tv_sec + (double)started.tv_nsec / 1e9);
}

void kit_sleep(double s)
{
	struct timespec t = { (time_t)s, (long)((s - (double)(time_t)s) * 1e9) };

	if (s > 0)
		nanosleep(&t, NULL);
}

void kit_note(const char *format, ...)
{
	char line[1024];
	va_list ap;

	va_start(ap, format);
	vsnprintf(line, sizeof(line), format, ap);
	va_end(ap);
	fprintf(record, "%8.3f %s\n", kit_now(), line);
	fflush(record);
}

static void on_end(int sig);

void kit_open(const char *path)
{
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_end);
	signal(SIGINT, on_end);
	signal(SIGALRM, on_end);
	alarm(LONGEST_S);
	clock_gettime(CLOCK_MONOTONIC, &started);
	srandom((unsigned)(started.tv_nsec ^ getpid()));
	record = fopen(path, "w");
	if (!record)
		exit(2);
	snprintf(dir, sizeof(dir), "/tmp/review-3-XXXXXX");
	if (!mkdtemp(dir))
		exit(2);
}

bool kit_trouble(void)
{
	const char *t = getenv("TROUBLE");

	return !t || strcmp(t, "0") != 0;
}

static pid_t pids[KIT_NODES];

/* The case is stopped from outside, or takes too long. */
static void on_end(int sig)
{
	(void)sig;
	for (int i = 0; i < KIT_NODES; i++) {
		if (pids[i] > 0)
			kill(pids[i], SIGKILL);
	}
	_exit(2);
}

void kit_exit(int status)
{
	char command[128];

	for (int i = 0; i < KIT_NODES; i++) {
		if (pids[i] > 0) {
			kill(pids[i], SIGKILL);
			waitpid(pids[i], NULL, 0);
		}
	}
	snprintf(command, sizeof(command), "rm -rf %s", dir);
	if (system(command))
		status = 2;
	fflush(record);
	_exit(status);
}

void kit_fail(const char *format, ...)
{
	char line[512];
	va_list ap;

	va_start(ap, format);
	vsnprintf(line, sizeof(line), format, ap);
	va_end(ap);
	kit_note("the case couldn't run: %s", line);
	kit_exit(2);
}

/* ---- sockets ---- */

static int listen_at(const char *ip, int port, int *got)
{
	struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons((uint16_t)port) };
	socklen_t len = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	inet_pton(AF_INET, ip, &a.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&a, len) || listen(fd, 256)) {
		close(fd);
		return -1;
	}
	getsockname(fd, (struct sockaddr *)&a, &len);
	if (got)
		*got = ntohs(a.sin_port);
	return fd;
}

bool kit_send(int fd, const char *text, size_t n)
{
	while (n) {
		ssize_t w = send(fd, text, n, MSG_NOSIGNAL);

		if (w <= 0)
			return false;
		text += w;
		n -= (size_t)w;
	}
	return true;
}

static bool say(int fd, const char *format, ...)
{
	char text[4096];
	va_list ap;

	va_start(ap, format);
	vsnprintf(text, sizeof(text), format, ap);
	va_end(ap);
	return kit_send(fd, text, strlen(text));
}

/* Reads a head into text, which ends with a NUL; what came behind it is moved to rest. */
static bool read_head(int fd, char *text, size_t max, char *rest, size_t *rest_bytes)
{
	size_t n = *rest_bytes;
	char *end;

	memcpy(text, rest, n);
	text[n] = '\0';
	while (!(end = strstr(text, "\r\n\r\n"))) {
		ssize_t got = n + 1 < max ? recv(fd, text + n, max - 1 - n, 0) : 0;

		if (got <= 0)
			return false;
		n += (size_t)got;
		text[n] = '\0';
	}
	*rest_bytes = n - (size_t)(end + 4 - text);
	memcpy(rest, end + 4, *rest_bytes);
	end[2] = '\0';
	return true;
}

/* The value of a header, or an empty text. */
static void header(const char *head, const char *name, char *out, size_t max)
{
	size_t len = strlen(name);
	const char *at = head;

	out[0] = '\0';
	while ((at = strstr(at, "\r\n")) != NULL) {
		at += 2;
		if (strncasecmp(at, name, len) || at[len] != ':')
			continue;
		at += len + 1;
		at += strspn(at, " ");
		snprintf(out, max, "%.*s", (int)strcspn(at, "\r"), at);
		return;
	}
}

static bool read_body(int fd, char *body, size_t bytes, char *rest, size_t *rest_bytes)
{
	size_t n = bytes < *rest_bytes ? bytes : *rest_bytes;

	memcpy(body, rest, n);
	memmove(rest, rest + n, *rest_bytes - n);
	*rest_bytes -= n;
	while (n < bytes) {
		ssize_t got = recv(fd, body + n, bytes - n, 0);

		if (got <= 0)
			return false;
		n += (size_t)got;
	}
	return true;
}

static void start_thread(void *(*run)(void *), void *arg)
{
	pthread_t t;
	pthread_attr_t a;

	pthread_attr_init(&a);
	pthread_attr_setstacksize(&a, 1 << 20);
	pthread_attr_setdetachstate(&a, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&t, &a, run, arg))
		kit_fail("no thread");
}

/* ---- store ---- */

typedef struct stored {
	char topic[32], key[256], *value;
	size_t key_bytes;
	unsigned long offset;
	bool newest;
} stored_t;

static stored_t stored[RECORDS];
static unsigned n_stored;
static bool store_is_up = true;
static int store_port;

const char *kit_store_address(void)
{
	static char text[32];

	snprintf(text, sizeof(text), "127.0.0.1:%d", store_port);
	return text;
}

void kit_store_up(bool up)
{
	pthread_mutex_lock(&lock);
	store_is_up = up;
	pthread_mutex_unlock(&lock);
}

static unsigned long end_of(const char *topic)
{
	unsigned long n = 0;

	for (unsigned i = 0; i < n_stored; i++)
		n += !strcmp(stored[i].topic, topic);
	return n;
}

void kit_store_put(const char *topic, const char *key, size_t key_bytes, const char *value)
{
	stored_t *r;

	pthread_mutex_lock(&lock);
	if (n_stored == RECORDS)
		kit_fail("the store is full");
	for (unsigned i = 0; i < n_stored; i++) {
		r = &stored[i];
		if (!strcmp(r->topic, topic) && r->key_bytes == key_bytes &&
		    !memcmp(r->key, key, key_bytes))
			r->newest = false;
	}
	r = &stored[n_stored];
	snprintf(r->topic, sizeof(r->topic), "%s", topic);
	memcpy(r->key, key, key_bytes);
	r->key_bytes = key_bytes;
	r->value = value ? strdup(value) : NULL;
	r->newest = value != NULL;
	r->offset = end_of(topic);
	n_stored++;
	pthread_mutex_unlock(&lock);
}

static void base64(const char *in, char *out)
{
	static const char set[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t n = strlen(in);

	for (size_t i = 0; i < n; i += 3) {
		uint32_t v = (uint32_t)(unsigned char)in[i] << 16;

		v |= i + 1 < n ? (uint32_t)(unsigned char)in[i + 1] << 8 : 0;
		v |= i + 2 < n ? (uint32_t)(unsigned char)in[i + 2] : 0;
		*out++ = set[v >> 18];
		*out++ = set[v >> 12 & 63];
		*out++ = i + 1 < n ? set[v >> 6 & 63] : '=';
		*out++ = i + 2 < n ? set[v & 63] : '=';
	}
	*out = '\0';
}

/* A key as a JSON text. */
static void json_key(const stored_t *r, char *out)
{
	for (size_t i = 0; i < r->key_bytes; i++) {
		unsigned char c = (unsigned char)r->key[i];

		if (c < ' ' || c == '"' || c == '\\')
			out += sprintf(out, "\\u%04x", c);
		else
			*out++ = (char)c;
	}
	*out = '\0';
}

static bool store_newest(int fd, const char *topic)
{
	size_t max = 4 << 20, n = 0;
	char *text = malloc(max), key[2048], *value = malloc(1 << 20);
	bool ok;

	n += (size_t)sprintf(text + n, "{\"items\":[");
	for (unsigned i = 0, first = 1; i < n_stored; i++) {
		if (strcmp(stored[i].topic, topic) || !stored[i].newest)
			continue;
		json_key(&stored[i], key);
		base64(stored[i].value, value);
		n += (size_t)sprintf(text + n, "%s{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%lu}",
				     first ? "" : ",", key, value, stored[i].offset);
		first = 0;
	}
	n += (size_t)sprintf(text + n, "],\"more\":false,\"end_offset\":%lu}", end_of(topic));
	ok = say(fd,
		 "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
		 n) &&
	     kit_send(fd, text, n);
	free(text);
	free(value);
	return ok;
}

static void put_number(char **at, uint64_t v, int bytes)
{
	for (int i = bytes - 1; i >= 0; i--)
		*(*at)++ = (char)(v >> (8 * i));
}

static bool store_read(int fd, const char *topic, unsigned long from)
{
	char *text = malloc(8 << 20), *at = text;
	bool ok;

	if (from > end_of(topic)) {
		free(text);
		return say(fd, "HTTP/1.1 410 Gone\r\nContent-Length: 11\r\n\r\n{\"first\":0}");
	}
	put_number(&at, end_of(topic), 8);
	put_number(&at, 0, 8);
	for (unsigned i = 0; i < n_stored; i++) {
		const stored_t *r = &stored[i];
		size_t value = r->value ? strlen(r->value) : 0;

		if (strcmp(r->topic, topic) || r->offset < from)
			continue;
		put_number(&at, 1 + r->key_bytes + value, 4);
		put_number(&at, r->key_bytes, 1);
		memcpy(at, r->key, r->key_bytes);
		at += r->key_bytes;
		if (value)
			memcpy(at, r->value, value);
		at += value;
	}
	ok = say(fd, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n", (size_t)(at - text)) &&
	     kit_send(fd, text, (size_t)(at - text));
	free(text);
	return ok;
}

static bool store_answer(int fd, const char *head)
{
	const char *topic_at = strstr(head, "topic="), *from = strstr(head, "&from=");
	char topic[32] = "";
	bool ok;

	if (topic_at)
		snprintf(topic, sizeof(topic), "%.*s", (int)strcspn(topic_at + 6, "& "),
			 topic_at + 6);
	pthread_mutex_lock(&lock);
	if (!store_is_up)
		ok = say(fd, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
	else if (!strncmp(head, "GET /api/log-newest?", 20))
		ok = store_newest(fd, topic);
	else if (!strncmp(head, "GET /api/log-read?", 18) && from)
		ok = store_read(fd, topic, strtoul(from + 6, NULL, 10));
	else
		ok = say(fd, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
	pthread_mutex_unlock(&lock);
	return ok;
}

static void *store_serve(void *arg)
{
	int fd = (int)(intptr_t)arg;
	char *head = malloc(KIT_TEXT), *rest = malloc(KIT_TEXT);
	size_t rest_bytes = 0;

	while (read_head(fd, head, KIT_TEXT, rest, &rest_bytes) && store_answer(fd, head))
		;
	close(fd);
	free(head);
	free(rest);
	return NULL;
}

static void *store_accept(void *arg)
{
	int listener = (int)(intptr_t)arg, fd, on = 1;

	while ((fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		start_thread(store_serve, (void *)(intptr_t)fd);
	}
	return NULL;
}

void kit_store_start(void)
{
	int fd = listen_at("127.0.0.1", 0, &store_port);

	if (fd < 0)
		kit_fail("no port for the store");
	start_thread(store_accept, (void *)(intptr_t)fd);
}

/* ---- engines ---- */

static kit_engine_t engines[KIT_ENGINES];
static int n_engines;

typedef struct engine_conn {
	kit_engine_t *e;
	int fd;
} engine_conn_t;

static bool read_request(int fd, kit_request_t *r, char *rest, size_t *rest_bytes)
{
	char head[KIT_TEXT], text[64];

	memset(r, 0, sizeof(*r));
	if (!read_head(fd, head, sizeof(head), rest, rest_bytes))
		return false;
	if (sscanf(head, "%15s %511s", r->method, r->target) != 2)
		return false;
	header(head, "X-Buckthornchute-Request-Attempt-Id", r->id, sizeof(r->id));
	header(head, "X-Buckthornchute-Tenant", r->tenant, sizeof(r->tenant));
	header(head, "X-Buckthornchute-Expected-Instance", r->instance, sizeof(r->instance));
	header(head, "Api-Key", r->key, sizeof(r->key));
	header(head, "X-Buckthornchute-Prompt-Prefix", r->prefix, sizeof(r->prefix));
	header(head, "Last-Event-Id", text, sizeof(text));
	r->resumes = text[0] != '\0';
	r->after_event = strtoul(text, NULL, 10);
	header(head, "Content-Length", text, sizeof(text));
	r->body_bytes = strtoul(text, NULL, 10);
	return r->body_bytes < sizeof(r->body) &&
	       read_body(fd, r->body, r->body_bytes, rest, rest_bytes);
}

static bool engine_answer(kit_engine_t *e, const kit_request_t *r, int fd)
{
	if (!strcmp(r->target, "/health"))
		return say(fd,
			   "HTTP/1.1 200 OK\r\nX-Buckthornchute-Instance-Id: %s\r\nContent-Length: "
			   "0\r\n\r\n",
			   e->id);
	if (r->instance[0] && strcmp(r->instance, e->id) != 0)
		return say(fd,
			   "HTTP/1.1 421 Misdirected Request\r\nX-Buckthornchute-Instance-Id: "
			   "%s\r\nX-Buckthornchute-Request-Attempt-Id: %s\r\nContent-Length: "
			   "0\r\n\r\n",
			   e->id, r->id);
	return e->answer(e, r, fd);
}

static void forget_fd(kit_engine_t *e, int fd)
{
	for (unsigned i = 0; i < e->n_fds; i++) {
		if (e->fds[i] == fd)
			e->fds[i] = e->fds[--e->n_fds];
	}
}

static void *engine_serve(void *arg)
{
	engine_conn_t c = *(engine_conn_t *)arg;
	kit_request_t *r = malloc(sizeof(*r));
	char *rest = malloc(KIT_TEXT);
	size_t rest_bytes = 0;

	free(arg);
	while (read_request(c.fd, r, rest, &rest_bytes) && engine_answer(c.e, r, c.fd))
		;
	pthread_mutex_lock(&lock);
	forget_fd(c.e, c.fd);
	close(c.fd);
	pthread_mutex_unlock(&lock);
	free(r);
	free(rest);
	return NULL;
}

static void reset_fd(int fd)
{
	struct linger l = { 1, 0 };
	struct sockaddr a = { .sa_family = AF_UNSPEC };

	/* Resets the connection while its thread still has the descriptor. */
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	connect(fd, &a, sizeof(a));
}

static void *engine_accept(void *arg)
{
	kit_engine_t *e = arg;
	unsigned life = e->life;
	int listener = e->listener, fd, on = 1;

	while ((fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		engine_conn_t *c;

		pthread_mutex_lock(&lock);
		if (e->life != life || e->n_fds == 256) {
			reset_fd(fd);
			close(fd);
			pthread_mutex_unlock(&lock);
			continue;
		}
		e->fds[e->n_fds++] = fd;
		pthread_mutex_unlock(&lock);
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		c = malloc(sizeof(*c));
		*c = (engine_conn_t){ e, fd };
		start_thread(engine_serve, c);
	}
	close(listener);
	return NULL;
}

static void beat(kit_engine_t *e)
{
	char text[512];

	snprintf(text, sizeof(text),
		 "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"zone-a\","
		 "\"version\":\"%s\",\"slots\":64,\"state\":\"%s\",\"cold_remaining_ms\":0,"
		 "\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
		 "\"sequence\":%u,\"born\":%ld}",
		 e->service, e->port, e->version, e->draining ? "draining" : "ready", ++e->sequence,
		 e->born);
	kit_store_put("keyed.servers", e->id, strlen(e->id), text);
}

void kit_engine_report(kit_engine_t *e)
{
	beat(e);
}

typedef struct beats {
	kit_engine_t *e;
	double first_s;
	unsigned life;
} beats_t;

/* The store may be down: the entry is written then once it is back. */
static void *engine_beats(void *arg)
{
	beats_t b = *(beats_t *)arg;

	free(arg);
	kit_sleep(b.first_s);
	while (b.e->life == b.life) {
		if (b.e->registers && store_is_up)
			beat(b.e);
		kit_sleep(BEAT_S);
	}
	return NULL;
}

static void engine_run(kit_engine_t *e, double first_beat_s)
{
	struct timespec t;
	beats_t *b = malloc(sizeof(*b));
	int port = e->port;

	for (int i = 0; i < 50; i++) {
		/* Below the ports that the kernel gives to connections: it must be free again. */
		e->listener = listen_at("127.0.0.1", port ? port : 10000 + (int)(random() % 10000),
					&e->port);
		if (e->listener >= 0)
			break;
		kit_sleep(0.1);
	}
	if (e->listener < 0)
		kit_fail("no port for an engine");
	clock_gettime(CLOCK_REALTIME, &t);
	e->born = (long)t.tv_sec * 1000 + t.tv_nsec / 1000000;
	e->sequence = 0;
	e->up = true;
	*b = (beats_t){ e, first_beat_s, e->life };
	if (first_beat_s <= 0 && store_is_up)
		beat(e);
	if (first_beat_s <= 0)
		b->first_s = BEAT_S;
	start_thread(engine_accept, e);
	start_thread(engine_beats, b);
}

kit_engine_t *kit_engine_start(const char *id, const char *service, const char *version,
			       kit_answer_fn *answer)
{
	kit_engine_t *e = &engines[n_engines++];

	snprintf(e->id, sizeof(e->id), "%s", id);
	snprintf(e->service, sizeof(e->service), "%s", service);
	snprintf(e->version, sizeof(e->version), "%s", version);
	e->answer = answer;
	e->registers = true;
	engine_run(e, 0);
	return e;
}

void kit_engine_crash(kit_engine_t *e)
{
	pthread_mutex_lock(&lock);
	e->life++;
	e->up = false;
	shutdown(e->listener, SHUT_RDWR);
	for (unsigned i = 0; i < e->n_fds; i++)
		reset_fd(e->fds[i]);
	pthread_mutex_unlock(&lock);
	kit_sleep(0.01);
}

void kit_engine_restart(kit_engine_t *e, const char *id, const char *version, double first_beat_s)
{
	if (id != e->id)
		snprintf(e->id, sizeof(e->id), "%s", id);
	if (version != e->version)
		snprintf(e->version, sizeof(e->version), "%s", version);
	engine_run(e, first_beat_s);
}

bool kit_engine_reply(const kit_request_t *r, int fd, const char *body)
{
	return say(fd,
		   "HTTP/1.1 200 OK\r\nX-Buckthornchute-Request-Attempt-Id: %s\r\n"
		   "X-Buckthornchute-Server-Seal: s.%s\r\nContent-Length: %zu\r\n\r\n%s",
		   r->id, r->id, strlen(body), body);
}

/* ---- gateways ---- */

static int n_nodes, front_port, resolve_port, ready_port, first_port, last_port;
static double node_since[KIT_NODES];

/* A port that is free at the addresses of all nodes, as they have the same. */
static int free_port(void)
{
	for (int i = 0; i < 200; i++) {
		int port = 20000 + (int)(random() % 12000);
		bool ok = true;

		for (int n = 0; n < n_nodes && ok; n++) {
			char ip[32];
			int fd;

			snprintf(ip, sizeof(ip), "127.0.0.%d", FIRST_NODE + n);
			fd = listen_at(ip, port, NULL);
			ok = fd >= 0;
			close(fd);
		}
		if (ok)
			return port;
	}
	kit_fail("no free port");
	return 0;
}

static void write_settings(int i)
{
	char path[128];
	FILE *f;

	snprintf(path, sizeof(path), "%s/node-%d.json", dir, i);
	f = fopen(path, "w");
	if (!f)
		kit_fail("no settings");
	fprintf(f,
		"{\"vm\":{\"name\":\"front-%d\",\"failure_domain\":\"zone-a\",\"region\":"
		"\"region-a\"},\"caller\":{\"address\":\"127.0.0.%d\",\"entry_lifetime_ms\":1000},"
		"\"admin\":{\"address\":\"127.0.0.%d\",\"port\":%d},\"peer\":{\"address\":"
		"\"127.0.0.%d\",\"port\":%d,\"secret\":\"the platform gives no secret\","
		"\"seeds\":[",
		i, FIRST_NODE + i, FIRST_NODE + i, last_port, FIRST_NODE + i, first_port);
	for (int n = 0; n < n_nodes && n < 3; n++)
		fprintf(f, "%s\"127.0.0.%d:%d\"", n ? "," : "", FIRST_NODE + n, ready_port);
	fprintf(f,
		"]},\"platform\":{\"url\":\"%s\",\"timeout_ms\":1000,\"poll_ms\":700},\"gate\":{"
		"\"expect_returns\":true,\"account_shares\":true,\"listen\":\"127.0.0.%d:%d\","
		"\"resolve\":\"127.0.0.%d:%d\",\"readiness\":\"127.0.0.%d:%d\",\"grace_ms\":8e3,"
		"\"budget_window_ms\":10e3,\"budget_allowance\":54,\"descriptors\":4100,"
		"\"memory_bytes\":260e6,\"share_port\":%d,\"relay_port\":%d},"
		"\"log\":{\"level\":\"info\",\"format\":\"json\",\"lines_per_s\":100}}\n",
		kit_store_address(), FIRST_NODE + i, front_port, FIRST_NODE + i, resolve_port,
		FIRST_NODE + i, ready_port, last_port, first_port);
	fclose(f);
}

void kit_nodes_init(int n)
{
	n_nodes = n;
	front_port = free_port();
	resolve_port = free_port();
	ready_port = free_port();
	first_port = free_port();
	last_port = free_port();
	for (int i = 0; i < n; i++)
		write_settings(i);
}

void kit_node_start(int i)
{
	const char *root = getenv("ROOT"), *logs = getenv("LOGS");
	char program[512], settings[128], out[512];
	pid_t pid;

	snprintf(program, sizeof(program), "%s/target/bin/chutegate", root ? root : ".");
	snprintf(settings, sizeof(settings), "%s/node-%d.json", dir, i);
	snprintf(out, sizeof(out), "%s/node-%d.log", logs ? logs : dir, i);
	pid = fork();
	if (!pid) {
		int fd = open(out, O_WRONLY | O_CREAT | O_APPEND, 0644);

		dup2(fd, 1);
		dup2(fd, 2);
		execl(program, program, "--config", settings, (char *)NULL);
		_exit(127);
	}
	if (pid < 0)
		kit_fail("no process");
	pids[i] = pid;
	node_since[i] = kit_now();
	kit_note("node %d starts", i);
}

void kit_node_signal(int i, int sig)
{
	if (pids[i] > 0)
		kill(pids[i], sig);
	kit_note("node %d gets signal %d", i, sig);
}

bool kit_node_wait(int i, double seconds)
{
	double end = kit_now() + seconds;
	int status = 0;

	while (kit_now() < end) {
		if (waitpid(pids[i], &status, WNOHANG) == pids[i]) {
			pids[i] = 0;
			kit_note("node %d has ended, status %d", i, status);
			return true;
		}
		kit_sleep(0.02);
	}
	return false;
}

bool kit_node_up(int i)
{
	return pids[i] > 0;
}

double kit_node_since(int i)
{
	return node_since[i];
}

static int connect_to(int node, int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons((uint16_t)port) };
	struct timeval t = { 1, 0 };
	char ip[32];
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	snprintf(ip, sizeof(ip), "127.0.0.%d", FIRST_NODE + node);
	inet_pton(AF_INET, ip, &a.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof(t));
	if (connect(fd, (struct sockaddr *)&a, sizeof(a))) {
		close(fd);
		return -1;
	}
	return fd;
}

bool kit_node_ready(int i)
{
	char text[512];
	struct timeval t = { 1, 0 };
	int fd = connect_to(i, ready_port);
	ssize_t n;

	if (fd < 0)
		return false;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof(t));
	say(fd, "GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
	n = recv(fd, text, sizeof(text) - 1, 0);
	close(fd);
	return n > 12 && !strncmp(text, "HTTP/1.1 200", 12);
}

/* ---- clients ---- */

void kit_new_id(char *out)
{
	static pthread_mutex_t m = PTHREAD_MUTEX_INITIALIZER;
	static unsigned n;

	pthread_mutex_lock(&m);
	snprintf(out, 17, "%08x%08x", (unsigned)getpid(), ++n);
	pthread_mutex_unlock(&m);
}

/* Decodes a chunked body in place; returns whether it is whole. */
static bool decode_chunks(kit_answer_t *a)
{
	char *in = a->body, *out = a->body, *end = a->body + a->body_bytes;

	for (;;) {
		char *line = memmem(in, (size_t)(end - in), "\r\n", 2), *size_end;
		unsigned long n;

		n = line ? strtoul(in, &size_end, 16) : 0;
		if (!line || size_end == in || (n && line + 2 + n + 2 > end)) {
			/* What came of the last chunk counts, too. */
			if (line && size_end != in && n && line + 2 < end) {
				memmove(out, line + 2, (size_t)(end - line - 2));
				out += end - line - 2;
			}
			a->body_bytes = (size_t)(out - a->body);
			*out = '\0';
			return false;
		}
		in = line + 2;
		if (!n) {
			a->body_bytes = (size_t)(out - a->body);
			*out = '\0';
			return true;
		}
		memmove(out, in, n);
		out += n;
		in += n + 2;
	}
}

static bool has_last_chunk(const kit_answer_t *a)
{
	return (a->body_bytes >= 7 && !memcmp(a->body + a->body_bytes - 7, "\r\n0\r\n\r\n", 7)) ||
	       (a->body_bytes == 5 && !memcmp(a->body, "0\r\n\r\n", 5));
}

static void read_answer(int fd, double end, kit_answer_t *a)
{
	char rest[KIT_TEXT], text[64];
	size_t rest_bytes = 0, length = 0;
	struct timeval t;
	bool chunked;

	t.tv_sec = (long)(end - kit_now()) + 1;
	t.tv_usec = 0;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof(t));
	if (!read_head(fd, a->head, sizeof(a->head), rest, &rest_bytes))
		return;
	if (sscanf(a->head, "HTTP/1.1 %d", &a->status) != 1)
		return;
	header(a->head, "Transfer-Encoding", text, sizeof(text));
	chunked = !strcasecmp(text, "chunked");
	header(a->head, "Content-Length", text, sizeof(text));
	length = strtoul(text, NULL, 10);
	memcpy(a->body, rest, rest_bytes);
	a->body_bytes = rest_bytes;
	while (kit_now() < end && a->body_bytes + 1 < sizeof(a->body)) {
		ssize_t n;

		if (chunked ? has_last_chunk(a) : a->body_bytes >= length)
			break;
		n = recv(fd, a->body + a->body_bytes, sizeof(a->body) - 1 - a->body_bytes, 0);
		if (n <= 0)
			break;
		a->body_bytes += (size_t)n;
	}
	a->body[a->body_bytes] = '\0';
	a->complete = chunked ? decode_chunks(a) : a->body_bytes == length;
}

void kit_client_call(int node, const kit_call_t *c, kit_answer_t *out)
{
	int fd = connect_to(node, front_port);

	out->status = 0;
	out->complete = false;
	out->body_bytes = 0;
	out->body[0] = out->head[0] = '\0';
	if (fd < 0)
		return;
	if (say(fd,
		"%s %s HTTP/1.1\r\nHost: case.example\r\nX-Buckthornchute-Request-Attempt-Id: "
		"%s\r\n"
		"X-Buckthornchute-Deadline-Milliseconds: %d\r\n%s",
		c->method, c->target, c->id, c->deadline_ms, c->headers ? c->headers : "") &&
	    say(fd, "Content-Length: %zu\r\n\r\n%s", c->body ? strlen(c->body) : 0,
		c->body ? c->body : ""))
		read_answer(fd, kit_now() + c->deadline_ms / 1000.0 + 1, out);
	close(fd);
}
