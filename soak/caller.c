/*
 * caller.c - callers that reuse a connection until it breaks or the node closes it, and check every
 * answer.
 */
#include "soak/soak.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ANSWER_BYTES 16384
#define ANSWER_SLACK_MS 500 /* allowed past the route's time limit */
#define EVENTS 6	    /* in a complete stream; as in upstream.c */
#define CALL_INTERVAL_MS 20
#define BAD_PART 0xbadU
#define BAD_ONE_IN 8		/* streams that have it, while there are such */
#define SOUND_PARTS 40		/* others in its place */
#define CONNECT_TIMEOUT_MS 1000 /* limits connect() and send(): SO_SNDTIMEO */

typedef struct caller {
	soak_t *soak;
	int fd;	       /* -1: no connection */
	uint32_t node; /* index of the node that it is connected to */
	bct_rng_t rng;
	char buf[ANSWER_BYTES];
	size_t buf_len;
} caller_t;

typedef struct answer {
	int status; /* 0: no status line was received */
	bool complete;
	bool late;		  /* not complete in time */
	const char *body;	  /* in the caller's buffer; NULL: the headers are incomplete */
	bct_time_t began_wall_ms; /* when its first bytes arrived */
} answer_t;

static void disconnect(caller_t *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
	c->buf_len = 0;
}

static bool connect_to_node(caller_t *c)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	struct timeval tv = { CONNECT_TIMEOUT_MS / 1000, 0 };

	c->node = bct_rng_below(&c->rng, c->soak->n_nodes);
	sa.sin_port = htons(c->soak->port_base);
	inet_pton(AF_INET, c->soak->nodes[c->node].ip, &sa.sin_addr);
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(c->fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
	if (connect(c->fd, (struct sockaddr *)&sa, sizeof(sa)) == 0)
		return true;
	disconnect(c);
	return false;
}

/* Whether the buffer holds a complete answer, by its Content-Length or its last chunk. */
static bool is_complete(caller_t *c, answer_t *a)
{
	char *head_end, *length;

	c->buf[c->buf_len] = '\0';
	head_end = strstr(c->buf, "\r\n\r\n");
	if (!head_end)
		return false;
	a->body = head_end + 4;
	length = strstr(c->buf, "Content-Length: ");
	if (length && length < head_end)
		return c->buf_len >= (size_t)(a->body - c->buf) + strtoul(length + 16, NULL, 10);
	return strstr(a->body, "\r\n0\r\n\r\n") != NULL;
}

/* Reads until the answer is complete, the connection ends or the deadline passes. */
static void read_answer(caller_t *c, answer_t *a)
{
	bct_time_t deadline = bct_clock_now() + SOAK_TIMEOUT_MS + ANSWER_SLACK_MS;

	while (!(a->complete = is_complete(c, a)) && c->buf_len < sizeof(c->buf) - 1) {
		struct pollfd p = { .fd = c->fd, .events = POLLIN };
		bct_time_t remaining_ms = deadline - bct_clock_now();
		ssize_t n;

		if (remaining_ms <= 0) {
			a->late = true;
			break;
		}
		if (poll(&p, 1, (int)remaining_ms) <= 0)
			continue;
		n = recv(c->fd, c->buf + c->buf_len, sizeof(c->buf) - 1 - c->buf_len, 0);
		if (n <= 0)
			break;
		if (!c->buf_len)
			a->began_wall_ms = bct_clock_wall();
		c->buf_len += (size_t)n;
	}
	c->buf[c->buf_len] = '\0';
	if (!strncmp(c->buf, "HTTP/1.1 ", 9))
		a->status = atoi(c->buf + 9);
}

/* Checks that an event is of the software version that wrote the first one of its answer. */
static void check_software(caller_t *c, const char *id, const char *event, uint32_t *first)
{
	const char *at = strstr(event, "\nsoftware: ");
	uint32_t version;

	if (!at)
		return;
	version = (uint32_t)atoi(at + strlen("\nsoftware: "));
	if (*first == SOAK_VERSIONS)
		*first = version;
	if (version != *first)
		soak_violation(c->soak, "ORDER", "%s: begun by software %u, continued by %u", id,
			       *first, version);
}

/* Checks that each event comes once and in order, and that a complete answer has all of them. */
static void check_events(caller_t *c, const char *id, const answer_t *a)
{
	const char *at = a->body ? a->body : "";
	uint32_t software = SOAK_VERSIONS;
	int last = 0;

	while ((at = strstr(at, "id: ")) != NULL) {
		int n = atoi(at + 4);
		char expected[64];

		snprintf(expected, sizeof(expected), "id: %d\ndata: %s.%d\n", n, id, n);
		if (n != last + 1)
			soak_violation(c->soak, "ORDER", "%s: event %d after %d", id, n, last);
		if (strncmp(at, expected, strlen(expected)) != 0)
			soak_violation(c->soak, "MIXED", "%s: event of another request", id);
		check_software(c, id, at, &software);
		last = n;
		at += 4;
	}
	if (a->complete && last != EVENTS)
		soak_violation(c->soak, "ORDER", "%s: complete stream ends after event %d", id,
			       last);
}

/* Whether neither the run nor this node has had a fault for SOAK_SETTLE_MS. */
static bool is_settled(soak_t *s, uint32_t node)
{
	bct_time_t at;

	pthread_mutex_lock(&s->lock);
	at = s->last_fault_at > s->nodes[node].last_fault_at ? s->last_fault_at
							     : s->nodes[node].last_fault_at;
	pthread_mutex_unlock(&s->lock);
	return bct_clock_now() > at + SOAK_SETTLE_MS;
}

/* Checks that a 200 answer carries this request's attempt id and body. */
static void check_success(caller_t *c, const char *id, char kind, const answer_t *a)
{
	char echo[64];

	snprintf(echo, sizeof(echo), "Attempt-Id: %s\r\n", id);
	if (!strstr(c->buf, "Server-Seal: s\r\n") || !strstr(c->buf, echo))
		soak_violation(c->soak, "MIXED", "%s: answer of another request: %.200s", id,
			       c->buf);
	if (kind == 't' || kind == 'r')
		check_events(c, id, a);
	else if (a->complete && strcmp(a->body, id) != 0)
		soak_violation(c->soak, "MIXED", "%s: body %.40s", id, a->body);
}

/* Counts an answer and checks it; i is the call's index. */
static void check_answer(caller_t *c, uint32_t i, const char *id, char kind, const answer_t *a)
{
	soak_t *s = c->soak;
	bool ok = a->status == 200 && a->complete, ran = false, outage;

	if (a->status == 200)
		check_success(c, id, kind, a);
	pthread_mutex_lock(&s->lock);
	if (a->status == 503) {
		s->calls[i].refused = kind == 'u' || kind == 't';
		ran = s->calls[i].refused && s->calls[i].runs;
	}
	s->ok += ok;
	s->refused += a->status == 503;
	s->failed += !ok && a->status != 503;
	pthread_mutex_unlock(&s->lock);
	if (ran)
		soak_violation(s, "REFUSED", "%s: refused, but it ran", id);
	if (a->status == 401 || a->status == 404)
		soak_violation(s, "DENIED", "%s: %d", id, a->status);
	if (!is_settled(s, c->node))
		return;
	if (a->late)
		soak_violation(s, "CONFIG", "%s: no complete answer within its time limit", id);
	pthread_mutex_lock(&s->lock);
	outage = s->bad_crash_at && bct_clock_now() < s->bad_crash_at + SOAK_PART_OUTAGE_MS;
	s->settled_ok += ok && !outage;
	s->settled_failed += !ok && !outage;
	pthread_mutex_unlock(&s->lock);
}

/* returns the index of a new call, or SOAK_CALLS_MAX when the table is full */
static uint32_t new_call(caller_t *c, char kind, bool *bad)
{
	bool stream = kind == 't' || kind == 'r';
	soak_t *s = c->soak;
	uint32_t i;

	pthread_mutex_lock(&s->lock);
	*bad = stream && s->bad_part && !bct_rng_below(&c->rng, BAD_ONE_IN);
	i = s->n_calls;
	if (i < SOAK_CALLS_MAX) {
		s->calls[i] = (soak_call_t){ .kind = (uint8_t)kind,
					     .bad = *bad,
					     .node = (uint8_t)c->node };
		s->n_calls++;
	}
	pthread_mutex_unlock(&s->lock);
	return i;
}

/* Formats the head of a call. Streams are like no other; they share parts of their prompts. */
static int format_call(caller_t *c, uint32_t k, uint32_t i, bool bad, char *text, size_t size)
{
	static const char *const paths[] = { "safe", "unsafe", "stream", "resume" };
	char path[32] = "x", prompt[160] = "";

	if (k >= 2) {
		snprintf(path, sizeof(path), "%u", i);
		snprintf(prompt, sizeof(prompt),
			 "X-Buckthornchute-Token-Counts: 100,24\r\n"
			 "X-Buckthornchute-Prompt-Prefix: a1:20,%x:50,%x:30\r\n",
			 bad ? BAD_PART : 0x50 + bct_rng_below(&c->rng, SOUND_PARTS), 0x1000 + i);
	}
	return snprintf(text, size,
			"GET /%s/%s HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"
			"X-Buckthornchute-Request-Attempt-Id: c-%u\r\n"
			"X-Buckthornchute-Deadline-Milliseconds: 5000\r\n%s\r\n",
			paths[k], path, i, prompt);
}

static void send_call(caller_t *c)
{
	static const char kinds[] = { 's', 'u', 't', 'r' };
	uint32_t k = bct_rng_below(&c->rng, 4), i;
	char id[SOAK_ID_BYTES], text[512];
	answer_t a = { 0 };
	bool bad;
	int n;

	i = new_call(c, kinds[k], &bad);
	if (i >= SOAK_CALLS_MAX)
		return;
	snprintf(id, sizeof(id), "c-%u", i);
	n = format_call(c, k, i, bad, text, sizeof(text));
	c->buf_len = 0;
	if (send(c->fd, text, (size_t)n, MSG_NOSIGNAL) != n) {
		disconnect(c);
		return;
	}
	read_answer(c, &a);
	if (a.status == 200) {
		pthread_mutex_lock(&c->soak->lock);
		soak_duties_began(c->soak, a.began_wall_ms);
		pthread_mutex_unlock(&c->soak->lock);
	}
	if (!bad)
		check_answer(c, i, id, kinds[k], &a);
	if (!a.complete || strstr(c->buf, "Connection: close"))
		disconnect(c);
}

void *soak_caller(void *arg)
{
	soak_t *s = arg;
	caller_t *c = calloc(1, sizeof(*c));
	bool stop = false;

	c->soak = s;
	c->fd = -1;
	pthread_mutex_lock(&s->lock);
	bct_rng_seed(&c->rng, s->seed ^ ((uint64_t)bct_rng_below(&s->rng, 1U << 30) << 16));
	pthread_mutex_unlock(&s->lock);
	while (!stop) {
		if (c->fd >= 0 || connect_to_node(c))
			send_call(c);
		bct_clock_sleep(CALL_INTERVAL_MS);
		pthread_mutex_lock(&s->lock);
		stop = s->stop_callers;
		pthread_mutex_unlock(&s->lock);
	}
	disconnect(c);
	free(c);
	return NULL;
}
