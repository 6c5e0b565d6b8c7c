/*
 * gate_upstreams.c - derives presence from registry entries; keeps failures and pace as moving
 * averages.
 */
#include "policy/gate_upstreams.h"
#include "policy/gate_entry.h"
#include "policy/gate_reclaim.h"
#include "base/err.h"
#include "base/hash.h"
#include "base/mem.h"

#include <string.h>

#define PERMILLE 1000
#define AVERAGE_WEIGHT 8     /* a new observation has a weight of 1/8 */
#define LIVED_KEEP_MS 2000   /* for which the connection that was open longest need not deliver */
#define AVOID_MIN_FAILURES 2 /* consecutive failures from which an upstream is avoided */
#define SLOW_FLOOR_MS 20     /* shorter predictions are too coarse to measure the pace */
#define SLOW_MAX_PERMILLE 20000

void bct_gate_upstreams_init(bct_gate_upstreams_t *t)
{
	memset(t, 0, sizeof(*t));
	bct_list_init(&t->all);
}

static void free_upstream(bct_gate_upstreams_t *t, bct_gate_upstream_t *u)
{
	if (t->release)
		t->release(t->ctx, u);
	bct_list_del(&u->link);
	t->n--;
	bct_free(u);
}

void bct_gate_upstreams_free(bct_gate_upstreams_t *t)
{
	while (!bct_list_empty(&t->all))
		free_upstream(t, bct_container_of(t->all.next, bct_gate_upstream_t, link));
	bct_map_free(&t->by_id);
	bct_map_free(&t->by_short);
}

bct_gate_upstream_t *bct_gate_upstreams_find(const bct_gate_upstreams_t *t, const char *id)
{
	return bct_map_get(&t->by_id, bct_hash_str(id));
}

bct_gate_upstream_t *bct_gate_upstreams_find_short(const bct_gate_upstreams_t *t, uint32_t half)
{
	return bct_map_get(&t->by_short, half);
}

static void set_presence(bct_gate_upstreams_t *t, bct_gate_upstream_t *u, bct_time_t now,
			 bct_gate_presence_t p)
{
	if (u->presence == p)
		return;
	t->digest_stale = true;
	u->presence = p;
	u->since = now;
}

static bct_gate_upstream_t *add(bct_gate_upstreams_t *t, const bct_gate_entry_t *e)
{
	bct_gate_upstream_t *u = bct_alloc(sizeof(*u));

	if (!u)
		return NULL;
	u->key = bct_hash_str(e->id);
	u->slow_permille = PERMILLE;
	bct_list_init(&u->link);
	if (bct_map_put(&t->by_id, u->key, u) || bct_map_put(&t->by_short, (uint32_t)u->key, u)) {
		bct_map_del(&t->by_id, u->key);
		bct_free(u);
		return NULL;
	}
	bct_list_add_tail(&u->link, &t->all);
	t->n++;
	return u;
}

/* A run that has not answered yet is taken for brittle if another upstream of its service is. */
static void inherit_brittle(bct_gate_upstreams_t *t, bct_gate_upstream_t *u, bct_time_t now)
{
	bct_list_t *el;

	memset(&u->brittle, 0, sizeof(u->brittle));
	bct_list_for_each(el, &t->all) {
		const bct_gate_upstream_t *o = bct_container_of(el, bct_gate_upstream_t, link);

		if (o == u || o->service_key != u->service_key || !o->brittle.named)
			continue;
		bct_gate_brittle_inherit(&u->brittle, now, &o->brittle);
		return;
	}
}

/* A later run under the same id, or at another address, does not inherit what was observed. */
static void reset_observations(bct_gate_upstream_t *u, bct_time_t now)
{
	u->run_since = now;
	u->identity_mismatch = false;
	u->fail_permille = 0;
	u->consecutive_failures = 0;
	u->avoid_until = 0;
	u->slow_permille = PERMILLE;
	u->heard_at = 0;
	u->lived_from = u->lived_to = 0;
	u->refused_at = 0;
	u->notice_malformed = false;
	memset(&u->limit, 0, sizeof(u->limit));
	u->leaving = false;
	u->leaving_own = false;
	u->paused_until = 0;
}

static bool is_older(const bct_gate_entry_t *e, const bct_gate_entry_t *than)
{
	if (e->position && e->position < than->position)
		return true;
	if (e->born_ms != than->born_ms)
		return e->born_ms < than->born_ms;
	return e->sequence < than->sequence;
}

/* e: the last entry of what was removed; NULL if it is not known here. */
static void note_removal(bct_gate_upstreams_t *t, uint64_t key, const bct_gate_entry_t *e,
			 bct_gate_position_t position)
{
	bct_gate_removal_t *r = &t->removals[t->n_removals % BCT_GATE_REMOVALS];

	if (!position)
		return;
	*r = (bct_gate_removal_t){ .key = key, .position = position };
	if (e) {
		r->born_ms = e->born_ms;
		r->sequence = e->sequence;
	}
	t->n_removals++;
}

/* Whether the removal voids an entry of the same upstream. */
static bool voids(const bct_gate_removal_t *r, const bct_gate_entry_t *e)
{
	if (!e->position)
		return false;
	if (e->position <= r->position)
		return true;
	/* In a later era the entry may stand in the copy, from before it was removed. */
	return bct_gate_position_era(e->position) > bct_gate_position_era(r->position) &&
	       e->born_ms == r->born_ms && e->sequence <= r->sequence;
}

/* The entry is older than the removal: its sequence number does not show a later life. */
static void raise_sequence(bct_gate_removal_t *r, const bct_gate_entry_t *e)
{
	if (e->born_ms < r->born_ms || (e->born_ms == r->born_ms && e->sequence <= r->sequence))
		return;
	r->born_ms = e->born_ms;
	r->sequence = e->sequence;
}

/* Whether the entry was removed after it had been written. */
static bool was_removed(bct_gate_upstreams_t *t, const bct_gate_entry_t *e)
{
	uint64_t key = bct_hash_str(e->id);
	bool removed = false;

	for (uint32_t i = 0; i < BCT_GATE_REMOVALS && i < t->n_removals; i++) {
		bct_gate_removal_t *r = &t->removals[i];

		if (r->key != key || !voids(r, e))
			continue;
		raise_sequence(r, e);
		removed = true;
	}
	return removed;
}

/* Whether the table, which lacks the upstream, reflects records after the entry. Remembers that. */
static bool was_passed(bct_gate_upstreams_t *t, const bct_gate_entry_t *e)
{
	if (!e->position || e->position >= t->position)
		return false;
	note_removal(t, bct_hash_str(e->id), e, t->position - 1);
	return true;
}

/*
 * Whether an entry is outdated. That of an upstream that is not in the table was removed later,
 * also if this node never saw it.
 */
static bool is_outdated(bct_gate_upstreams_t *t, const bct_gate_upstream_t *u,
			const bct_gate_entry_t *e)
{
	if (!u)
		return was_removed(t, e) || was_passed(t, e);
	return is_older(e, &u->entry) || (u->presence >= BCT_GATE_LAPSED && was_removed(t, e));
}

/* Whether an entry is of another run than the one known: software doesn't change while it runs. */
static bool is_other_run(const bct_gate_entry_t *known, const bct_gate_entry_t *e)
{
	if (known->software_key && e->software_key && known->software_key != e->software_key)
		return true;
	return known->born_ms != e->born_ms || known->port != e->port ||
	       strcmp(known->ip, e->ip) != 0;
}

/* Stores the entry. One that does not name the version leaves that of the same run as it is. */
static void set_entry(bct_gate_upstream_t *u, const bct_gate_entry_t *e, bool other_run)
{
	bct_gate_entry_t known = u->entry;

	u->entry = *e;
	if (!other_run && !e->software_key) {
		memcpy(u->entry.software, known.software, sizeof(known.software));
		u->entry.software_key = known.software_key;
	}
	if (!other_run)
		bct_gate_reclaim_keep(&known, &u->entry);
	u->service_key = bct_hash_str(e->service);
	u->release = 0;
	if (u->entry.software_key)
		u->release = bct_hash_mix(u->service_key, u->entry.software_key);
}

void bct_gate_upstreams_hold(bct_gate_upstreams_t *t, const char *id)
{
	bct_gate_upstream_t *u = bct_gate_upstreams_find(t, id);

	if (u)
		u->list_pass = t->list_pass;
}

int bct_gate_upstreams_apply(bct_gate_upstreams_t *t, bct_time_t now, const bct_gate_entry_t *e)
{
	bct_gate_upstream_t *u = bct_gate_upstreams_find(t, e->id);
	bct_gate_presence_t p = e->draining ? BCT_GATE_DRAINING : BCT_GATE_READY;
	bool changed, other_run = !u || is_other_run(&u->entry, e);
	uint64_t release = u ? u->release : 0;

	bct_gate_upstreams_hold(t, e->id);
	if (bct_gate_entry_fault(e))
		return -BCT_EINVAL;
	if (is_outdated(t, u, e))
		return -BCT_ESTALE;
	if (!u) {
		u = add(t, e);
		if (!u)
			return -BCT_ENOMEM;
	} else if (other_run) {
		if (t->on_other_software && u->entry.software_key != e->software_key)
			t->on_other_software(t->ctx, u);
		reset_observations(u, now);
	} else if (p == BCT_GATE_READY && u->presence == BCT_GATE_DRAINING) {
		/* A run that is draining stays so: only a new run becomes ready again. */
		p = BCT_GATE_DRAINING;
	}
	changed = (!other_run && bct_gate_reclaim_told(&u->entry, e)) || u->presence != p ||
		  strcmp(u->entry.service, e->service) != 0 ||
		  (e->software_key && u->entry.software_key != e->software_key);
	set_entry(u, e, other_run);
	if (other_run)
		inherit_brittle(t, u, now);
	t->digest_stale = t->digest_stale || other_run || u->release != release;
	u->list_pass = t->list_pass;
	set_presence(t, u, now, p);
	return changed;
}

/* Entries may expire during an outage of the registry although the upstream is alive. */
static bool in_lapse_grace(const bct_gate_upstreams_t *t, bct_time_t now)
{
	return t->registry_back_at && now < t->registry_back_at + BCT_GATE_LAPSE_GRACE_MS;
}

static void mark_absent(bct_gate_upstreams_t *t, bct_time_t now, bct_gate_upstream_t *u)
{
	if (u->presence == BCT_GATE_READY && in_lapse_grace(t, now))
		set_presence(t, u, now, BCT_GATE_LAPSED);
	else if (u->presence != BCT_GATE_LAPSED)
		set_presence(t, u, now, BCT_GATE_GONE);
}

int bct_gate_upstreams_remove(bct_gate_upstreams_t *t, bct_time_t now, const char *id,
			      bct_gate_position_t position)
{
	bct_gate_upstream_t *u = bct_gate_upstreams_find(t, id);

	if (u && position && position < u->entry.position)
		return 0;
	note_removal(t, bct_hash_str(id), u ? &u->entry : NULL, position);
	if (!u || u->presence >= BCT_GATE_LAPSED)
		return 0;
	if (position)
		u->entry.position = position;
	mark_absent(t, now, u);
	return 1;
}

void bct_gate_upstreams_list_begin(bct_gate_upstreams_t *t)
{
	t->list_pass++;
}

void bct_gate_upstreams_list_end(bct_gate_upstreams_t *t, bct_time_t now,
				 bct_gate_position_t position)
{
	bct_list_t *el;

	bct_list_for_each(el, &t->all) {
		bct_gate_upstream_t *u = bct_container_of(el, bct_gate_upstream_t, link);

		if (u->list_pass == t->list_pass || u->presence >= BCT_GATE_LAPSED ||
		    (position && u->entry.position >= position))
			continue;
		if (position) {
			u->entry.position = position - 1;
			note_removal(t, u->key, &u->entry, position - 1);
		}
		mark_absent(t, now, u);
		if (t->on_unlisted)
			t->on_unlisted(t->ctx, u);
	}
	bct_gate_upstreams_reached(t, position);
}

void bct_gate_upstreams_reached(bct_gate_upstreams_t *t, bct_gate_position_t position)
{
	if (position > t->position)
		t->position = position;
}

void bct_gate_upstreams_log_replaced(bct_gate_upstreams_t *t)
{
	bct_list_t *el;

	bct_list_for_each(el, &t->all)
		bct_container_of(el, bct_gate_upstream_t, link)->entry.position = 0;
	t->position = 0;
	t->n_removals = 0;
}

void bct_gate_upstreams_new_era(bct_gate_upstreams_t *t, bct_time_t now)
{
	t->registry_back_at = now;
}

void bct_gate_upstreams_set_registry(bct_gate_upstreams_t *t, bct_time_t now, bool answers)
{
	if (!answers) {
		t->registry_lost = true;
	} else if (t->registry_lost) {
		t->registry_lost = false;
		t->registry_back_at = now;
	}
}

uint64_t bct_gate_upstreams_digest(bct_gate_upstreams_t *t)
{
	uint64_t sum = 0;
	bct_list_t *el;

	if (!t->digest_stale)
		return t->digest;
	bct_list_for_each(el, &t->all) {
		bct_gate_upstream_t *u = bct_container_of(el, bct_gate_upstream_t, link);
		uint64_t state = (uint64_t)u->entry.born_ms * 4 + u->presence;

		if (u->presence < BCT_GATE_LAPSED)
			sum += bct_hash_mix(u->key ^ u->release, state);
	}
	t->digest = sum;
	t->digest_stale = false;
	return sum;
}

void bct_gate_upstreams_sweep(bct_gate_upstreams_t *t, bct_time_t now)
{
	bct_list_t *el, *tmp;

	bct_list_for_each_safe(el, tmp, &t->all) {
		bct_gate_upstream_t *u = bct_container_of(el, bct_gate_upstream_t, link);

		if (u->presence == BCT_GATE_LAPSED && !in_lapse_grace(t, now))
			set_presence(t, u, now, BCT_GATE_GONE);
		if (u->presence != BCT_GATE_GONE || u->refs)
			continue;
		bct_map_del(&t->by_id, u->key);
		bct_map_del(&t->by_short, (uint32_t)u->key);
		free_upstream(t, u);
	}
}

void bct_gate_upstream_heard(bct_gate_upstream_t *u, bct_time_t now, bct_time_t opened)
{
	/* Bytes may be of the run before this one. */
	if (opened < u->run_since)
		return;
	u->heard_at = now;
	if (opened > u->lived_from && now - u->lived_to < LIVED_KEEP_MS)
		return;
	u->lived_from = opened;
	u->lived_to = now;
}

uint32_t bct_gate_upstream_run(const bct_gate_upstream_t *u)
{
	uint32_t run = (uint32_t)bct_hash_mix(u->key, (uint64_t)u->entry.born_ms);

	return run ? run : 1;
}

bct_upstream_sight_t bct_gate_upstreams_sight(const bct_gate_upstreams_t *t, uint64_t key,
					      bct_time_t at)
{
	const bct_gate_upstream_t *u = bct_map_get(&t->by_id, key);

	if (!u || u->run_since > at)
		return (bct_upstream_sight_t){ .ended = true };
	return (bct_upstream_sight_t){
		.ended = u->presence == BCT_GATE_GONE || u->identity_mismatch || u->refused_at > at,
		.planned = u->presence == BCT_GATE_DRAINING || u->leaving,
		.heard_at = u->heard_at,
	};
}

bool bct_gate_upstream_accepts(const bct_gate_upstream_t *u, uint64_t service_key)
{
	return u->service_key == service_key && !u->identity_mismatch && !u->leaving &&
	       (u->presence == BCT_GATE_READY || u->presence == BCT_GATE_LAPSED);
}

bool bct_gate_upstream_leaves(bct_gate_upstream_t *u, bct_time_t now, bool own)
{
	bool news = !u->leaving;

	if (news)
		u->leaving_since = now;
	u->leaving = true;
	u->leaving_own = u->leaving_own || own;
	return news;
}

bool bct_gate_upstream_pauses(bct_gate_upstream_t *u, bct_time_t now, uint32_t ms)
{
	if (now + ms <= u->paused_until)
		return false;
	u->paused_until = now + ms;
	return true;
}

uint32_t bct_gate_upstream_brittle_wait_ms(bct_gate_upstream_t *u, bct_time_t now)
{
	int64_t running = (int64_t)u->running + u->peer_running;

	return bct_gate_brittle_wait_ms(&u->brittle, now, u->entry.slots,
					running > 0 ? (uint32_t)running : 0);
}

uint32_t bct_gate_upstream_wait_ms(bct_gate_upstream_t *u, bct_time_t now)
{
	uint32_t limited_ms = bct_gate_limit_wait_ms(&u->limit, now);
	uint32_t paused_ms = now < u->paused_until ? (uint32_t)(u->paused_until - now) : 0;
	uint32_t brittle_ms = bct_gate_upstream_brittle_wait_ms(u, now);
	uint32_t most = limited_ms > paused_ms ? limited_ms : paused_ms;

	return brittle_ms > most ? brittle_ms : most;
}

static uint32_t average(uint32_t old, uint32_t latest)
{
	return (old * (AVERAGE_WEIGHT - 1) + latest) / AVERAGE_WEIGHT;
}

void bct_gate_upstream_result(bct_gate_upstream_t *u, bct_time_t now, bool ok)
{
	uint32_t ms = BCT_GATE_AVOID_FIRST_MS;

	u->fail_permille = average(u->fail_permille, ok ? 0 : PERMILLE);
	if (ok) {
		u->consecutive_failures = 0;
		return;
	}
	u->consecutive_failures++;
	if (u->consecutive_failures < AVOID_MIN_FAILURES)
		return;
	for (uint32_t i = AVOID_MIN_FAILURES;
	     i < u->consecutive_failures && ms < BCT_GATE_AVOID_MAX_MS; i++)
		ms *= 2;
	u->avoid_until = now + ms;
}

void bct_gate_upstream_timing(bct_gate_upstream_t *u, uint32_t predicted_ms, uint32_t observed_ms)
{
	uint64_t ratio;

	if (predicted_ms < SLOW_FLOOR_MS)
		predicted_ms = SLOW_FLOOR_MS;
	ratio = (uint64_t)observed_ms * PERMILLE / predicted_ms;
	u->slow_permille =
		average(u->slow_permille,
			(uint32_t)(ratio > SLOW_MAX_PERMILLE ? SLOW_MAX_PERMILLE : ratio));
}
