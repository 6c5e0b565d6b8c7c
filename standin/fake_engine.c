/*
 * fake_engine.c - simulates a model engine with the interface of docs/ENGINE.md.
 */
#include "standin/generation.h"

#include "base/mem.h"
#include "base/rng.h"

#include <string.h>

#define KV_BYTES_PER_TOKEN 131072
#define POISON_DOWN_MS 300 /* connections are reset for this long after a poison crash */
#define MISMATCHED_ATTEMPT "00000000deadbeef"

/* Latest load sample, which GET /engine/v1/load returns until the next one. */
typedef struct load_report {
	bct_time_t at_ms;
	uint64_t seq;
	uint32_t running, waiting, by_tier[BCT_BATCH_TIERS];
	uint64_t waiting_tokens, kv_used_tokens, tokens_per_s;
	uint64_t tokens_before; /* total tokens generated until this sample */
} load_report_t;

static struct {
	bct_batch_t batch;
	uint64_t boot_id;
	load_report_t report;
	json_t *prompts;  /* prompt key in hexadecimal: number of runs */
	json_t *attempts; /* attempt id: number of runs */
	json_t *orders;	  /* all accepted orders */
	json_t *target;	  /* of the latest accepted order */
	json_int_t fence; /* highest fencing number accepted */
	uint64_t crashes;
	bct_time_t down_until_ms; /* connections are reset until then */
	char *model;
	int kv_tokens, max_waiting, report_lag_ms, event_lag_ms, event_gap_permille, checks_fencing;
	/* Faults; those with "next N" are decremented for each request that they affect. */
	int64_t crash_ms; /* drop jobs and cache; reset connections, and new ones for this long */
	int64_t hang;	  /* 1: jobs make no progress; only generation and /admin/ are handled */
	int64_t late_ms;  /* delay of the requests that `late` affects before they run */
	int64_t late;	  /* next N requests are delayed by late_ms */
	int64_t reset_token; /* the streams that `reset` affects are reset after this many tokens */
	int64_t reset;	     /* next N streams are reset */
	int64_t wrong;	     /* next N answers are malformed */
	int64_t crossed;     /* next N answers have another attempt's id and text */
	int64_t no_done;     /* next N streams end without [DONE] */
	int64_t busy;	     /* next N requests get 503 */
	int64_t error;	     /* next N requests get 500 */
	int64_t leaving;     /* 1: new requests get 409, and the load report has "leaving" true */
	int64_t freeze_report; /* 1: the load report is not updated */
} eng;

static const bct_fake_fault_t faults[] = {
	{ "crash_ms", &eng.crash_ms },
	{ "hang", &eng.hang },
	{ "slow_percent", &eng.batch.slow_percent },
	{ "late_ms", &eng.late_ms },
	{ "late", &eng.late },
	{ "reset_token", &eng.reset_token },
	{ "reset", &eng.reset },
	{ "wrong", &eng.wrong },
	{ "crossed", &eng.crossed },
	{ "no_done", &eng.no_done },
	{ "busy", &eng.busy },
	{ "error", &eng.error },
	{ "leaving", &eng.leaving },
	{ "freeze_report", &eng.freeze_report },
	{ NULL, NULL },
};

/* Counts a run by prompt and by attempt. */
static void on_start(bct_job_t *j)
{
	bct_gen_t *g = j->user;
	char hex[17];

	snprintf(hex, sizeof(hex), "%016" PRIx64, j->prompt_key);
	bct_fake_count(eng.prompts, hex);
	if (g->attempt[0])
		bct_fake_count(eng.attempts, g->attempt);
}

/* Simulates a crash and restart: drops all jobs, the cache and all connections. */
static void crash(bct_time_t down_ms)
{
	bct_list_t *lists[] = { &eng.batch.waiting, &eng.batch.running };

	for (int i = 0; i < 2; i++) {
		while (!bct_list_empty(lists[i]))
			bct_batch_remove(&eng.batch,
					 bct_container_of(lists[i]->next, bct_job_t, link));
	}
	bct_prefix_cache_clear(&eng.batch.cache);
	eng.batch.prefill_free_ms = 0;
	eng.boot_id = bct_random_id();
	memset(&eng.report, 0, sizeof(eng.report));
	eng.crashes++;
	eng.down_until_ms = bct_clock_now() + down_ms;
	bct_fake_reset_all();
}

static void stream_token(bct_gen_t *g)
{
	char text[BCT_ANSWER_TOKEN_BYTES] = "";
	bct_job_t *j = &g->job;

	if (j->index > j->resume_from)
		bct_answer_token(g->answer_key, j->index - 1, text);
	if (g->malformed) {
		bct_fake_stream_put(g->req, "data: {\"id\": 7, \"choices\": oops\n\n");
		bct_fake_stream_end(g->req, true);
		return;
	}
	bct_gen_event(g, text, j->ended);
	if (j->ended && !g->no_done)
		bct_fake_stream_put(g->req, "data: [DONE]\n\n");
	if (j->ended)
		bct_fake_stream_end(g->req, false);
}

static void on_token(bct_job_t *j)
{
	bct_gen_t *g = j->user;

	if (j->poison) {
		crash(POISON_DOWN_MS);
		return;
	}
	if (g->reset_at > 0 && (int64_t)(j->index - j->resume_from) >= g->reset_at) {
		bct_batch_remove(&eng.batch, j);
		bct_fake_stream_end(g->req, true);
		return;
	}
	if (g->stream)
		stream_token(g);
	else if (j->ended)
		bct_fake_wake(g->req);
}

/* Applies the pending faults to a new request. */
static void apply_faults(bct_gen_t *g)
{
	if (eng.reset > 0 && g->stream && bct_fake_fault_consume(&eng.reset))
		g->reset_at = eng.reset_token > 0 ? eng.reset_token : 1;
	g->malformed = bct_fake_fault_consume(&eng.wrong);
	g->no_done = g->stream && bct_fake_fault_consume(&eng.no_done);
	if (bct_fake_fault_consume(&eng.crossed)) {
		snprintf(g->attempt, sizeof(g->attempt), "%s", MISMATCHED_ATTEMPT);
		g->answer_key = ~g->answer_key;
	}
}

/* Answers a request that is not streamed once its job has ended. */
static enum MHD_Result reply_complete(bct_gen_t *g)
{
	if (!g->job.ended)
		return bct_fake_wait(g->req, BCT_TIME_NEVER);
	if (g->malformed)
		return bct_fake_reply_as(g->req, MHD_HTTP_OK, json_string("oops"), g->attempt,
					 NULL);
	return bct_fake_reply_as(g->req, MHD_HTTP_OK, bct_gen_answer(g), g->attempt, NULL);
}

static enum MHD_Result generation_start(bct_fake_req_t *req)
{
	bct_gen_t *g = bct_gen_new(req);

	if (!g)
		return bct_fake_reply(req, MHD_HTTP_BAD_REQUEST, NULL);
	req->user = g;
	apply_faults(g);
	bct_batch_add(&eng.batch, &g->job);
	bct_fake_kick();
	req->step = 2;
	if (g->stream)
		return bct_fake_stream(req, g->attempt[0] ? g->attempt : NULL);
	return bct_fake_wait(req, BCT_TIME_NEVER);
}

static bool draining(void)
{
	const char *role = json_string_value(json_object_get(eng.target, "role"));

	return eng.leaving || (role && strcmp(role, "drain") == 0);
}

/* Handles a generation request. Steps: 0 new, 1 delayed by the late fault, 2 in the batch. */
static enum MHD_Result generate(bct_fake_req_t *req)
{
	const char *attempt = bct_fake_header(req, "Chute-Attempt");

	if (req->step == 2)
		return reply_complete(req->user);
	if (req->step == 1)
		return generation_start(req);
	if (draining())
		return bct_fake_reply(req, MHD_HTTP_CONFLICT,
				      json_pack("{ss}", "error", "leaving"));
	if (bct_fake_fault_consume(&eng.busy) ||
	    (eng.max_waiting > 0 && eng.batch.n_waiting >= (uint32_t)eng.max_waiting))
		return bct_fake_reply_as(req, MHD_HTTP_SERVICE_UNAVAILABLE, NULL, attempt, "1");
	if (bct_fake_fault_consume(&eng.error))
		return bct_fake_reply(req, MHD_HTTP_INTERNAL_SERVER_ERROR, NULL);
	if (bct_fake_fault_consume(&eng.late)) {
		req->step = 1;
		return bct_fake_wait(req, bct_clock_now() + eng.late_ms);
	}
	return generation_start(req);
}

/* Takes a load sample, unless the report is frozen. */
static void report_update(bct_time_t now)
{
	load_report_t *r = &eng.report;
	uint64_t tokens = eng.batch.stats.tokens;

	if (eng.freeze_report && r->at_ms)
		return;
	if (r->at_ms && now > r->at_ms)
		r->tokens_per_s =
			(tokens - r->tokens_before) * BCT_MS_PER_S / (uint64_t)(now - r->at_ms);
	r->tokens_before = tokens;
	r->at_ms = now;
	r->seq++;
	r->running = eng.batch.n_running;
	r->waiting = eng.batch.n_waiting;
	r->waiting_tokens = bct_batch_waiting_tokens(&eng.batch);
	r->kv_used_tokens = bct_batch_kv_tokens(&eng.batch);
	bct_batch_running_by_tier(&eng.batch, r->by_tier);
}

static enum MHD_Result load_get(bct_fake_req_t *req)
{
	const load_report_t *r = &eng.report;
	bct_time_t now = bct_clock_now();
	json_t *out, *tiers = json_array();
	char boot[17];

	if (!r->at_ms || now - r->at_ms >= eng.report_lag_ms)
		report_update(now);
	for (int i = 0; i < BCT_BATCH_TIERS; i++)
		json_array_append_new(tiers, json_integer(r->by_tier[i]));
	snprintf(boot, sizeof(boot), "%016" PRIx64, eng.boot_id);
	out = json_pack("{sssIsIsIsIsosIsIsIsIsb}", "boot_id", boot, "seq", (json_int_t)r->seq,
			"age_ms", (json_int_t)(now - r->at_ms), "running", (json_int_t)r->running,
			"waiting", (json_int_t)r->waiting, "running_by_tier", tiers,
			"waiting_tokens", (json_int_t)r->waiting_tokens, "kv_used_tokens",
			(json_int_t)r->kv_used_tokens, "kv_total_tokens", (json_int_t)eng.kv_tokens,
			"tokens_per_s", (json_int_t)r->tokens_per_s, "leaving", draining());
	return bct_fake_reply(req, MHD_HTTP_OK, out);
}

static enum MHD_Result models_get(bct_fake_req_t *req)
{
	json_t *loaded = json_object_get(eng.target, "models"), *data = json_array();

	for (size_t i = 0; i < json_array_size(loaded); i++)
		json_array_append_new(data, json_pack("{sOss}", "id", json_array_get(loaded, i),
						      "object", "model"));
	return bct_fake_reply(req, MHD_HTTP_OK,
			      json_pack("{ssso}", "object", "list", "data", data));
}

static enum MHD_Result order_post(bct_fake_req_t *req)
{
	json_t *in = json_loadb(req->body.data, req->body.len_bytes, 0, NULL);
	json_t *target = json_object_get(in, "target");
	json_int_t fence = json_integer_value(json_object_get(in, "fence"));

	if (!json_is_object(target)) {
		json_decref(in);
		return bct_fake_reply(req, MHD_HTTP_BAD_REQUEST, NULL);
	}
	if (eng.checks_fencing && fence < eng.fence) {
		json_decref(in);
		return bct_fake_reply(req, MHD_HTTP_CONFLICT,
				      json_pack("{sI}", "fence", eng.fence));
	}
	if (fence > eng.fence)
		eng.fence = fence;
	json_decref(eng.target);
	eng.target = json_incref(target);
	json_array_append_new(eng.orders, in);
	return bct_fake_reply(req, MHD_HTTP_OK,
			      json_pack("{sIsO}", "fence", eng.fence, "target", eng.target));
}

static enum MHD_Result kv_export(bct_fake_req_t *req)
{
	json_t *in = json_loadb(req->body.data, req->body.len_bytes, 0, NULL), *b;
	json_int_t n = 0;
	size_t i;

	json_array_foreach(json_object_get(in, "blocks"), i, b)
	{
		const char *hex = json_string_value(b);

		n += hex && bct_prefix_cache_has(&eng.batch.cache, strtoull(hex, NULL, 16));
	}
	json_decref(in);
	return bct_fake_reply(req, MHD_HTTP_OK,
			      json_pack("{sIsI}", "blocks", n, "bytes",
					n * BCT_BLOCK_TOKENS * KV_BYTES_PER_TOKEN));
}

static void cancel_in(const bct_list_t *jobs, const char *attempt)
{
	bct_list_t *el, *tmp;

	bct_list_for_each_safe(el, tmp, jobs) {
		bct_gen_t *g = bct_container_of(el, bct_job_t, link)->user;

		if (strcmp(g->attempt, attempt) != 0)
			continue;
		bct_batch_remove(&eng.batch, &g->job);
		g->req->disconnected = true;
		bct_fake_wake(g->req);
	}
}

static enum MHD_Result cancel_post(bct_fake_req_t *req)
{
	json_t *in = json_loadb(req->body.data, req->body.len_bytes, 0, NULL);
	const char *attempt = json_string_value(json_object_get(in, "attempt"));

	if (attempt) {
		cancel_in(&eng.batch.waiting, attempt);
		cancel_in(&eng.batch.running, attempt);
	}
	json_decref(in);
	return bct_fake_reply(req, MHD_HTTP_OK, NULL);
}

static json_t *by_tier_json(const uint64_t v[BCT_BATCH_TIERS])
{
	json_t *out = json_array();

	for (int i = 0; i < BCT_BATCH_TIERS; i++)
		json_array_append_new(out, json_integer((json_int_t)v[i]));
	return out;
}

static enum MHD_Result stats_get(bct_fake_req_t *req)
{
	const bct_batch_stats_t *s = &eng.batch.stats;

	return bct_fake_reply(
		req, MHD_HTTP_OK,
		json_pack("{sIsIsIsIsIsIsIsososIsI}", "runs", (json_int_t)s->runs, "tokens",
			  (json_int_t)s->tokens, "prefill_tokens", (json_int_t)s->prefill_tokens,
			  "cached_tokens", (json_int_t)s->cached_tokens, "preemptions",
			  (json_int_t)s->preemptions, "abandoned", (json_int_t)s->abandoned,
			  "abandoned_tokens", (json_int_t)s->abandoned_tokens,
			  "abandoned_tokens_by_tier", by_tier_json(s->abandoned_tokens_by_tier),
			  "tokens_by_tier", by_tier_json(s->tokens_by_tier), "resumed_tokens",
			  (json_int_t)s->resumed_tokens, "crashes", (json_int_t)eng.crashes));
}

static enum MHD_Result admin(bct_fake_req_t *req)
{
	if (strcmp(req->path, "/admin/stats") == 0)
		return stats_get(req);
	if (strcmp(req->path, "/admin/prompts") == 0)
		return bct_fake_reply(req, MHD_HTTP_OK, json_incref(eng.prompts));
	if (strcmp(req->path, "/admin/attempts") == 0)
		return bct_fake_reply(req, MHD_HTTP_OK, json_incref(eng.attempts));
	if (strcmp(req->path, "/admin/orders") == 0)
		return bct_fake_reply(req, MHD_HTTP_OK, json_incref(eng.orders));
	return bct_fake_reply(req, MHD_HTTP_NOT_FOUND, NULL);
}

static enum MHD_Result orders_get(bct_fake_req_t *req)
{
	return bct_fake_reply(req, MHD_HTTP_OK,
			      json_pack("{sIsO}", "fence", eng.fence, "target", eng.target));
}

static enum MHD_Result handle(bct_fake_req_t *req)
{
	bct_time_t now = bct_clock_now();

	if (strncmp(req->path, "/admin/", strlen("/admin/")) == 0)
		return admin(req);
	if (now < eng.down_until_ms)
		return bct_fake_reset(req);
	if (bct_fake_is(req, "POST", "/v1/chat/completions") ||
	    bct_fake_is(req, "POST", "/v1/completions"))
		return generate(req);
	if (eng.hang)
		return bct_fake_wait(req, BCT_TIME_NEVER);
	if (bct_fake_is(req, "GET", "/engine/v1/load"))
		return load_get(req);
	if (bct_fake_is(req, "GET", "/engine/v1/events"))
		return bct_fake_reply(
			req, MHD_HTTP_OK,
			bct_prefix_cache_events(&eng.batch.cache,
						(uint64_t)bct_fake_arg_int(req, "from", 0), now));
	if (bct_fake_is(req, "GET", "/v1/models"))
		return models_get(req);
	if (bct_fake_is(req, "POST", "/engine/v1/orders"))
		return order_post(req);
	if (bct_fake_is(req, "GET", "/engine/v1/orders"))
		return orders_get(req);
	if (bct_fake_is(req, "POST", "/engine/v1/kv/export"))
		return kv_export(req);
	if (bct_fake_is(req, "POST", "/engine/v1/cancel"))
		return cancel_post(req);
	return bct_fake_reply(req, MHD_HTTP_NOT_FOUND, NULL);
}

static bct_time_t tick(bct_time_t now)
{
	/* tokens_per_s needs two samples, so samples are also taken without a request. */
	if (now - eng.report.at_ms >= eng.report_lag_ms && eng.report_lag_ms > 0)
		report_update(now);
	if (eng.hang)
		return BCT_TIME_NEVER;
	return bct_batch_run(&eng.batch, now);
}

static void done(bct_fake_req_t *req)
{
	bct_gen_t *g = req->user;

	if (!g)
		return;
	bct_batch_remove(&eng.batch, &g->job);
	bct_free(g);
	req->user = NULL;
}

static bool ready(void)
{
	if (eng.batch.slots <= 0 || eng.batch.prefill_tokens_per_s <= 0 ||
	    eng.batch.decode_tokens_per_s <= 0 || eng.kv_tokens <= 0)
		return false;
	bct_prefix_cache_init(&eng.batch.cache, (uint32_t)eng.kv_tokens / BCT_BLOCK_TOKENS,
			      eng.boot_id);
	eng.batch.cache.lag_ms = (uint32_t)eng.event_lag_ms;
	eng.batch.cache.gap_permille = (uint32_t)eng.event_gap_permille;
	eng.target = json_pack("{s[s]s[]ss}", "models", eng.model ? eng.model : "base", "adapters",
			       "role", "serve");
	return eng.target != NULL;
}

static void faults_changed(void)
{
	if (eng.crash_ms > 0)
		crash(eng.crash_ms);
	eng.crash_ms = 0;
	if (eng.batch.slow_percent <= 0)
		eng.batch.slow_percent = 100;
	bct_fake_wake_all();
}

int main(int argc, const char **argv)
{
	const struct poptOption options[] = {
		{ "slots", 0, POPT_ARG_INT, &eng.batch.slots, 0, "requests that run at once", "N" },
		{ "prefill-tokens-per-s", 0, POPT_ARG_INT, &eng.batch.prefill_tokens_per_s, 0,
		  "prefill rate of the whole engine", "N" },
		{ "decode-tokens-per-s", 0, POPT_ARG_INT, &eng.batch.decode_tokens_per_s, 0,
		  "decode rate of one stream", "N" },
		{ "kv-tokens", 0, POPT_ARG_INT, &eng.kv_tokens, 0, "size of the KV cache", "N" },
		{ "max-waiting", 0, POPT_ARG_INT, &eng.max_waiting, 0,
		  "waiting requests before 503; 0: no limit", "N" },
		{ "honours-priority", 0, POPT_ARG_NONE, &eng.batch.honours_priority, 0,
		  "run and preempt by Chute-Priority", NULL },
		{ "checks-fencing", 0, POPT_ARG_NONE, &eng.checks_fencing, 0,
		  "refuse orders with an old fencing number", NULL },
		{ "report-lag-ms", 0, POPT_ARG_INT, &eng.report_lag_ms, 0,
		  "interval between load samples", "MS" },
		{ "event-lag-ms", 0, POPT_ARG_INT, &eng.event_lag_ms, 0,
		  "delay before events are published", "MS" },
		{ "event-gap-permille", 0, POPT_ARG_INT, &eng.event_gap_permille, 0,
		  "share of events that are lost", "N" },
		{ "model", 0, POPT_ARG_STRING, &eng.model, 0, "model loaded at start", "NAME" },
		POPT_TABLEEND
	};
	const bct_batch_ops_t batch_ops = { .start = on_start, .token = on_token };
	const bct_fake_ops_t ops = { .ready = ready,
				     .handle = handle,
				     .tick = tick,
				     .done = done,
				     .faults_changed = faults_changed };

	bct_batch_init(&eng.batch, &batch_ops);
	eng.batch.slots = 16;
	eng.batch.prefill_tokens_per_s = 20000;
	eng.batch.decode_tokens_per_s = 50;
	eng.kv_tokens = 400000;
	eng.boot_id = bct_random_id();
	eng.prompts = json_object();
	eng.attempts = json_object();
	eng.orders = json_array();
	return bct_fake_main(&(bct_fake_t){ .ops = &ops, .options = options, .faults = faults },
			     argc, argv);
}
