/*
 * body_room.h - bounds what a node holds of the bodies of all requests, from their first byte until
 * the request has ended, or of the answers to them. Pure: no I/O and no lock.
 *
 * The last quarter is kept for short bodies, so that callers or upstreams that send long ones, and
 * perhaps never end them, keep no others out.
 */
#ifndef BCT_POLICY_BODY_ROOM_H
#define BCT_POLICY_BODY_ROOM_H

#include <stdbool.h>
#include <stdint.h>

#define BCT_BODY_ROOM_SHORT_BYTES (64 * 1024)

typedef struct bct_body_room {
	uint64_t bound_bytes; /* 0: no bound */
	uint64_t held_bytes;
} bct_body_room_t;

/*
 * bct_body_room_take(3): holds more bytes of a body, of which it holds held_bytes already.
 *
 * returns  false without room; nothing more is held then
 */
bool bct_body_room_take(bct_body_room_t *r, uint64_t held_bytes, uint64_t more_bytes);

/* bct_body_room_give_back(3): bytes are not held any more. */
void bct_body_room_give_back(bct_body_room_t *r, uint64_t bytes);

#endif
