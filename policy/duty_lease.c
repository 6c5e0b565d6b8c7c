/*
 * duty_lease.c - a lease in a log whose appends are conditional on where the log ends. A record of
 * this node at position p shows that nothing was appended between the read on which it was based
 * and p, so all earlier holders had expired or released by then.
 *
 * This holds within one era of the log only. After a restore from an older copy, offsets are given
 * out again and a condition may be met by chance. So a record counts only if it is of the era that
 * its condition was read in, and nobody claims in a new era before the TTL has passed there.
 */
#include "policy/duty_lease.h"
#include "base/err.h"

#include <string.h>

#define FENCE_LIMIT (UINT64_C(1) << 53) /* larger numbers are not exact in JSON */
#define RETRIES_PER_RENEWAL 4		/* after failures, within the time of one renewal */

void bct_duty_lease_init(bct_duty_lease_t *l, const bct_duty_lease_opts_t *opts)
{
	memset(l, 0, sizeof(*l));
	l->opts = *opts;
	l->rank = BCT_DUTY_CANDIDATES;
}

void bct_duty_lease_set_candidate(bct_duty_lease_t *l, bool candidate, uint32_t rank)
{
	l->candidate = candidate;
	l->rank = rank;
}

static bct_time_t later(bct_time_t a, bct_time_t b)
{
	return a > b ? a : b;
}

static void cease(bct_duty_lease_t *l, bct_time_t now)
{
	l->held = false;
	l->releasing = false;
	l->was_held = true;
	l->ceased_at = now;
}

static bct_duty_append_t *find_append(bct_duty_lease_t *l, uint64_t id)
{
	for (uint32_t i = 0; i < BCT_DUTY_APPENDS; i++) {
		if (id && l->appends[i].id == id)
			return &l->appends[i];
	}
	return NULL;
}

static const bct_duty_append_t *latest_append(const bct_duty_lease_t *l)
{
	return &l->appends[(l->next_append + BCT_DUTY_APPENDS - 1) % BCT_DUTY_APPENDS];
}

/* The log was restored, and nobody has appended to it since. */
static bool just_restored(const bct_duty_lease_t *l)
{
	return l->era_end && l->head.position < l->era_end;
}

/*
 * The earliest time at which this node may claim. After a restore the former holder comes first, as
 * it has the newest body; the others wait for the time of one more rank.
 */
static bct_time_t claim_at(const bct_duty_lease_t *l)
{
	const bct_duty_lease_opts_t *o = &l->opts;
	bct_time_t at = l->era_seen_at + o->ttl_ms + o->margin_ms;
	uint32_t rank = just_restored(l) ? l->heir ? 0 : l->rank + 1 : l->rank;

	if (l->head.holder)
		at = later(at, l->head_seen_at + later(l->head.ttl_ms, o->ttl_ms) + o->margin_ms);
	at = later(at, l->head_seen_at) + (bct_time_t)rank * o->rank_ms;
	return l->was_held ? later(at, l->ceased_at + o->again_ms) : at;
}

static bct_duty_act_t start(bct_duty_lease_t *l, bct_time_t now, bct_duty_act_t act, uint64_t id)
{
	bct_duty_append_t *a = &l->appends[l->next_append];

	/* A store that loses responses at once is not asked without a pause. */
	if (act != BCT_DUTY_READ && l->unsure &&
	    now < l->append_asked_at + l->opts.renew_ms / RETRIES_PER_RENEWAL)
		return BCT_DUTY_IDLE;
	if (act != BCT_DUTY_READ && l->end + 1 >= FENCE_LIMIT)
		return BCT_DUTY_IDLE;
	l->in_progress = act;
	l->asked_at = now;
	if (act == BCT_DUTY_READ)
		return act;
	*a = (bct_duty_append_t){ .id = id, .at = l->end, .asked_at = now };
	l->append_asked_at = now;
	l->next_append = (l->next_append + 1) % BCT_DUTY_APPENDS;
	return act;
}

static bct_duty_act_t next_of_holder(bct_duty_lease_t *l, bct_time_t now, bool changed, uint64_t id)
{
	if (!l->known)
		return start(l, now, BCT_DUTY_READ, 0);
	if (!l->candidate) {
		l->releasing = true;
		return start(l, now, BCT_DUTY_RELEASE, id);
	}
	if (changed || l->unsure || l->releasing || now >= l->renewed_at + l->opts.renew_ms)
		return start(l, now, BCT_DUTY_RENEW, id);
	return BCT_DUTY_IDLE;
}

bct_duty_act_t bct_duty_lease_next(bct_duty_lease_t *l, bct_time_t now, bool changed, uint64_t id)
{
	if (l->in_progress)
		return BCT_DUTY_IDLE;
	if (l->held && now >= l->valid_until) {
		cease(l, now);
		l->known = false;
	}
	if (now < l->retry_at)
		return BCT_DUTY_IDLE;
	if (l->held)
		return next_of_holder(l, now, changed, id);
	if (l->rank >= BCT_DUTY_CANDIDATES && !(l->heir && just_restored(l)))
		return BCT_DUTY_IDLE;
	if (!l->known || now >= l->read_at + l->opts.read_ms)
		return start(l, now, BCT_DUTY_READ, 0);
	if (l->candidate && now >= claim_at(l))
		return start(l, now, BCT_DUTY_CLAIM, id);
	return BCT_DUTY_IDLE;
}

/* A record of this node is the newest one. */
static void confirm(bct_duty_lease_t *l, const bct_duty_append_t *a, bct_gate_position_t position)
{
	l->held = true;
	l->releasing = false;
	l->unsure = false;
	l->record_id = a->id;
	l->fence = position + 1;
	l->valid_until = a->asked_at + l->opts.ttl_ms;
	l->renewed_at = a->asked_at;
}

static bool same_era(bct_gate_position_t a, bct_gate_position_t b)
{
	return bct_gate_position_era(a) == bct_gate_position_era(b);
}

/* Whether the newest record, just read, makes or leaves this node the holder. */
static void judge_head(bct_duty_lease_t *l, bct_time_t now)
{
	const bct_duty_append_t *a = find_append(l, l->head.append_id);
	bool own = l->head.holder == l->opts.incarnation;

	/* The record may have survived a restore; its time is still that of this node's clock. */
	if (own && l->held && l->head.append_id == l->record_id)
		return;
	if (own && a && same_era(a->at, l->head.position) && l->head.position + 1 > l->fence &&
	    now < a->asked_at + l->opts.ttl_ms) {
		confirm(l, a, l->head.position);
		return;
	}
	if (l->held)
		cease(l, now);
}

static void read_failed(bct_duty_lease_t *l, bct_time_t now)
{
	bct_time_t pause = l->held ? l->opts.renew_ms / RETRIES_PER_RENEWAL : l->opts.read_ms;

	l->retry_at = now + pause;
}

void bct_duty_lease_read(bct_duty_lease_t *l, bct_time_t now, int rc, const bct_duty_head_t *head,
			 bct_gate_position_t end)
{
	static const bct_duty_head_t none;

	bool held = l->held, risen = l->has_read && !same_era(end, l->end);

	l->in_progress = BCT_DUTY_IDLE;
	/* An end before the one that is known comes from a copy that is behind. */
	if (rc || (l->has_read && end < l->end)) {
		read_failed(l, now);
		return;
	}
	if (!l->has_read || risen) {
		l->era_seen_at = now;
		l->head_seen_at = now;
		l->era_end = risen ? end : 0;
		l->heir = false;
	}
	if (!head)
		head = &none;
	if (head->position != l->head.position || head->append_id != l->head.append_id)
		l->head_seen_at = now;
	l->has_read = true;
	l->known = true;
	l->read_at = now;
	l->head = *head;
	l->end = end;
	judge_head(l, now);
	if (risen && held && !l->held)
		l->heir = true;
}

/* The append in progress succeeded. */
static void append_succeeded(bct_duty_lease_t *l, bct_time_t now, bct_duty_act_t act,
			     bct_gate_position_t position, uint64_t revision)
{
	const bct_duty_append_t *a = latest_append(l);
	bool refused = act != BCT_DUTY_CLAIM && !l->held;

	l->known = false;
	if (refused || !same_era(position, a->at) || position + 1 <= l->fence) {
		if (l->held)
			cease(l, now);
		return;
	}
	l->known = true;
	l->unsure = false;
	l->end = position + 1;
	l->head =
		(bct_duty_head_t){ .append_id = a->id, .revision = revision, .position = position };
	l->head_seen_at = now;
	l->read_at = now;
	if (act == BCT_DUTY_RELEASE) {
		cease(l, now);
		return;
	}
	l->head.holder = l->opts.incarnation;
	l->head.ttl_ms = l->opts.ttl_ms;
	confirm(l, a, position);
}

void bct_duty_lease_appended(bct_duty_lease_t *l, bct_time_t now, int rc,
			     bct_gate_position_t position, uint64_t revision)
{
	bct_duty_act_t act = l->in_progress;
	bct_duty_append_t *a = find_append(l, latest_append(l)->id);

	l->in_progress = BCT_DUTY_IDLE;
	if (!rc) {
		append_succeeded(l, now, act, position, revision);
		return;
	}
	if (rc == -BCT_ESTALE || rc == -BCT_EUNAVAILABLE) {
		if (a)
			a->id = 0; /* has no effect */
		if (rc == -BCT_ESTALE)
			l->known = false;
		else
			l->retry_at = now + l->opts.renew_ms / RETRIES_PER_RENEWAL;
		return;
	}
	l->unsure = true;
	l->known = false;
}

bct_gate_position_t bct_duty_lease_at(const bct_duty_lease_t *l)
{
	return latest_append(l)->at;
}

uint64_t bct_duty_lease_append_id(const bct_duty_lease_t *l)
{
	return latest_append(l)->id;
}

bool bct_duty_lease_valid(const bct_duty_lease_t *l, bct_time_t now)
{
	return l->held && !l->releasing && now < l->valid_until;
}

uint64_t bct_duty_lease_fence(const bct_duty_lease_t *l)
{
	return l->fence;
}

void bct_duty_lease_refused(bct_duty_lease_t *l, bct_time_t now, uint64_t fence)
{
	if (!l->held || fence < l->fence)
		return;
	cease(l, now);
	l->known = false;
	memset(l->appends, 0, sizeof(l->appends));
}
