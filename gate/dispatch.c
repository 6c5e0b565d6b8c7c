/*
 * dispatch.c - chooses an upstream for a request, sheds load, enforces the retry budget, and sends
 * the attempt.
 */
#include "gate/crash.h"
#include "gate/exchange_int.h"
#include "gate/origin.h"
#include "gate/part.h"
#include "gate/relay.h"
#include "gate/returns.h"
#include "gate/running.h"
#include "gate/share.h"
#include "base/err.h"
#include "base/hash.h"
#include "base/mem.h"

#include <string.h>

#define CONNECT_FAILURES_MAX 4	  /* failed connections that a request survives; one more ends it */
#define NO_UPSTREAM_RETRY_MS 400  /* Retry-After when no upstream accepts requests */
#define LIMITED_RETRY_MAX_MS 1000 /* largest Retry-After when all are at their limits */

/* Returns the retry budget of a service, created on first use; NULL without memory. */
static bct_gate_budget_t *get_budget(bct_gate_t *g, uint64_t service_key)
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

/* A retry that is permitted is charged to the budget. Without a budget none is permitted. */
bool bct_exchange_take_retry(bct_exchange_t *x)
{
	bct_gate_budget_t *b = get_budget(x->gate, x->query.service_key);

	if (x->attempts >= x->route->attempts || !x->client)
		return false;
	if (x->may_have_run && !bct_gate_route_repeatable(x->route))
		return false;
	/* A helper that may have run it has made the retries, too. */
	if (x->through_helper)
		return false;
	if (bct_crash_remaining_ms(x) || bct_part_remaining_ms(x))
		return false;
	if (b && !bct_gate_budget_take(b, bct_clock_now(), x->gate->nodes))
		return true;
	BCT_GATE_COUNT(x->gate, BUDGET_SPENT);
	BCT_LOG(x->gate->log, BCT_EV_RETRY_BUDGET, BCT_STR("request", x->call.id),
		BCT_STR("route", x->route->name));
	return false;
}

/* Writes the request's head: the caller's headers, then those that the gateway adds. */
static void encode_head(bct_exchange_t *x, bct_buf_t *out)
{
	bct_time_t remaining_ms = bct_exchange_deadline(x) - bct_clock_now();
	bool post = strncmp(x->head.data, "GET ", 4) && strncmp(x->head.data, "HEAD ", 5);
	bct_wire_forward_t o = {
		.upstream_id = x->choice.upstream->entry.id,
		.account = x->account ? x->account->name : NULL,
		.wait_ms = remaining_ms > 0 ? (uint32_t)remaining_ms : 1,
		.engine = x->query.engine,
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
	x->gate->wire->encode_forward(&o, out);
	if (post || evbuffer_get_length(x->body))
		bct_buf_printf(out, "Content-Length: %zu\r\n", evbuffer_get_length(x->body));
	bct_buf_puts(out, "\r\n");
}

/* Whether the upstream had the first n segments of the prompt cached when it was chosen. */
static bool was_cached(const bct_exchange_t *x, uint32_t n)
{
	uint32_t tokens = 0;

	for (uint32_t i = 0; i < n; i++)
		tokens += x->query.segments[i].tokens;
	return !x->choice.source && x->choice.cached_tokens >= tokens;
}

/* Sends to the other nodes which upstream now caches the segments that prompts have in common. */
static void advertise_placement(bct_exchange_t *x)
{
	uint32_t n = bct_gate_pick_shared_segments(&x->gate->picker, &x->query);

	if (!n)
		return;
	bct_share_add_placement(x->gate->share,
				&(bct_share_placement_t){
					.segment = x->query.segments[n - 1].id,
					.upstream_key = x->choice.upstream->key,
					.ready_ms = x->choice.wait_ms + x->choice.work_ms,
					.was_cached = was_cached(x, n),
				});
}

/*
 * Sends the request on a connection to the chosen upstream, which may still be connecting. The load
 * on the upstream is counted from here.
 *
 * returns  0, -BCT_EUNAVAILABLE without a connection, or -BCT_ENOMEM; there is no attempt then
 */
static int send_attempt(bct_exchange_t *x)
{
	bct_buf_t out;
	int rc = -BCT_EUNAVAILABLE;

	bct_buf_init(&out, 0);
	encode_head(x, &out);
	x->conn = out.err ? NULL : bct_upconn_get(x->gate, x->choice.upstream, x);
	if (x->conn) {
		bct_gate_pick_sent(&x->gate->picker, bct_clock_now(), &x->query, &x->choice);
		advertise_placement(x);
		rc = bct_upconn_send(x->conn, &out, x->body);
		if (rc)
			bct_exchange_abort_attempt(x);
	}
	bct_buf_free(&out);
	return rc;
}

/* u may be NULL: the id becomes empty. */
static void copy_upstream_id(char *out, const bct_gate_upstream_t *u)
{
	memcpy(out, u ? u->entry.id : "", u ? sizeof(u->entry.id) : 1);
}

/* Keeps what retries and the log need, as the upstream may be freed after the attempt. */
static void record_choice(bct_exchange_t *x)
{
	if (x->query.n_tried < BCT_GATE_TRIED)
		x->query.tried[x->query.n_tried++] = x->choice.upstream->key;
	copy_upstream_id(x->upstream_id, x->choice.upstream);
	copy_upstream_id(x->source_id, x->choice.source);
}

/* The helper counts the request; this node only knows that it may run from here on. */
static void connected_to_helper(bct_exchange_t *x)
{
	x->earlier_may_have_run = x->may_have_run;
	x->may_have_run = true;
	x->through_helper = true;
	x->progress_at = bct_clock_now();
	BCT_GATE_COUNT(x->gate, RELAYED);
	bct_exchange_set_timer(x);
}

/* The attempt's connection is established: from here on the upstream may run the request. */
void bct_exchange_connected(bct_exchange_t *x)
{
	bct_gate_budget_t *b = get_budget(x->gate, x->query.service_key);

	x->unread = false;
	if (x->conn->upstream->is_node) {
		connected_to_helper(x);
		return;
	}

	x->earlier_may_have_run = x->may_have_run;
	x->may_have_run = true;
	x->no_silence_retry = false;
	x->attempts++;
	x->progress_at = bct_clock_now();
	if (!x->budget_counted && b)
		bct_gate_budget_count_first(b, x->progress_at);
	if (x->budget_counted) {
		BCT_GATE_COUNT(x->gate, RESENDS);
	} else {
		BCT_GATE_COUNT(x->gate, SENDS);
		bct_gate_demand_sent(
			&x->gate->demand, x->progress_at, x->query.service_key,
			bct_gate_pick_work_ms(&x->gate->picker, &x->query, &x->choice));
	}
	x->budget_counted = true;
	bct_exchange_set_timer(x);
}

/* Counts the request in the share of its account, once. */
static void count_share(bct_exchange_t *x, bct_time_t now)
{
	bct_gate_t *g = x->gate;

	if (x->share_counted || !x->account || !g->settings->gate_account_shares)
		return;
	x->share_counted = true;
	x->over_share =
		!bct_gate_account_shares_count(&g->account_shares, now, x->query.service_key,
					       bct_hash_str(x->account->name), x->choice.work_ms);
	if (x->over_share)
		BCT_GATE_COUNT(g, OVER_SHARE);
}

/*
 * Sheds a request to an engine when its first byte is predicted too late because the fleet is
 * overloaded, see policy/gate_refuse.h. Only the first attempt can be shed. Retry-After is
 * lengthened at random by up to half, so that callers do not all return at once, unless room is
 * promised for then.
 *
 * returns  whether the request was refused; x is freed then
 */
static bool shed(bct_exchange_t *x, bct_time_t now)
{
	bct_gate_refuse_input_t d = {
		.service_key = x->query.service_key,
		.rank = x->rank,
		.levels = x->levels,
		.target_ms = x->query.target_ms,
		.remaining_ms = (uint32_t)(bct_exchange_deadline(x) - now),
		.delay_ms = x->choice.delay_ms,
		.first_byte_ms = x->choice.first_byte_ms,
		.work_ms = x->choice.work_ms,
	};
	bct_gate_pace_kind_t kind = bct_exchange_pace_kind(x);
	uint32_t back, reserved_ms;

	if (x->attempts || !x->query.engine)
		return false;
	x->returning = x->returning || bct_returns_take(x, now);
	d.returning = x->returning;
	count_share(x, now);
	d.over_share = x->over_share;
	reserved_ms = x->returning ? 0 : bct_returns_reserved_ms(x, now);
	d.delay_ms += reserved_ms;
	d.first_byte_ms += reserved_ms;
	x->output_ms = bct_gate_pace_output_ms(&x->gate->pace, now, &kind, x->query.output_tokens);
	d.output_ms = x->output_ms;
	x->decision = bct_gate_refuse(&x->gate->refuse, now, &d);
	back = x->decision.retry_after_ms;
	if (!back)
		return false;
	x->promised_ms = bct_returns_book(x, now, back);
	back += bct_rng_below(&x->gate->picker.rng, back / 2 + 1);
	if (x->promised_ms)
		back = x->promised_ms;
	bct_exchange_refuse(x, BCT_GATE_END_OVERLOAD,
			    &(bct_answer_opts_t){ .status = 503,
						  .retry_after_ms = back,
						  .text = "too busy; the request was not run" });
	return true;
}

/*
 * Refuses a request because the limits or pauses that all upstreams named allow none from this node
 * now. The caller is told when one will; if that is far off, it may return sooner to another node.
 */
static void refuse_limited(bct_exchange_t *x)
{
	uint32_t ms = x->choice.limited_ms;

	BCT_GATE_COUNT(x->gate, LIMITED);
	if (ms > LIMITED_RETRY_MAX_MS)
		ms = LIMITED_RETRY_MAX_MS;
	ms += bct_rng_below(&x->gate->picker.rng, ms / 2 + 1);
	bct_exchange_refuse(
		x, BCT_GATE_END_LIMITED,
		&(bct_answer_opts_t){ .status = 503,
				      .retry_after_ms = ms,
				      .text = "no upstream accepts more requests now; the "
					      "request was not run" });
}

void bct_exchange_dispatch(bct_exchange_t *x)
{
	bct_time_t now = bct_clock_now();

	if (now >= bct_exchange_deadline(x)) {
		bct_exchange_timed_out(x);
		return;
	}
	bct_gate_check_resumed(x->gate);
	if (bct_relay_send(x, false))
		return;
	while (x->connects <= CONNECT_FAILURES_MAX) {
		bct_gate_pick(&x->gate->picker, now, &x->query, &x->choice);
		if (!x->choice.upstream)
			break;
		if (shed(x, now))
			return;
		record_choice(x);
		if (!send_attempt(x)) {
			if (x->call.resumes || x->answer_started)
				bct_origin_continued(x);
			if (x->conn->connected)
				bct_exchange_connected(x);
			else
				bct_exchange_set_timer(x);
			return;
		}
		x->connects++;
	}
	if (x->connects && !x->may_have_run && bct_relay_send(x, true))
		return;
	/* At least one upstream was tried, so this is not a service without upstreams. */
	if (x->may_have_run || x->connects) {
		bct_exchange_give_up(x);
		return;
	}
	if (x->choice.brittle && bct_relay_send_to_owner(x))
		return;
	if (x->choice.limited) {
		refuse_limited(x);
		return;
	}
	if (bct_origin_refuse_gone(x))
		return;
	bct_exchange_refuse(x, BCT_GATE_END_NO_UPSTREAM,
			    &(bct_answer_opts_t){ .status = 503,
						  .retry_after_ms = NO_UPSTREAM_RETRY_MS,
						  .text = "no upstream takes work now" });
}
