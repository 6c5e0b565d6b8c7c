/*
 * member_log.h - logs changes of the membership. VMs that join at about the same time, as in a
 * start of the whole fleet, share one line.
 */
#ifndef BCT_COORD_MEMBER_LOG_H
#define BCT_COORD_MEMBER_LOG_H

#include "base/clock.h"
#include "base/event.h"
#include "base/names.h"
#include "coord/member.h"

typedef struct bct_member_log {
	bct_log_t *log;
	bct_names_t joined; /* not logged yet */
	bct_member_t last;  /* the latest of them */
} bct_member_log_t;

/* bct_member_log_change(3): log a change; a VM that joined is logged by a later flush. */
void bct_member_log_change(bct_member_log_t *l, bct_time_t now, bct_member_event_type_t type,
			   const bct_member_t *m);

/*
 * bct_member_log_flush(3): log the VMs that joined, if it is time.
 *
 * all      log them now, as the process ends
 * returns  when to call it again; BCT_TIME_NEVER if none is waiting
 */
bct_time_t bct_member_log_flush(bct_member_log_t *l, bct_time_t now, bool all);

#endif
