/*
 * entry.c - sorts entry addresses by distance from the caller, and randomly within a distance.
 */
#include "coord/entry.h"

#include <math.h>
#include <string.h>

#define SPARE_MIN_PERMILLE 20 /* so that a fully loaded node still gets some callers */

enum { DISTANCE_SAME_DOMAIN = 0, DISTANCE_SAME_REGION = 1, DISTANCE_OTHER = 2 };

typedef struct candidate {
	const bct_member_t *m;
	int distance;
	double draw; /* random sort key; lower comes first */
} candidate_t;

/*
 * Whether a member may be listed. Pass 1 also accepts nodes that are suspect or recently returned;
 * it runs only when pass 0 found none.
 */
static bool is_eligible(const bct_member_t *m, bct_time_t now, int pass)
{
	if (!m->caller.ip_len_bytes || m->liveness == BCT_MEMBER_DEAD || m->leaving)
		return false;
	return pass > 0 || (m->liveness == BCT_MEMBER_ALIVE && now >= m->listed_from);
}

/* returns the region of a failure domain, or NULL when no member is in it. */
static const char *region_of(const bct_member_t *const *members, uint32_t n,
			     const char *failure_domain)
{
	for (uint32_t i = 0; i < n; i++) {
		if (failure_domain && !strcmp(members[i]->failure_domain, failure_domain))
			return members[i]->region;
	}
	return NULL;
}

/*
 * Draws the sort key from an exponential distribution with the spare capacity as rate, so that the
 * chance to come first is proportional to it.
 */
static candidate_t candidate_of(const bct_member_t *m, const char *failure_domain,
				const char *region, bct_rng_t *rng)
{
	uint32_t load = m->info.load_permille;
	uint32_t spare = load < 1000 - SPARE_MIN_PERMILLE ? 1000 - load : SPARE_MIN_PERMILLE;
	candidate_t c = { .m = m, .distance = DISTANCE_OTHER };

	if (failure_domain && !strcmp(m->failure_domain, failure_domain))
		c.distance = DISTANCE_SAME_DOMAIN;
	else if (region && !strcmp(m->region, region))
		c.distance = DISTANCE_SAME_REGION;
	c.draw = bct_rng_exp(rng, 1.0 / spare);
	return c;
}

static bool ranks_before(const candidate_t *a, const candidate_t *b)
{
	return a->distance != b->distance ? a->distance < b->distance : a->draw < b->draw;
}

/* Inserts into the sorted array of the best BCT_ENTRY_MAX candidates. returns its new length. */
static uint32_t insert(candidate_t *best, uint32_t n, const candidate_t *c)
{
	uint32_t i = n < BCT_ENTRY_MAX ? n : BCT_ENTRY_MAX;

	while (i > 0 && ranks_before(c, &best[i - 1])) {
		if (i < BCT_ENTRY_MAX)
			best[i] = best[i - 1];
		i--;
	}
	if (i < BCT_ENTRY_MAX)
		best[i] = *c;
	return n < BCT_ENTRY_MAX ? n + 1 : n;
}

static void copy_entries(const candidate_t *best, bct_entry_list_t *out)
{
	for (uint32_t i = 0; i < out->n; i++) {
		const bct_member_t *m = best[i].m;
		bct_entry_t *e = &out->entries[i];

		e->addr = m->caller;
		e->incarnation = m->incarnation;
		memcpy(e->failure_domain, m->failure_domain, sizeof(e->failure_domain));
		memcpy(e->region, m->region, sizeof(e->region));
	}
}

void bct_entry_list(const bct_member_t *const *members, uint32_t n, bct_time_t now,
		    const char *failure_domain, bct_rng_t *rng, bct_entry_list_t *out)
{
	const char *region = region_of(members, n, failure_domain);
	candidate_t best[BCT_ENTRY_MAX];

	memset(out, 0, sizeof(*out));
	out->lifetime_ms = BCT_ENTRY_LIFETIME_MS;
	for (int pass = 0; pass < 2 && !out->n; pass++) {
		for (uint32_t i = 0; i < n; i++) {
			candidate_t c;

			if (!is_eligible(members[i], now, pass))
				continue;
			c = candidate_of(members[i], failure_domain, region, rng);
			out->n = insert(best, out->n, &c);
		}
	}
	copy_entries(best, out);
}
