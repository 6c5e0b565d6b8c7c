#include "standin/batch.h"

#include <math.h>

/* Importing a KV cache is this many times faster than computing it. */
#define KV_IMPORT_SPEEDUP 10

void bct_batch_init(bct_batch_t *b, const bct_batch_ops_t *ops)
{
	b->ops = ops;
	b->slow_percent = 100;
	bct_list_init(&b->waiting);
	bct_list_init(&b->running);
}

void bct_batch_add(bct_batch_t *b, bct_job_t *j)
{
	j->seq = b->next_seq++;
	bct_list_add_tail(&j->link, &b->waiting);
	b->n_waiting++;
}

static void unlink_job(bct_batch_t *b, bct_job_t *j)
{
	if (bct_list_empty(&j->link))
		return;
	bct_list_del(&j->link);
	if (j->running)
		b->n_running--;
	else
		b->n_waiting--;
	j->running = false;
}

void bct_batch_remove(bct_batch_t *b, bct_job_t *j)
{
	uint32_t generated = j->index - j->resume_from;

	if (bct_list_empty(&j->link))
		return;
	unlink_job(b, j);
	if (j->ended)
		return;
	b->stats.abandoned++;
	b->stats.abandoned_tokens += generated;
	b->stats.abandoned_tokens_by_tier[j->tier - 1] += generated;
}

/*
 * The next job to get a slot: by tier, then arrival, if the engine honours priorities; else the
 * head of the queue.
 */
static bct_job_t *next_waiting(const bct_batch_t *b)
{
	bct_job_t *best = NULL;
	bct_list_t *el;

	bct_list_for_each(el, &b->waiting) {
		bct_job_t *j = bct_container_of(el, bct_job_t, link);

		if (!best ||
		    (b->honours_priority &&
		     (j->tier < best->tier || (j->tier == best->tier && j->seq < best->seq))))
			best = j;
	}
	return best;
}

/* The job to preempt for one of this tier: the least important tier, then the latest arrival. */
static bct_job_t *preemptible(const bct_batch_t *b, uint8_t tier)
{
	bct_job_t *worst = NULL;
	bct_list_t *el;

	bct_list_for_each(el, &b->running) {
		bct_job_t *j = bct_container_of(el, bct_job_t, link);

		if (j->tier <= tier)
			continue;
		if (!worst || j->tier > worst->tier ||
		    (j->tier == worst->tier && j->seq > worst->seq))
			worst = j;
	}
	return worst;
}

static void preempt(bct_batch_t *b, bct_job_t *j)
{
	unlink_job(b, j);
	bct_list_add_tail(&j->link, &b->waiting);
	b->n_waiting++;
	b->stats.preemptions++;
}

/* Scales a duration by the slow_percent fault. */
static double apply_slowdown_ms(const bct_batch_t *b, double ms)
{
	return ms * (double)b->slow_percent / 100.0;
}

/* Gives a job a slot and schedules its prefill, which a preempted job repeats. */
static void start_job(bct_batch_t *b, bct_job_t *j, bct_time_t now)
{
	uint32_t all = j->prompt_tokens + j->index;
	uint32_t cached =
		bct_prefix_cache_use(&b->cache, j->blocks, j->n_blocks) * BCT_BLOCK_TOKENS;
	double cost_ms,
		begin_ms = b->prefill_free_ms > (double)now ? b->prefill_free_ms : (double)now;

	if (cached > all)
		cached = all;
	cost_ms = (double)(all - cached) * BCT_MS_PER_S / b->prefill_tokens_per_s;
	if (j->kv_imported)
		cost_ms /= KV_IMPORT_SPEEDUP;
	b->prefill_free_ms = begin_ms + apply_slowdown_ms(b, cost_ms);
	b->stats.prefill_tokens += all - cached;
	b->stats.cached_tokens += cached;
	j->next_ms = b->prefill_free_ms;
	unlink_job(b, j);
	j->running = true;
	bct_list_add_tail(&j->link, &b->running);
	b->n_running++;
	if (j->started)
		return;
	j->started = true;
	b->stats.runs++;
	b->stats.resumed_tokens += j->resume_from;
	b->ops->start(j);
}

static void fill_slots(bct_batch_t *b, bct_time_t now)
{
	bct_job_t *j, *victim;

	while ((j = next_waiting(b)) != NULL) {
		if (b->n_running >= (uint32_t)b->slots) {
			victim = b->honours_priority ? preemptible(b, j->tier) : NULL;
			if (!victim)
				return;
			preempt(b, victim);
		}
		start_job(b, j, now);
	}
}

/* Generates the due tokens of one job. returns true when it no longer runs. */
static bool decode(bct_batch_t *b, bct_job_t *j, bct_time_t now)
{
	double interval_ms = apply_slowdown_ms(b, (double)BCT_MS_PER_S / b->decode_tokens_per_s);

	while (j->running && j->next_ms <= (double)now) {
		if (j->index < j->len) {
			j->index++;
			b->stats.tokens++;
			b->stats.tokens_by_tier[j->tier - 1]++;
		}
		j->next_ms += interval_ms;
		if (j->index >= j->len) {
			j->ended = true;
			bct_batch_remove(b, j);
		}
		b->ops->token(j);
	}
	return !j->running;
}

bct_time_t bct_batch_run(bct_batch_t *b, bct_time_t now)
{
	double next_ms = INFINITY;
	bct_list_t *el, *tmp;
	bool ended_any = true;

	while (ended_any) {
		ended_any = false;
		next_ms = INFINITY;
		fill_slots(b, now);
		bct_list_for_each_safe(el, tmp, &b->running) {
			bct_job_t *j = bct_container_of(el, bct_job_t, link);

			if (decode(b, j, now))
				ended_any = true;
			else if (j->next_ms < next_ms)
				next_ms = j->next_ms;
			/* token() may have crashed the engine, which removes all jobs. */
			if (bct_list_empty(&b->running))
				break;
		}
	}
	return isinf(next_ms) ? BCT_TIME_NEVER : (bct_time_t)ceil(next_ms);
}

uint64_t bct_batch_kv_tokens(const bct_batch_t *b)
{
	uint64_t n = 0;
	bct_list_t *el;

	bct_list_for_each(el, &b->running) {
		const bct_job_t *j = bct_container_of(el, bct_job_t, link);

		n += j->prompt_tokens + j->index;
	}
	return n;
}

uint64_t bct_batch_waiting_tokens(const bct_batch_t *b)
{
	uint64_t n = 0;
	bct_list_t *el;

	bct_list_for_each(el, &b->waiting)
		n += bct_container_of(el, bct_job_t, link)->prompt_tokens;
	return n;
}

void bct_batch_running_by_tier(const bct_batch_t *b, uint32_t out[BCT_BATCH_TIERS])
{
	bct_list_t *el;

	for (int i = 0; i < BCT_BATCH_TIERS; i++)
		out[i] = 0;
	bct_list_for_each(el, &b->running)
		out[bct_container_of(el, bct_job_t, link)->tier - 1]++;
}
