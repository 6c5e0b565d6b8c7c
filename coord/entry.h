/*
 * entry.h - builds the list of entry addresses that callers get from GET /v1/entry. Pure functions,
 * without I/O or state.
 *
 * A caller uses the list for lifetime_ms and tries the addresses in order. Nodes that are leaving,
 * suspect or dead, or that became alive again only recently, are omitted. Nodes in the caller's
 * failure domain come first, then those in its region, then the others. Within each of these three
 * groups the order is random and weighted by spare capacity, which spreads the callers.
 */
#ifndef BCT_COORD_ENTRY_H
#define BCT_COORD_ENTRY_H

#include "base/rng.h"
#include "coord/member.h"

#include <stdint.h>

#define BCT_ENTRY_LIFETIME_MS 10000
#define BCT_ENTRY_MAX 8 /* addresses per list */

typedef struct bct_entry {
	bct_addr_t addr; /* for callers */
	char failure_domain[BCT_NAME_BYTES];
	char region[BCT_NAME_BYTES];
	uint64_t incarnation;
} bct_entry_t;

typedef struct bct_entry_list {
	uint32_t lifetime_ms;
	uint32_t n;
	bct_entry_t entries[BCT_ENTRY_MAX];
} bct_entry_list_t;

/*
 * bct_entry_list(3): build the list for one caller.
 *
 * members         the n members of the member table
 * failure_domain  as stated by the caller, or NULL; the caller's region is taken from a member
 *                 in this failure domain
 * rng             source of the random order
 * out             if every node would be omitted, it has the nodes that are neither dead nor
 *                 leaving; n is 0 only if there are none of these either
 */
void bct_entry_list(const bct_member_t *const *members, uint32_t n, bct_time_t now,
		    const char *failure_domain, bct_rng_t *rng, bct_entry_list_t *out);

#endif
