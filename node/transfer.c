/*
 * transfer.c - libcurl set-up, callbacks and outcome of an attempt.
 *
 * If a reused connection breaks before the answer, libcurl sends the request again by itself. Each
 * attempt therefore has a connection of its own.
 */
#include "node/transfer.h"
#include "base/err.h"
#include "http/curl_lines.h"
#include "http/delivery.h"
#include "http/http_msg.h"
#include "node/answer.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#define MAX_EVENT_BYTES (1 << 20)
#define MAX_URL_BYTES 4096
#define RECEIVE_BUFFER_BYTES 4096
#define HTTP_OK 200
#define HTTP_CONFLICT 409
#define HTTP_TOO_MANY 429
#define HTTP_UNAVAILABLE 503
#define HTTP_SERVER_ERROR 500

static bool is_service(const bct_attempt_t *a)
{
	return a->req->kind == BCT_REQUEST_SERVICE;
}

/* -BCT_ESTATE is no fault of the answer: the request has ended or has another attempt. */
static void mark_fault(bct_attempt_t *a, int rc)
{
	if (rc == -BCT_ECONFLICT)
		a->mismatched = true;
	else if (rc != -BCT_ESTATE)
		a->malformed = true;
}

static int on_sse_event(void *ctx, const char *data, size_t len)
{
	bct_attempt_t *a = ctx;
	int rc = bct_answer_event(a, data, len, a->progress);

	if (rc)
		mark_fault(a, rc);
	return rc;
}

/* Marks the attempt as paused if the caller has left more than `limit` bytes of output unread. */
static bool pause_if_behind(bct_attempt_t *a, size_t limit)
{
	bool behind;

	pthread_mutex_lock(&a->req->lock);
	behind = a->req->stream && !a->req->done && a->req->out.len_bytes > limit;
	if (behind)
		a->paused = true;
	pthread_mutex_unlock(&a->req->lock);
	return behind;
}

static const bct_upstream_opts_t *opts_of(const bct_attempt_t *a)
{
	return bct_upstream_pool_opts(a->pool);
}

/* Accounts for an event of which only a part has come. returns whether there is room for it */
static bool keep_partial(bct_attempt_t *a)
{
	uint64_t now = a->sse.line.len_bytes + a->sse.data.len_bytes, before = a->partial_bytes;
	bct_room_t *room = opts_of(a)->room;

	if (now > before && !bct_room_take(room, before, now - before))
		return false;
	if (now < before)
		bct_room_give_back(room, before - now);
	a->partial_bytes = now;
	return true;
}

static size_t feed_stream(bct_attempt_t *a, char *bytes, size_t len)
{
	const bct_upstream_opts_t *opts = opts_of(a);
	uint32_t before = a->tokens;

	if (pause_if_behind(a, opts->stream_buffer_bytes))
		return CURL_WRITEFUNC_PAUSE;
	if (bct_sse_feed(&a->sse, bytes, len))
		return 0;
	if (!keep_partial(a)) {
		a->malformed = true;
		return 0;
	}
	if (a->tokens != before)
		opts->events.tokens(opts->events.ctx, a, a->tokens);
	return len;
}

/* Collects the body of a service's answer, or of an engine's error. */
static size_t collect(bct_attempt_t *a, const char *bytes, size_t len)
{
	int rc;

	pthread_mutex_lock(&a->req->lock);
	rc = bct_request_keep(a->req, len);
	pthread_mutex_unlock(&a->req->lock);
	if (rc)
		a->malformed = true;
	return rc || bct_buf_put(&a->answer, bytes, len) ? 0 : len;
}

/* Streams an engine's tokens; collects any other body. */
static size_t on_body(char *bytes, size_t size, size_t n, void *ctx)
{
	bct_attempt_t *a = ctx;
	size_t len = size * n;

	a->progress = bct_clock_now();
	if (!is_service(a) && a->status == HTTP_OK) {
		if (!a->id_matched) {
			a->mismatched = true;
			return 0;
		}
		return feed_stream(a, bytes, len);
	}
	return collect(a, bytes, len);
}

/* Whether a header line has this name; sets value to the text after it, not terminated. */
static bool header_is(const char *line, size_t len, const char *name, const char **value)
{
	size_t n = strlen(name);

	if (len <= n || strncasecmp(line, name, n) || line[n] != ':')
		return false;
	*value = line + n + 1;
	while (**value == ' ')
		(*value)++;
	return true;
}

static size_t on_header(char *line, size_t size, size_t n, void *ctx)
{
	bct_attempt_t *a = ctx;
	const char *value;
	long status = 0;

	a->progress = bct_clock_now();
	if (bct_answer_line(&a->lines, line, size * n)) {
		a->malformed = true;
		return 0;
	}
	curl_easy_getinfo(a->easy, CURLINFO_RESPONSE_CODE, &status);
	a->status = (int)status;
	if (header_is(line, size * n, "Chute-Attempt", &value))
		a->id_matched = !strncmp(value, a->id_hex, strlen(a->id_hex));
	else if (header_is(line, size * n, "Retry-After", &value))
		a->retry_after_ms = (uint32_t)strtoul(value, NULL, 10) * BCT_MS_PER_S;
	return size * n;
}

/*
 * Called just before the first byte is sent. Marks the request as sent, unless it is too late or
 * the attempt is no longer the current one. Whoever ends the request sees under the same lock
 * whether it may have been sent.
 */
static bool begin_send(bct_attempt_t *a)
{
	bct_request_t *r = a->req;
	bool may;

	pthread_mutex_lock(&r->lock);
	may = r->attempt == a && !r->done && bct_clock_now() <= a->send_before;
	if (may)
		r->attempt_sent = true;
	pthread_mutex_unlock(&r->lock);
	return may;
}

static int on_connected(void *ctx, char *primary, char *local, int primary_port, int local_port)
{
	bct_attempt_t *a = ctx;
	const bct_upstream_opts_t *opts = opts_of(a);

	(void)primary;
	(void)local;
	(void)primary_port;
	(void)local_port;
	if (a->sent)
		return CURL_PREREQFUNC_OK;
	if (!begin_send(a)) {
		a->withheld = true;
		return CURL_PREREQFUNC_ABORT;
	}
	a->sent = true;
	a->progress = bct_clock_now();
	opts->events.sent(opts->events.ctx, a);
	return CURL_PREREQFUNC_OK;
}

/* Called instead of close(2): the connection can't be asked any more when the transfer has ended.
 */
static int on_close(void *ctx, curl_socket_t fd)
{
	bct_attempt_t *a = ctx;

	a->delivered = bct_delivery(fd) == BCT_DELIVERY_WHOLE;
	return close(fd);
}

static int add_header(bct_attempt_t *a, const char *name, const char *value)
{
	char line[1024];
	struct curl_slist *list;

	snprintf(line, sizeof(line), "%s: %s", name, value);
	list = curl_slist_append(a->headers, line);
	if (!list)
		return -BCT_ENOMEM;
	a->headers = list;
	return 0;
}

static int add_number(bct_attempt_t *a, const char *name, uint32_t value)
{
	char text[16];

	snprintf(text, sizeof(text), "%" PRIu32, value);
	return add_header(a, name, text);
}

static int add_prefix_header(bct_attempt_t *a)
{
	const bct_req_desc_t *d = &a->req->desc;
	char text[BCT_PREFIX_MAX * 17 + 1] = "";
	size_t at = 0;

	if (!d->n_prefix)
		return 0;
	for (uint8_t i = 0; i < d->n_prefix; i++)
		at += (size_t)snprintf(text + at, sizeof(text) - at, "%s%016" PRIx64, i ? "," : "",
				       d->prefix[i]);
	return add_header(a, "Chute-Prefix", text);
}

static int add_engine_headers(bct_attempt_t *a)
{
	int rc = add_number(a, "Chute-Priority", a->priority);

	if (!rc && a->resume_from)
		rc = add_number(a, "Chute-Resume-From", a->resume_from);
	if (!rc && a->kv_from[0])
		rc = add_header(a, "Chute-Kv-From", a->kv_from);
	if (!rc)
		rc = add_prefix_header(a);
	return rc;
}

static int add_headers(bct_attempt_t *a)
{
	int rc = add_header(a, "Chute-Attempt", a->id_hex);

	if (!rc)
		rc = add_header(a, "Expect", "");
	if (!rc)
		rc = add_header(a, "Content-Type",
				a->req->content_type ? a->req->content_type : "application/json");
	if (!rc && is_service(a) && a->req->idempotency_key)
		rc = add_header(a, "Idempotency-Key", a->req->idempotency_key);
	if (!rc && !is_service(a))
		rc = add_engine_headers(a);
	return rc;
}

static void make_url(const bct_attempt_t *a, char *url, size_t size)
{
	bool v6 = strchr(a->address, ':') != NULL;
	const char *path = a->req->path;

	if (!path)
		path = a->req->kind == BCT_REQUEST_CHAT ? "/v1/chat/completions"
							: "/v1/completions";
	snprintf(url, size, "http://%s%s%s:%u%s", v6 ? "[" : "", a->address, v6 ? "]" : "", a->port,
		 path);
}

static void set_method(bct_attempt_t *a)
{
	const bct_buf_t *body = &a->req->body;

	if (!strcmp(a->req->method, "GET")) {
		curl_easy_setopt(a->easy, CURLOPT_HTTPGET, 1L);
		return;
	}
	curl_easy_setopt(a->easy, CURLOPT_POST, 1L);
	curl_easy_setopt(a->easy, CURLOPT_POSTFIELDSIZE, (long)body->len_bytes);
	curl_easy_setopt(a->easy, CURLOPT_POSTFIELDS, body->data ? body->data : "");
}

int bct_transfer_setup(bct_attempt_t *a)
{
	char url[MAX_URL_BYTES];
	CURL *e = curl_easy_init();

	if (!e)
		return -BCT_ENOMEM;
	a->easy = e;
	if (add_headers(a))
		return -BCT_ENOMEM;
	bct_sse_init(&a->sse, MAX_EVENT_BYTES, on_sse_event, a);
	make_url(a, url, sizeof(url));
	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_PRIVATE, (char *)a);
	curl_easy_setopt(e, CURLOPT_HTTPHEADER, a->headers);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, a);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, a);
	curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_connected);
	curl_easy_setopt(e, CURLOPT_PREREQDATA, a);
	curl_easy_setopt(e, CURLOPT_CLOSESOCKETFUNCTION, on_close);
	curl_easy_setopt(e, CURLOPT_CLOSESOCKETDATA, a);
	curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(e, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(e, CURLOPT_BUFFERSIZE, (long)RECEIVE_BUFFER_BYTES);
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, (long)a->timeouts.connect_ms);
	set_method(a);
	return 0;
}

void bct_transfer_free(bct_attempt_t *a)
{
	if (a->easy)
		curl_easy_cleanup(a->easy);
	a->easy = NULL;
	curl_slist_free_all(a->headers);
	a->headers = NULL;
	bct_sse_free(&a->sse);
	bct_buf_free(&a->answer);
	bct_room_give_back(opts_of(a)->room, a->partial_bytes);
	a->partial_bytes = 0;
}

bct_time_t bct_transfer_deadline(const bct_attempt_t *a)
{
	if (a->paused)
		return BCT_TIME_NEVER;
	if (!a->sent)
		return a->started + a->timeouts.connect_ms;
	if (is_service(a))
		return a->started + a->timeouts.service_ms;
	if (!a->tokens)
		return a->started + a->timeouts.first_token_ms;
	return a->progress + a->timeouts.stall_ms;
}

/* The outcome of a transfer that libcurl or a time limit ended early. */
static bct_outcome_t failed_outcome(const bct_attempt_t *a)
{
	if (a->deadline_hit) {
		if (!a->sent)
			return BCT_OUTCOME_CONNECT_FAILED;
		return a->tokens ? BCT_OUTCOME_STALLED : BCT_OUTCOME_TIMEOUT;
	}
	return a->sent ? BCT_OUTCOME_RESET : BCT_OUTCOME_CONNECT_FAILED;
}

/* Status 503 means that nothing was run; so do 409 (leaving) and 429 from an engine. */
static bool refused_without_run(const bct_attempt_t *a)
{
	if (a->status == HTTP_UNAVAILABLE)
		return true;
	return !is_service(a) && (a->status == HTTP_CONFLICT || a->status == HTTP_TOO_MANY);
}

/*
 * Whether the answer ended with its connection before the request was taken whole. libcurl then
 * stops sending and reports a success, also if the upstream has reset the connection.
 */
static bool ended_early(const bct_attempt_t *a)
{
	const bct_http_framing_t *f = &a->lines.framing;
	curl_off_t sent_bytes = 0;

	if (f->content_lengths || f->transfer_encodings || !bct_http_status_has_body(a->status))
		return false;
	curl_easy_getinfo(a->easy, CURLINFO_SIZE_UPLOAD_T, &sent_bytes);
	return !a->delivered || (size_t)sent_bytes < a->req->body.len_bytes;
}

/*
 * Whether an answer with a length has come whole. libcurl reads first, but then fails the transfer
 * if the rest of the request can't be sent, as when the upstream answers early and resets.
 */
static bool is_whole(const bct_attempt_t *a)
{
	curl_off_t length_bytes = -1, read_bytes = 0;

	curl_easy_getinfo(a->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length_bytes);
	curl_easy_getinfo(a->easy, CURLINFO_SIZE_DOWNLOAD_T, &read_bytes);
	return bct_answer_has_head(&a->lines) && length_bytes >= 0 && read_bytes == length_bytes;
}

static bct_outcome_t service_outcome(bct_attempt_t *a)
{
	char *type = NULL;
	int rc;

	if (!a->id_matched)
		return BCT_OUTCOME_MISMATCHED;
	curl_easy_getinfo(a->easy, CURLINFO_CONTENT_TYPE, &type);
	rc = bct_answer_service(a, type);
	if (rc == -BCT_ESTATE)
		return BCT_OUTCOME_CANCELLED;
	return rc ? BCT_OUTCOME_BAD_ANSWER : BCT_OUTCOME_OK;
}

static bct_outcome_t engine_outcome(bct_attempt_t *a)
{
	int rc;

	if (a->status != HTTP_OK)
		return BCT_OUTCOME_BAD_ANSWER;
	if (!a->id_matched)
		return BCT_OUTCOME_MISMATCHED;
	if (!a->finished)
		return BCT_OUTCOME_RESET;
	rc = bct_answer_finish(a);
	if (rc == -BCT_ESTATE)
		return BCT_OUTCOME_CANCELLED;
	return rc ? BCT_OUTCOME_BAD_ANSWER : BCT_OUTCOME_OK;
}

static bct_outcome_t outcome_of(bct_attempt_t *a, CURLcode code)
{
	if (a->cancelled)
		return BCT_OUTCOME_CANCELLED;
	if (a->withheld)
		return BCT_OUTCOME_NOT_SENT;
	if (a->mismatched)
		return BCT_OUTCOME_MISMATCHED;
	if (a->malformed || a->answer.err)
		return BCT_OUTCOME_BAD_ANSWER;
	if (code == CURLE_OUT_OF_MEMORY)
		return a->sent ? BCT_OUTCOME_RESET : BCT_OUTCOME_NOT_SENT;
	if (code != CURLE_OK && !(code == CURLE_SEND_ERROR && is_whole(a)))
		return failed_outcome(a);
	if (ended_early(a))
		return BCT_OUTCOME_RESET;
	if (refused_without_run(a))
		return BCT_OUTCOME_BUSY;
	return is_service(a) ? service_outcome(a) : engine_outcome(a);
}

void bct_transfer_outcome(bct_attempt_t *a, CURLcode code, bct_attempt_end_t *end)
{
	memset(end, 0, sizeof(*end));
	end->attempt_id = a->id;
	end->outcome = outcome_of(a, bct_curl_result(code, &a->lines));
	end->tokens = a->tokens;
	end->retry_after_ms = a->retry_after_ms;
	end->may_have_run = a->sent && end->outcome != BCT_OUTCOME_BUSY;
}
