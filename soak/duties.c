/*
 * duties.c - answers calls of the control API and of the store's topic. A response is withheld by
 * leaving its connection open for a while and closing it then.
 */
#include "soak/duties.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define WITHHOLD_MS 15000
#define LATE_MS 2000
#define HEADER_HOLDER "X-Buckthornchute-Duty-Holder"
#define HEADER_FENCE "X-Buckthornchute-Fencing-Token"

/* A request that is answered later. */
typedef struct pending {
	soak_duties_t *duties;
	struct evhttp_request *req;
} pending_t;

void soak_duties_init(soak_duties_t *d, const bct_control_api_opts_t *opts)
{
	memset(d, 0, sizeof(*d));
	pthread_mutex_init(&d->lock, NULL);
	bct_rng_seed(&d->rng, opts->seed);
	d->era = 1;
	d->withhold_ms = WITHHOLD_MS;
	d->store_late_ms = LATE_MS;
	if (bct_control_api_new(opts, &d->api) || bct_keyed_log_new(&d->log))
		abort();
}

void soak_duties_free(soak_duties_t *d)
{
	bct_control_api_free(d->api);
	bct_keyed_log_free(d->log);
	pthread_mutex_destroy(&d->lock);
}

static void on_close_due(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	evhttp_connection_free(evhttp_request_get_connection(ctx));
}

static void after(struct evhttp_request *req, uint32_t ms, event_callback_fn fn, void *ctx)
{
	struct timeval tv = { ms / BCT_MS_PER_S, (long)(ms % BCT_MS_PER_S) * 1000 };
	struct event_base *base = evhttp_connection_get_base(evhttp_request_get_connection(req));

	if (event_base_once(base, -1, EV_TIMEOUT, fn, ctx, &tv))
		abort();
}

static void withhold(struct evhttp_request *req, uint32_t ms)
{
	after(req, ms, on_close_due, req);
}

static void reply(struct evhttp_request *req, int status, json_t *doc)
{
	struct evbuffer *out = evbuffer_new();
	char *text = json_dumps(doc, JSON_COMPACT);

	evbuffer_add_printf(out, "%s", text);
	evhttp_send_reply(req, status, "", out);
	evbuffer_free(out);
	free(text);
	json_decref(doc);
}

/* Views the whole body as one block; it is valid while the request is. */
static const char *body_of(struct evhttp_request *req, size_t *len)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);

	*len = evbuffer_get_length(in);
	return *len ? (const char *)evbuffer_pullup(in, -1) : "";
}

static bct_control_api_call_t call_of(struct evhttp_request *req)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	bct_control_api_call_t c = {
		.path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req)),
		.holder = evhttp_find_header(headers, HEADER_HOLDER),
		.fence = evhttp_find_header(headers, HEADER_FENCE),
	};

	c.body = body_of(req, &c.body_bytes);
	return c;
}

static void on_execute_due(evutil_socket_t fd, short what, void *ctx)
{
	pending_t *p = ctx;
	bct_control_api_call_t c = call_of(p->req);
	int status;

	(void)fd;
	(void)what;
	pthread_mutex_lock(&p->duties->lock);
	status = bct_control_api_call(p->duties->api, bct_clock_now(), &c);
	pthread_mutex_unlock(&p->duties->lock);
	reply(p->req, status, json_object());
	free(p);
}

static bool consume(uint32_t *n)
{
	return *n && (*n)--;
}

static void on_call(struct evhttp_request *req, void *ctx)
{
	soak_duties_t *d = ctx;
	bct_control_api_call_t c = call_of(req);
	pending_t *p;
	bool down, lost;
	uint32_t slow_ms;

	pthread_mutex_lock(&d->lock);
	down = d->api_down;
	lost = !down &&
	       (consume(&d->api_lose) || bct_rng_below(&d->rng, 1000) < d->api_lose_permille);
	if (lost)
		bct_control_api_call_late(d->api, bct_clock_now(), &c);
	slow_ms = d->api_slow_ms;
	pthread_mutex_unlock(&d->lock);
	if (down || lost) {
		withhold(req, down ? 0 : d->withhold_ms);
		return;
	}
	p = calloc(1, sizeof(*p));
	if (!p)
		abort();
	*p = (pending_t){ .duties = d, .req = req };
	if (slow_ms)
		after(req, slow_ms, on_execute_due, p);
	else
		on_execute_due(-1, 0, p);
}

void soak_duties_serve_api(soak_duties_t *d, struct evhttp *http)
{
	evhttp_set_cb(http, "/usage", on_call, d);
	evhttp_set_cb(http, "/scale", on_call, d);
}

/* All answers of the store state its era. */
static void reply_in_era(struct evhttp_request *req, uint64_t era, int status, json_t *doc)
{
	char text[24];

	snprintf(text, sizeof(text), "%llu", (unsigned long long)era);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Store-Era", text);
	reply(req, status, doc);
}

/* Reads the query's topic and condition. returns false if it is not about this topic. */
static bool read_query(struct evhttp_request *req, uint64_t *at)
{
	struct evkeyvalq query = { 0 };
	const char *topic, *text;
	bool ok;

	evhttp_parse_query(evhttp_request_get_uri(req), &query);
	topic = evhttp_find_header(&query, "topic");
	text = evhttp_find_header(&query, "at");
	ok = topic && !strcmp(topic, SOAK_DUTIES_TOPIC);
	*at = text ? strtoull(text, NULL, 10) : BCT_KEYED_LOG_ANY;
	evhttp_clear_headers(&query);
	return ok;
}

/* returns the status; 0: without a response */
static int append(soak_duties_t *d, struct evhttp_request *req, uint64_t at, uint64_t *offset)
{
	size_t len;
	const char *body = body_of(req, &len);
	bct_time_t now = bct_clock_now();
	int status;

	bct_keyed_log_tick(d->log, now);
	if (d->store_refuses)
		return HTTP_SERVUNAVAIL;
	if (consume(&d->store_late)) {
		bct_keyed_log_append_late(d->log, at, body, len, now + d->store_late_ms);
		return 0;
	}
	status = bct_keyed_log_append(d->log, at, body, len, offset);
	return consume(&d->store_lose) ? 0 : status;
}

static void on_append(struct evhttp_request *req, void *ctx)
{
	soak_duties_t *d = ctx;
	uint64_t at, offset = 0, end, era;
	int status = HTTP_NOTFOUND;

	pthread_mutex_lock(&d->lock);
	if (read_query(req, &at))
		status = append(d, req, at, &offset);
	end = bct_keyed_log_end(d->log);
	era = d->era;
	pthread_mutex_unlock(&d->lock);
	if (!status)
		withhold(req, d->withhold_ms);
	else if (status == HTTP_OK)
		reply_in_era(req, era, status,
			     json_pack("{sIsI}", "offset", (json_int_t)offset, "end_offset",
				       (json_int_t)end));
	else
		reply_in_era(req, era, status, json_pack("{sI}", "end_offset", (json_int_t)end));
}

static json_t *item_of(const bct_keyed_record_t *r)
{
	size_t room = sodium_base64_ENCODED_LEN(r->value_bytes, sodium_base64_VARIANT_ORIGINAL);
	char *text = calloc(1, room);
	json_t *item;

	if (!text)
		abort();
	sodium_bin2base64(text, room, (const unsigned char *)r->value, r->value_bytes,
			  sodium_base64_VARIANT_ORIGINAL);
	item = json_pack("{sssssI}", "key", r->key, "value", text, "offset", (json_int_t)r->offset);
	free(text);
	return item;
}

bool soak_duties_newest(soak_duties_t *d, struct evhttp_request *req)
{
	json_t *items = json_array();
	const bct_keyed_record_t *r;
	uint64_t at, end, era;
	int status = HTTP_OK;

	if (!read_query(req, &at)) {
		json_decref(items);
		return false;
	}
	pthread_mutex_lock(&d->lock);
	bct_keyed_log_tick(d->log, bct_clock_now());
	for (uint32_t i = 0; (r = bct_keyed_log_record(d->log, i)); i++)
		json_array_append_new(items, item_of(r));
	end = bct_keyed_log_end(d->log);
	era = d->era;
	if (d->store_refuses)
		status = HTTP_SERVUNAVAIL;
	else if (d->store_no_topic && !end)
		status = HTTP_NOTFOUND;
	pthread_mutex_unlock(&d->lock);
	reply_in_era(
		req, era, status,
		json_pack("{sosbsI}", "items", items, "more", 0, "end_offset", (json_int_t)end));
	return true;
}

static void on_newest(struct evhttp_request *req, void *ctx)
{
	if (!soak_duties_newest(ctx, req))
		evhttp_send_reply(req, HTTP_NOTFOUND, "", NULL);
}

void soak_duties_serve_append(soak_duties_t *d, struct evhttp *http)
{
	evhttp_set_cb(http, "/api/log-append", on_append, d);
}

void soak_duties_serve_store(soak_duties_t *d, struct evhttp *http)
{
	soak_duties_serve_append(d, http);
	evhttp_set_cb(http, "/api/log-newest", on_newest, d);
}
