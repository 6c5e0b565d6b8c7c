/*
 * front.c - HTTP server for callers: receives requests, submits them to the core, sends answers.
 *
 * A connection is suspended while its request waits for the core or for output of a stream, so that
 * no thread is blocked. bct_request_wake(3) resumes it.
 */
#define _GNU_SOURCE
#include "node/front.h"
#include "base/err.h"
#include "base/mem.h"
#include "node/front_conn.h"
#include "node/front_filter.h"
#include "node/room.h"
#include "node/front_route.h"

#include <ck_pr.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define STREAM_BLOCK_BYTES 4096 /* also the unread output below which an attempt is unpaused */
#define MAX_URI_BYTES 2048
#define DESCRIPTORS_EACH 5 /* of a connection, see max_connections() */
#define NO_ROOM_RETRY_MS 500

struct bct_front {
	bct_front_opts_t opts;
	bct_conn_table_t conns;
	struct MHD_Daemon *daemon;
	bct_front_filter_t *filter; /* listens for callers */
	bool quiesced;
	bct_room_t room;
};

/* One HTTP request on a connection; libmicrohttpd's con_cls. */
typedef struct exchange {
	bct_front_t *front;
	char uri[MAX_URI_BYTES];
	bool uri_too_long;
	bool started;  /* the headers have been checked */
	bool answered; /* a response has been queued */
	bct_route_t route;
	bct_conf_t *conf;
	const bct_account_conf_t *account; /* owned by conf */
	bct_buf_t body;
	size_t held_bytes; /* of the room for bodies, until the request has ended */
	bct_refuse_t body_fault;
	bct_request_t *req; /* NULL until the request is complete and valid */
} exchange_t;

static bct_conn_t *conn_of(struct MHD_Connection *c)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(c, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info ? info->socket_context : NULL;
}

/* Ends the receive time limit: the request is complete, or it is refused. */
static void end_receive_timeout(bct_front_t *f, struct MHD_Connection *c)
{
	bct_conn_t *conn = conn_of(c);

	if (conn)
		bct_conn_received(&f->conns, conn);
}

/* Refuses a request that has no request object. close: see bct_refusal_t. */
static enum MHD_Result refuse_early(exchange_t *x, struct MHD_Connection *c, bct_refuse_t why,
				    bool close, const char *detail)
{
	bct_refusal_t f = { .why = why,
			    .run = BCT_RUN_NOT_RUN,
			    .retry_after_ms = why == BCT_REFUSE_NO_ROOM ? NO_ROOM_RETRY_MS : 0,
			    .close = close,
			    .detail = detail };

	if (x->answered)
		return MHD_YES;
	x->answered = true;
	end_receive_timeout(x->front, c);
	bct_stats_refused_early(bct_core_stats(x->front->opts.core), why, BCT_STATE_RECEIVING);
	return bct_http_refuse(c, &f);
}

/* Splits the target into path and query; query includes its '?' or is empty. */
static void split_uri(exchange_t *x, char *path, size_t size, const char **query)
{
	size_t len = strcspn(x->uri, "?");

	snprintf(path, size, "%.*s", (int)len, x->uri);
	*query = x->uri + len;
}

static bct_refuse_t check_token(exchange_t *x, struct MHD_Connection *c)
{
	if (!bct_route_needs_token(x->route))
		return BCT_REFUSE_NONE;
	x->conf = bct_core_conf(x->front->opts.core);
	/* Revision 0 is the empty configuration, before anything was published. */
	if (!x->conf || !x->conf->revision)
		return BCT_REFUSE_NOT_READY;
	x->account = bct_find_account(x->conf, bct_http_bearer(c));
	return x->account ? BCT_REFUSE_NONE : BCT_REFUSE_BAD_TOKEN;
}

/* Checks a Content-Length. A chunked body is checked as it arrives, in append_body(). */
static bct_refuse_t check_length(exchange_t *x, struct MHD_Connection *c)
{
	const char *length = bct_http_header(c, MHD_HTTP_HEADER_CONTENT_LENGTH);
	uint32_t max = x->front->opts.settings->caller_max_body_bytes;

	if (length && strtoull(length, NULL, 10) > max)
		return BCT_REFUSE_TOO_LARGE;
	return BCT_REFUSE_NONE;
}

/* All checks that need only the request line and the headers. */
static bct_refuse_t check_head(exchange_t *x, struct MHD_Connection *c, const char *method,
			       const char *version)
{
	char path[MAX_URI_BYTES];
	const char *query;
	bct_refuse_t why;

	why = bct_http_check_framing(c, version);
	if (why)
		return why;
	if (x->uri_too_long)
		return BCT_REFUSE_TOO_LARGE;
	split_uri(x, path, sizeof(path), &query);
	x->route = bct_route_of(path);
	if (x->route == BCT_ROUTE_NONE)
		return BCT_REFUSE_UNKNOWN_PATH;
	if (!bct_route_allows(x->route, method))
		return BCT_REFUSE_BAD_METHOD;
	why = check_token(x, c);
	return why ? why : check_length(x, c);
}

/* First call of an exchange: the headers have arrived, the body has not. */
static enum MHD_Result on_headers(exchange_t *x, struct MHD_Connection *c, const char *method,
				  const char *version)
{
	bct_refuse_t why = check_head(x, c, method, version);

	x->started = true;
	bct_buf_init(&x->body, x->front->opts.settings->caller_max_body_bytes);
	return why ? refuse_early(x, c, why, true, NULL) : MHD_YES;
}

static void give_room_back(exchange_t *x)
{
	bct_room_give_back(&x->front->room, x->held_bytes);
	x->held_bytes = 0;
}

/* The rest of the body is discarded, and so is what came of it. */
static void fail_body(exchange_t *x, bct_refuse_t why)
{
	x->body_fault = why;
	bct_buf_free(&x->body);
	give_room_back(x);
}

/* Appends a piece of the body; after a fault, discards it. */
static void append_body(exchange_t *x, const char *bytes, size_t len)
{
	int rc;

	if (x->body_fault)
		return;
	if (!bct_room_take(&x->front->room, x->held_bytes, len)) {
		fail_body(x, BCT_REFUSE_NO_ROOM);
		return;
	}
	x->held_bytes += len;
	rc = bct_buf_put(&x->body, bytes, len);
	if (rc)
		fail_body(x, rc == -BCT_ETOO_LARGE ? BCT_REFUSE_TOO_LARGE : BCT_REFUSE_INTERNAL);
}

static enum MHD_Result answer_models(exchange_t *x, struct MHD_Connection *c)
{
	json_t *list = json_array();

	for (uint32_t i = 0; list && i < x->conf->n_models; i++)
		json_array_append_new(list,
				      json_pack("{s:s, s:s, s:s}", "id", x->conf->models[i].name,
						"object", "model", "owned_by", "buckthornchute"));
	return bct_http_json(c, MHD_HTTP_OK,
			     json_pack("{s:s, s:o}", "object", "list", "data", list));
}

static json_t *entry_json(const bct_entry_t *e)
{
	char ip[BCT_ADDR_BYTES];

	bct_addr_print_ip(&e->addr, ip, sizeof(ip));
	return json_pack("{s:s, s:i, s:s, s:s}", "address", ip, "port", (int)e->addr.port,
			 "failure_domain", e->failure_domain, "region", e->region);
}

static enum MHD_Result answer_entry(exchange_t *x, struct MHD_Connection *c)
{
	const char *domain =
		MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, "failure_domain");
	const bct_front_opts_t *o = &x->front->opts;
	bct_entry_list_t entries = { 0 };
	json_t *list = json_array();

	o->entries(o->entries_ctx, domain, &entries);
	for (uint32_t i = 0; list && i < entries.n; i++)
		json_array_append_new(list, entry_json(&entries.entries[i]));
	return bct_http_json(c, MHD_HTTP_OK,
			     json_pack("{s:i, s:o}", "lifetime_ms",
				       (int)o->settings->caller_entry_lifetime_ms, "addresses",
				       list));
}

/* The refusal for an error of bct_core_submit(3). */
static bct_refuse_t submit_error(int rc)
{
	return rc == -BCT_ENOT_FOUND ? BCT_REFUSE_UNKNOWN_CLASS : BCT_REFUSE_INTERNAL;
}

/*
 * Submits the request and suspends its connection until the answer may start. It is suspended
 * before the submission, because another thread may end the request at once and resume the
 * connection.
 */
static enum MHD_Result submit(exchange_t *x, struct MHD_Connection *c)
{
	bct_conn_t *conn = conn_of(c);
	bct_request_t *r = x->req;
	int rc;

	if (conn)
		bct_conn_watch(&x->front->conns, conn, r->id);
	pthread_mutex_lock(&r->lock);
	r->state = BCT_STATE_QUEUED;
	r->suspended = true;
	MHD_suspend_connection(c);
	pthread_mutex_unlock(&r->lock);
	rc = bct_core_submit(x->front->opts.core, r);
	if (!rc)
		return MHD_YES;
	/* The core did not accept it. Ending it resumes the connection, which sends the refusal. */
	bct_request_end(r, BCT_ENDED_BY_NODE, submit_error(rc), BCT_RUN_NOT_RUN, 0);
	return MHD_YES;
}

/* The request has arrived completely: answers it, refuses it or submits it to the core. */
static enum MHD_Result on_complete_request(exchange_t *x, struct MHD_Connection *c,
					   const char *method)
{
	char path[MAX_URI_BYTES];
	bct_route_input_t in = {
		.core = x->front->opts.core,
		.conf = x->conf,
		.account = x->account,
		.conn = c,
		.route = x->route,
		.method = method,
		.path = path,
		.body = &x->body,
	};
	char detail[64];
	bct_refuse_t why;

	end_receive_timeout(x->front, c);
	if (x->body_fault)
		return refuse_early(x, c, x->body_fault, true, NULL);
	if (x->route == BCT_ROUTE_ENTRY) {
		x->answered = true;
		return answer_entry(x, c);
	}
	if (x->route == BCT_ROUTE_MODELS) {
		x->answered = true;
		return answer_models(x, c);
	}
	split_uri(x, path, sizeof(path), &in.query);
	why = bct_route_request(&in, detail, &x->req);
	bct_buf_free(&x->body);
	if (why)
		return refuse_early(x, c, why, false, detail[0] ? detail : NULL);
	return submit(x, c);
}

/*
 * Content reader of a streamed answer: hands the request's output to libmicrohttpd. Suspends
 * the connection while there is no output, and unpauses an attempt that waited for a slow caller.
 */
static ssize_t read_stream(void *ctx, uint64_t pos, char *buf, size_t max)
{
	bct_request_t *r = ctx;
	ssize_t n;

	(void)pos;
	pthread_mutex_lock(&r->lock);
	n = (ssize_t)(r->out.len_bytes < max ? r->out.len_bytes : max);
	if (n) {
		memcpy(buf, r->out.data, (size_t)n);
		bct_buf_consume(&r->out, (size_t)n);
		if (r->attempt && r->out.len_bytes < STREAM_BLOCK_BYTES && r->attempt->paused)
			bct_attempt_unpause(r->attempt);
	} else if (r->done) {
		n = r->refuse == BCT_REFUSE_CALLER_GONE ? MHD_CONTENT_READER_END_WITH_ERROR
							: MHD_CONTENT_READER_END_OF_STREAM;
	} else {
		r->suspended = true;
		MHD_suspend_connection(r->conn);
	}
	pthread_mutex_unlock(&r->lock);
	return n;
}

static void release_request(void *ctx)
{
	bct_request_unref(ctx);
}

static enum MHD_Result start_stream(struct MHD_Connection *c, bct_request_t *r)
{
	struct MHD_Response *resp = MHD_create_response_from_callback(
		MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, read_stream, r, release_request);

	if (!resp)
		return MHD_NO;
	bct_request_ref(r);
	MHD_add_response_header(resp, MHD_HTTP_HEADER_CONTENT_TYPE, "text/event-stream");
	MHD_add_response_header(resp, MHD_HTTP_HEADER_CACHE_CONTROL, "no-store");
	return bct_http_queue(c, MHD_HTTP_OK, resp);
}

/* Sends the refusal of a request; a caller that has disconnected gets none. */
static enum MHD_Result answer_refusal(struct MHD_Connection *c, const bct_request_t *r)
{
	bct_refusal_t f = {
		.why = r->refuse,
		.run = r->run,
		.retry_after_ms = r->retry_after_ms,
		.req_id = r->id,
	};

	if (r->refuse == BCT_REFUSE_CALLER_GONE)
		return MHD_NO;
	return bct_http_refuse(c, &f);
}

/* Sends an answer that is not streamed. */
static enum MHD_Result answer_complete(struct MHD_Connection *c, const bct_request_t *r)
{
	bool service = r->kind == BCT_REQUEST_SERVICE;

	return bct_http_text(c, r->status, service ? r->answer_type : "application/json",
			     r->out.data ? r->out.data : "", r->out.len_bytes);
}

/*
 * Called after the connection was resumed: starts the answer, or suspends the connection
 * again if the request is not ready. A refusal after tokens were streamed is part of the stream.
 */
static enum MHD_Result start_answer(exchange_t *x, struct MHD_Connection *c)
{
	bct_request_t *r = x->req;
	bool stream, refused, orphaned;

	pthread_mutex_lock(&r->lock);
	if (!r->ready) {
		r->suspended = true;
		MHD_suspend_connection(c);
		pthread_mutex_unlock(&r->lock);
		return MHD_YES;
	}
	orphaned = r->orphaned;
	refused = r->done && r->refuse != BCT_REFUSE_NONE;
	stream = r->stream && (!refused || r->tokens);
	pthread_mutex_unlock(&r->lock);
	x->answered = true;
	if (orphaned)
		return MHD_NO;
	if (stream)
		return start_stream(c, r);
	/* Without streaming, a request is ready only when it is done; its fields are final. */
	return refused ? answer_refusal(c, r) : answer_complete(c, r);
}

/*
 * Called by libmicrohttpd with the headers, with each piece of the body, at its end, and after each
 * resume.
 */
static enum MHD_Result on_request(void *cls, struct MHD_Connection *c, const char *url,
				  const char *method, const char *version, const char *upload,
				  size_t *upload_bytes, void **con_cls)
{
	exchange_t *x = *con_cls;

	(void)cls;
	(void)url;
	if (!x)
		return MHD_NO;
	if (!x->started)
		return on_headers(x, c, method, version);
	if (*upload_bytes) {
		append_body(x, upload, *upload_bytes);
		*upload_bytes = 0;
		return MHD_YES;
	}
	if (x->answered)
		return MHD_YES;
	return x->req ? start_answer(x, c) : on_complete_request(x, c, method);
}

/* Called with the raw target of a request before its headers; returns the new con_cls. */
static void *on_uri(void *cls, const char *uri, struct MHD_Connection *c)
{
	exchange_t *x = bct_alloc(sizeof(*x));

	bct_conn_t *conn = conn_of(c);

	if (!x)
		return NULL;
	x->front = cls;
	if (conn)
		bct_conn_begun(&x->front->conns, conn);
	x->uri_too_long = strlen(uri) >= sizeof(x->uri);
	if (!x->uri_too_long)
		snprintf(x->uri, sizeof(x->uri), "%s", uri);
	return x;
}

/* Detaches the request from its connection; if it has not ended, the caller has disconnected. */
static void detach_request(exchange_t *x)
{
	bct_request_t *r = x->req;
	bool done;

	pthread_mutex_lock(&r->lock);
	r->conn = NULL;
	r->suspended = false;
	done = r->done;
	pthread_mutex_unlock(&r->lock);
	if (!done)
		bct_core_caller_disconnected(x->front->opts.core, r->id);
	bct_request_unref(r);
}

static void on_completed(void *cls, struct MHD_Connection *c, void **con_cls,
			 enum MHD_RequestTerminationCode toe)
{
	bct_front_t *f = cls;
	exchange_t *x = *con_cls;
	bct_conn_t *conn = conn_of(c);

	(void)toe;
	*con_cls = NULL;
	if (conn) {
		bct_conn_unwatch(&f->conns, conn);
		bct_conn_idle(&f->conns, conn);
	}
	if (!x)
		return;
	if (x->req)
		detach_request(x);
	bct_buf_free(&x->body);
	give_room_back(x);
	bct_conf_unref(x->conf);
	bct_free(x);
}

/* Called when a connection is opened or closed; socket_context is its bct_conn_t. */
static void on_connection(void *cls, struct MHD_Connection *c, void **socket_context,
			  enum MHD_ConnectionNotificationCode code)
{
	const union MHD_ConnectionInfo *info;
	bct_front_t *f = cls;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		info = MHD_get_connection_info(c, MHD_CONNECTION_INFO_CONNECTION_FD);
		*socket_context = bct_conn_open(&f->conns, info->connect_fd);
	} else if (*socket_context) {
		bct_conn_close(&f->conns, *socket_context);
		*socket_context = NULL;
	}
}

/* The server listens to nobody: it gets its connections from the filter. */
static int start_daemon(bct_front_t *f)
{
	const bct_settings_t *s = f->opts.settings;
	unsigned int flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME |
			     MHD_USE_NO_LISTEN_SOCKET | MHD_USE_ITC;
	unsigned int seconds = (s->caller_write_timeout_ms + BCT_MS_PER_S - 1) / BCT_MS_PER_S;

	f->daemon = MHD_start_daemon(
		flags, 0, NULL, NULL, on_request, f, MHD_OPTION_THREAD_POOL_SIZE, s->caller_threads,
		MHD_OPTION_CONNECTION_LIMIT, BCT_MHD_CONNECTIONS,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)s->caller_max_header_bytes,
		MHD_OPTION_CONNECTION_TIMEOUT, seconds, MHD_OPTION_URI_LOG_CALLBACK, on_uri, f,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, f, MHD_OPTION_NOTIFY_CONNECTION,
		on_connection, f, MHD_OPTION_END);
	return f->daemon ? 0 : -BCT_EIO;
}

static int add_connection(void *ctx, int fd, const struct sockaddr *caller, socklen_t caller_bytes)
{
	bct_front_t *f = ctx;

	return MHD_add_connection(f->daemon, fd, caller, caller_bytes) == MHD_YES
		       ? 0
		       : -BCT_EUNAVAILABLE;
}

static bool is_idle(void *ctx, int fd)
{
	bct_front_t *f = ctx;

	return bct_conn_is_idle(&f->conns, fd);
}

static bool is_serving(void *ctx, int fd)
{
	bct_front_t *f = ctx;

	return bct_conn_is_serving(&f->conns, fd);
}

/* Each connection takes three descriptors, and some requests one more for their upstream; operators
 * and the node itself need some, too. */
static uint32_t max_connections(const bct_settings_t *s)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) ||
	    limit.rlim_cur / DESCRIPTORS_EACH >= s->caller_max_connections)
		return s->caller_max_connections;
	return (uint32_t)(limit.rlim_cur / DESCRIPTORS_EACH);
}

static char *refuse_malformed(void *ctx)
{
	bct_front_t *f = ctx;
	bct_refusal_t r = { .why = BCT_REFUSE_BAD_FRAMING, .run = BCT_RUN_NOT_RUN };

	bct_stats_refused_early(bct_core_stats(f->opts.core), r.why, BCT_STATE_RECEIVING);
	return bct_http_refusal_json(&r);
}

static int start_filter(bct_front_t *f)
{
	const bct_settings_t *s = f->opts.settings;
	struct sockaddr_storage addr;
	bct_front_filter_opts_t o = {
		.address = (struct sockaddr *)&addr,
		.max_header_bytes = s->caller_max_header_bytes,
		.add = add_connection,
		.max_connections = max_connections(s),
		.log = bct_core_log(f->opts.core),
		.is_idle = is_idle,
		.is_serving = is_serving,
		.yielded = &bct_core_stats(f->opts.core)->yielded,
		.refused = &bct_core_stats(f->opts.core)->turned_away,
		.refusal = refuse_malformed,
		.ctx = f,
	};

	if (bct_http_bind(s->caller_address, (uint16_t)s->caller_port, &addr))
		return -BCT_EINVAL;
	o.address_bytes = addr.ss_family == AF_INET6 ? sizeof(struct sockaddr_in6)
						     : sizeof(struct sockaddr_in);
	return bct_front_filter_new(&o, &f->filter);
}

int bct_front_new(const bct_front_opts_t *opts, bct_front_t **out)
{
	bct_front_t *f = bct_alloc(sizeof(*f));
	int rc;

	if (!f)
		return -BCT_ENOMEM;
	f->opts = *opts;
	bct_room_init(&f->room, bct_core_log(opts->core), BCT_EV_BODIES_REFUSED,
		      opts->settings->caller_body_memory_bytes);
	rc = bct_conn_table_init(&f->conns, opts->core, opts->settings->caller_receive_timeout_ms);
	if (!rc)
		rc = start_daemon(f);
	if (!rc)
		rc = start_filter(f);
	if (rc) {
		if (f->daemon)
			MHD_stop_daemon(f->daemon);
		bct_conn_table_destroy(&f->conns);
		bct_room_destroy(&f->room);
		bct_free(f);
		return rc;
	}
	*out = f;
	return 0;
}

void bct_front_quiesce(bct_front_t *f)
{
	if (f->quiesced)
		return;
	f->quiesced = true;
	bct_conn_close_all(&f->conns);
	bct_front_filter_quiesce(f->filter);
}

void bct_front_free(bct_front_t *f)
{
	if (!f)
		return;
	bct_front_filter_free(f->filter);
	MHD_stop_daemon(f->daemon);
	bct_conn_table_destroy(&f->conns);
	bct_room_destroy(&f->room);
	bct_free(f);
}

uint16_t bct_front_port(const bct_front_t *f)
{
	return bct_front_filter_port(f->filter);
}

uint32_t bct_front_serving(const bct_front_t *f)
{
	return ck_pr_load_32(&f->conns.serving);
}
