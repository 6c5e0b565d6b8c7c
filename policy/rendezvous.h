/*
 * rendezvous.h - rendezvous (highest random weight) hashing: every node computes the same
 * assignment from the same keys, and a change of one key moves only what was assigned to that key.
 */
#ifndef BCT_POLICY_RENDEZVOUS_H
#define BCT_POLICY_RENDEZVOUS_H

#include <stdbool.h>
#include <stdint.h>

/* bct_rendezvous_score(3): weight of a candidate for a subject; the highest one wins. */
uint64_t bct_rendezvous_score(uint64_t subject_key, uint64_t candidate_key);

/*
 * bct_rendezvous_pick(3): the candidate with the highest score.
 *
 * skip     a candidate to leave out, or 0
 * returns  a candidate, or 0 when there is none
 */
uint64_t bct_rendezvous_pick(uint64_t subject_key, const uint64_t *candidates, uint32_t n,
			     uint64_t skip);

/*
 * bct_subset_contains(3): whether an upstream is among the `size` highest scores of a node. A node
 * without a list of wanted engines subscribes to the reports of those that this function selects.
 *
 * upstream_keys  all n upstreams that the subset is drawn from
 * size           of the subset; n or more means all
 * returns        false also when upstream_key is not one of upstream_keys
 */
bool bct_subset_contains(uint64_t node_key, uint64_t upstream_key, const uint64_t *upstream_keys,
			 uint32_t n, uint32_t size);

#endif
