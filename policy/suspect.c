/*
 * suspect.c - a bounded table of digests with a crash count each.
 *
 * The culprit of a crash is the digest that caused it; a bystander was only in flight at the time.
 */
#include "policy/suspect.h"
#include "base/mem.h"

#include <stddef.h>

typedef struct suspect {
	uint64_t digest;
	uint64_t upstream_key; /* of the latest crash */
	bct_time_t crashed_at;
	bct_time_t expires;
	uint64_t first_upstream_key; /* of the first crash, to find the bystanders */
	bct_time_t first_at;	     /* time of the first crash */
	uint32_t crashes;
	bool cleared; /* by an answer, or as a bystander */
	bool local;   /* this node saw a crash or an answer, and publishes the entry */
	bool testing; /* a request with this digest waits for, or runs on, an upstream of its own */
} suspect_t;

void bct_suspects_free(bct_suspects_t *s)
{
	uint32_t pos = 0;
	suspect_t *e;

	while ((e = bct_map_next(&s->map, &pos)))
		bct_free(e);
	bct_map_free(&s->map);
}

static suspect_t *suspect_add(bct_suspects_t *s, uint64_t digest)
{
	suspect_t *e = bct_map_get(&s->map, digest);

	if (e || s->map.n >= BCT_SUSPECT_MAX)
		return e;
	e = bct_alloc(sizeof(*e));
	if (!e)
		return NULL;
	e->digest = digest;
	if (!bct_map_put(&s->map, digest, e))
		return e;
	bct_free(e);
	return NULL;
}

/* Whether the first crash of an entry is the crash of an upstream at a given time. */
static bool same_crash(const suspect_t *a, uint64_t upstream_key, bct_time_t at)
{
	bct_time_t dt = at - a->first_at;

	if (a->first_upstream_key != upstream_key)
		return false;
	return dt <= BCT_SUSPECT_SAME_CRASH_MS && dt >= -BCT_SUSPECT_SAME_CRASH_MS;
}

/* The culprit caused its first crash, so the other digests in flight at that crash are cleared. */
static void suspect_clear_bystanders(bct_suspects_t *s, const suspect_t *culprit)
{
	uint32_t pos = 0;
	suspect_t *e;

	while ((e = bct_map_next(&s->map, &pos))) {
		if (e == culprit || e->crashes >= BCT_SUSPECT_POISON_CRASHES)
			continue;
		if (same_crash(e, culprit->first_upstream_key, culprit->first_at)) {
			e->cleared = true;
			e->crashes = 0;
		}
	}
}

bct_suspect_state_t bct_suspect_crash(bct_suspects_t *s, bct_time_t now, uint64_t digest,
				      uint64_t upstream_key, bool alone)
{
	suspect_t *e = suspect_add(s, digest);

	if (!e)
		return BCT_SUSPECT_NO;
	if (e->expires <= now || e->cleared)
		e->crashes = 0;
	e->cleared = false;
	e->local = true;
	e->expires = now + BCT_SUSPECT_TTL_MS;
	if (e->crashes == 0) {
		e->first_upstream_key = upstream_key;
		e->first_at = now;
		e->crashes = 1;
	} else if (alone && e->crashes < BCT_SUSPECT_POISON_CRASHES) {
		e->crashes++;
		suspect_clear_bystanders(s, e);
	}
	e->upstream_key = upstream_key;
	e->crashed_at = now;
	return bct_suspect_state(s, now, digest, NULL);
}

void bct_suspect_clear(bct_suspects_t *s, bct_time_t now, uint64_t digest)
{
	suspect_t *e = bct_map_get(&s->map, digest);

	if (!e || e->expires <= now || e->crashes >= BCT_SUSPECT_POISON_CRASHES)
		return;
	e->cleared = true;
	e->local = true;
	e->crashes = 0;
}

bct_suspect_state_t bct_suspect_state(const bct_suspects_t *s, bct_time_t now, uint64_t digest,
				      uint32_t *remaining_ms)
{
	const suspect_t *e = bct_map_get(&s->map, digest);

	if (!e || e->expires <= now || !e->crashes)
		return BCT_SUSPECT_NO;
	if (remaining_ms)
		*remaining_ms = (uint32_t)(e->expires - now);
	return e->crashes >= BCT_SUSPECT_POISON_CRASHES ? BCT_SUSPECT_POISON : BCT_SUSPECT_ALONE;
}

void bct_suspect_merge(bct_suspects_t *s, bct_time_t now, uint64_t digest, const int64_t v[4])
{
	int64_t remaining_ms = v[3] < BCT_SUSPECT_TTL_MS ? v[3] : BCT_SUSPECT_TTL_MS;
	suspect_t *e;

	if (remaining_ms <= 0)
		return;
	e = suspect_add(s, digest);
	if (!e)
		return;
	if (e->expires <= now)
		*e = (suspect_t){ .digest = digest,
				  .expires = now + remaining_ms,
				  .testing = e->testing };
	/* An answer on another node clears a suspect, but not poison. */
	if (v[2] && v[0] < BCT_SUSPECT_POISON_CRASHES && e->crashes < BCT_SUSPECT_POISON_CRASHES) {
		e->cleared = true;
		e->crashes = 0;
		return;
	}
	/* Two nodes saw one crash each, on different upstreams. */
	if (v[0] == 1 && e->local && e->crashes == 1 && (uint64_t)v[1] != e->upstream_key) {
		e->crashes = BCT_SUSPECT_POISON_CRASHES;
		suspect_clear_bystanders(s, e);
		return;
	}
	if (v[0] <= e->crashes || (e->cleared && v[0] < BCT_SUSPECT_POISON_CRASHES))
		return;
	if (!e->crashes) {
		e->first_upstream_key = (uint64_t)v[1];
		e->first_at = now;
	}
	e->crashes = (uint32_t)v[0];
	if (e->crashes >= BCT_SUSPECT_POISON_CRASHES)
		suspect_clear_bystanders(s, e);
	e->upstream_key = (uint64_t)v[1];
	e->expires = now + remaining_ms;
	e->crashed_at = now;
	e->cleared = false;
}

bct_time_t bct_suspect_test_at(const bct_suspects_t *s, uint64_t digest, uint32_t nodes,
			       uint32_t rank)
{
	const suspect_t *e = bct_map_get(&s->map, digest);

	if (!e || nodes <= 1)
		return 0;
	if (e->local)
		return e->crashed_at + BCT_SUSPECT_PROPAGATION_MS;
	return e->crashed_at + BCT_SUSPECT_TAKEOVER_MS +
	       (bct_time_t)rank * BCT_SUSPECT_RANK_STEP_MS;
}

bool bct_suspect_test_begin(bct_suspects_t *s, uint64_t digest)
{
	suspect_t *e = bct_map_get(&s->map, digest);

	if (!e || e->testing)
		return false;
	e->testing = true;
	return true;
}

void bct_suspect_test_end(bct_suspects_t *s, uint64_t digest)
{
	suspect_t *e = bct_map_get(&s->map, digest);

	if (e)
		e->testing = false;
}

bool bct_suspect_publish(bct_suspects_t *s, bct_time_t now, uint32_t *pos, uint64_t *digest,
			 int64_t v[4])
{
	suspect_t *e;

	while ((e = bct_map_next(&s->map, pos))) {
		if (!e->local || e->expires <= now)
			continue;
		*digest = e->digest;
		v[0] = e->crashes;
		v[1] = (int64_t)e->upstream_key;
		v[2] = e->cleared;
		v[3] = e->expires - now;
		return true;
	}
	return false;
}

void bct_suspect_expire(bct_suspects_t *s, bct_time_t now)
{
	uint32_t pos = 0;
	suspect_t *e;

	while ((e = bct_map_next(&s->map, &pos))) {
		if (e->expires > now || e->testing)
			continue;
		bct_map_del(&s->map, e->digest);
		bct_free(e);
		pos = 0;
	}
}
