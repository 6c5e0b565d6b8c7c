/*
 * totals_aggregator.c - which nodes add up what.
 */
#include "coord/totals_int.h"
#include "policy/rendezvous.h"

#include <string.h>

/*
 * Gives each bucket a home by rendezvous hashing, no node more than its share, so that no node has
 * much more to add up than another. A change of one candidate moves few buckets.
 */
static void assign(uint64_t salt, const uint64_t *nodes, uint32_t n, uint64_t *homes,
		   uint32_t n_buckets)
{
	uint32_t share = n ? (n_buckets + n - 1) / n : 0;
	uint8_t used[BCT_MEMBERS_MAX];

	memset(used, 0, n);
	for (uint32_t b = 0; b < n_buckets; b++) {
		uint64_t subject = bct_hash_mix(salt, b), best_score = 0;
		uint32_t best = n;

		for (uint32_t i = 0; i < n; i++) {
			uint64_t score = bct_rendezvous_score(subject, nodes[i]);

			if (used[i] < share && (best == n || score > best_score)) {
				best = i;
				best_score = score;
			}
		}
		homes[b] = best < n ? nodes[best] : 0;
		if (best < n)
			used[best]++;
	}
}

/*
 * Works out this node's homes. Groups are runs of the live members in order of their incarnations,
 * which are random: equal in size, and a change of membership moves at most one node between two
 * neighbours. A node that is leaving is not in the list, and joins the group where it would be.
 */
void bct_totals_homes(bct_totals_t *t)
{
	uint32_t groups = (t->n_homes + BCT_TOTALS_GROUP_NODES - 1) / BCT_TOTALS_GROUP_NODES;
	uint32_t at = 0, first, end;

	t->group = NO_GROUP;
	t->n_roots = t->n_homes <= FLEET_SMALL ? ROOT_BUCKETS_SMALL : ROOT_BUCKETS;
	if (t->n_homes > BCT_TOTALS_FLAT_MAX) {
		while (at + 1 < t->n_homes && t->homes[at] < t->self)
			at++;
		t->group = (uint32_t)((uint64_t)at * groups / t->n_homes);
		t->n_roots = ROOT_BUCKETS_MAX;
		first = (t->group * t->n_homes + groups - 1) / groups;
		end = ((t->group + 1) * t->n_homes + groups - 1) / groups;
		assign(t->group, &t->homes[first], end - first, t->middles, MIDDLE_BUCKETS);
	}
	assign(NO_GROUP, t->homes, t->n_homes, t->roots, t->n_roots);
}

/* Where an entry's sum goes, and as what; 0 when there is nobody. */
uint64_t bct_totals_parent(const bct_totals_t *t, const entry_t *e, uint32_t *level,
			   uint32_t *group)
{
	*group = e->level == LEVEL_LEAF ? t->group : e->group;
	*level = LEVEL_ROOT;
	if (e->level == LEVEL_LEAF && *group != NO_GROUP) {
		*level = LEVEL_MIDDLE;
		return t->middles[e->id % MIDDLE_BUCKETS];
	}
	return t->roots[e->id % t->n_roots];
}
