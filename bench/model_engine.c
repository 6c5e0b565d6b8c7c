/*
 * model_engine.c - a model engine in virtual time: admission, preemption, prefill, decode.
 */
#include "bench/model_engine.h"
#include "bench/model.h"
#include "base/err.h"

#include <string.h>

#define TICKS_PER_S (BCT_MS_PER_S / BCT_MODEL_TICK_MS)
#define RATE_SMOOTHING 0.01 /* weight of the newest tick in tokens_per_s */

static void engine_cache_event(void *ctx, uint64_t hash, bool added)
{
	bct_model_engine_t *e = ctx;

	e->ops->cache(e->ctx, e->index,
		      &(bct_cache_event_t){
			      .upstream_key = e->conf->key,
			      .seq = ++e->cache_seq,
			      .block = hash,
			      .op = added ? BCT_CACHE_ADD : BCT_CACHE_REMOVE,
		      });
}

int bct_model_engine_init(bct_model_engine_t *e, uint32_t index, const bct_upstream_conf_t *conf,
			  const bct_model_engine_ops_t *ops, void *ctx)
{
	memset(e, 0, sizeof(*e));
	if (conf->slots > BCT_MODEL_RUNNING_MAX)
		return -BCT_EINVAL;
	e->ops = ops;
	e->ctx = ctx;
	e->index = index;
	e->conf = conf;
	e->boot_id = bct_hash_mix(conf->key, 1);
	e->speed = 1.0;
	return bct_model_cache_init(&e->cache, conf->kv_tokens / BCT_PREFIX_BLOCK_TOKENS,
				    engine_cache_event, e);
}

void bct_model_engine_free(bct_model_engine_t *e)
{
	bct_model_cache_free(&e->cache);
}

bct_outcome_t bct_model_engine_offer(bct_model_engine_t *e, const bct_model_stream_t *s)
{
	if (e->down)
		return BCT_OUTCOME_CONNECT_FAILED;
	if (e->n_waiting >= BCT_MODEL_WAITING_MAX)
		return BCT_OUTCOME_BUSY;
	e->waiting[e->n_waiting++] = *s;
	return BCT_OUTCOME_OK;
}

/*
 * Removes a running stream by moving the last one into its place. The lists of running and waiting
 * streams are searched by priority and time, so the order of their entries does not matter.
 */
static void engine_drop_running(bct_model_engine_t *e, uint32_t i)
{
	e->kv_used -= e->running[i].kv_tokens;
	e->running[i] = e->running[--e->n_running];
}

uint32_t bct_model_engine_cancel(bct_model_engine_t *e, uint64_t attempt_id, bool *started)
{
	uint32_t produced;

	*started = false;
	for (uint32_t i = 0; i < e->n_waiting; i++) {
		if (e->waiting[i].attempt_id != attempt_id)
			continue;
		produced = e->waiting[i].produced;
		*started = e->waiting[i].has_started;
		e->waiting[i] = e->waiting[--e->n_waiting];
		return produced;
	}
	for (uint32_t i = 0; i < e->n_running; i++) {
		if (e->running[i].attempt_id != attempt_id)
			continue;
		produced = e->running[i].produced;
		engine_drop_running(e, i);
		*started = true;
		return produced;
	}
	return 0;
}

/* Orders streams by priority, then by arrival at the engine. */
static bool stream_before(const bct_model_stream_t *a, const bct_model_stream_t *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (a->queued_at != b->queued_at)
		return a->queued_at < b->queued_at;
	return a->attempt_id < b->attempt_id;
}

static uint32_t engine_first_waiting(const bct_model_engine_t *e)
{
	uint32_t first = 0;

	for (uint32_t i = 1; i < e->n_waiting; i++) {
		if (stream_before(&e->waiting[i], &e->waiting[first]))
			first = i;
	}
	return first;
}

/* A stream that exceeds the KV limit by itself may run alone. */
static bool engine_has_room(const bct_model_engine_t *e, const bct_model_stream_t *s)
{
	if (e->n_running == e->conf->slots)
		return false;
	return e->n_running == 0 || e->kv_used + s->kv_tokens <= e->conf->kv_tokens;
}

/*
 * Preempts the running stream that is last by stream_before(); false when its priority is not lower
 * than the given one, or none runs.
 */
static bool engine_preempt(bct_model_engine_t *e, uint8_t priority)
{
	uint32_t last = 0;

	if (!e->n_running)
		return false;
	for (uint32_t i = 1; i < e->n_running; i++) {
		if (stream_before(&e->running[last], &e->running[i]))
			last = i;
	}
	if (e->running[last].priority <= priority)
		return false;
	e->waiting[e->n_waiting++] = e->running[last];
	engine_drop_running(e, last);
	return true;
}

/*
 * Counts the leading blocks that need no prefill, from this engine's cache or, if that has more,
 * from an import; the import delays the prefill until ready_at.
 */
static uint32_t engine_cached_blocks(bct_model_engine_t *e, bct_time_t now, bct_model_stream_t *s)
{
	uint32_t local = bct_model_cache_match(&e->cache, s->prefix, s->n_prefix);
	uint32_t remote = 0, tokens;

	if (s->kv_source && !s->kv_source->down && !s->has_started)
		remote = bct_model_cache_peek(&s->kv_source->cache, s->prefix, s->n_prefix);
	if (remote <= local)
		return local;
	tokens = (remote - local) * BCT_PREFIX_BLOCK_TOKENS;
	s->ready_at = now + BCT_MODEL_KV_SETUP_MS + tokens / BCT_MODEL_KV_TOKENS_PER_MS;
	return remote;
}

static void engine_start(bct_model_engine_t *e, bct_time_t now, uint32_t waiting)
{
	bct_model_stream_t *s = &e->running[e->n_running++];
	uint32_t cached;

	*s = e->waiting[waiting];
	e->waiting[waiting] = e->waiting[--e->n_waiting];
	cached = engine_cached_blocks(e, now, s) * BCT_PREFIX_BLOCK_TOKENS;
	s->prefill_remaining = s->prompt_tokens + s->resume_tokens + s->produced - cached;
	/* A prefill always computes at least the last token. */
	if (s->prefill_remaining < 1)
		s->prefill_remaining = 1;
	e->kv_used += s->kv_tokens;
	e->ops->prefilling(e->ctx, s, cached);
	if (!s->has_started)
		e->ops->started(e->ctx, s);
	s->has_started = true;
}

/* Starts waiting streams in order of priority, preempting running ones of lower priority. */
static void engine_admit(bct_model_engine_t *e, bct_time_t now)
{
	while (e->n_waiting) {
		uint32_t first = engine_first_waiting(e);
		const bct_model_stream_t s = e->waiting[first];

		while (!engine_has_room(e, &s)) {
			if (!engine_preempt(e, s.priority))
				return;
		}
		engine_start(e, now, first);
	}
}

static bct_model_stream_t *engine_next_prefill(bct_model_engine_t *e, bct_time_t now)
{
	bct_model_stream_t *next = NULL;

	for (uint32_t i = 0; i < e->n_running; i++) {
		bct_model_stream_t *s = &e->running[i];

		if (s->prefill_remaining > 0 && now >= s->ready_at &&
		    (!next || stream_before(s, next)))
			next = s;
	}
	return next;
}

static void engine_produce(bct_model_engine_t *e, bct_model_stream_t *s, uint32_t tokens)
{
	uint32_t remaining = s->output_tokens - s->resume_tokens - s->produced;

	s->produced += tokens < remaining ? tokens : remaining;
	e->ops->tokens(e->ctx, s);
}

/*
 * Spends the prefill budget of a tick; the end of a prefill produces the first token.
 *
 * returns  false when a poison request crashed the engine
 */
static bool engine_prefill(bct_model_engine_t *e, bct_time_t now)
{
	double budget = e->conf->prefill_tokens_per_s * e->speed / TICKS_PER_S;
	bct_model_stream_t *s;

	while (budget > 0 && (s = engine_next_prefill(e, now))) {
		double tokens = s->prefill_remaining < budget ? s->prefill_remaining : budget;

		s->prefill_remaining -= tokens;
		budget -= tokens;
		if (s->prefill_remaining > 0)
			break;
		if (s->poison) {
			bct_model_engine_crash(e, now + BCT_MODEL_RESTART_MS, true);
			return false;
		}
		bct_model_cache_add(&e->cache, s->prefix, s->n_prefix);
		engine_produce(e, s, 1);
	}
	return true;
}

/* A single stream decodes almost twice as fast as one in a full batch; linear in between. */
static double engine_decode_rate(const bct_model_engine_t *e, uint32_t batch)
{
	return e->conf->decode_tokens_per_s * e->speed * (2.0 - (double)batch / e->conf->slots);
}

/* Decodes all streams with complete prefill for one tick; returns the tokens of all of them. */
static uint32_t engine_decode(bct_model_engine_t *e)
{
	uint32_t batch = 0, total = 0;
	double per_stream;

	for (uint32_t i = 0; i < e->n_running; i++)
		batch += e->running[i].prefill_remaining <= 0;
	per_stream = engine_decode_rate(e, batch) / TICKS_PER_S;
	for (uint32_t i = 0; i < e->n_running; i++) {
		bct_model_stream_t *s = &e->running[i];
		uint32_t tokens;

		if (s->prefill_remaining > 0)
			continue;
		s->decode_fraction += per_stream;
		tokens = (uint32_t)s->decode_fraction;
		s->decode_fraction -= tokens;
		total += tokens;
		if (tokens)
			engine_produce(e, s, tokens);
	}
	return total;
}

/* Ends the streams that have produced all their output. */
static void engine_finish(bct_model_engine_t *e)
{
	for (uint32_t i = 0; i < e->n_running;) {
		bct_model_stream_t s = e->running[i];

		if (s.prefill_remaining > 0 || s.resume_tokens + s.produced < s.output_tokens) {
			i++;
			continue;
		}
		engine_drop_running(e, i);
		e->ops->ended(e->ctx, &s, BCT_OUTCOME_OK, true);
	}
}

void bct_model_engine_step(bct_model_engine_t *e, bct_time_t now)
{
	uint32_t tokens;

	if (e->down) {
		if (now < e->up_at)
			return;
		e->down = false;
		e->boot_id = bct_hash_mix(e->boot_id, now);
		e->report_seq = 0;
	}
	if (e->hung)
		return;
	engine_admit(e, now);
	if (!engine_prefill(e, now))
		return;
	tokens = engine_decode(e);
	e->tokens_per_s += RATE_SMOOTHING * (tokens * TICKS_PER_S - e->tokens_per_s);
	engine_finish(e);
}

void bct_model_engine_crash(bct_model_engine_t *e, bct_time_t up_at, bool by_poison)
{
	uint32_t n_running = e->n_running, n_waiting = e->n_waiting;

	e->down = true;
	e->up_at = up_at;
	e->n_running = 0;
	e->n_waiting = 0;
	e->kv_used = 0;
	e->tokens_per_s = 0;
	bct_model_cache_reset(&e->cache);
	e->ops->cache(e->ctx, e->index,
		      &(bct_cache_event_t){
			      .upstream_key = e->conf->key,
			      .seq = ++e->cache_seq,
			      .op = BCT_CACHE_RESET,
		      });
	e->ops->crashed(e->ctx, e->index, by_poison);
	for (uint32_t i = 0; i < n_running; i++)
		e->ops->ended(e->ctx, &e->running[i], BCT_OUTCOME_RESET, true);
	for (uint32_t i = 0; i < n_waiting; i++)
		e->ops->ended(e->ctx, &e->waiting[i], BCT_OUTCOME_RESET, e->waiting[i].has_started);
}

void bct_model_engine_report(bct_model_engine_t *e, bct_report_t *out)
{
	*out = (bct_report_t){
		.upstream_key = e->conf->key,
		.boot_id = e->boot_id,
		.seq = ++e->report_seq,
		.running = e->n_running,
		.waiting = e->n_waiting,
		.kv_used_tokens = e->kv_used,
		.kv_total_tokens = e->conf->kv_tokens,
		.tokens_per_s = (uint32_t)e->tokens_per_s,
	};
	for (uint32_t i = 0; i < e->n_running; i++) {
		out->running_by_tier[e->running[i].priority - 1]++;
		out->waiting_tokens += (uint32_t)e->running[i].prefill_remaining;
	}
	for (uint32_t i = 0; i < e->n_waiting; i++)
		out->waiting_tokens += e->waiting[i].prompt_tokens + e->waiting[i].resume_tokens;
}
