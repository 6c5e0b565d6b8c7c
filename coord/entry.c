/*
 * entry.c - a weighted random order within each distance from the caller.
 */
#include "coord/entry.h"

#include <math.h>
#include <string.h>

#define SPARE_MIN_PERMILLE 20 /* a full node is still drawn now and then */

enum { NEAR_DOMAIN = 0, NEAR_REGION = 1, NEAR_NONE = 2 };

typedef struct candidate {
	const bct_member_t *m;
	int distance;
	double draw; /* lower comes first */
} candidate_t;

/* The second pass takes suspects too, when the first found nobody. */
static bool admitted(const bct_member_t *m, bct_time_t now, int pass)
{
	if (!m->caller.ip_len_bytes || m->liveness == BCT_MEMBER_DEAD || m->leaving)
		return false;
	return pass > 0 || (m->liveness == BCT_MEMBER_ALIVE && now >= m->listed_from);
}

static const char *region_of(const bct_member_t *const *members, uint32_t n,
			     const char *failure_domain)
{
	for (uint32_t i = 0; i < n; i++) {
		if (failure_domain && !strcmp(members[i]->failure_domain, failure_domain))
			return members[i]->region;
	}
	return NULL;
}

static candidate_t candidate_of(const bct_member_t *m, const char *failure_domain,
				const char *region, bct_rng_t *rng)
{
	uint32_t load = m->info.load_permille;
	uint32_t spare = load < 1000 - SPARE_MIN_PERMILLE ? 1000 - load : SPARE_MIN_PERMILLE;
	candidate_t c = { .m = m, .distance = NEAR_NONE };

	if (failure_domain && !strcmp(m->failure_domain, failure_domain))
		c.distance = NEAR_DOMAIN;
	else if (region && !strcmp(m->region, region))
		c.distance = NEAR_REGION;
	c.draw = bct_rng_exp(rng, 1.0 / spare);
	return c;
}

static bool before(const candidate_t *a, const candidate_t *b)
{
	return a->distance != b->distance ? a->distance < b->distance : a->draw < b->draw;
}

/* Keeps the best BCT_ENTRY_MAX candidates in order. */
static uint32_t insert(candidate_t *best, uint32_t n, const candidate_t *c)
{
	uint32_t i = n < BCT_ENTRY_MAX ? n : BCT_ENTRY_MAX;

	while (i > 0 && before(c, &best[i - 1])) {
		if (i < BCT_ENTRY_MAX)
			best[i] = best[i - 1];
		i--;
	}
	if (i < BCT_ENTRY_MAX)
		best[i] = *c;
	return n < BCT_ENTRY_MAX ? n + 1 : n;
}

static void fill(const candidate_t *best, bct_entry_list_t *out)
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

			if (!admitted(members[i], now, pass))
				continue;
			c = candidate_of(members[i], failure_domain, region, rng);
			out->n = insert(best, out->n, &c);
		}
	}
	fill(best, out);
}
