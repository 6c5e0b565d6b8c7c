/*
 * test_front_filter.c - the filter between callers and the server inside (node/front_filter.h),
 * alone: the test is both the caller and that server.
 */
#include "base/buf.h"
#include "base/counter.h"
#include "node/front_filter.h"

#include <criterion/criterion.h>
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define FULL_MS 500    /* without progress: all buffers on the way are full */
#define WAIT_MS 5000   /* for what must come */
#define REFUSED_MS 500 /* the filter would have refused a request on an idle connection */
#define CALLER_BUFFER_BYTES 16384 /* small, so that an answer waits inside */
#define REFUSAL "refused by the filter"

typedef struct fixture {
	bct_front_filter_t *filter;
	int inner[2];	      /* pipe: descriptors of the server inside */
	pthread_mutex_t hold; /* while locked, a new caller stops the filter's thread */
	bct_counter_t yielded, refused;
} fixture_t;

static int add(void *ctx, int fd, const struct sockaddr *caller, socklen_t caller_bytes)
{
	fixture_t *t = ctx;

	(void)caller;
	(void)caller_bytes;
	if (write(t->inner[1], &fd, sizeof(fd)) != sizeof(fd))
		return -1;
	pthread_mutex_lock(&t->hold);
	pthread_mutex_unlock(&t->hold);
	return 0;
}

static bool is_idle(void *ctx, int fd)
{
	(void)ctx;
	(void)fd;
	return true;
}

static bool is_serving(void *ctx, int fd)
{
	(void)ctx;
	(void)fd;
	return false;
}

static char *refusal(void *ctx)
{
	(void)ctx;
	return strdup(REFUSAL);
}

static void start(fixture_t *t)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_addr = { .s_addr = htonl(INADDR_LOOPBACK) } };
	bct_front_filter_opts_t o = {
		.address = (const struct sockaddr *)&at,
		.address_bytes = sizeof(at),
		.max_header_bytes = 16384,
		.add = add,
		.is_idle = is_idle,
		.is_serving = is_serving,
		.refusal = refusal,
		.ctx = t,
		.yielded = &t->yielded,
		.refused = &t->refused,
	};

	memset(t, 0, sizeof(*t));
	signal(SIGPIPE, SIG_IGN);
	pthread_mutex_init(&t->hold, NULL);
	cr_assert_eq(pipe(t->inner), 0);
	cr_assert_eq(bct_front_filter_new(&o, &t->filter), 0);
}

static void stop(fixture_t *t)
{
	bct_front_filter_free(t->filter);
	close(t->inner[0]);
	close(t->inner[1]);
	pthread_mutex_destroy(&t->hold);
}

/* Connects a caller. inner: the server's end of its connection */
static int connect_caller(fixture_t *t, int *inner)
{
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons(bct_front_filter_port(t->filter)),
				  .sin_addr = { .s_addr = htonl(INADDR_LOOPBACK) } };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), bytes = CALLER_BUFFER_BYTES;

	cr_assert_geq(fd, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	cr_assert_eq(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	cr_assert_eq(read(t->inner[0], inner, sizeof(*inner)), (ssize_t)sizeof(*inner));
	return fd;
}

static void send_text(int fd, const char *text)
{
	cr_assert_eq(send(fd, text, strlen(text), MSG_NOSIGNAL), (ssize_t)strlen(text));
}

/* Sends bytes until no more are taken. returns how many were */
static size_t send_until_full(int fd)
{
	static char chunk[16384];
	struct pollfd p = { .fd = fd, .events = POLLOUT };
	size_t sent = 0;

	memset(chunk, 'x', sizeof(chunk));
	while (poll(&p, 1, FULL_MS) > 0) {
		ssize_t n = send(fd, chunk, sizeof(chunk), MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n < 0 && errno != EAGAIN)
			break;
		sent += n > 0 ? (size_t)n : 0;
	}
	return sent;
}

/* Reads until the connection ends. */
static void read_all(int fd, bct_buf_t *out)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };
	char chunk[16384];
	ssize_t n = 1;

	bct_buf_init(out, 0);
	while (n > 0 && poll(&p, 1, WAIT_MS) > 0) {
		n = recv(fd, chunk, sizeof(chunk), 0);
		if (n > 0)
			bct_buf_put(out, chunk, (size_t)n);
	}
}

/*
 * Guards against the loss of a refusal: the server inside refuses a request and closes while the
 * rest is still being passed on to it, so that writing fails before its answer has been read.
 */
Test(front_filter, an_answer_that_comes_before_the_whole_request_is_passed_on, .timeout = 60)
{
	static const char answer[] = "HTTP/1.1 413 Content Too Large\r\nContent-Length: 7\r\n"
				     "Connection: close\r\n\r\ntoo big";
	bct_buf_t out;
	fixture_t t;
	int caller, inner, other, other_inner;

	start(&t);
	caller = connect_caller(&t, &inner);
	send_text(caller, "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000000\r\n\r\n");
	send_until_full(caller);
	/* The filter sees the answer and the close at once. */
	pthread_mutex_lock(&t.hold);
	other = connect_caller(&t, &other_inner);
	send_text(inner, answer);
	close(inner);
	pthread_mutex_unlock(&t.hold);
	read_all(caller, &out);
	cr_expect_str_eq(out.data ? out.data : "", answer);
	bct_buf_free(&out);
	close(caller);
	close(other);
	close(other_inner);
	stop(&t);
}

/*
 * Guards against a refusal in the middle of an answer: the server inside has sent all of an answer,
 * a part of which waits unread as its caller is slow, and then a malformed request comes.
 */
Test(front_filter, a_malformed_request_is_refused_behind_the_answer_before_it, .timeout = 60)
{
	static const char get[] = "GET /x HTTP/1.1\r\nHost: x\r\n\r\n";
	struct pollfd p = { .events = POLLIN };
	char request[sizeof(get)];
	size_t sent;
	bct_buf_t out;
	fixture_t t;
	int caller, inner;

	start(&t);
	caller = connect_caller(&t, &inner);
	p.fd = inner;
	send_text(caller, get);
	cr_assert_eq(poll(&p, 1, WAIT_MS), 1);
	cr_assert_eq(recv(inner, request, sizeof(request), 0), (ssize_t)sizeof(get) - 1);
	sent = send_until_full(inner);
	send_text(caller, "GET /x HTTP/1.1\nHost: x\n\n");
	poll(NULL, 0, REFUSED_MS);
	read_all(caller, &out);
	cr_assert_gt(out.len_bytes, sent, "%zu of %zu bytes of the answer", out.len_bytes, sent);
	for (size_t i = 0; i < sent; i++)
		cr_assert_eq(out.data[i], 'x', "the answer ends after %zu of %zu bytes", i, sent);
	cr_expect(!strncmp(out.data + sent, "HTTP/1.1 400 ", 13), "%s", out.data + sent);
	cr_expect(strstr(out.data + sent, REFUSAL), "%s", out.data + sent);
	bct_buf_free(&out);
	close(caller);
	close(inner);
	stop(&t);
}
