/*
 * totals_aggregator.c - assignment of aggregators to items.
 */
#include "coord/totals_int.h"
#include "policy/rendezvous.h"

#include <string.h>

/*
 * Assigns an aggregator to each bucket by rendezvous hashing. No node gets more than its share of
 * the buckets, rounded up, so that the load is even. A change of one candidate moves few buckets.
 *
 * salt         separates the assignments of different groups from each other and from the root's
 * aggregators  receives n_buckets incarnations; 0 for all when n is 0
 */
static void assign(uint64_t salt, const uint64_t *nodes, uint32_t n, uint64_t *aggregators,
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
		aggregators[b] = best < n ? nodes[best] : 0;
		if (best < n)
			used[best]++;
	}
}

/*
 * Assigns the root aggregators and those of this node's group. Groups are runs of the candidates in
 * order of their incarnations, which are random. So groups are equal in size, and a change of
 * membership moves at most one node between two neighbouring groups. A leaving node is not among
 * the candidates; it belongs to the group where its incarnation would be.
 */
void bct_totals_assign_aggregators(bct_totals_t *t)
{
	uint32_t groups = (t->n_candidates + BCT_TOTALS_GROUP_NODES - 1) / BCT_TOTALS_GROUP_NODES;
	uint32_t at = 0, first, end;

	t->group = NO_GROUP;
	t->n_roots = t->n_candidates <= SMALL_FLEET_NODES_MAX ? ROOT_BUCKETS_SMALL : ROOT_BUCKETS;
	if (t->n_candidates > BCT_TOTALS_FLAT_MAX) {
		while (at + 1 < t->n_candidates && t->candidates[at] < t->self)
			at++;
		t->group = (uint32_t)((uint64_t)at * groups / t->n_candidates);
		t->n_roots = ROOT_BUCKETS_MAX;
		first = (t->group * t->n_candidates + groups - 1) / groups;
		end = ((t->group + 1) * t->n_candidates + groups - 1) / groups;
		assign(t->group, &t->candidates[first], end - first, t->group_aggregators,
		       GROUP_BUCKETS);
	}
	assign(NO_GROUP, t->candidates, t->n_candidates, t->roots, t->n_roots);
}

/*
 * Returns the incarnation of the node that adds up an entry's sum, and the level and group under
 * which that node handles it; 0 when there is none.
 */
uint64_t bct_totals_parent(const bct_totals_t *t, const entry_t *e, uint32_t *level,
			   uint32_t *group)
{
	*group = e->level == LEVEL_LEAF ? t->group : e->group;
	*level = LEVEL_ROOT;
	if (e->level == LEVEL_LEAF && *group != NO_GROUP) {
		*level = LEVEL_GROUP;
		return t->group_aggregators[e->id % GROUP_BUCKETS];
	}
	return t->roots[e->id % t->n_roots];
}
