/*
 * room.h - the room for the bodies of callers' requests, or for answers, see policy/body_room.h,
 * shared by threads. Its lock is a leaf.
 */
#ifndef BCT_NODE_ROOM_H
#define BCT_NODE_ROOM_H

#include "base/clock.h"
#include "base/event.h"
#include "policy/body_room.h"

#include <pthread.h>

typedef struct bct_room {
	bct_log_t *log;
	bct_event_t refusal;  /* logged when something does not fit */
	pthread_mutex_t lock; /* guards all members below */
	bct_body_room_t room;
	bct_time_t logged; /* last line about a refusal */
	uint32_t refused;  /* since then */
} bct_room_t;

/* bct_room_init(3): bound_bytes 0: no bound. */
void bct_room_init(bct_room_t *r, bct_log_t *log, bct_event_t refusal, uint64_t bound_bytes);
void bct_room_destroy(bct_room_t *r);

/* bct_room_take(3), bct_room_give_back(3): as bct_body_room_take(3) and
 * bct_body_room_give_back(3); what does not fit is logged, at most once a second. */
bool bct_room_take(bct_room_t *r, uint64_t held_bytes, uint64_t more_bytes);
void bct_room_give_back(bct_room_t *r, uint64_t bytes);

#endif
