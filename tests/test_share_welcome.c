/*
 * test_share_welcome.c - who tells a node that joins what it lacks.
 */
#include "base/hash.h"
#include "gate/share_int.h"

#include <criterion/criterion.h>

#define NODES_MAX 350

/*
 * Failure guarded against: the joining node was counted among those of which one welcomes it, so
 * that often nobody did, and it sent requests to upstreams that had stated that they were leaving.
 */
Test(share_welcome, one_of_the_others_welcomes_a_node)
{
	static const uint32_t sizes[] = { 2, 3, 4, 7, 89, NODES_MAX };
	uint64_t live[NODES_MAX];

	for (uint32_t i = 0; i < NODES_MAX; i++)
		live[i] = bct_hash_mix(i + 1, 7);
	for (uint32_t k = 0; k < sizeof(sizes) / sizeof(sizes[0]); k++) {
		for (uint32_t joining = 0; joining < sizes[k]; joining++) {
			uint32_t n = 0;

			for (uint32_t i = 0; i < sizes[k]; i++) {
				bct_gate_limit_nodes_t nodes = { .incarnations = live,
								 .n = sizes[k],
								 .self = live[i] };

				n += bct_share_welcomes(&nodes, live[joining]);
			}
			cr_assert_eq(n, 1, "%u nodes: %u welcome node %u", sizes[k], n, joining);
		}
	}
}
