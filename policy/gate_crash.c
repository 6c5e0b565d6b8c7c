/*
 * gate_crash.c - a bounded table of request digests, each with the upstreams that broke while they
 * ran the request.
 */
#include "policy/gate_crash.h"
#include "base/mem.h"

#define DIGESTS_MAX 1024 /* see evict() */

typedef struct suspect {
	uint64_t digest;
	uint64_t upstreams[BCT_GATE_CRASH_UPSTREAMS];
	uint32_t n; /* upstreams on record */
	bct_time_t expires_at;
} suspect_t;

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

static bool has_upstream(const suspect_t *c, uint64_t upstream_key)
{
	for (uint32_t i = 0; i < c->n; i++) {
		if (c->upstreams[i] == upstream_key)
			return true;
	}
	return false;
}

uint32_t bct_gate_crash_record(bct_gate_crashes_t *t, bct_time_t now, uint64_t digest,
			       uint64_t upstream_key)
{
	suspect_t *c = find_or_add(t, digest);

	if (!c)
		return 0;
	if (c->expires_at <= now)
		c->n = 0;
	if (c->n == BCT_GATE_CRASH_UPSTREAMS || has_upstream(c, upstream_key))
		return 0;
	c->upstreams[c->n++] = upstream_key;
	c->expires_at = now + BCT_GATE_CRASH_KEEP_MS;
	return c->n;
}

bool bct_gate_crash_clear(bct_gate_crashes_t *t, uint64_t digest)
{
	suspect_t *c = bct_map_get(&t->map, digest);

	if (!c || c->n == BCT_GATE_CRASH_UPSTREAMS)
		return false;
	bct_map_del(&t->map, digest);
	bct_free(c);
	return true;
}

uint32_t bct_gate_crash_remaining_ms(const bct_gate_crashes_t *t, bct_time_t now, uint64_t digest)
{
	const suspect_t *c = bct_map_get(&t->map, digest);

	if (!c || c->n < BCT_GATE_CRASH_UPSTREAMS || c->expires_at <= now)
		return 0;
	return (uint32_t)(c->expires_at - now);
}

bool bct_gate_crash_block(bct_gate_crashes_t *t, bct_time_t now, const bct_gate_crash_block_t *b)
{
	bct_time_t ms =
		b->remaining_ms < BCT_GATE_CRASH_KEEP_MS ? b->remaining_ms : BCT_GATE_CRASH_KEEP_MS;
	suspect_t *c;

	if (!ms || bct_gate_crash_remaining_ms(t, now, b->digest))
		return false;
	c = find_or_add(t, b->digest);
	if (!c)
		return false;
	c->n = BCT_GATE_CRASH_UPSTREAMS;
	c->expires_at = now + ms;
	return true;
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
