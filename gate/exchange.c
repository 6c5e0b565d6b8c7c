/*
 * exchange.c - the life of one request: admission, the choice of an upstream, and its one end.
 */
#include "base/err.h"
#include "base/hash.h"
#include "base/mem.h"
#include "gate/exchange_int.h"
#include "gate/crash.h"
#include "gate/feed.h"
#include "gate/share.h"

#include <string.h>

#define CONNECTS_MAX 4 /* upstreams that may refuse a connection before a request is given up */
#define NOT_READY_RETRY_MS 500
#define NO_UPSTREAM_RETRY_MS 400
#define FULL_RETRY_MS 150 /* a full upstream frees a place within a few service times */
#define FULL_RETRY_SPREAD_MS 150
#define CONNECT_TIMEOUT_MS 300	  /* a round trip and the handshake take a few milliseconds */
#define SAFE_SILENCE_PERMILLE 500 /* of the objective: then a safe request is asked elsewhere */
#define STREAM_SILENCE_PERMILLE 2000
#define GAP_SILENCE_FACTOR 4 /* pauses between events that a resumable stream may take */
#define SILENCE_MIN_MS 40
#define BITS_PER_BYTE 8

static void exchange_free(bct_exchange_t *x)
{
	bct_gate_t *g = x->gate;

	if (x->timer)
		event_free(x->timer);
	if (x->body)
		evbuffer_free(x->body);
	if (x->answer)
		evbuffer_free(x->answer);
	bct_events_free(&x->events);
	bct_buf_free(&x->head);
	bct_gate_routes_unref(x->routes);
	g->n_exchanges--;
	bct_free(x);
}

static void log_end(bct_exchange_t *x, bct_gate_end_t end)
{
	bct_time_t now = bct_clock_now();
	bct_event_t ev =
		end == BCT_GATE_END_OK ? BCT_EV_GATE_REQUEST_ENDED : BCT_EV_GATE_REQUEST_FAILED;

	BCT_LOG(x->gate->log, ev, BCT_STR("request", x->call.id),
		BCT_STR("how", bct_gate_end_name(end)), BCT_I64("status", x->status),
		BCT_STR("route", x->route ? x->route->name : ""),
		BCT_STR("account", x->account ? x->account->name : ""),
		BCT_U64("version", x->routes ? x->routes->version : 0),
		BCT_I64("registry_age_ms", bct_feed_age_ms(x->gate->feed, now)),
		BCT_U64("nodes", x->gate->nodes), BCT_STR("upstream", x->upstream_id),
		BCT_U64("attempts", x->attempts), BCT_U64("connects_failed", x->connects),
		BCT_U64("fault", x->last_fault), BCT_U64("prompt_tokens", x->call.prompt_tokens),
		BCT_U64("output_tokens", x->ask.output_tokens),
		BCT_U64("cached_tokens", x->choice.cached_tokens),
		BCT_STR("copied_from", x->source_id),
		BCT_U64("predicted_wait_ms", x->choice.wait_ms),
		BCT_U64("predicted_work_ms", x->choice.work_ms),
		BCT_U64("first_byte_limit_ms", x->verdict.limit_ms),
		BCT_U64("overload_permille", x->verdict.overload_permille),
		BCT_I64("lane_distance", x->choice.lane_distance),
		BCT_I64("first_byte_ms", x->first_byte_at ? x->first_byte_at - x->arrived : -1),
		BCT_I64("total_ms", now - x->arrived), BCT_U64("events", x->events.count));
}

static void measure(bct_exchange_t *x, bct_gate_end_t end)
{
	bct_gate_latency_t *l;

	if (!x->route || end != BCT_GATE_END_OK)
		return;
	l = &x->gate->counters.latency[x->route->kind - 1];
	bct_hist_add(&l->first_byte_ms, (uint64_t)(x->first_byte_at - x->arrived));
	bct_hist_add(&l->total_ms, (uint64_t)(bct_clock_now() - x->arrived));
}

/* Takes the attempt off its upstream. The connection is closed or kept by the caller. */
static void settle_load(bct_exchange_t *x)
{
	if (x->conn)
		bct_gate_pick_ended(x->conn->upstream, x->choice.work_ms, x->began);
	x->began = false;
}

void bct_exchange_drop_attempt(bct_exchange_t *x)
{
	bct_upconn_t *c = x->conn;

	if (!c)
		return;
	settle_load(x);
	bct_upconn_close(c);
}

void bct_exchange_keep_attempt(bct_exchange_t *x)
{
	bct_upconn_t *c = x->conn;

	settle_load(x);
	bct_upconn_done(c);
}

/* The one way out: logs, counts, releases, and lets the caller's connection go on. */
void bct_exchange_end(bct_exchange_t *x, bct_gate_end_t end, bool cut)
{
	bct_client_t *c = x->client;

	bct_exchange_drop_attempt(x);
	bct_counter_inc(&x->gate->counters.ends[end]);
	log_end(x, end);
	measure(x, end);
	exchange_free(x);
	if (c)
		bct_client_answered(c, cut);
}

void bct_exchange_refuse(bct_exchange_t *x, bct_gate_end_t end, const bct_answer_opts_t *o)
{
	/* Nothing may reach the upstream after the caller was told how it ended. */
	bct_exchange_drop_attempt(x);
	x->status = o->status;
	if (x->answer_begun) {
		bct_exchange_end(x, BCT_GATE_END_CUT, true);
		return;
	}
	bct_answer_own(x->client, o);
	bct_exchange_end(x, end, false);
}

/* Gives a request up that cannot be sent again. */
void bct_exchange_give_up(bct_exchange_t *x)
{
	uint32_t spread = bct_rng_below(&x->gate->picker.rng, FULL_RETRY_SPREAD_MS);

	if (x->may_have_run) {
		bct_exchange_refuse(
			x, BCT_GATE_END_UNKNOWN_OUTCOME,
			&(bct_answer_opts_t){ .status = 502,
					      .text = "the upstream's answer was lost; the request "
						      "may have run" });
		return;
	}
	bct_exchange_refuse(x, BCT_GATE_END_NOT_RUN,
			    &(bct_answer_opts_t){ .status = 503,
						  .retry_after_ms = FULL_RETRY_MS + spread,
						  .text = "the request was not run" });
}

static bct_time_t until_of(const bct_exchange_t *x)
{
	return x->caller_until < x->route_until ? x->caller_until : x->route_until;
}

static void out_of_time(bct_exchange_t *x)
{
	if (x->may_have_run)
		bct_exchange_refuse(x, BCT_GATE_END_TIMEOUT_RUNNING,
				    &(bct_answer_opts_t){ .status = 504,
							  .text = "time ran out at the upstream" });
	else
		bct_exchange_refuse(x, BCT_GATE_END_TIMEOUT_WAITING,
				    &(bct_answer_opts_t){ .status = 503,
							  .text = "time ran out; the request was "
								  "not run" });
}

/* When the current attempt counts as silent; never, if the request may not be sent again. */
static bct_time_t silent_at(const bct_exchange_t *x)
{
	const bct_gate_route_t *r = x->route;
	uint32_t ms;

	if (!x->conn)
		return BCT_TIME_NEVER;
	if (!x->conn->connected)
		return x->conn->opened + CONNECT_TIMEOUT_MS;
	if (x->patient || !bct_gate_route_repeatable(r) || x->attempts >= r->attempts)
		return BCT_TIME_NEVER;
	if (x->answer_begun) {
		ms = r->target_gap_ms * GAP_SILENCE_FACTOR;
		return r->target_gap_ms ? x->progress_at + ms : BCT_TIME_NEVER;
	}
	ms = r->target_ms *
	     (r->kind == BCT_GATE_STREAM ? STREAM_SILENCE_PERMILLE : SAFE_SILENCE_PERMILLE) /
	     BCT_MS_PER_S;
	return x->progress_at + (ms > SILENCE_MIN_MS ? ms : SILENCE_MIN_MS);
}

void bct_exchange_set_timer(bct_exchange_t *x)
{
	bct_time_t at = until_of(x), silent = silent_at(x), ms;
	struct timeval tv;

	if (silent < at)
		at = silent;
	ms = at - bct_clock_now();
	if (ms < 0)
		ms = 0;
	tv.tv_sec = ms / BCT_MS_PER_S;
	tv.tv_usec = (ms % BCT_MS_PER_S) * 1000;
	event_add(x->timer, &tv);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	bct_exchange_t *x = ctx;
	bct_time_t now = bct_clock_now();

	(void)fd;
	(void)what;
	if (now >= until_of(x)) {
		out_of_time(x);
	} else if (now < silent_at(x)) {
		bct_exchange_set_timer(x);
	} else if (x->conn->connected) {
		bct_exchange_silent(x);
	} else {
		bct_exchange_fault(x, BCT_FAULT_CONNECT);
	}
}

static bct_gate_budget_t *budget_of(bct_gate_t *g, uint64_t service_key)
{
	bct_gate_budget_t *b = bct_map_get(&g->budgets, service_key);
	bct_gate_budget_opts_t o = {
		.window_ms = g->settings->gate_budget_window_ms,
		.ratio_permille = g->settings->gate_budget_ratio_permille,
		.allowance = g->settings->gate_budget_allowance,
	};

	if (b)
		return b;
	b = bct_alloc(sizeof(*b));
	if (!b)
		return NULL;
	bct_gate_budget_init(b, &o);
	if (bct_map_put(&g->budgets, service_key, b)) {
		bct_free(b);
		return NULL;
	}
	return b;
}

/* Whether the request may be sent once more; spends from the budget when it says so. */
bool bct_exchange_may_resend(bct_exchange_t *x)
{
	bct_gate_budget_t *b = budget_of(x->gate, x->ask.service_key);

	if (x->attempts >= x->route->attempts || !x->client)
		return false;
	if (x->may_have_run && !bct_gate_route_repeatable(x->route))
		return false;
	if (bct_crash_left(x))
		return false;
	if (b && !bct_gate_budget_take(b, bct_clock_now(), x->gate->nodes))
		return true;
	BCT_GATE_COUNT(x->gate, BUDGET_SPENT);
	BCT_LOG(x->gate->log, BCT_EV_RETRY_BUDGET, BCT_STR("request", x->call.id),
		BCT_STR("route", x->route->name));
	return false;
}

static void encode(bct_exchange_t *x, bct_buf_t *out)
{
	bct_time_t left = until_of(x) - bct_clock_now();
	bool post = strncmp(x->head.data, "GET ", 4) && strncmp(x->head.data, "HEAD ", 5);
	bct_wire_order_t o = {
		.upstream_id = x->choice.upstream->entry.id,
		.account = x->account ? x->account->name : NULL,
		.wait_ms = left > 0 ? (uint32_t)left : 1,
		.engine = x->ask.engine,
		.rank = x->rank,
		.levels = x->levels,
		.resumes = x->call.resumes || x->events.has_id,
		.after_event = x->events.has_id ? x->events.last_id : x->call.after_event,
	};

	if (x->choice.source) {
		o.fetch_ip = x->choice.source->entry.ip;
		o.fetch_port = x->choice.source->entry.port;
	}
	bct_buf_put(out, x->head.data, x->head.len_bytes);
	x->gate->wire->encode_order(&o, out);
	if (post || evbuffer_get_length(x->body))
		bct_buf_printf(out, "Content-Length: %zu\r\n", evbuffer_get_length(x->body));
	bct_buf_puts(out, "\r\n");
}

/* Whether the upstream held the first n parts of the prompt when it was chosen. */
static bool was_cached(const bct_exchange_t *x, uint32_t n)
{
	uint32_t tokens = 0;

	for (uint32_t i = 0; i < n; i++)
		tokens += x->ask.parts[i].tokens;
	return !x->choice.source && x->choice.cached_tokens >= tokens;
}

/* The other nodes learn where the shared part of the prompt is now. */
static void tell_placed(bct_exchange_t *x)
{
	uint32_t n = bct_gate_pick_shared(&x->gate->picker, &x->ask);

	if (!n)
		return;
	bct_share_placed(x->gate->share, &(bct_share_placement_t){
						 .part = x->ask.parts[n - 1].id,
						 .upstream_key = x->choice.upstream->key,
						 .ready_ms = x->choice.wait_ms + x->choice.work_ms,
						 .known = was_cached(x, n),
					 });
}

/* Sends the request on the chosen upstream's connection. returns 0 or -BCT_EUNAVAILABLE. */
static int send_attempt(bct_exchange_t *x)
{
	bct_buf_t out;
	int rc = -BCT_EUNAVAILABLE;

	bct_buf_init(&out, 0);
	encode(x, &out);
	x->conn = out.err ? NULL : bct_upconn_get(x->gate, x->choice.upstream, x);
	if (x->conn) {
		bct_gate_pick_sent(&x->gate->picker, bct_clock_now(), &x->ask, &x->choice);
		tell_placed(x);
		rc = bct_upconn_send(x->conn, &out, x->body);
		if (rc)
			bct_exchange_drop_attempt(x);
	}
	bct_buf_free(&out);
	return rc;
}

static void copy_id(char *out, const bct_gate_upstream_t *u)
{
	memcpy(out, u ? u->entry.id : "", u ? sizeof(u->entry.id) : 1);
}

static void note_choice(bct_exchange_t *x)
{
	if (x->ask.n_tried < BCT_GATE_TRIED)
		x->ask.tried[x->ask.n_tried++] = x->choice.upstream->key;
	copy_id(x->upstream_id, x->choice.upstream);
	copy_id(x->source_id, x->choice.source);
}

/* An attempt reached an upstream's connection: from here on the request may run. */
void bct_exchange_connected(bct_exchange_t *x)
{
	bct_gate_budget_t *b = budget_of(x->gate, x->ask.service_key);

	x->earlier_may_have_run = x->may_have_run;
	x->may_have_run = true;
	x->patient = false;
	x->attempts++;
	x->progress_at = bct_clock_now();
	if (!x->counted && b)
		bct_gate_budget_first(b, x->progress_at);
	if (x->counted)
		BCT_GATE_COUNT(x->gate, RESENDS);
	else
		BCT_GATE_COUNT(x->gate, SENDS);
	x->counted = true;
	bct_exchange_set_timer(x);
}

/* Refuses a request that came to a fleet without room. returns whether it was refused. */
static bool shed(bct_exchange_t *x, bct_time_t now)
{
	bct_gate_demand_t d = {
		.service_key = x->ask.service_key,
		.rank = x->rank,
		.levels = x->levels,
		.target_ms = x->ask.target_ms,
		.left_ms = (uint32_t)(until_of(x) - now),
		.delay_ms = x->choice.delay_ms,
		.first_ms = x->choice.first_ms,
	};
	uint32_t back;

	if (x->attempts || !x->ask.engine)
		return false;
	x->verdict = bct_gate_refuse(&x->gate->refuse, now, &d);
	back = x->verdict.back_ms;
	if (!back)
		return false;
	back += bct_rng_below(&x->gate->picker.rng, back / 2 + 1);
	bct_exchange_refuse(x, BCT_GATE_END_OVERLOAD,
			    &(bct_answer_opts_t){ .status = 503,
						  .retry_after_ms = back,
						  .text = "too busy; the request was not run" });
	return true;
}

void bct_exchange_dispatch(bct_exchange_t *x)
{
	bct_time_t now = bct_clock_now();

	if (now >= until_of(x)) {
		out_of_time(x);
		return;
	}
	while (x->connects <= CONNECTS_MAX) {
		bct_gate_pick(&x->gate->picker, now, &x->ask, &x->choice);
		if (!x->choice.upstream)
			break;
		if (shed(x, now))
			return;
		note_choice(x);
		if (!send_attempt(x)) {
			if (x->conn->connected)
				bct_exchange_connected(x);
			else
				bct_exchange_set_timer(x);
			return;
		}
		x->connects++;
	}
	if (x->may_have_run || x->connects) {
		bct_exchange_give_up(x);
		return;
	}
	bct_exchange_refuse(x, BCT_GATE_END_NO_UPSTREAM,
			    &(bct_answer_opts_t){ .status = 503,
						  .retry_after_ms = NO_UPSTREAM_RETRY_MS,
						  .text = "no upstream takes work now" });
}

/* Method, target and the caller's headers as they go to the upstream. */
static int copy_head(bct_exchange_t *x, const bct_http_msg_t *m)
{
	bct_buf_init(&x->head, 0);
	bct_buf_printf(&x->head, "%s %s HTTP/1.1\r\n", m->method, m->target);
	for (uint32_t i = 0; i < m->n_headers; i++) {
		const bct_http_header_t *h = &m->headers[i];

		if (!bct_http_is_hop(h->name) && !x->gate->wire->drops(h->name))
			bct_buf_printf(&x->head, "%s: %s\r\n", h->name, h->value);
	}
	return x->head.err;
}

static bct_exchange_t *exchange_new(bct_client_t *c, struct evbuffer *body)
{
	bct_exchange_t *x = bct_alloc(sizeof(*x));

	if (!x) {
		evbuffer_free(body);
		return NULL;
	}
	x->gate = c->gate;
	x->client = c;
	x->body = body;
	x->arrived = x->progress_at = bct_clock_now();
	x->caller_until = x->route_until = BCT_TIME_NEVER;
	x->gate->n_exchanges++;
	x->timer = evtimer_new(c->gate->base, on_timer, x);
	x->answer = evbuffer_new();
	if (!x->timer || !x->answer || bct_events_init(&x->events) || copy_head(x, &c->msg)) {
		exchange_free(x);
		return NULL;
	}
	return x;
}

static size_t host_bytes(const char *host)
{
	const char *colon = strrchr(host, ':');

	return colon ? (size_t)(colon - host) : strlen(host);
}

/* Finds route and client account. returns false when the request was refused. */
static bool admit(bct_exchange_t *x, const bct_http_msg_t *m)
{
	const char *host = bct_http_msg_header(m, "Host");

	if (!x->gate->routes) {
		bct_exchange_refuse(
			x, BCT_GATE_END_NOT_READY,
			&(bct_answer_opts_t){ .status = 503,
					      .retry_after_ms = NOT_READY_RETRY_MS,
					      .text = "no configuration is known yet" });
		return false;
	}
	x->routes = bct_gate_routes_ref(x->gate->routes);
	x->route = bct_gate_routes_match(x->routes, host, host_bytes(host), m->target,
					 strcspn(m->target, "?"));
	if (!x->route) {
		bct_exchange_refuse(x, BCT_GATE_END_NO_ROUTE,
				    &(bct_answer_opts_t){ .status = 404, .text = "no such route" });
		return false;
	}
	if (!x->routes->needs_keys || x->route->open)
		return true;
	x->account = bct_gate_routes_account(x->routes, x->call.secret);
	if (x->account)
		return true;
	bct_exchange_refuse(x, BCT_GATE_END_BAD_KEY,
			    &(bct_answer_opts_t){ .status = 401, .text = "unknown API key" });
	return false;
}

/* The caller's estimate is often far off, the most that it allows is a bound only. */
static uint32_t expected_output(const bct_wire_call_t *c)
{
	if (!c->likely_output_tokens)
		return c->max_output_tokens / 2;
	return c->likely_output_tokens < c->max_output_tokens ? c->likely_output_tokens
							      : c->max_output_tokens;
}

/* Time to copy one token's KV cache between engines. */
static uint32_t copy_token_ns(const bct_gate_service_t *s)
{
	if (!s->link_mbps)
		return 0;
	return (uint32_t)((uint64_t)s->kv_token_bytes * BITS_PER_BYTE * BCT_MS_PER_S /
			  s->link_mbps) +
	       1;
}

static void fill_ask(bct_exchange_t *x)
{
	bct_gate_t *g = x->gate;
	const bct_gate_service_t *s;

	x->service = bct_gate_route_split(x->route, bct_hash_str(x->call.id));
	s = &x->routes->services[x->service];
	x->ask = (bct_gate_ask_t){
		.service_key = s->key,
		.engine = s->engine && x->call.prompt_tokens,
		.target_ms = x->route->target_ms,
		.gap_ms = x->route->target_gap_ms,
		.parts = x->call.parts,
		.n_parts = x->call.n_parts,
		.prompt_tokens = x->call.prompt_tokens,
		.output_tokens = expected_output(&x->call),
		.slots = s->slots,
		.copy_token_ns = copy_token_ns(s),
		.zone = g->settings->vm_failure_domain,
	};
	x->rank = bct_gate_routes_rank(x->routes, x->route, x->account, &x->levels);
	if (x->call.wait_ms >= 0)
		x->caller_until = x->arrived + x->call.wait_ms;
	x->route_until = x->arrived + x->route->timeout_ms;
}

/* Refuses a request that broke several upstreams. returns whether it was refused. */
static bool is_poison(bct_exchange_t *x)
{
	uint32_t left = bct_crash_left(x);

	if (!left)
		return false;
	bct_exchange_refuse(x, BCT_GATE_END_POISON,
			    &(bct_answer_opts_t){ .status = 503,
						  .retry_after_ms = left,
						  .text = "upstreams failed while they ran this "
							  "request; it was not run again" });
	return true;
}

void bct_exchange_start(bct_client_t *c, struct evbuffer *body)
{
	bct_exchange_t *x = exchange_new(c, body);

	BCT_GATE_COUNT(c->gate, REQUESTS);
	if (!x) {
		bct_answer_own(c, &(bct_answer_opts_t){ .status = 503, .text = "out of memory" });
		bct_client_answered(c, false);
		return;
	}
	c->x = x;
	x->gate->wire->decode_call(&c->msg, &x->call);
	if (!admit(x, &c->msg))
		return;
	if (is_poison(x))
		return;
	fill_ask(x);
	bct_exchange_dispatch(x);
}

void bct_exchange_abandon(bct_exchange_t *x, bct_gate_end_t end)
{
	x->client = NULL;
	bct_exchange_end(x, end, true);
}
