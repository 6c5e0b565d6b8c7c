/*
 * exchange_end.c - ends exchanges. Each writes exactly one log record, and an error response states
 * correctly whether the request may have run.
 */
#include "gate/crash.h"
#include "gate/exchange_int.h"
#include "gate/memory.h"
#include "gate/origin.h"
#include "gate/registry_sync.h"
#include "base/mem.h"

/* Retry-After of a request that was not run: a full upstream frees a slot within a few service
 * times. The random spread keeps callers from returning all at once. */
#define NOT_RUN_RETRY_MS 150
#define NOT_RUN_RETRY_SPREAD_MS 150
#define STOPPING_RETRY_MS 20 /* for a caller that has other nodes to go to */

void bct_exchange_free(bct_exchange_t *x)
{
	bct_gate_t *g = x->gate;

	bct_list_del(&x->asking);
	if (x->timer)
		event_free(x->timer);
	bct_memory_release(g, x->body);
	bct_memory_release(g, x->answer);
	bct_memory_drain(g, x->events.partial);
	bct_gate_sse_free(&x->events);
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
		BCT_HEX("digest", end == BCT_GATE_END_OK ? x->digest : bct_crash_digest(x)),
		BCT_STR("route", x->route ? x->route->name : ""),
		BCT_STR("account", x->account ? x->account->name : ""),
		BCT_U64("version", x->routes ? x->routes->version : 0),
		BCT_I64("registry_age_ms", bct_registry_sync_age_ms(x->gate->registry_sync, now)),
		BCT_U64("nodes", x->gate->nodes), BCT_STR("upstream", x->upstream_id),
		BCT_STR("resumes", x->call.resumes_id),
		BCT_STR("began_software", bct_origin_software(x)), BCT_U64("attempts", x->attempts),
		BCT_U64("connects_failed", x->connects), BCT_U64("helpers", x->helpers),
		BCT_U64("relayed", x->relayed), BCT_U64("fault", x->last_fault),
		BCT_U64("prompt_tokens", x->call.prompt_tokens),
		BCT_U64("output_tokens", x->query.output_tokens),
		BCT_U64("cached_tokens", x->choice.cached_tokens),
		BCT_STR("copied_from", x->source_id),
		BCT_U64("predicted_wait_ms", x->choice.wait_ms),
		BCT_U64("predicted_work_ms", x->choice.work_ms),
		BCT_U64("first_byte_limit_ms", x->decision.limit_ms),
		BCT_U64("overload_permille", x->decision.overload_permille),
		BCT_U64("ahead_permille", x->decision.ahead_permille),
		BCT_U64("over_share", x->over_share), BCT_U64("returning", x->returning),
		BCT_U64("promised_ms", x->promised_ms),
		BCT_U64("predicted_output_ms", x->output_ms),
		BCT_I64("lane_distance", x->choice.lane_distance),
		BCT_U64("limited", x->choice.limited), BCT_U64("limited_ms", x->choice.limited_ms),
		BCT_I64("first_byte_ms", x->first_byte_at ? x->first_byte_at - x->arrived : -1),
		BCT_I64("total_ms", now - x->arrived), BCT_U64("events", x->events.count));
}

/* Adds the latencies of a successful request to the histograms of its kind of route. */
static void record_latency(bct_exchange_t *x, bct_gate_end_t end)
{
	bct_gate_latency_t *l;

	if (!x->route || end != BCT_GATE_END_OK)
		return;
	l = &x->gate->counters.latency[x->route->kind - 1];
	bct_hist_add(&l->first_byte_ms, (uint64_t)(x->first_byte_at - x->arrived));
	bct_hist_add(&l->total_ms, (uint64_t)(bct_clock_now() - x->arrived));
}

/* Removes the attempt's load from its upstream. The calling function closes or keeps the
 * connection. */
static void release_load(bct_exchange_t *x)
{
	if (x->conn)
		bct_gate_pick_ended(x->conn->upstream, x->choice.work_ms, x->output_started);
	x->output_started = false;
	x->harmless = false;
}

void bct_exchange_abort_attempt(bct_exchange_t *x)
{
	bct_upconn_t *c = x->conn;

	if (!c)
		return;
	release_load(x);
	bct_upconn_close(c);
}

void bct_exchange_finish_attempt(bct_exchange_t *x)
{
	bct_upconn_t *c = x->conn;

	release_load(x);
	bct_upconn_done(c);
}

/* Whether the request would have been served if there had been more upstreams. */
static bool lacked_capacity(const bct_exchange_t *x, bct_gate_end_t end)
{
	return end == BCT_GATE_END_OVERLOAD || end == BCT_GATE_END_NO_UPSTREAM ||
	       end == BCT_GATE_END_LIMITED || end == BCT_GATE_END_TIMEOUT_WAITING ||
	       (end == BCT_GATE_END_NOT_RUN && x->attempts);
}

static void count_refused(bct_exchange_t *x, bct_gate_end_t end)
{
	if (!x->query.service_key || !lacked_capacity(x, end))
		return;
	bct_gate_demand_refused(&x->gate->demand, bct_clock_now(), x->query.service_key,
				bct_gate_pick_work_ms(&x->gate->picker, &x->query, &x->choice),
				x->attempts > 0);
}

/* Every exchange that was started ends here: logs, counts and frees it, then continues with the
 * caller's connection. */
void bct_exchange_end(bct_exchange_t *x, bct_gate_end_t end, bool truncated)
{
	bct_client_t *c = x->client;

	bct_exchange_abort_attempt(x);
	bct_counter_inc(&x->gate->counters.ends[end]);
	log_end(x, end);
	count_refused(x, end);
	record_latency(x, end);
	bct_exchange_free(x);
	if (c)
		bct_client_answered(c, truncated);
}

/* Whether the reason lies with this node, so that another one may serve the request. */
static bool lies_here(const bct_exchange_t *x, bct_gate_end_t end)
{
	if (end == BCT_GATE_END_NOT_RUN)
		return !x->attempts;
	return end == BCT_GATE_END_NOT_READY || end == BCT_GATE_END_STOPPING ||
	       end == BCT_GATE_END_NO_ROUTE || end == BCT_GATE_END_BAD_KEY ||
	       end == BCT_GATE_END_NO_UPSTREAM || end == BCT_GATE_END_MEMORY;
}

void bct_exchange_refuse(bct_exchange_t *x, bct_gate_end_t end, const bct_answer_opts_t *o)
{
	bct_answer_opts_t answer = *o;

	/* Nothing may reach the upstream once the response has been sent to the caller. */
	bct_exchange_abort_attempt(x);
	x->status = o->status;
	if (x->answer_started) {
		bct_exchange_end(x, x->unread ? BCT_GATE_END_UNREAD : BCT_GATE_END_CUT, true);
		return;
	}
	answer.elsewhere = lies_here(x, end);
	answer.limited = end == BCT_GATE_END_LIMITED && x->choice.brittle;
	bct_answer_local(x->client, &answer);
	bct_exchange_end(x, end, false);
}

/* Ends a request that cannot be retried. */
void bct_exchange_give_up(bct_exchange_t *x)
{
	uint32_t spread = bct_rng_below(&x->gate->picker.rng, NOT_RUN_RETRY_SPREAD_MS);

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
						  .retry_after_ms = NOT_RUN_RETRY_MS + spread,
						  .text = "the request was not run" });
}

void bct_exchange_timed_out(bct_exchange_t *x)
{
	bct_crash_given_up(x);
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

void bct_exchange_drop_kept(bct_exchange_t *x)
{
	bct_exchange_refuse(x, BCT_GATE_END_UNREAD,
			    &(bct_answer_opts_t){ .status = 502,
						  .text = "the answer did not fit into memory; the "
							  "request may have run" });
}

void bct_exchange_refuse_stopping(bct_exchange_t *x)
{
	bct_exchange_refuse(x, BCT_GATE_END_STOPPING,
			    &(bct_answer_opts_t){ .status = 503,
						  .retry_after_ms = STOPPING_RETRY_MS,
						  .text = "this node stops; the request was not "
							  "run" });
}

void bct_exchange_stop(bct_exchange_t *x)
{
	bct_crash_given_up(x);
	if (x->answer_started)
		bct_exchange_end(x, BCT_GATE_END_STOPPING, true);
	else if (x->may_have_run)
		bct_exchange_refuse(x, BCT_GATE_END_STOPPING,
				    &(bct_answer_opts_t){ .status = 502,
							  .text = "this node stops; the request "
								  "may have run" });
	else
		bct_exchange_refuse_stopping(x);
}

void bct_exchange_abandon(bct_exchange_t *x, bct_gate_end_t end)
{
	x->client = NULL;
	bct_crash_given_up(x);
	bct_exchange_end(x, end, true);
}
