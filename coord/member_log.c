/*
 * member_log.c - collects the names of VMs that join for a short time.
 */
#include "coord/member_log.h"

#include <string.h>

static void log_one(const bct_member_log_t *l, bct_event_t ev, const bct_member_t *m)
{
	BCT_LOG(l->log, ev, BCT_STR("member", m->name), BCT_HEX("incarnation", m->incarnation),
		BCT_U64("number", m->number));
}

static void log_joined(bct_member_log_t *l, bct_time_t now)
{
	const bct_names_t *joined = &l->joined;

	if (joined->n == 1)
		log_one(l, BCT_EV_MEMBER_ALIVE, &l->last);
	else if (joined->n)
		BCT_LOG(l->log, BCT_EV_MEMBERS_ALIVE, BCT_U64("count", joined->n),
			BCT_STR("members", joined->text),
			BCT_I64("within_ms", now - joined->since));
	bct_names_clear(&l->joined);
}

static void add_joined(bct_member_log_t *l, bct_time_t now, const bct_member_t *m)
{
	if (!bct_names_add(&l->joined, now, m->name)) {
		log_joined(l, now);
		bct_names_add(&l->joined, now, m->name);
	}
	l->last = *m;
}

void bct_member_log_change(bct_member_log_t *l, bct_time_t now, bct_member_event_type_t type,
			   const bct_member_t *m)
{
	static const bct_event_t events[] = {
		[BCT_MEMBER_SUSPECTED] = BCT_EV_MEMBER_SUSPECT,
		[BCT_MEMBER_DIED] = BCT_EV_MEMBER_DEAD,
		[BCT_MEMBER_LEAVING] = BCT_EV_MEMBER_LEAVING,
	};

	switch (type) {
	case BCT_MEMBER_JOINED:
	case BCT_MEMBER_RETURNED:
		add_joined(l, now, m);
		break;
	case BCT_MEMBER_SUSPECTED:
	case BCT_MEMBER_DIED:
	case BCT_MEMBER_LEAVING:
		/* What is logged later must not seem to have happened later. */
		log_joined(l, now);
		log_one(l, events[type], m);
		break;
	default:
		break;
	}
}

bct_time_t bct_member_log_flush(bct_member_log_t *l, bct_time_t now, bool all)
{
	if (all || now >= bct_names_due_at(&l->joined))
		log_joined(l, now);
	return bct_names_due_at(&l->joined);
}
