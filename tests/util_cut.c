/*
 * util_cut.c - connect(2) and writev(2) as a gateway without links to its upstreams sees them.
 */
#define _GNU_SOURCE
#include "tests/util_cut.h"

#include <criterion/criterion.h>
#include <dlfcn.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>

#define GATEWAYS_MAX 32
#define PORT_BITS 16

static test_gate_t *upstreams; /* whose upstreams are cut off */
static pthread_t threads[GATEWAYS_MAX];
static atomic_int cuts[GATEWAYS_MAX]; /* test_cut_t */
static atomic_uint n_threads;
static atomic_uint redirected;	     /* two ports: from which, and to which; 0: none */
static struct sockaddr_in blackhole; /* connections to it hang */

static test_cut_t cut_of_this_thread(void)
{
	for (uint32_t i = 0; i < atomic_load(&n_threads); i++) {
		if (atomic_load(&cuts[i]) && pthread_equal(threads[i], pthread_self()))
			return (test_cut_t)atomic_load(&cuts[i]);
	}
	return TEST_CUT_NONE;
}

static bool is_upstream(const struct sockaddr_in *to)
{
	uint16_t port = ntohs(to->sin_port);
	bool found = port == upstreams->desk.port;

	for (uint32_t i = 0; i < GATE_UPSTREAMS; i++)
		found = found || port == upstreams->engines[i].port;
	return found && to->sin_family == AF_INET && to->sin_addr.s_addr == htonl(INADDR_LOOPBACK);
}

/* Whether connections to this address lead elsewhere: to. */
static bool is_redirected(const struct sockaddr *sa, struct sockaddr_in *to)
{
	uint32_t ports = atomic_load(&redirected);

	if (!ports || sa->sa_family != AF_INET)
		return false;
	memcpy(to, sa, sizeof(*to));
	if (ntohs(to->sin_port) != ports >> PORT_BITS)
		return false;
	to->sin_port = htons((uint16_t)ports);
	to->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return true;
}

void test_cut_redirect(uint16_t from_port, uint16_t to_port)
{
	atomic_store(&redirected, (uint32_t)from_port << PORT_BITS | to_port);
}

int connect(int fd, const struct sockaddr *sa, socklen_t len)
{
	static int (*real)(int, const struct sockaddr *, socklen_t);
	test_cut_t cut = cut_of_this_thread();
	struct sockaddr_in to;

	if (!real)
		real = (int (*)(int, const struct sockaddr *, socklen_t))dlsym(RTLD_NEXT,
									       "connect");
	if (is_redirected(sa, &to))
		return real(fd, (const struct sockaddr *)&to, sizeof(to));
	if (!cut || !is_upstream((const struct sockaddr_in *)sa))
		return real(fd, sa, len);
	if (cut == TEST_CUT_HANGS)
		return real(fd, (const struct sockaddr *)&blackhole, sizeof(blackhole));
	errno = ECONNREFUSED;
	return -1;
}

ssize_t writev(int fd, const struct iovec *iov, int n)
{
	static ssize_t (*real)(int, const struct iovec *, int);
	test_cut_t cut = cut_of_this_thread();
	struct sockaddr_in to = { 0 };
	socklen_t len = sizeof(to);
	ssize_t sum = 0;

	if (!real)
		real = (ssize_t(*)(int, const struct iovec *, int))dlsym(RTLD_NEXT, "writev");
	if (!cut || cut == TEST_CUT_NEW || getpeername(fd, (struct sockaddr *)&to, &len) ||
	    !is_upstream(&to))
		return real(fd, iov, n);
	if (cut == TEST_CUT_REFUSED) {
		errno = ECONNRESET;
		return -1;
	}
	for (int i = 0; i < n; i++)
		sum += (ssize_t)iov[i].iov_len;
	return sum;
}

/* A listening socket whose queue of connections is full. */
static void open_blackhole(void)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t len = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	cr_assert_eq(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	cr_assert_eq(listen(fd, 0), 0);
	getsockname(fd, (struct sockaddr *)&sa, &len);
	for (int i = 0; i < 4; i++) {
		int filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

		connect(filler, (struct sockaddr *)&sa, sizeof(sa));
	}
	blackhole = sa;
}

void test_cut(test_gate_t *t, uint32_t i, test_cut_t how)
{
	cr_assert_lt(i, GATEWAYS_MAX);
	if (!blackhole.sin_port)
		open_blackhole();
	upstreams = &t[0];
	threads[i] = t[i].thread;
	if (i >= atomic_load(&n_threads))
		atomic_store(&n_threads, i + 1);
	atomic_store(&cuts[i], how);
}
