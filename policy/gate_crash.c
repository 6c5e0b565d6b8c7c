/*
 * gate_crash.c - a bounded table of request digests, each with the upstreams that broke while they
 * ran the request.
 */
#include "policy/gate_crash.h"
#include "base/mem.h"

#define DIGESTS_MAX 1024 /* see evict() */

typedef struct suspect {
	uint64_t digest;
	uint32_t runs[BCT_GATE_CRASH_UPSTREAMS]; /* of upstreams */
	uint32_t n;				 /* runs on record */
	bct_time_t expires_at;
	bct_time_t cleared_at; /* by an answer; 0: never */
	bct_time_t tried_at;   /* when this node last let a request through; 0: never */
	bool trial_failed;     /* a request that was let through crashed its upstream */
} suspect_t;

static bool is_refused(const suspect_t *c, bct_time_t now)
{
	return c->n == BCT_GATE_CRASH_UPSTREAMS && c->expires_at > now;
}

/* When the last crash on record of a refused request was. */
static bct_time_t refused_since(const suspect_t *c)
{
	return c->expires_at - BCT_GATE_CRASH_KEEP_MS;
}

void bct_gate_crashes_free(bct_gate_crashes_t *t)
{
	uint32_t pos = 0;
	suspect_t *c;

	while ((c = bct_map_next(&t->map, &pos)))
		bct_free(c);
	bct_map_free(&t->map);
}

/* Whether a is worth less than b, when one of them is to be dropped. */
static bool is_worth_less(const suspect_t *a, const suspect_t *b)
{
	return a->n != b->n ? a->n < b->n : a->expires_at < b->expires_at;
}

/*
 * Makes room in a full table: drops the oldest of the requests with the fewest upstreams, but none
 * that is refused. A crash of many upstreams leaves hundreds of requests with one each.
 *
 * returns  whether there is room
 */
static bool evict(bct_gate_crashes_t *t)
{
	suspect_t *c, *least = NULL;
	uint32_t pos = 0;

	while ((c = bct_map_next(&t->map, &pos))) {
		if (!least || is_worth_less(c, least))
			least = c;
	}
	if (!least || least->n == BCT_GATE_CRASH_UPSTREAMS)
		return false;
	bct_map_del(&t->map, least->digest);
	bct_free(least);
	return true;
}

/* Returns NULL when the table is full of refused requests or memory is short. */
static suspect_t *find_or_add(bct_gate_crashes_t *t, uint64_t digest)
{
	suspect_t *c = bct_map_get(&t->map, digest);

	if (c || (t->map.n >= DIGESTS_MAX && !evict(t)))
		return c;
	c = bct_alloc(sizeof(*c));
	if (!c)
		return NULL;
	c->digest = digest;
	if (!bct_map_put(&t->map, digest, c))
		return c;
	bct_free(c);
	return NULL;
}

static bool has_run(const suspect_t *c, uint32_t run)
{
	for (uint32_t i = 0; i < c->n; i++) {
		if (c->runs[i] == run)
			return true;
	}
	return false;
}

/* A crash so late is not one of those for which the request was refused. */
static uint32_t note_further(suspect_t *c, bct_time_t now)
{
	if (c->trial_failed || now - refused_since(c) < BCT_GATE_CRASH_TRIAL_MS)
		return 0;
	c->trial_failed = true;
	return BCT_GATE_CRASH_FURTHER;
}

/* Forgets crashes, after an answer or when they have expired. */
static void forget_crashes(suspect_t *c)
{
	c->n = 0;
	c->tried_at = 0;
	c->trial_failed = false;
}

uint32_t bct_gate_crash_record(bct_gate_crashes_t *t, bct_time_t now, uint64_t digest, uint32_t run)
{
	suspect_t *c = find_or_add(t, digest);

	if (!c)
		return 0;
	if (c->expires_at <= now)
		forget_crashes(c);
	if (has_run(c, run))
		return 0;
	if (c->n == BCT_GATE_CRASH_UPSTREAMS)
		return note_further(c, now);
	c->runs[c->n++] = run;
	c->expires_at = now + BCT_GATE_CRASH_KEEP_MS;
	return c->n;
}

bool bct_gate_crash_clear(bct_gate_crashes_t *t, bct_time_t now, uint64_t digest)
{
	suspect_t *c = bct_map_get(&t->map, digest);

	if (!c || !c->n)
		return false;
	if (!is_refused(c, now)) {
		bct_map_del(&t->map, digest);
		bct_free(c);
		return true;
	}
	/* It is kept, as nodes that have not heard of it yet announce that it is refused. */
	forget_crashes(c);
	c->cleared_at = now;
	c->expires_at = now + BCT_GATE_CRASH_KEEP_MS;
	return true;
}

bool bct_gate_crash_take_trial(bct_gate_crashes_t *t, bct_time_t now, uint64_t digest)
{
	suspect_t *c = bct_map_get(&t->map, digest);

	if (!c || !is_refused(c, now) || c->trial_failed ||
	    now - refused_since(c) < BCT_GATE_CRASH_TRIAL_MS)
		return false;
	if (c->tried_at && now - c->tried_at < BCT_GATE_CRASH_TRIAL_MS)
		return false;
	c->tried_at = now;
	return true;
}

uint32_t bct_gate_crash_remaining_ms(const bct_gate_crashes_t *t, bct_time_t now, uint64_t digest)
{
	const suspect_t *c = bct_map_get(&t->map, digest);

	if (!c || !is_refused(c, now))
		return 0;
	return (uint32_t)(c->expires_at - now);
}

bct_gate_crash_news_t bct_gate_crash_block(bct_gate_crashes_t *t, bct_time_t now,
					   const bct_gate_crash_block_t *b)
{
	bct_time_t ms =
		b->remaining_ms < BCT_GATE_CRASH_KEEP_MS ? b->remaining_ms : BCT_GATE_CRASH_KEEP_MS;
	suspect_t *c = bct_map_get(&t->map, b->digest);

	if (!ms || (c && is_refused(c, now)))
		return BCT_GATE_CRASH_KNOWN;
	if (c && c->cleared_at && now + ms - BCT_GATE_CRASH_KEEP_MS <= c->cleared_at)
		return BCT_GATE_CRASH_CLEARED;
	c = find_or_add(t, b->digest);
	if (!c)
		return BCT_GATE_CRASH_KNOWN;
	forget_crashes(c);
	c->n = BCT_GATE_CRASH_UPSTREAMS;
	c->expires_at = now + ms;
	return BCT_GATE_CRASH_NEWS;
}

bool bct_gate_crash_next_block(const bct_gate_crashes_t *t, bct_time_t now, uint32_t *pos,
			       bct_gate_crash_block_t *out)
{
	const suspect_t *c;

	while ((c = bct_map_next(&t->map, pos))) {
		out->digest = c->digest;
		out->remaining_ms = bct_gate_crash_remaining_ms(t, now, c->digest);
		if (out->remaining_ms)
			return true;
	}
	return false;
}

void bct_gate_crash_expire(bct_gate_crashes_t *t, bct_time_t now)
{
	uint32_t pos = 0;
	suspect_t *c;

	while ((c = bct_map_next(&t->map, &pos))) {
		if (c->expires_at > now)
			continue;
		bct_map_del(&t->map, c->digest);
		bct_free(c);
		pos = 0; /* the deletion may have moved entries: start over */
	}
}
