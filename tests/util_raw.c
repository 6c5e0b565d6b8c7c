/*
 * util_raw.c - sends prepared answers, see util_raw.h.
 */
#define _GNU_SOURCE
#include "tests/util_raw.h"
#include "base/clock.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEAD_BYTES 8192
#define TEXT_BYTES (128 * 1024)
#define ARRIVE_MS 50 /* for what was sent to be read before a reset */

typedef struct raw_server {
	const raw_answer_t *answers;
	uint32_t n;
	uint32_t served; /* atomic */
	const char *id_header;
	const char *skips;
	int fd;
} raw_server_t;

typedef struct raw_conn {
	raw_server_t *s;
	int fd;
} raw_conn_t;

/* Copies the text with the request's id in place of "@id". Returns the length. */
static size_t fill_in(const char *text, size_t len, const char *id, char *out)
{
	size_t n = 0;

	for (size_t i = 0; i < len && n + strlen(id) < TEXT_BYTES; i++) {
		if (len - i >= 3 && !memcmp(text + i, "@id", 3)) {
			memcpy(out + n, id, strlen(id));
			n += strlen(id);
			i += 2;
		} else {
			out[n++] = text[i];
		}
	}
	return n;
}

static void wait_closed(int fd, uint32_t ms)
{
	bct_time_t end = bct_clock_now() + ms;
	char unused[65536];

	while (bct_clock_now() < end) {
		struct pollfd p = { .fd = fd, .events = POLLIN };

		if (poll(&p, 1, 20) == 1 && recv(fd, unused, sizeof(unused), MSG_DONTWAIT) <= 0)
			return;
	}
}

static void reset(int fd)
{
	struct linger l = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
}

void test_raw_send(int fd, const raw_answer_t *a, const char *id)
{
	char *text = malloc(TEXT_BYTES);
	size_t len = fill_in(a->text, a->len_bytes ? a->len_bytes : strlen(a->text), id, text);

	send(fd, text, len, MSG_NOSIGNAL);
	if (a->end == RAW_ABORT) {
		reset(fd);
	} else if (a->end == RAW_RESET || a->end == RAW_LATE_RESET) {
		if (a->end == RAW_LATE_RESET)
			shutdown(fd, SHUT_WR);
		bct_clock_sleep(ARRIVE_MS);
		reset(fd);
	} else if (a->end == RAW_READ) {
		shutdown(fd, SHUT_WR);
		wait_closed(fd, RAW_SILENT_MS);
	} else if (a->end == RAW_SILENT) {
		wait_closed(fd, RAW_SILENT_MS);
	} else if (a->end == RAW_ENDLESS || a->end == RAW_LONG) {
		size_t sent = 0;

		len = fill_in(a->again, strlen(a->again), id, text);
		while ((a->end == RAW_ENDLESS || sent < RAW_LONG_BYTES) &&
		       send(fd, text, len, MSG_NOSIGNAL) > 0)
			sent += len;
		if (a->end == RAW_LONG)
			wait_closed(fd, RAW_SILENT_MS);
	}
	free(text);
}

/* Reads the head of a request. Returns false when the connection ended. */
static bool read_head(int fd, char *head)
{
	size_t have = 0;

	head[0] = '\0';
	while (!strstr(head, "\r\n\r\n") && have < HEAD_BYTES - 1) {
		ssize_t n = recv(fd, head + have, HEAD_BYTES - 1 - have, 0);

		if (n <= 0)
			return false;
		have += (size_t)n;
		head[have] = '\0';
	}
	return true;
}

static void *serve_conn(void *arg)
{
	raw_conn_t *c = arg;
	raw_server_t *s = c->s;
	char head[HEAD_BYTES], id[128] = "";
	const char *at;

	if (read_head(c->fd, head) && !(s->skips && !strncmp(head, s->skips, strlen(s->skips)))) {
		uint32_t i = __atomic_fetch_add(&s->served, 1, __ATOMIC_RELAXED);

		at = strcasestr(head, s->id_header);
		if (at) {
			at += strlen(s->id_header);
			at += strspn(at, ": ");
			snprintf(id, sizeof(id), "%.*s", (int)strcspn(at, "\r"), at);
		}
		test_raw_send(c->fd, &s->answers[i < s->n ? i : s->n - 1], id);
	}
	close(c->fd);
	free(c);
	return NULL;
}

static void *serve(void *arg)
{
	raw_server_t *s = arg;

	for (;;) {
		raw_conn_t *c = calloc(1, sizeof(*c));
		pthread_t thread;

		c->s = s;
		c->fd = accept(s->fd, NULL, NULL);
		if (c->fd < 0 || pthread_create(&thread, NULL, serve_conn, c)) {
			free(c);
			return NULL;
		}
		pthread_detach(thread);
	}
}

uint16_t test_raw_serve(const raw_answer_t *answers, uint32_t n, const char *id_header,
			const char *skips)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	raw_server_t *s = calloc(1, sizeof(*s));
	socklen_t len = sizeof(sa);
	pthread_t thread;

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	s->answers = answers;
	s->n = n;
	s->id_header = id_header;
	s->skips = skips;
	s->fd = socket(AF_INET, SOCK_STREAM, 0);
	cr_assert_eq(bind(s->fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	cr_assert_eq(listen(s->fd, 512), 0);
	getsockname(s->fd, (struct sockaddr *)&sa, &len);
	cr_assert_eq(pthread_create(&thread, NULL, serve, s), 0);
	pthread_detach(thread);
	return ntohs(sa.sin_port);
}
