/*
 * dispatch.c - the choice of an upstream, refusals, the retry budget, and the sending of an
 * attempt.
 */
#include "gate/crash.h"
#include "gate/exchange_int.h"
#include "gate/share.h"
#include "base/err.h"
#include "base/mem.h"

#include <string.h>

#define CONNECTS_MAX 4 /* upstreams that may refuse a connection before a request is given up */
#define NO_UPSTREAM_RETRY_MS 400

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
	bct_time_t left = bct_exchange_until(x) - bct_clock_now();
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
		tokens += x->ask.segments[i].tokens;
	return !x->choice.source && x->choice.cached_tokens >= tokens;
}

/* The other nodes learn where the shared part of the prompt is now. */
static void tell_placed(bct_exchange_t *x)
{
	uint32_t n = bct_gate_pick_shared_segments(&x->gate->picker, &x->ask);

	if (!n)
		return;
	bct_share_placed(x->gate->share, &(bct_share_placement_t){
						 .part = x->ask.segments[n - 1].id,
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
		bct_gate_budget_count_first(b, x->progress_at);
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
	bct_gate_refuse_input_t d = {
		.service_key = x->ask.service_key,
		.rank = x->rank,
		.levels = x->levels,
		.target_ms = x->ask.target_ms,
		.remaining_ms = (uint32_t)(bct_exchange_until(x) - now),
		.delay_ms = x->choice.delay_ms,
		.first_byte_ms = x->choice.first_byte_ms,
	};
	uint32_t back;

	if (x->attempts || !x->ask.engine)
		return false;
	x->verdict = bct_gate_refuse(&x->gate->refuse, now, &d);
	back = x->verdict.retry_after_ms;
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

	if (now >= bct_exchange_until(x)) {
		bct_exchange_out_of_time(x);
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
