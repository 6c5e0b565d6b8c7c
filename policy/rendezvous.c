/*
 * rendezvous.c - scores by xxHash over the pair of keys; ties go to the higher key.
 */
#include "policy/rendezvous.h"
#include "base/hash.h"

uint64_t bct_rendezvous_score(uint64_t subject_key, uint64_t candidate_key)
{
	return bct_hash_mix(subject_key, candidate_key);
}

uint64_t bct_rendezvous_pick(uint64_t subject_key, const uint64_t *candidates, uint32_t n,
			     uint64_t skip)
{
	uint64_t best = 0, best_score = 0;

	for (uint32_t i = 0; i < n; i++) {
		uint64_t score;

		if (candidates[i] == skip || !candidates[i])
			continue;
		score = bct_rendezvous_score(subject_key, candidates[i]);
		if (!best || score > best_score || (score == best_score && candidates[i] > best)) {
			best = candidates[i];
			best_score = score;
		}
	}
	return best;
}

bool bct_subset_contains(uint64_t node_key, uint64_t upstream_key, const uint64_t *upstream_keys,
			 uint32_t n, uint32_t size)
{
	uint64_t own_score = bct_rendezvous_score(node_key, upstream_key);
	uint32_t better = 0;
	bool found = false;

	for (uint32_t i = 0; i < n; i++) {
		uint64_t score = bct_rendezvous_score(node_key, upstream_keys[i]);

		if (upstream_keys[i] == upstream_key)
			found = true;
		else if (score > own_score ||
			 (score == own_score && upstream_keys[i] > upstream_key))
			better++;
	}
	return found && better < size;
}
