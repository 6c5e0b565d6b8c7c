/*
 * upstream.c - which upstreams can take requests: leaving, failures, busy answers and load.
 */
#include "policy/sched_int.h"

#define UP_BACKOFF_MIN_MS 250
#define UP_BACKOFF_MAX_MS 8000
#define UP_DEAD_FAILURES 3 /* consecutive; requests do not wait for the end of such a back-off */
#define UP_SPEED_MIN 0.05
#define UP_SPEED_MAX 2.0
#define UP_SLOW_ENTER 0.75	 /* below this speed an upstream becomes slow */
#define UP_SLOW_LEAVE 0.9	 /* at this speed it is not slow any more */
#define UP_IDLE_RECOVERY 0.0005	 /* of the missing speed, with each report while unused */
#define UP_RESERVE_DIVISOR 4	 /* the reserve is at most the slots over this divisor */
#define UP_RESERVE_TURNOVERS 4	 /* slots that should become free within an urgent TTFT target */
#define UP_UNUSABLE_HOLD_MS 5000 /* time that requests wait for any upstream to come back */

/* Whether the upstream is configured and not leaving; failures do not count here. */
bool bct_up_usable(const bct_up_t *u)
{
	return u->seen && !u->configured_leaving && !u->notified_leaving && !u->reported_leaving;
}

bool bct_up_may_go_on(const bct_up_t *u, const bct_sreq_t *r)
{
	return !r->tokens || (u->resumes && u->software_key == r->software_key);
}

/* Whether the upstream backs off after so many failures that requests do not wait for it. */
static bool up_dead(const bct_up_t *u, bct_time_t now)
{
	return u->failures >= UP_DEAD_FAILURES && now < u->down_until;
}

static void set_add(bct_up_t *u, uint32_t k, bct_set_t set)
{
	bct_up_set_t *s = &u->targets[k]->sets[set];

	if (u->pos[set][k])
		return;
	s->ups[s->n++] = u;
	u->pos[set][k] = s->n;
}

static void set_del(bct_up_t *u, uint32_t k, bct_set_t set)
{
	bct_target_t *t = u->targets[k];
	uint32_t pos = u->pos[set][k];
	bct_up_t *last;

	if (!pos)
		return;
	u->pos[set][k] = 0;
	last = t->sets[set].ups[--t->sets[set].n];
	if (last == u)
		return;
	t->sets[set].ups[pos - 1] = last;
	for (uint32_t i = 0; i < last->n_targets; i++) {
		if (last->targets[i] == t)
			last->pos[set][i] = pos;
	}
}

static void set_put(bct_up_t *u, uint32_t k, bct_set_t set, bool in)
{
	if (in)
		set_add(u, k, set);
	else
		set_del(u, k, set);
}

/* Slots that the tiers which can wait leave free for urgent requests. */
uint32_t bct_up_reserved(const bct_up_t *u, const bct_target_t *t)
{
	double turnover_ms = t->service_ms / u->load.slots;
	double need;

	if (u->kind != BCT_UPSTREAM_ENGINE || !t->urgent_tier)
		return 0;
	/* Where slots become free quickly, an urgent request gets one in time without a reserve. */
	need = t->urgent_ttft_ms ? turnover_ms * UP_RESERVE_TURNOVERS / t->urgent_ttft_ms : 1;
	if (need > 1)
		need = 1;
	return (uint32_t)(need * u->load.slots / UP_RESERVE_DIVISOR + 0.5);
}

/*
 * Slow is relative: an upstream is set apart only if another one of the target is usable and not
 * slow.
 */
static bool up_is_relatively_slow(const bct_up_t *u, const bct_target_t *t, bct_time_t now)
{
	for (uint32_t i = 0; u->slow && i < t->n_ups; i++) {
		const bct_up_t *other = t->ups[i];

		if (!other->slow && bct_up_usable(other) && now >= other->down_until)
			return true;
	}
	return false;
}

/* Updates the sets from which requests are routed to the upstream. */
void bct_up_refresh(bct_core_t *c, bct_time_t now, bct_up_t *u)
{
	bool up = bct_up_usable(u) && now >= u->down_until && !u->alone;

	for (uint32_t k = 0; k < u->n_targets; k++) {
		const bct_target_t *t = u->targets[k];
		bool in = up && u->in_subset[k];
		uint32_t room = in ? bct_load_room(&u->load) : 0;
		uint32_t free = in ? bct_load_free(&u->load) : 0;
		bool apart = up_is_relatively_slow(u, t, now);

		/* Urgent requests may use the reserve too. */
		set_put(u, k, BCT_SET_OPEN, free > 0 && !apart);
		set_put(u, k, BCT_SET_UNRESERVED, free > bct_up_reserved(u, t) && !apart);
		set_put(u, k, BCT_SET_SLOW, free > 0 && apart);
		if (room)
			bct_dispatch_ready(c, u->targets[k]);
	}
}

/* Updates the slow flag. Two thresholds prevent frequent changes. */
void bct_up_slow_check(bct_core_t *c, bct_time_t now, bct_up_t *u)
{
	bool slow = u->speed < (u->slow ? UP_SLOW_LEAVE : UP_SLOW_ENTER);

	if (slow == u->slow)
		return;
	u->slow = slow;
	/* Whether the target's other upstreams are set apart may depend on this one. */
	for (uint32_t k = 0; k < u->n_targets; k++) {
		for (uint32_t i = 0; i < u->targets[k]->n_ups; i++)
			bct_up_refresh(c, now, u->targets[k]->ups[i]);
	}
	bct_up_refresh(c, now, u);
}

/*
 * Sets the quota: this node's share of the target's capacity, spread over the upstreams that it
 * uses. The target with the largest share counts.
 */
void bct_up_update_quota(bct_core_t *c, bct_up_t *u)
{
	double share = 0, s;

	for (uint32_t k = 0; k < u->n_targets; k++) {
		const bct_target_t *t = u->targets[k];

		if (!u->in_subset[k] || !t->n_ups)
			continue;
		s = t->share * t->n_usable / t->n_ups;
		if (s > share)
			share = s;
	}
	if (share >= 1 || c->fleet.nodes <= 1)
		u->load.quota = u->load.slots;
	else
		bct_load_set_quota(&u->load, share, bct_rng_unit(&c->rng));
}

/* Sets unusable_at while the target has no usable upstream, and clears it otherwise. */
void bct_up_count_usable(bct_core_t *c, bct_time_t now, bct_target_t *t)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < t->n_ups; i++)
		n += bct_up_usable(t->ups[i]) && !up_dead(t->ups[i], now);
	if (n) {
		t->unusable_at = BCT_TIME_NEVER;
		return;
	}
	if (t->unusable_at == BCT_TIME_NEVER) {
		t->unusable_at = now + UP_UNUSABLE_HOLD_MS;
		bct_heap_set(&c->target_wakes, &t->wake, t->unusable_at);
	}
	bct_dispatch_ready(c, t);
}

static void up_count_targets(bct_core_t *c, bct_time_t now, bct_up_t *u)
{
	for (uint32_t k = 0; k < u->n_targets; k++)
		bct_up_count_usable(c, now, u->targets[k]);
}

/* The back-off after a failure or a busy answer is over, or a suspect released the upstream. */
void bct_up_backoff_ended(bct_core_t *c, bct_time_t now, bct_up_t *u)
{
	/*
	 * While the upstream was unavailable, the drain rates of its targets' queues could not be
	 * measured.
	 */
	for (uint32_t i = 0; i < u->n_targets; i++)
		bct_shed_restart_window(u->targets[i], now);
	if (now < u->down_until)
		bct_heap_set(&c->up_wakes, &u->wake, u->down_until);
	bct_up_refresh(c, now, u);
	if (u->failures >= UP_DEAD_FAILURES)
		up_count_targets(c, now, u);
}

/*
 * Starts a back-off. hold_ms is the pause that the upstream asked for; 0: a failure, and each
 * consecutive one doubles the back-off.
 */
void bct_up_failed(bct_core_t *c, bct_time_t now, bct_up_t *u, uint32_t hold_ms)
{
	if (!hold_ms) {
		uint32_t shift = u->failures < 5 ? u->failures : 5;

		u->failures++;
		hold_ms = UP_BACKOFF_MIN_MS << shift;
		if (hold_ms > UP_BACKOFF_MAX_MS)
			hold_ms = UP_BACKOFF_MAX_MS;
	}
	if (now + hold_ms > u->down_until)
		u->down_until = now + hold_ms;
	bct_heap_set(&c->up_wakes, &u->wake, u->down_until);
	bct_up_refresh(c, now, u);
	if (u->failures >= UP_DEAD_FAILURES)
		up_count_targets(c, now, u);
}

/* Reserves the upstream for one suspect: it gets no other new work until it is released. */
void bct_up_reserve(bct_core_t *c, bct_time_t now, bct_up_t *u, bct_sreq_t *r)
{
	u->alone = r;
	r->target->n_alone++;
	bct_up_refresh(c, now, u);
}

void bct_up_release(bct_core_t *c, bct_up_t *u)
{
	u->alone->target->n_alone--;
	bct_suspect_test_end(&c->suspects, u->alone->desc.digest);
	u->alone = NULL;
	/* The next poll puts it back into the sets. */
	bct_heap_set(&c->up_wakes, &u->wake, 0);
}

/* The upstream answered an attempt: resets the count of consecutive failures. */
void bct_up_answered(bct_core_t *c, bct_time_t now, bct_up_t *u)
{
	bool was_dead = u->failures >= UP_DEAD_FAILURES;

	u->failures = 0;
	if (was_dead)
		up_count_targets(c, now, u);
}

/* After a restart the cache is empty, and earlier failures and speeds do not count. */
static void up_restarted(bct_core_t *c, bct_time_t now, bct_up_t *u, uint64_t boot_id)
{
	bool first = !u->boot_id;

	u->boot_id = boot_id;
	u->report_seq = 0;
	u->load.others_at = 0;
	if (first)
		return;
	bct_prefix_reset(&u->feed);
	u->feed.seq = 0;
	u->speed = 1;
	u->down_until = now;
	u->boot_at = now;
	bct_up_answered(c, now, u);
	bct_retry_check_abandoned(c, now);
}

void bct_up_report(bct_core_t *c, bct_time_t now, const bct_report_t *r)
{
	bct_up_t *u = bct_map_get(&c->ups, r->upstream_key);
	bct_time_t at = now - r->age_ms;

	if (!u)
		return;
	if (r->boot_id != u->boot_id) {
		/* A late report of an earlier boot must not pass for another restart. */
		if (u->boot_id && at <= u->report_at)
			return;
		up_restarted(c, now, u, r->boot_id);
	} else if (r->seq <= u->report_seq) {
		return;
	}
	u->report_seq = r->seq;
	u->report_at = at;
	if (u->slow && !u->load.local) {
		u->speed += (1 - u->speed) * UP_IDLE_RECOVERY;
		bct_up_slow_check(c, now, u);
	}
	bct_load_report(&u->load, at, r->running + r->waiting, r->waiting_tokens);
	for (uint32_t i = 0; i < BCT_TIERS; i++) {
		u->running_by_tier[i] = r->running_by_tier[i];
		u->sent_by_tier[i] = 0;
	}
	if (r->leaving != u->reported_leaving) {
		u->reported_leaving = r->leaving;
		bct_setup_subsets(c, now);
	}
	bct_up_update_quota(c, u);
	bct_up_refresh(c, now, u);
}

void bct_up_leaving(bct_core_t *c, bct_time_t now, uint64_t key, bool leaving)
{
	bct_up_t *u = bct_map_get(&c->ups, key);

	if (!u || u->notified_leaving == leaving)
		return;
	u->notified_leaving = leaving;
	bct_setup_subsets(c, now);
}

/* Updates the smoothed speed with one observation. */
void bct_up_progress(bct_up_t *u, double observed_to_expected, double weight)
{
	if (observed_to_expected > UP_SPEED_MAX)
		observed_to_expected = UP_SPEED_MAX;
	u->speed += weight * (observed_to_expected - u->speed);
	if (u->speed < UP_SPEED_MIN)
		u->speed = UP_SPEED_MIN;
}
