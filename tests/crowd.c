/*
 * crowd.c - clients that don't behave: many connections to one port of a daemon, which send much
 * and read little, or do not finish what they began. Meanwhile what the daemon's process holds is
 * compared with bounds, and one ordinary request has to be answered while the crowd stays, and one
 * after it has left. Exit code 1 if the process ended, a bound was exceeded or a request was not
 * answered. Neither times nor shares of served requests are checked.
 */
#define _GNU_SOURCE
#include "base/clock.h"
#include "tests/crowd_watch.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TEXT_MAX_BYTES 65536
#define CONNECTIONS_MAX 2048
#define RCVBUF_BYTES 4096  /* of the crowd: answers that it does not read wait at the daemon */
#define TURN_MS 5	   /* between two rounds over all connections */
#define SEND_AT_ONCE 65536 /* of one connection in one round */
#define REOPENED_MAX 20	   /* times that each connection is opened again on average */
#define DRIP_ROUNDS 10	   /* between two bytes of one that sends or reads them singly */
#define ASK_TRIES 40
#define ASK_WAIT_MS 1000
#define ASK_PAUSE_MS 250
#define CHURN_ROUNDS 4 /* after which a connection of the way "churn" is closed */

/* How the connections of a crowd misbehave. All but "churn" stay until the daemon closes them. */
#define WAY_LIST(DEF)                                                           \
	DEF(UNREAD, "unread", "send as much as is taken, read nothing")         \
	DEF(SLOW, "slow", "the same, but read a byte now and then")             \
	DEF(HALF, "half", "as unread, then close the sending side")             \
	DEF(ONCE, "once", "send the text once, and nothing more")               \
	DEF(DRIP, "drip", "send a byte of the text now and then, read nothing") \
	DEF(IDLE, "idle", "send nothing")                                       \
	DEF(CHURN, "churn", "as unread, but close or reset after some rounds, and open again")

typedef enum way {
#define DEF(name, text, doc) WAY_##name,
	WAY_LIST(DEF)
#undef DEF
		WAYS
} way_t;

static const char *const way_names[] = {
#define DEF(name, text, doc) text,
	WAY_LIST(DEF)
#undef DEF
};

typedef struct conn {
	int fd; /* negative: closed */
	uint32_t rounds;
	uint64_t sent_bytes;
	size_t at; /* bytes of the current copy of the text that were sent */
	size_t len;
	char text[TEXT_MAX_BYTES];
} conn_t;

typedef struct crowd {
	/* options */
	long pid;
	char *to;
	char *ask;	/* IP:PORT of the ordinary request */
	char *ask_text; /* path of a file */
	char *text;	/* path of a file; %k is replaced by a number that is new in each copy */
	char *way_name;
	long connections;
	long connection_bytes; /* sent on one connection at most */
	long hold_ms;
	long memory_bytes; /* bound; 0: none, for builds with sanitizers */
	long descriptors;  /* bound; 0: none */
	int udp;

	way_t way;
	struct sockaddr_in target;
	char pattern[TEXT_MAX_BYTES];
	size_t pattern_len;
	uint64_t next_key;
	uint64_t sent_bytes;
	uint32_t opened;
	crowd_usage_t most; /* the sum of resident and kernel bytes counts */
	uint32_t most_descriptors;
	conn_t *conns;
} crowd_t;

static bool parse_address(const char *text, struct sockaddr_in *out)
{
	const char *colon = text ? strrchr(text, ':') : NULL;
	char ip[64];

	if (!colon)
		return false;
	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - text), text);
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	return inet_pton(AF_INET, ip, &out->sin_addr) == 1;
}

static size_t read_file(const char *path, char *out)
{
	FILE *f = path ? fopen(path, "r") : NULL;
	size_t n = f ? fread(out, 1, TEXT_MAX_BYTES - 1, f) : 0;

	out[n] = '\0';
	if (f)
		fclose(f);
	return n;
}

/* Writes the next copy of the text. */
static void next_copy(crowd_t *c, conn_t *one)
{
	size_t n = 0;

	for (size_t i = 0; i < c->pattern_len && n < sizeof(one->text) - 24; i++) {
		if (c->pattern[i] == '%' && c->pattern[i + 1] == 'k') {
			n += (size_t)sprintf(one->text + n, "%016llx",
					     (unsigned long long)c->next_key++);
			i++;
		} else {
			one->text[n++] = c->pattern[i];
		}
	}
	one->at = 0;
	one->len = n;
}

static void open_one(crowd_t *c, conn_t *one)
{
	int size = RCVBUF_BYTES;

	one->fd = -1;
	if (c->opened >= (uint32_t)c->connections * (1 + REOPENED_MAX))
		return;
	one->fd = socket(AF_INET, (c->udp ? SOCK_DGRAM : SOCK_STREAM) | SOCK_CLOEXEC, 0);
	if (one->fd < 0)
		return;
	setsockopt(one->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	fcntl(one->fd, F_SETFL, O_NONBLOCK);
	if (connect(one->fd, (struct sockaddr *)&c->target, sizeof(c->target)) &&
	    errno != EINPROGRESS) {
		close(one->fd);
		one->fd = -1;
		return;
	}
	c->opened++;
	one->rounds = 0;
	one->sent_bytes = 0;
	next_copy(c, one);
}

static void close_one(conn_t *one)
{
	struct linger reset = { .l_onoff = 1, .l_linger = 0 };

	if (one->fd < 0)
		return;
	/* Half of them reset the connection. */
	if (one->fd % 2)
		setsockopt(one->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(one->fd);
	one->fd = -1;
}

/* Sends up to max bytes. returns false when the connection has ended */
static bool send_some(crowd_t *c, conn_t *one, size_t max)
{
	bool repeats = c->way != WAY_ONCE && c->way != WAY_DRIP;

	while (max && one->sent_bytes < (uint64_t)c->connection_bytes) {
		size_t len = one->len - one->at < max ? one->len - one->at : max;
		ssize_t n;

		if (!len && !repeats)
			return true;
		if (!len) {
			next_copy(c, one);
			continue;
		}
		n = send(one->fd, one->text + one->at, len, MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n < 0)
			return errno == EAGAIN || errno == EINPROGRESS || errno == ENOTCONN ||
			       (c->udp && errno == ECONNREFUSED);
		one->at += (size_t)n;
		one->sent_bytes += (uint64_t)n;
		c->sent_bytes += (uint64_t)n;
		max -= (size_t)n;
	}
	if (c->way == WAY_HALF)
		shutdown(one->fd, SHUT_WR);
	return true;
}

/* Whether the daemon has ended the connection. A closed one still has what it sent before. */
static bool has_ended(const conn_t *one)
{
	struct pollfd p = { .fd = one->fd, .events = POLLRDHUP };

	return poll(&p, 1, 0) > 0 && (p.revents & (POLLHUP | POLLERR | POLLRDHUP));
}

/* One round of one connection. returns false if it is to be opened again */
static bool take_turn(crowd_t *c, conn_t *one)
{
	bool drips = one->rounds % DRIP_ROUNDS == 0;
	char byte;

	one->rounds++;
	if (!c->udp && has_ended(one))
		return false;
	switch (c->way) {
	case WAY_IDLE:
		return true;
	case WAY_DRIP:
		return !drips || send_some(c, one, 1);
	case WAY_SLOW:
		if (drips && recv(one->fd, &byte, 1, MSG_DONTWAIT) == 0)
			return false;
		break;
	case WAY_CHURN:
		if (one->rounds > CHURN_ROUNDS)
			return false;
		break;
	default:
		break;
	}
	return send_some(c, one, SEND_AT_ONCE);
}

static void take_turns(crowd_t *c)
{
	for (long i = 0; i < c->connections; i++) {
		conn_t *one = &c->conns[i];

		if (one->fd >= 0 && take_turn(c, one))
			continue;
		close_one(one);
		open_one(c, one);
	}
}

/* returns false when the process has ended */
static bool watch(crowd_t *c)
{
	crowd_usage_t now;

	if (!crowd_watch((pid_t)c->pid, &now))
		return false;
	if (now.resident_bytes + now.kernel_bytes > c->most.resident_bytes + c->most.kernel_bytes)
		c->most = now;
	if (now.descriptors > c->most_descriptors)
		c->most_descriptors = now.descriptors;
	return true;
}

static bool run_for(crowd_t *c, bct_time_t ms)
{
	for (bct_time_t end = bct_clock_now() + ms; bct_clock_now() < end;) {
		take_turns(c);
		if (!watch(c))
			return false;
		bct_clock_sleep(TURN_MS);
	}
	return true;
}

/* Sends one ordinary request on a new connection. returns its status; 0: none */
static int ask_once(crowd_t *c)
{
	struct timeval wait = { ASK_WAIT_MS / BCT_MS_PER_S, 0 };
	char text[TEXT_MAX_BYTES], answer[64] = "";
	conn_t one = { .fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
	struct sockaddr_in to;
	int status = 0;

	memcpy(text, c->pattern, sizeof(text));
	c->pattern_len = read_file(c->ask_text, c->pattern);
	next_copy(c, &one);
	memcpy(c->pattern, text, sizeof(text));
	c->pattern_len = strlen(text);
	setsockopt(one.fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	setsockopt(one.fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof(wait));
	if (parse_address(c->ask, &to) && !connect(one.fd, (struct sockaddr *)&to, sizeof(to)) &&
	    send(one.fd, one.text, one.len, MSG_NOSIGNAL) == (ssize_t)one.len &&
	    recv(one.fd, answer, sizeof(answer) - 1, MSG_WAITALL) > 0)
		sscanf(answer, "HTTP/1.%*c %d", &status);
	close(one.fd);
	return status;
}

/* Asks until it is answered with success; the crowd goes on meanwhile. */
static bool ask(crowd_t *c, const char *when, bool crowded)
{
	int status = 0;

	for (int i = 0; i < ASK_TRIES && status != 200; i++) {
		status = ask_once(c);
		if (status == 200)
			break;
		if (crowded && !run_for(c, ASK_PAUSE_MS))
			return false;
		if (!crowded)
			bct_clock_sleep(ASK_PAUSE_MS);
	}
	if (status != 200)
		printf("crowd: no ordinary request was answered %s (last status %d)\n", when,
		       status);
	return status == 200;
}

static bool check(const crowd_t *c)
{
	uint64_t held = c->most.resident_bytes + c->most.kernel_bytes;
	bool ok = true;

	printf("crowd: %s to %s: %u connections sent %llu bytes; the process held %llu bytes "
	       "(resident %llu, in the kernel %llu), %u descriptors\n",
	       c->way_name, c->to, c->opened, (unsigned long long)c->sent_bytes,
	       (unsigned long long)held, (unsigned long long)c->most.resident_bytes,
	       (unsigned long long)c->most.kernel_bytes, c->most_descriptors);
	if (c->memory_bytes && held > (uint64_t)c->memory_bytes) {
		printf("crowd: more memory than the bound of %ld bytes\n", c->memory_bytes);
		ok = false;
	}
	if (c->descriptors && c->most_descriptors > (uint32_t)c->descriptors) {
		printf("crowd: more descriptors than the bound of %ld\n", c->descriptors);
		ok = false;
	}
	return ok;
}

static bool run(crowd_t *c)
{
	bool lives, ok = true;

	for (long i = 0; i < c->connections; i++)
		open_one(c, &c->conns[i]);
	lives = run_for(c, c->hold_ms);
	if (lives && c->ask)
		ok = ask(c, "while the crowd stayed", true);
	for (long i = 0; i < c->connections; i++)
		close_one(&c->conns[i]);
	if (lives && c->ask)
		ok = ask(c, "after the crowd had left", false) && ok;
	lives = watch(c) && lives;
	if (!lives)
		printf("crowd: the process has ended\n");
	return check(c) && ok && lives;
}

static bool is_valid(crowd_t *c)
{
	while (c->way < WAYS && (!c->way_name || strcmp(way_names[c->way], c->way_name)))
		c->way++;
	c->pattern_len = read_file(c->text, c->pattern);
	return c->way < WAYS && c->pid > 0 && parse_address(c->to, &c->target) &&
	       (c->pattern_len || c->way == WAY_IDLE) && c->connections > 0 &&
	       c->connections <= CONNECTIONS_MAX;
}

int main(int argc, const char **argv)
{
	static crowd_t c = { .connections = 100, .connection_bytes = 1000000, .hold_ms = 1500 };
	struct poptOption table[] = {
		{ "pid", 0, POPT_ARG_LONG, &c.pid, 0, "process of the daemon", "N" },
		{ "to", 0, POPT_ARG_STRING, &c.to, 0, "where the crowd connects", "IP:PORT" },
		{ "udp", 0, POPT_ARG_NONE, &c.udp, 0, "it sends datagrams", NULL },
		{ "text", 0, POPT_ARG_STRING, &c.text, 0, "what it sends", "FILE" },
		{ "way", 0, POPT_ARG_STRING, &c.way_name, 0, "how it misbehaves", "NAME" },
		{ "connections", 0, POPT_ARG_LONG, &c.connections, 0, "at a time", "N" },
		{ "bytes", 0, POPT_ARG_LONG, &c.connection_bytes, 0, "sent on each", "N" },
		{ "hold-ms", 0, POPT_ARG_LONG, &c.hold_ms, 0, "until a request is sent", "N" },
		{ "memory", 0, POPT_ARG_LONG, &c.memory_bytes, 0, "bound; 0: none", "BYTES" },
		{ "descriptors", 0, POPT_ARG_LONG, &c.descriptors, 0, "bound; 0: none", "N" },
		{ "ask", 0, POPT_ARG_STRING, &c.ask, 0, "of the ordinary request", "IP:PORT" },
		{ "ask-text", 0, POPT_ARG_STRING, &c.ask_text, 0, "the request", "FILE" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext ctx = poptGetContext("crowd", argc, argv, table, 0);
	bool ok = poptGetNextOpt(ctx) >= -1 && !poptPeekArg(ctx) && is_valid(&c);

	if (!ok)
		poptPrintUsage(ctx, stderr, 0);
	poptFreeContext(ctx);
	if (!ok)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	c.conns = calloc((size_t)c.connections, sizeof(*c.conns));
	return c.conns && run(&c) ? 0 : 1;
}
