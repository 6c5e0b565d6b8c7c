/*
 * entry.h - the list of entry addresses that callers choose from (GET /v1/entry). Pure.
 *
 * A caller keeps the list for its lifetime and connects to the addresses in their order. Nodes
 * that are leaving, suspect, dead, or that came back a moment ago are left out. Addresses in the
 * caller's failure domain come first, then those of its region, then the rest; within each of the
 * three a random order weighted by spare capacity spreads the callers.
 */
#ifndef BCT_COORD_ENTRY_H
#define BCT_COORD_ENTRY_H

#include "base/rng.h"
#include "coord/member.h"

#include <stdint.h>

#define BCT_ENTRY_LIFETIME_MS 10000
#define BCT_ENTRY_MAX 8 /* addresses in one list */

typedef struct bct_entry {
	bct_addr_t addr;
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
 * bct_entry_list(3): make a list for one caller.
 *
 * members         the n members of the table
 * failure_domain  the caller's hint, or NULL; its region is that of the members in this domain
 * rng             draws the order
 * out             when all were left out, those that are neither dead nor leaving are listed after
 *                 all; n is 0 only if there are none
 */
void bct_entry_list(const bct_member_t *const *members, uint32_t n, bct_time_t now,
		    const char *failure_domain, bct_rng_t *rng, bct_entry_list_t *out);

#endif
