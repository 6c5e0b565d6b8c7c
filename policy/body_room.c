/*
 * body_room.c - the sum of what bodies hold.
 */
#include "policy/body_room.h"

/* Of the bound, for bodies longer than BCT_BODY_ROOM_SHORT_BYTES, in quarters. */
#define LONG_QUARTERS 3
#define QUARTERS 4

bool bct_body_room_take(bct_body_room_t *r, uint64_t held_bytes, uint64_t more_bytes)
{
	uint64_t bound = r->bound_bytes;

	if (held_bytes + more_bytes > BCT_BODY_ROOM_SHORT_BYTES)
		bound = bound / QUARTERS * LONG_QUARTERS;
	if (r->bound_bytes && r->held_bytes + more_bytes > bound)
		return false;
	r->held_bytes += more_bytes;
	return true;
}

void bct_body_room_give_back(bct_body_room_t *r, uint64_t bytes)
{
	r->held_bytes -= bytes;
}
