/*
 * test_gate_pull.c - answers of other nodes that a gateway reads when it pulls what it lacks. The
 * connections to a peer's port for that lead to a stand-in, whose answers never end.
 */
#define _GNU_SOURCE
#include "base/clock.h"
#include "tests/util_cut.h"
#include "tests/util_gate.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SENT_MAX_BYTES (64 * 1024 * 1024)  /* of one answer: so that a failing test ends */
#define TAKEN_MAX_BYTES (16 * 1024 * 1024) /* the largest body, and what kernels buffer */
#define ANSWER_MS 15000			   /* that one takes at most */
#define WAIT_MS 16000

static test_gate_t gates[2];

typedef struct server {
	int fd;
	const char *begin; /* of an answer */
	const char *again;
	size_t max_bytes;    /* of an answer */
	atomic_uint closed;  /* answers that the gateway ended */
	atomic_ulong most;   /* bytes that one connection took */
	atomic_uint answers; /* that have ended */
} server_t;

static void answer(server_t *s, int fd)
{
	char request[4096];
	size_t sent = 0, len = strlen(s->again);
	bct_time_t end = bct_clock_now() + ANSWER_MS;

	if (recv(fd, request, sizeof(request), 0) <= 0)
		return;
	send(fd, s->begin, strlen(s->begin), MSG_NOSIGNAL);
	while (sent < s->max_bytes && bct_clock_now() < end) {
		if (send(fd, s->again, len, MSG_NOSIGNAL) != (ssize_t)len) {
			atomic_fetch_add(&s->closed, 1);
			break;
		}
		sent += len;
	}
	if (sent > atomic_load(&s->most))
		atomic_store(&s->most, sent);
	atomic_fetch_add(&s->answers, 1);
}

static void *serve(void *arg)
{
	server_t *s = arg;
	int fd;

	while ((fd = accept(s->fd, NULL, NULL)) >= 0) {
		answer(s, fd);
		close(fd);
	}
	return NULL;
}

/* Answers without end to the pulls of a gateway that has no registry; returns the bytes taken. */
static size_t most_taken(const char *begin, const char *again, size_t max_bytes)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t len = sizeof(sa);
	static server_t s; /* the thread that uses it ends with the process */
	bct_time_t end = bct_clock_now() + WAIT_MS;
	pthread_t thread;

	s.begin = begin;
	s.again = again;
	s.max_bytes = max_bytes;
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	s.fd = socket(AF_INET, SOCK_STREAM, 0);
	cr_assert_eq(bind(s.fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	cr_assert_eq(listen(s.fd, 16), 0);
	getsockname(s.fd, (struct sockaddr *)&sa, &len);
	pthread_create(&thread, NULL, serve, &s);
	test_gate_start_fleet(gates, 1);
	test_cut_redirect(TEST_GATE_ADMIN_PORT, ntohs(sa.sin_port));
	test_gate_start_lone(gates, 1);
	while (atomic_load(&s.answers) < 1 && bct_clock_now() < end)
		bct_clock_sleep(20);
	cr_expect_geq(atomic_load(&s.closed), 1, "the gateway ended no pull");
	return atomic_load(&s.most);
}

static void expect_cut_off(const char *begin, const char *again)
{
	size_t taken = most_taken(begin, again, SENT_MAX_BYTES);

	cr_expect_leq(taken, TAKEN_MAX_BYTES, "%zu bytes", taken);
}

Test(gate_pull, a_head_without_end_is_cut_off, .timeout = 60)
{
	expect_cut_off("HTTP/1.1 200 OK\r\n", "X-More: 1234567890123456789012345\r\n");
}

Test(gate_pull, a_line_without_end_is_cut_off, .timeout = 60)
{
	expect_cut_off("HTTP/1.1 200 OK\r\nX-More: ", "12345678901234567890123456789012");
}

Test(gate_pull, a_body_without_end_is_cut_off, .timeout = 60)
{
	expect_cut_off("HTTP/1.1 200 OK\r\n\r\n", "1234567890123456789012345678901");
}

/* Nothing of them is kept, but the pull would hold up all later ones. */
Test(gate_pull, interim_answers_without_end_end_in_time, .timeout = 60)
{
	most_taken("", "HTTP/1.1 100 Continue\r\n\r\n", SIZE_MAX);
}
