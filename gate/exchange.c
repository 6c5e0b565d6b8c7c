/*
 * exchange.c - start, admission and time limits of an exchange: one request and its response.
 */
#include "gate/crash.h"
#include "gate/exchange_int.h"
#include "gate/memory.h"
#include "gate/origin.h"
#include "gate/part.h"
#include "gate/reach.h"
#include "gate/relay.h"
#include "gate/relay_head.h"
#include "gate/running.h"
#include "base/hash.h"
#include "base/mem.h"

#include <string.h>

#define NOT_READY_RETRY_MS 500	     /* Retry-After before a configuration is known */
#define CONNECT_TIMEOUT_MS 300	     /* a round trip with the handshake takes a few milliseconds */
#define SAFE_SILENCE_PERMILLE 500    /* of the latency target: then a safe request is retried */
#define STREAM_SILENCE_PERMILLE 2000 /* the same for a resumable stream without output */
#define TRICKLE_FACTOR 4     /* times the silence limit that bytes without an event may go on */
#define GAP_SILENCE_FACTOR 4 /* target inter-token gaps until a resumable stream is retried */
#define SILENCE_MIN_MS 40    /* lower bound of the limits in permille */
#define BITS_PER_BYTE 8

/* Bytes that complete no event don't count for ever: a stream could stall with one now and then. */
static bct_time_t stream_silent_at(const bct_exchange_t *x)
{
	uint32_t ms = x->route->target_gap_ms * GAP_SILENCE_FACTOR;
	bct_time_t at = x->progress_at + ms, event_at = x->events_at + ms * TRICKLE_FACTOR;

	if (!ms)
		return BCT_TIME_NEVER;
	return x->output_started && event_at < at ? event_at : at;
}

/*
 * Returns when the current attempt exceeds its silence limit, or the connect timeout while it is
 * connecting. BCT_TIME_NEVER when the request could not be retried anyway.
 */
static bct_time_t silent_at(const bct_exchange_t *x)
{
	const bct_gate_route_t *r = x->route;
	uint32_t ms;

	if (x->origin_due)
		return x->origin_due;
	if (!x->conn)
		return BCT_TIME_NEVER;
	if (!x->conn->connected)
		return x->conn->opened + CONNECT_TIMEOUT_MS;
	/* It is the caller that is slow: the upstream can't be heard. */
	if (x->conn->paused)
		return BCT_TIME_NEVER;
	/* A helper watches the silence of upstreams itself. */
	if (x->conn->upstream->is_node)
		return BCT_TIME_NEVER;
	if (x->no_silence_retry || !bct_gate_route_repeatable(r) || x->attempts >= r->attempts)
		return BCT_TIME_NEVER;
	if (x->answer_started)
		return stream_silent_at(x);
	ms = r->target_ms *
	     (r->kind == BCT_GATE_STREAM ? STREAM_SILENCE_PERMILLE : SAFE_SILENCE_PERMILLE) /
	     BCT_MS_PER_S;
	return x->progress_at + (ms > SILENCE_MIN_MS ? ms : SILENCE_MIN_MS);
}

void bct_exchange_set_timer(bct_exchange_t *x)
{
	bct_time_t at = bct_exchange_deadline(x), silent = silent_at(x), ms;
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
	if (now >= bct_exchange_deadline(x)) {
		bct_exchange_timed_out(x);
	} else if (now < silent_at(x)) {
		bct_exchange_set_timer(x);
	} else if (x->origin_due) {
		bct_origin_overdue(x);
	} else if (x->conn->connected) {
		bct_exchange_on_silence(x);
	} else {
		bct_exchange_fault(x, BCT_FAULT_CONNECT);
	}
}

/* Copies the request line and the headers to forward into x->head. returns 0 or an error. */
static int copy_head(bct_exchange_t *x, const bct_http_msg_t *m)
{
	bct_buf_init(&x->head, 0);
	bct_buf_printf(&x->head, "%s %s HTTP/1.1\r\n", m->method, m->target);
	for (uint32_t i = 0; i < m->n_headers; i++) {
		const bct_http_header_t *h = &m->headers[i];

		if (!bct_http_is_hop_by_hop(h->name) && !x->gate->wire->drops(h->name) &&
		    !bct_relay_is_own_header(h->name))
			bct_buf_printf(&x->head, "%s: %s\r\n", h->name, h->value);
	}
	return x->head.err;
}

/* Takes ownership of body, also on failure. */
static bct_exchange_t *exchange_new(bct_client_t *c, struct evbuffer *body)
{
	bct_exchange_t *x = bct_alloc(sizeof(*x));

	if (!x) {
		evbuffer_free(body);
		return NULL;
	}
	x->ops = &bct_exchange_upconn_ops;
	x->gate = c->gate;
	x->client = c;
	x->body = body;
	x->arrived = x->progress_at = bct_clock_now();
	x->caller_deadline = x->route_deadline = BCT_TIME_NEVER;
	bct_list_init(&x->asking);
	x->gate->n_exchanges++;
	x->timer = evtimer_new(c->gate->base, on_timer, x);
	x->answer = evbuffer_new();
	if (!x->timer || !x->answer || bct_gate_sse_init(&x->events) || copy_head(x, &c->msg)) {
		bct_exchange_free(x);
		return NULL;
	}
	bct_memory_watch(c, x->answer, BCT_GATE_MEMORY_KEPT);
	bct_memory_watch(c, x->events.partial, BCT_GATE_MEMORY_KEPT);
	return x;
}

/* Length of a Host header's value without its port. */
static size_t host_bytes(const char *host)
{
	const char *colon = strrchr(host, ':');

	return colon ? (size_t)(colon - host) : strlen(host);
}

/* Finds the route and the client account. returns false when the request was refused; x is freed
 * then. */
static bool admit(bct_exchange_t *x, const bct_http_msg_t *m)
{
	/* Not NULL: bct_http_head_check() requires a Host header. */
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

/*
 * Estimates the output in tokens. The caller's estimate is often far off, so it is capped at the
 * caller's limit; the limit alone is only a bound, so half of it is assumed without an estimate.
 */
static uint32_t expected_output(const bct_wire_call_t *c)
{
	if (!c->likely_output_tokens)
		return c->max_output_tokens / 2;
	return c->likely_output_tokens < c->max_output_tokens ? c->likely_output_tokens
							      : c->max_output_tokens;
}

/* Time to copy one token's KV cache between engines in ns, rounded up; 0: not possible. */
static uint32_t copy_token_ns(const bct_gate_service_t *s)
{
	if (!s->link_mbps)
		return 0;
	return (uint32_t)((uint64_t)s->kv_token_bytes * BITS_PER_BYTE * BCT_MS_PER_S /
			  s->link_mbps) +
	       1;
}

/* Fills in what the choice of an upstream depends on, the priority, and the deadlines. */
static void init_pick_input(bct_exchange_t *x)
{
	bct_gate_t *g = x->gate;
	const bct_gate_service_t *s;

	/* A stream that is taken up belongs to the service that began it. */
	x->service = bct_gate_route_split(
		x->route, bct_hash_str(x->call.resumes_id[0] ? x->call.resumes_id : x->call.id));
	s = &x->routes->services[x->service];
	x->query = (bct_gate_pick_input_t){
		.origin = x->query.origin,
		.service_key = s->key,
		.engine = s->engine && x->call.prompt_tokens,
		.target_ms = x->route->target_ms,
		.gap_ms = x->route->target_gap_ms,
		.segments = x->call.segments,
		.n_segments = x->call.n_segments,
		.prompt_tokens = x->call.prompt_tokens,
		.output_tokens = expected_output(&x->call),
		.slots = s->slots,
		.copy_token_ns = copy_token_ns(s),
		.zone = g->settings->vm_failure_domain,
	};
	x->rank = bct_gate_routes_rank(x->routes, x->route, x->account, &x->levels);
	if (x->call.wait_ms >= 0)
		x->caller_deadline = x->arrived + x->call.wait_ms;
	x->route_deadline = x->arrived + x->route->timeout_ms;
}

/* returns for how long the request, or a part of its prompt, is refused for crashes; 0: it may run
 */
static uint32_t blocked_ms(bct_exchange_t *x)
{
	uint32_t ms = bct_crash_remaining_ms(x);

	if (ms && !bct_crash_take_trial(x))
		return ms;
	ms = bct_part_remaining_ms(x);
	return ms && bct_part_take_trial(x) ? 0 : ms;
}

/* Refuses a request under which upstreams crash. returns whether it was refused; x is freed then.
 */
static bool refuse_if_blocked(bct_exchange_t *x)
{
	uint32_t remaining_ms = blocked_ms(x);

	if (!remaining_ms)
		return false;
	bct_exchange_refuse(x, BCT_GATE_END_POISON,
			    &(bct_answer_opts_t){ .status = 503,
						  .retry_after_ms = remaining_ms,
						  .text = "upstreams failed while they ran this "
							  "request; it was not run again" });
	return true;
}

/* A request is relayed once: one that came here for that must not wait for links that this node
 * lacks, too. returns whether it was refused; x is freed then. */
static bool refuse_if_cut(bct_exchange_t *x)
{
	if (!x->relayed || !bct_reach_is_cut(x->gate, x->query.service_key))
		return false;
	bct_exchange_refuse(x, BCT_GATE_END_NO_UPSTREAM,
			    &(bct_answer_opts_t){ .status = 503,
						  .text = "this node reaches no upstream either" });
	return true;
}

/* Refuses what this node, which stops, may not live to end; elsewhere it can. returns whether it
 * was refused; x is freed then. */
static bool refuse_if_stopping(bct_exchange_t *x)
{
	if (bct_gate_takes_on(x->gate, bct_exchange_deadline(x)))
		return false;
	x->client->close_after = true;
	bct_exchange_refuse_stopping(x);
	return true;
}

/* Refuses a request while what the node buffers has no room for more. returns whether it was
 * refused; x is freed then. */
static bool refuse_if_full(bct_exchange_t *x)
{
	if (!bct_memory_refuses(x->gate))
		return false;
	bct_exchange_refuse(x, BCT_GATE_END_MEMORY,
			    &(bct_answer_opts_t){ .status = 503,
						  .retry_after_ms = bct_memory_retry_ms(x->gate),
						  .text = BCT_MEMORY_REFUSED });
	return true;
}

static void on_request(bct_client_t *c, struct evbuffer *body)
{
	bct_exchange_t *x = exchange_new(c, body);

	BCT_GATE_COUNT(c->gate, REQUESTS);
	if (!x) {
		bct_answer_local(c, &(bct_answer_opts_t){ .status = 503, .text = "out of memory" });
		bct_client_answered(c, false);
		return;
	}
	c->x = x;
	x->gate->wire->decode_call(&c->msg, &x->call);
	if (c->port->is_node && !bct_relay_accept(x, &c->msg)) {
		bct_exchange_refuse(
			x, BCT_GATE_END_BAD_REQUEST,
			&(bct_answer_opts_t){ .status = 403, .text = "not sent by a node" });
		return;
	}
	if (!admit(x, &c->msg))
		return;
	if (refuse_if_full(x) || refuse_if_blocked(x))
		return;
	init_pick_input(x);
	if (refuse_if_cut(x) || refuse_if_stopping(x))
		return;
	if (x->call.resumes && !x->query.origin && x->route->kind == BCT_GATE_STREAM)
		bct_origin_take_up(x);
	else
		bct_exchange_dispatch(x);
}

const bct_client_ops_t bct_exchange_client_ops = {
	.request = on_request,
	.flushed = bct_exchange_flushed,
	.gone = bct_exchange_abandon,
	.drop_kept = bct_exchange_drop_kept,
	.stop = bct_exchange_stop,
};
