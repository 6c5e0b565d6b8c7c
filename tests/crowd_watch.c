/*
 * crowd_watch.c - reads /proc and, for the pairs of local sockets inside a process, asks the kernel
 * over netlink.
 */
#include "tests/crowd_watch.h"

#include <dirent.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <linux/unix_diag.h>
#include <linux/rtnetlink.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DESCRIPTORS_MAX 65536
#define PORTS_MAX 64
#define STATE_LISTEN 10 /* of /proc/net/tcp */
#define DUMP_BYTES 32768

/* The sockets of one process, sorted, and the ports at which it listens. */
typedef struct sockets {
	unsigned long inodes[DESCRIPTORS_MAX];
	uint32_t n;
	uint32_t ports[PORTS_MAX];
	uint32_t n_ports;
} sockets_t;

static int compare(const void *a, const void *b)
{
	unsigned long x = *(const unsigned long *)a, y = *(const unsigned long *)b;

	return x < y ? -1 : x > y;
}

static bool has_inode(const sockets_t *s, unsigned long inode)
{
	return bsearch(&inode, s->inodes, s->n, sizeof(inode), compare) != NULL;
}

static bool has_port(const sockets_t *s, uint32_t port)
{
	for (uint32_t i = 0; i < s->n_ports; i++) {
		if (s->ports[i] == port)
			return true;
	}
	return false;
}

/* returns the number of open descriptors, 0 without such a process */
static uint32_t list_sockets(pid_t pid, sockets_t *s)
{
	char path[64], link[400], target[64];
	uint32_t descriptors = 0;
	struct dirent *e;
	DIR *d;

	snprintf(path, sizeof(path), "/proc/%d/fd", pid);
	d = opendir(path);
	if (!d)
		return 0;
	while ((e = readdir(d)) != NULL) {
		ssize_t n;

		if (e->d_name[0] == '.')
			continue;
		descriptors++;
		snprintf(link, sizeof(link), "%s/%s", path, e->d_name);
		n = readlink(link, target, sizeof(target) - 1);
		target[n > 0 ? n : 0] = '\0';
		if (s->n < DESCRIPTORS_MAX && sscanf(target, "socket:[%lu]", &s->inodes[s->n]) == 1)
			s->n++;
	}
	closedir(d);
	qsort(s->inodes, s->n, sizeof(s->inodes[0]), compare);
	return descriptors;
}

/* Sums the queues of the process's sockets in a table of /proc/net. */
static uint64_t queued_bytes(const char *table, sockets_t *s)
{
	unsigned long inode, tx, rx;
	uint32_t port, state;
	uint64_t sum = 0;
	char line[512];
	FILE *f = fopen(table, "r");

	while (f && fgets(line, sizeof(line), f)) {
		if (sscanf(line, "%*u: %*[^:]:%x %*s %x %lx:%lx %*s %*s %*u %*u %lu", &port, &state,
			   &tx, &rx, &inode) != 5)
			continue;
		if (has_inode(s, inode) && state == STATE_LISTEN) {
			/* Its queue counts connections, not bytes. */
			if (s->n_ports < PORTS_MAX)
				s->ports[s->n_ports++] = port;
		} else if (has_inode(s, inode) || (!inode && has_port(s, port))) {
			sum += tx + rx;
		}
	}
	if (f)
		fclose(f);
	return sum;
}

static uint64_t sum_reply(const struct nlmsghdr *h, size_t len, const sockets_t *s, bool *done)
{
	uint64_t sum = 0;

	for (; NLMSG_OK(h, len); h = NLMSG_NEXT(h, len)) {
		const struct unix_diag_msg *m = NLMSG_DATA(h);
		struct rtattr *a = (struct rtattr *)(m + 1);
		int left = (int)(h->nlmsg_len - NLMSG_LENGTH(sizeof(*m)));

		if (h->nlmsg_type == NLMSG_DONE || h->nlmsg_type == NLMSG_ERROR) {
			*done = true;
			return sum;
		}
		for (; has_inode(s, m->udiag_ino) && RTA_OK(a, left); a = RTA_NEXT(a, left)) {
			if (a->rta_type == UNIX_DIAG_RQLEN)
				sum += ((struct unix_diag_rqlen *)RTA_DATA(a))->udiag_rqueue;
		}
	}
	return sum;
}

/* Sums what waits in the process's local sockets. */
static uint64_t local_bytes(const sockets_t *s)
{
	struct {
		struct nlmsghdr h;
		struct unix_diag_req r;
	} ask = {
		.h = { .nlmsg_len = sizeof(ask),
		       .nlmsg_type = SOCK_DIAG_BY_FAMILY,
		       .nlmsg_flags = NLM_F_REQUEST | NLM_F_DUMP },
		.r = { .sdiag_family = AF_UNIX,
		       .udiag_states = ~0U,
		       .udiag_show = UDIAG_SHOW_RQLEN },
	};
	static char reply[DUMP_BYTES] __attribute__((aligned(8)));
	int fd = socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
	uint64_t sum = 0;
	bool done = false;
	ssize_t n;

	if (fd < 0)
		return 0;
	if (send(fd, &ask, sizeof(ask), 0) == (ssize_t)sizeof(ask)) {
		while (!done && (n = recv(fd, reply, sizeof(reply), 0)) > 0)
			sum += sum_reply((struct nlmsghdr *)reply, (size_t)n, s, &done);
	}
	close(fd);
	return sum;
}

static uint64_t resident_bytes(pid_t pid)
{
	unsigned long pages = 0;
	char path[64];
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/statm", pid);
	f = fopen(path, "r");
	if (!f)
		return 0;
	if (fscanf(f, "%*u %lu", &pages) != 1)
		pages = 0;
	fclose(f);
	return (uint64_t)pages * (uint64_t)sysconf(_SC_PAGESIZE);
}

bool crowd_watch(pid_t pid, crowd_usage_t *out)
{
	static sockets_t s;

	s.n = s.n_ports = 0;
	memset(out, 0, sizeof(*out));
	out->resident_bytes = resident_bytes(pid);
	out->descriptors = list_sockets(pid, &s);
	/* The first pass over the table finds the ports of connections that nobody accepted. */
	queued_bytes("/proc/net/tcp", &s);
	out->kernel_bytes = queued_bytes("/proc/net/tcp", &s) + queued_bytes("/proc/net/udp", &s) +
			    local_bytes(&s);
	return out->resident_bytes != 0;
}
