/*
 * room.c - a room with a lock and a log.
 */
#include "node/room.h"

#include <string.h>

#define LOG_MS 1000 /* between two lines about refusals */

void bct_room_init(bct_room_t *r, bct_log_t *log, bct_event_t refusal, uint64_t bound_bytes)
{
	memset(r, 0, sizeof(*r));
	r->log = log;
	r->refusal = refusal;
	r->room.bound_bytes = bound_bytes;
	pthread_mutex_init(&r->lock, NULL);
}

void bct_room_destroy(bct_room_t *r)
{
	pthread_mutex_destroy(&r->lock);
}

/* Called with the lock. */
static void log_refused(bct_room_t *r)
{
	bct_time_t now = bct_clock_now();

	r->refused++;
	if (r->logged && now - r->logged < LOG_MS)
		return;
	BCT_LOG(r->log, r->refusal, BCT_U64("requests", r->refused),
		BCT_U64("held_bytes", r->room.held_bytes),
		BCT_U64("bound_bytes", r->room.bound_bytes));
	r->logged = now;
	r->refused = 0;
}

bool bct_room_take(bct_room_t *r, uint64_t held_bytes, uint64_t more_bytes)
{
	bool taken;

	pthread_mutex_lock(&r->lock);
	taken = bct_body_room_take(&r->room, held_bytes, more_bytes);
	if (!taken)
		log_refused(r);
	pthread_mutex_unlock(&r->lock);
	return taken;
}

void bct_room_give_back(bct_room_t *r, uint64_t bytes)
{
	pthread_mutex_lock(&r->lock);
	bct_body_room_give_back(&r->room, bytes);
	pthread_mutex_unlock(&r->lock);
}
