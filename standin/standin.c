#include "standin/standin.h"

#include "base/json.h"
#include "base/mem.h"

#include <arpa/inet.h>
#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define FAKE_MAX_BODY_BYTES (8u << 20)
#define FAKE_MAX_CONNECTIONS 8192u
#define FAKE_EVENTS 64
#define FAKE_IDLE_MS 1000
#define ADMIN_PREFIX "/admin/"

/* A process runs exactly one stand-in, so the server's state is static. */
static struct {
	const bct_fake_t *fake;
	pthread_mutex_t lock;
	bct_list_t reqs;
	int epoll_fd; /* reports callers that disconnect while their connection is suspended */
	int kick_fd;  /* eventfd that wakes the timer thread */
	bool stop;
} srv;

bool bct_fake_is(const bct_fake_req_t *req, const char *method, const char *path)
{
	return strcmp(req->method, method) == 0 && strcmp(req->path, path) == 0;
}

const char *bct_fake_header(bct_fake_req_t *req, const char *name)
{
	return MHD_lookup_connection_value(req->conn, MHD_HEADER_KIND, name);
}

const char *bct_fake_arg(bct_fake_req_t *req, const char *name)
{
	return MHD_lookup_connection_value(req->conn, MHD_GET_ARGUMENT_KIND, name);
}

int64_t bct_fake_arg_int(bct_fake_req_t *req, const char *name, int64_t fallback)
{
	const char *s = bct_fake_arg(req, name);

	return s ? strtoll(s, NULL, 10) : fallback;
}

bool bct_fake_fault_consume(int64_t *count)
{
	if (*count <= 0)
		return false;
	(*count)--;
	return true;
}

void bct_fake_count(json_t *table, const char *key)
{
	json_int_t n = json_integer_value(json_object_get(table, key));

	json_object_set_new(table, key, json_integer(n + 1));
}

void bct_fake_kick(void)
{
	uint64_t one = 1;

	if (write(srv.kick_fd, &one, sizeof(one)) < 0) {
		/* The counter is full: a wake-up is already pending. */
	}
}

/* MHD doesn't poll a suspended connection, so the timer thread watches it for a disconnect. */
static void watch(bct_fake_req_t *req)
{
	struct epoll_event ev = { .events = EPOLLRDHUP | EPOLLONESHOT, .data.fd = req->fd };

	if (epoll_ctl(srv.epoll_fd, EPOLL_CTL_ADD, req->fd, &ev) < 0 && errno == EEXIST)
		epoll_ctl(srv.epoll_fd, EPOLL_CTL_MOD, req->fd, &ev);
}

static void suspend(bct_fake_req_t *req)
{
	req->suspended = true;
	MHD_suspend_connection(req->conn);
}

void bct_fake_wake(bct_fake_req_t *req)
{
	if (!req->suspended)
		return;
	req->suspended = false;
	req->due_ms = BCT_TIME_NEVER;
	MHD_resume_connection(req->conn);
}

void bct_fake_wake_all(void)
{
	bct_list_t *el;

	bct_list_for_each(el, &srv.reqs) {
		bct_fake_req_t *req = bct_container_of(el, bct_fake_req_t, link);

		if (!req->streaming)
			bct_fake_wake(req);
	}
}

enum MHD_Result bct_fake_wait(bct_fake_req_t *req, bct_time_t due_ms)
{
	req->due_ms = due_ms;
	watch(req);
	suspend(req);
	bct_fake_kick();
	return MHD_YES;
}

/* Makes close() send a TCP reset. */
static void set_reset_on_close(int fd)
{
	struct linger l = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
}

enum MHD_Result bct_fake_reset(bct_fake_req_t *req)
{
	set_reset_on_close(req->fd);
	return MHD_NO;
}

void bct_fake_reset_all(void)
{
	bct_list_t *el;

	bct_list_for_each(el, &srv.reqs) {
		bct_fake_req_t *req = bct_container_of(el, bct_fake_req_t, link);

		if (strncmp(req->path, ADMIN_PREFIX, strlen(ADMIN_PREFIX)) == 0)
			continue;
		set_reset_on_close(req->fd);
		req->truncated = true;
		req->disconnected = true;
		bct_fake_wake(req);
	}
}

static enum MHD_Result queue_response(bct_fake_req_t *req, uint32_t status,
				      struct MHD_Response *resp, const char *type,
				      const char *attempt)
{
	enum MHD_Result ret;

	MHD_add_response_header(resp, MHD_HTTP_HEADER_CONTENT_TYPE, type);
	if (attempt)
		MHD_add_response_header(resp, "Chute-Attempt", attempt);
	ret = MHD_queue_response(req->conn, status, resp);
	MHD_destroy_response(resp);
	return ret;
}

enum MHD_Result bct_fake_reply_as(bct_fake_req_t *req, uint32_t status, json_t *body,
				  const char *attempt, const char *retry_after)
{
	struct MHD_Response *resp;
	char *text = body ? json_dumps(body, JSON_COMPACT) : strdup("{}");

	json_decref(body);
	if (!text)
		return MHD_NO;
	resp = MHD_create_response_from_buffer(strlen(text), text, MHD_RESPMEM_MUST_FREE);
	if (!resp) {
		free(text);
		return MHD_NO;
	}
	if (retry_after)
		MHD_add_response_header(resp, MHD_HTTP_HEADER_RETRY_AFTER, retry_after);
	return queue_response(req, status, resp, "application/json", attempt);
}

enum MHD_Result bct_fake_reply(bct_fake_req_t *req, uint32_t status, json_t *body)
{
	return bct_fake_reply_as(req, status, body, bct_fake_header(req, "Chute-Attempt"), NULL);
}

/* MHD's content reader: passes on stream bytes; without any, suspends the connection. */
static ssize_t stream_read(void *cls, uint64_t pos, char *buf, size_t max_bytes)
{
	bct_fake_req_t *req = cls;
	size_t n;
	ssize_t ret = 0;

	(void)pos;
	pthread_mutex_lock(&srv.lock);
	n = req->out.len_bytes < max_bytes ? req->out.len_bytes : max_bytes;
	if (req->disconnected || (req->truncated && n == 0)) {
		ret = MHD_CONTENT_READER_END_WITH_ERROR;
	} else if (n > 0) {
		memcpy(buf, req->out.data, n);
		bct_buf_consume(&req->out, n);
		ret = (ssize_t)n;
	} else if (req->ended) {
		ret = MHD_CONTENT_READER_END_OF_STREAM;
	} else {
		suspend(req);
	}
	pthread_mutex_unlock(&srv.lock);
	return ret;
}

enum MHD_Result bct_fake_stream(bct_fake_req_t *req, const char *attempt)
{
	struct MHD_Response *resp;

	resp = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, 16384, stream_read, req, NULL);
	if (!resp)
		return MHD_NO;
	req->streaming = true;
	watch(req);
	return queue_response(req, MHD_HTTP_OK, resp, "text/event-stream", attempt);
}

void bct_fake_stream_put(bct_fake_req_t *req, const char *bytes)
{
	bct_buf_puts(&req->out, bytes);
	bct_fake_wake(req);
}

void bct_fake_stream_end(bct_fake_req_t *req, bool truncate)
{
	req->ended = true;
	req->truncated = truncate;
	if (truncate)
		set_reset_on_close(req->fd);
	bct_fake_wake(req);
}

/* GET and POST /admin/fault: returns the stand-in's numbers by name; POST first sets some. */
static enum MHD_Result admin_fault(bct_fake_req_t *req)
{
	json_t *in = NULL, *out = json_object();
	const bct_fake_fault_t *f;
	const char *key;
	json_t *val;

	if (strcmp(req->method, "POST") == 0) {
		in = json_loadb(req->body.data, req->body.len_bytes, 0, NULL);
		if (!json_is_object(in)) {
			json_decref(in);
			json_decref(out);
			return bct_fake_reply(req, MHD_HTTP_BAD_REQUEST, NULL);
		}
	}
	json_object_foreach(in, key, val)
	{
		for (f = srv.fake->faults; f->name && strcmp(f->name, key) != 0; f++)
			;
		if (!f->name || !json_is_number(val)) {
			json_decref(in);
			json_decref(out);
			return bct_fake_reply(req, MHD_HTTP_BAD_REQUEST,
					      json_pack("{ss}", "error", "unknown fault"));
		}
		*f->value = (int64_t)json_number_value(val);
	}
	json_decref(in);
	for (f = srv.fake->faults; f->name; f++)
		json_object_set_new(out, f->name, json_integer(*f->value));
	if (strcmp(req->method, "POST") == 0 && srv.fake->ops->faults_changed)
		srv.fake->ops->faults_changed();
	bct_fake_kick();
	return bct_fake_reply(req, MHD_HTTP_OK, out);
}

static bct_fake_req_t *req_new(struct MHD_Connection *conn, const char *method, const char *url)
{
	bct_fake_req_t *req = bct_alloc(sizeof(*req));
	const union MHD_ConnectionInfo *info;

	if (!req)
		return NULL;
	info = MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	req->conn = conn;
	req->fd = info->connect_fd;
	req->method = method;
	req->path = bct_strdup(url);
	req->due_ms = BCT_TIME_NEVER;
	bct_buf_init(&req->body, FAKE_MAX_BODY_BYTES);
	bct_buf_init(&req->out, 0);
	bct_list_add_tail(&req->link, &srv.reqs);
	return req;
}

static enum MHD_Result dispatch(bct_fake_req_t *req)
{
	if (req->disconnected)
		return MHD_NO;
	if (strcmp(req->path, "/admin/fault") == 0)
		return admin_fault(req);
	return srv.fake->ops->handle(req);
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *conn, const char *url,
				  const char *method, const char *version, const char *data,
				  size_t *data_bytes, void **con_cls)
{
	bct_fake_req_t *req = *con_cls;
	enum MHD_Result ret = MHD_YES;

	(void)cls;
	(void)version;
	pthread_mutex_lock(&srv.lock);
	if (!req) {
		*con_cls = req_new(conn, method, url);
		ret = *con_cls ? MHD_YES : MHD_NO;
	} else if (*data_bytes) {
		ret = bct_buf_put(&req->body, data, *data_bytes) == 0 ? MHD_YES : MHD_NO;
		*data_bytes = 0;
	} else {
		req->body_complete = true;
		ret = dispatch(req);
	}
	pthread_mutex_unlock(&srv.lock);
	return ret;
}

static void on_completed(void *cls, struct MHD_Connection *conn, void **con_cls,
			 enum MHD_RequestTerminationCode code)
{
	bct_fake_req_t *req = *con_cls;

	(void)cls;
	(void)conn;
	if (!req)
		return;
	pthread_mutex_lock(&srv.lock);
	if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
		req->disconnected = true;
	if (srv.fake->ops->done)
		srv.fake->ops->done(req);
	epoll_ctl(srv.epoll_fd, EPOLL_CTL_DEL, req->fd, NULL);
	bct_list_del(&req->link);
	pthread_mutex_unlock(&srv.lock);
	bct_buf_free(&req->body);
	bct_buf_free(&req->out);
	bct_free(req->path);
	bct_free(req);
	*con_cls = NULL;
}

/*
 * Handles a disconnect reported for fd. The descriptor may have been reused for a new connection
 * since, so the socket itself is checked for its end.
 */
static void check_hang_up(int fd)
{
	bct_list_t *el;
	char c;
	ssize_t n = recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);

	if (n > 0 || (n < 0 && errno == EAGAIN))
		return;
	bct_list_for_each(el, &srv.reqs) {
		bct_fake_req_t *req = bct_container_of(el, bct_fake_req_t, link);

		if (req->fd != fd)
			continue;
		req->disconnected = true;
		bct_fake_wake(req);
		return;
	}
}

/* Wakes all requests that are due. returns the time of the next one. */
static bct_time_t wake_due(bct_time_t now)
{
	bct_time_t next = BCT_TIME_NEVER;
	bct_list_t *el;

	bct_list_for_each(el, &srv.reqs) {
		bct_fake_req_t *req = bct_container_of(el, bct_fake_req_t, link);

		if (!req->suspended)
			continue;
		if (req->due_ms <= now)
			bct_fake_wake(req);
		else if (req->due_ms < next)
			next = req->due_ms;
	}
	return next;
}

static int poll_timeout_ms(bct_time_t next, bct_time_t now)
{
	if (next <= now)
		return 0;
	if (next - now > FAKE_IDLE_MS)
		return FAKE_IDLE_MS;
	return (int)(next - now);
}

static void *timer_main(void *arg)
{
	struct epoll_event evs[FAKE_EVENTS];
	int timeout_ms = 0;

	(void)arg;
	while (!srv.stop) {
		int n = epoll_wait(srv.epoll_fd, evs, FAKE_EVENTS, timeout_ms);
		bct_time_t now = bct_clock_now(), next, due;

		pthread_mutex_lock(&srv.lock);
		for (int i = 0; i < n; i++) {
			uint64_t count;

			if (evs[i].data.fd != srv.kick_fd)
				check_hang_up(evs[i].data.fd);
			else if (read(srv.kick_fd, &count, sizeof(count)) < 0)
				continue;
		}
		next = srv.fake->ops->tick ? srv.fake->ops->tick(now) : BCT_TIME_NEVER;
		due = wake_due(now);
		pthread_mutex_unlock(&srv.lock);
		timeout_ms = poll_timeout_ms(due < next ? due : next, now);
	}
	return NULL;
}

static int parse_options(int argc, const char **argv, int *port)
{
	struct poptOption none[] = { POPT_TABLEEND };
	const struct poptOption *own = srv.fake->options ? srv.fake->options : none;
	struct poptOption table[] = { { "port", 'p', POPT_ARG_INT, port, 0,
					"port to listen on; 0 picks a free one", "N" },
				      { NULL, 0, POPT_ARG_INCLUDE_TABLE, (void *)own, 0,
					"Options of this stand-in:", NULL },
				      POPT_AUTOHELP POPT_TABLEEND };
	poptContext ctx = poptGetContext(NULL, argc, argv, table, 0);
	int rc = poptGetNextOpt(ctx);

	if (rc < -1)
		fprintf(stderr, "%s: %s\n", poptBadOption(ctx, 0), poptStrerror(rc));
	else if (poptPeekArg(ctx))
		fprintf(stderr, "%s: unexpected argument\n", poptPeekArg(ctx));
	rc = rc < -1 || poptPeekArg(ctx) ? 2 : 0;
	poptFreeContext(ctx);
	return rc;
}

static struct MHD_Daemon *listen_on(int port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons((uint16_t)port),
				    .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };

	return MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL,
				NULL, on_request, NULL, MHD_OPTION_SOCK_ADDR, &addr,
				MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
				MHD_OPTION_CONNECTION_LIMIT, FAKE_MAX_CONNECTIONS,
				MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024u, MHD_OPTION_END);
}

static int serve(int port, const sigset_t *stop_signals)
{
	const union MHD_DaemonInfo *info;
	struct MHD_Daemon *daemon;
	pthread_t timer;
	int sig;

	daemon = listen_on(port);
	if (!daemon) {
		fprintf(stderr, "cannot listen on port %d: %s\n", port, strerror(errno));
		return 1;
	}
	if (pthread_create(&timer, NULL, timer_main, NULL) != 0) {
		MHD_stop_daemon(daemon);
		return 1;
	}
	info = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT);
	printf("listening %u\n", info->port);
	fflush(stdout);
	sigwait(stop_signals, &sig);
	/* Suspended connections must be resumed before MHD_stop_daemon(). */
	pthread_mutex_lock(&srv.lock);
	srv.stop = true;
	bct_fake_reset_all();
	pthread_mutex_unlock(&srv.lock);
	bct_fake_kick();
	pthread_join(timer, NULL);
	MHD_stop_daemon(daemon);
	return 0;
}

int bct_fake_main(const bct_fake_t *fake, int argc, const char **argv)
{
	struct epoll_event kick = { .events = EPOLLIN };
	sigset_t stop_signals;
	int port = 0, rc;

	srv.fake = fake;
	pthread_mutex_init(&srv.lock, NULL);
	bct_list_init(&srv.reqs);
	rc = parse_options(argc, argv, &port);
	if (rc)
		return rc;
	if (fake->ops->ready && !fake->ops->ready()) {
		fprintf(stderr, "option value out of range\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&stop_signals);
	sigaddset(&stop_signals, SIGTERM);
	sigaddset(&stop_signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &stop_signals, NULL);
	srv.epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	srv.kick_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	kick.data.fd = srv.kick_fd;
	if (srv.epoll_fd < 0 || srv.kick_fd < 0 ||
	    epoll_ctl(srv.epoll_fd, EPOLL_CTL_ADD, srv.kick_fd, &kick) < 0)
		return 1;
	return serve(port, &stop_signals);
}
