/*
 * member.c - the member table: merging of received statuses, events, and the public functions.
 */
#include "coord/member_int.h"
#include "base/err.h"
#include "base/mem.h"

#include <stdlib.h>
#include <string.h>

/* Index of an incarnation in the ordered slots, or where it would be inserted. */
static uint32_t slot_index(const bct_member_table_t *t, uint64_t incarnation)
{
	uint32_t lo = 0, hi = t->n;

	while (lo < hi) {
		uint32_t mid = lo + (hi - lo) / 2;

		if (t->slots[mid]->m.incarnation < incarnation)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

slot_t *bct_member_slot(const bct_member_table_t *t, uint64_t incarnation)
{
	uint32_t i = slot_index(t, incarnation);

	return i < t->n && t->slots[i]->m.incarnation == incarnation ? t->slots[i] : NULL;
}

/* floor(log2(n)); 0 for n = 0. */
static uint8_t log2_of(uint32_t n)
{
	uint8_t bits = 0;

	for (; n > 1; n >>= 1)
		bits++;
	return bits;
}

/*
 * Number of times a node retransmits an update. Receivers are drawn at random, so an update reaches
 * a given member from nobody with a probability of about e^-limit; that member then learns it from
 * a probe or a sync.
 */
uint8_t bct_member_tx_limit(const bct_member_table_t *t)
{
	return (uint8_t)(TX_BASE + 2 * log2_of(t->n_live));
}

/* The event callback reports other members only. */
static void emit_event(bct_member_table_t *t, bct_member_event_type_t type, const slot_t *s)
{
	if (t->opts.event && s != t->self)
		t->opts.event(t->opts.ctx, type, &s->m);
}

/* Time that a suspect has to refute; gossip needs longer to reach it in a large fleet. */
static bct_time_t suspect_ms(const bct_member_table_t *t)
{
	return SUSPECT_BASE_MS + SUSPECT_DOUBLE_MS * (bct_time_t)log2_of(t->n_live);
}

/* Counts a return to alive. The more recent ones there are, the longer entry lists omit it. */
static void slot_record_flap(slot_t *s, bct_time_t now)
{
	uint32_t decayed = (uint32_t)((now - s->last_flap) / FLAP_DECAY_MS);

	s->m.flaps -= decayed < s->m.flaps ? decayed : s->m.flaps;
	if (s->m.flaps < FLAPS_MAX)
		s->m.flaps++;
	s->last_flap = now;
	s->m.listed_from = now + (bct_time_t)s->m.flaps * FLAP_HOLD_MS;
}

static void set_liveness(bct_member_table_t *t, bct_time_t now, slot_t *s, bct_liveness_t liveness)
{
	bct_liveness_t old = s->m.liveness;

	if (old == liveness)
		return;
	t->n_live += old == BCT_MEMBER_DEAD;
	t->n_live -= liveness == BCT_MEMBER_DEAD;
	s->m.liveness = liveness;
	s->m.since = now;
	if (liveness == BCT_MEMBER_SUSPECT) {
		s->suspect_deadline = now + suspect_ms(t);
		emit_event(t, BCT_MEMBER_SUSPECTED, s);
	} else if (liveness == BCT_MEMBER_DEAD) {
		emit_event(t, BCT_MEMBER_DIED, s);
	} else {
		slot_record_flap(s, now);
		emit_event(t, BCT_MEMBER_RETURNED, s);
	}
}

/*
 * Others suspect this node or believe it dead: refutes that with a higher number. Slow answers of
 * this node may be the cause, so its local health gets worse.
 */
static void refute(bct_member_table_t *t, uint32_t number)
{
	t->self->m.number = number + 1;
	t->counters.refuted++;
	if (t->health < HEALTH_MAX)
		t->health++;
}

/*
 * Merges a member's status. When a member that is alive in this table is reported dead, it only
 * becomes suspect, so that a node that was partitioned or paused can't have members declared dead
 * that still answer.
 *
 * returns  whether the status changed the table
 */
bool bct_member_apply_status(bct_member_table_t *t, bct_time_t now, slot_t *s, uint32_t number,
			     bct_liveness_t liveness, bool leaving)
{
	bool changed = false;

	if (leaving && !s->m.leaving) {
		s->m.leaving = true;
		changed = true;
		emit_event(t, BCT_MEMBER_LEAVING, s);
	}
	if (s == t->self) {
		if (liveness != BCT_MEMBER_ALIVE && number >= s->m.number) {
			refute(t, number);
			changed = true;
		}
	} else if (number > s->m.number || (number == s->m.number && liveness > s->m.liveness)) {
		if (liveness == BCT_MEMBER_DEAD && s->m.liveness == BCT_MEMBER_ALIVE)
			liveness = BCT_MEMBER_SUSPECT;
		s->m.number = number;
		set_liveness(t, now, s, liveness);
		changed = true;
	}
	if (changed)
		s->tx_status = bct_member_tx_limit(t);
	return changed;
}

/*
 * Queues a member's info for gossip. The first info with a new configuration revision is urgent and
 * sent in the next gossip round; the others are only piggybacked on probes.
 */
static void info_queue(bct_member_table_t *t, slot_t *s)
{
	s->tx_info = TX_INFO_BASE + log2_of(t->n_live) / 2;
	s->info_urgent = s->m.info.revision > t->newest_revision;
	if (!s->info_urgent)
		return;
	t->newest_revision = s->m.info.revision;
	s->tx_info = bct_member_tx_limit(t);
}

void bct_member_apply_info(bct_member_table_t *t, slot_t *s, const bct_member_info_t *info)
{
	bool revised = info->revision != s->m.info.revision;

	if (s == t->self || info->seq <= s->m.info.seq)
		return;
	s->m.info = *info;
	info_queue(t, s);
	if (revised)
		emit_event(t, BCT_MEMBER_INFO, s);
}

static void slot_remove(bct_member_table_t *t, uint32_t i)
{
	slot_t *s = t->slots[i];

	t->n_live -= s->m.liveness != BCT_MEMBER_DEAD;
	memmove(&t->slots[i], &t->slots[i + 1], (t->n - i - 1) * sizeof(*t->slots));
	t->n--;
	emit_event(t, BCT_MEMBER_REMOVED, s);
	bct_free(s);
}

/* Makes room in a full table by removing the member that has been dead for the longest time. */
static bool evict_dead(bct_member_table_t *t)
{
	uint32_t oldest = t->n;

	for (uint32_t i = 0; i < t->n; i++) {
		const bct_member_t *m = &t->slots[i]->m;

		if (m->liveness == BCT_MEMBER_DEAD &&
		    (oldest == t->n || m->since < t->slots[oldest]->m.since))
			oldest = i;
	}
	if (oldest == t->n)
		return false;
	slot_remove(t, oldest);
	return true;
}

/* Makes room for one more member; false when none is dead in a full table or out of memory. */
static bool table_grow(bct_member_table_t *t)
{
	uint32_t cap = t->cap ? t->cap * 2 : 16;
	slot_t **slots;
	uint64_t *order;

	if (t->n >= BCT_MEMBERS_MAX)
		return evict_dead(t);
	if (t->n < t->cap)
		return true;
	slots = bct_realloc(t->slots, cap * sizeof(*slots));
	if (!slots)
		return false;
	t->slots = slots;
	order = bct_realloc(t->probe_order, cap * sizeof(*order));
	if (!order)
		return false;
	t->probe_order = order;
	t->cap = cap;
	return true;
}

/* Adds a new member; NULL when there is no room or memory. */
slot_t *bct_member_add(bct_member_table_t *t, bct_time_t now, const bct_member_t *m)
{
	slot_t *s;
	uint32_t i;

	if (!table_grow(t))
		return NULL;
	s = bct_alloc(sizeof(*s));
	if (!s)
		return NULL;
	s->m = *m;
	s->m.node_key = bct_hash_str(m->name);
	s->m.since = now;
	s->m.listed_from = now;
	s->m.flaps = 0;
	s->last_flap = now;
	if (m->liveness == BCT_MEMBER_SUSPECT)
		s->suspect_deadline = now + suspect_ms(t);
	i = slot_index(t, m->incarnation);
	memmove(&t->slots[i + 1], &t->slots[i], (t->n - i) * sizeof(*t->slots));
	t->slots[i] = s;
	t->n++;
	t->n_live += m->liveness != BCT_MEMBER_DEAD;
	s->tx_desc = bct_member_tx_limit(t);
	if (m->liveness != BCT_MEMBER_DEAD)
		emit_event(t, BCT_MEMBER_JOINED, s);
	return s;
}

int bct_member_new(const bct_member_opts_t *opts, bct_time_t now, bct_member_table_t **out)
{
	bct_member_table_t *t;
	bct_member_t self = opts->self;

	*out = NULL;
	if (!self.incarnation || !opts->outbox || opts->n_seeds > BCT_SEEDS_MAX)
		return -BCT_EINVAL;
	t = bct_alloc(sizeof(*t));
	if (!t)
		return -BCT_ENOMEM;
	t->opts = *opts;
	bct_rng_seed(&t->rng, opts->seed);
	t->xid = (uint32_t)bct_hash_mix(opts->seed, self.incarnation);
	if (opts->n_seeds)
		memcpy(t->seeds, opts->seeds, opts->n_seeds * sizeof(*t->seeds));
	t->n_seeds = opts->n_seeds;
	t->n_configured_seeds = opts->n_seeds;
	self.liveness = BCT_MEMBER_ALIVE;
	self.leaving = false;
	self.number = 0;
	self.info.seq = 1;
	t->self = bct_member_add(t, now, &self);
	if (!t->self) {
		bct_member_free(t);
		return -BCT_ENOMEM;
	}
	t->last_tick = now;
	t->expected_tick = now;
	t->sync_interval_ms = SYNC_FIRST_MS;
	t->next_sync = now + SYNC_FIRST_MS;
	*out = t;
	return 0;
}

void bct_member_free(bct_member_table_t *t)
{
	if (!t)
		return;
	for (uint32_t i = 0; i < t->n; i++)
		bct_free(t->slots[i]);
	bct_free(t->slots);
	bct_free(t->probe_order);
	bct_free(t);
}

/*
 * Declares suspects dead that did not refute in time. Shortly before, each is pinged, as gossip may
 * have failed to bring it the suspicion or to bring back its refutation.
 */
static void suspects_tick(bct_member_table_t *t, bct_time_t now)
{
	for (uint32_t i = 0; i < t->n; i++) {
		slot_t *s = t->slots[i];

		if (s->m.liveness != BCT_MEMBER_SUSPECT)
			continue;
		if (now >= s->suspect_deadline)
			bct_member_apply_status(t, now, s, s->m.number, BCT_MEMBER_DEAD, false);
		else
			bct_probe_confirm(t, now, s);
	}
}

/* Removes members that have been dead for long enough, and expired facts. */
static void reap_tick(bct_member_table_t *t, bct_time_t now)
{
	if (now < t->next_reap)
		return;
	t->next_reap = now + CONTACT_INTERVAL_MS;
	for (uint32_t i = t->n; i-- > 0;) {
		const slot_t *s = t->slots[i];
		bct_time_t keep_ms = s->unlisted ? DEAD_UNLISTED_KEEP_MS : DEAD_KEEP_MS;

		if (s->m.liveness == BCT_MEMBER_DEAD && now - s->m.since > keep_ms)
			slot_remove(t, i);
	}
	bct_gossip_expire(t, now);
}

/* Advertises a pending info once the rate limit of load changes permits it. */
static void info_tick(bct_member_table_t *t, bct_time_t now)
{
	bct_member_info_t *local = &t->self->m.info;
	uint32_t seq = local->seq;

	if (!t->info_pending || now < t->next_info_at)
		return;
	t->info_pending = false;
	t->next_info_at = now + INFO_INTERVAL_MS + (bct_time_t)t->n_live * INFO_PER_MEMBER_MS;
	*local = t->next_info;
	local->seq = seq + 1;
	info_queue(t, t->self);
}

bct_time_t bct_member_tick(bct_member_table_t *t, bct_time_t now)
{
	bct_time_t late_ms = now - t->expected_tick, next;

	/* Called far too late: this process was suspended. */
	if (late_ms > 2 * PROBE_INTERVAL_MS)
		bct_probe_resumed(t, now, now - t->last_tick);
	t->last_tick = now;
	suspects_tick(t, now);
	info_tick(t, now);
	bct_join_tick(t, now);
	bct_sync_tick(t, now);
	bct_probe_tick(t, now);
	if (now >= t->next_gossip) {
		t->next_gossip = now + GOSSIP_INTERVAL_MS;
		bct_gossip_round(t, now);
	}
	reap_tick(t, now);
	next = t->probe.target ? t->probe.deadline : t->next_probe;
	if (t->next_gossip < next)
		next = t->next_gossip;
	/* Timers that are already overdue must not look like a suspension of this process. */
	t->expected_tick = next > now ? next : now;
	return t->expected_tick;
}

void bct_member_set_leaving(bct_member_table_t *t, bct_time_t now)
{
	if (!bct_member_apply_status(t, now, t->self, t->self->m.number, BCT_MEMBER_ALIVE, true))
		return;
	t->next_gossip = now;
}

void bct_member_set_info(bct_member_table_t *t, bct_time_t now, const bct_member_info_t *info)
{
	const bct_member_info_t *local = &t->self->m.info;
	int64_t step = (int64_t)info->load_permille - local->load_permille;
	bool revised = info->revision != local->revision || info->digest != local->digest;

	if (!revised && step < LOAD_STEP_PERMILLE && step > -LOAD_STEP_PERMILLE)
		return;
	t->next_info = *info;
	t->info_pending = true;
	if (revised)
		t->next_info_at = now;
	info_tick(t, now);
}

int bct_member_set_seeds(bct_member_table_t *t, const bct_addr_t *seeds, uint32_t n)
{
	uint32_t listed = t->n_seeds - t->n_configured_seeds;

	if (n > BCT_SEEDS_MAX)
		return -BCT_EINVAL;
	if (listed > BCT_SEEDS_MAX - n)
		listed = BCT_SEEDS_MAX - n;
	memmove(&t->seeds[n], &t->seeds[t->n_configured_seeds], listed * sizeof(*t->seeds));
	if (n)
		memcpy(t->seeds, seeds, n * sizeof(*t->seeds));
	t->n_seeds = n + listed;
	t->n_configured_seeds = n;
	t->contact_all_seeds = true;
	return 0;
}

/* Replaces the seeds from the VM list; those from the settings stay. */
static void vm_list_seeds(bct_member_table_t *t, const bct_vm_list_t *list)
{
	uint32_t entries = 0;

	/* A list with more VMs than room is sampled, so that each call may pick other ones. */
	t->n_seeds = t->n_configured_seeds;
	for (uint32_t i = 0; i < list->n; i++) {
		const bct_vm_t *vm = &list->vms[i];
		bct_addr_t addr;
		uint32_t at;

		if (vm->role != BCT_VM_ENTRY || bct_addr_parse(vm->address, vm->peer_port, &addr))
			continue;
		entries++;
		if (t->n_seeds < BCT_SEEDS_MAX) {
			t->seeds[t->n_seeds++] = addr;
			continue;
		}
		at = t->n_configured_seeds + bct_rng_below(&t->rng, entries);
		if (at < BCT_SEEDS_MAX)
			t->seeds[at] = addr;
	}
}

void bct_member_vm_list(bct_member_table_t *t, bct_time_t now, const bct_vm_list_t *list)
{
	(void)now;
	vm_list_seeds(t, list);
	for (uint32_t i = 0; i < t->n; i++) {
		slot_t *s = t->slots[i];

		s->unlisted = true;
		for (uint32_t j = 0; j < list->n && s->unlisted; j++)
			s->unlisted = strcmp(list->vms[j].name, s->m.name) != 0;
	}
}

uint32_t bct_member_count(const bct_member_table_t *t)
{
	return t->n;
}

const bct_member_t *bct_member_at(const bct_member_table_t *t, uint32_t i)
{
	return i < t->n ? &t->slots[i]->m : NULL;
}

const bct_member_t *bct_member_find(const bct_member_table_t *t, uint64_t incarnation)
{
	const slot_t *s = bct_member_slot(t, incarnation);

	return s ? &s->m : NULL;
}

const bct_member_t *bct_member_self(const bct_member_table_t *t)
{
	return &t->self->m;
}

uint32_t bct_member_live(const bct_member_table_t *t, bool with_leaving, uint64_t *out,
			 uint32_t max)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < t->n && n < max; i++) {
		const bct_member_t *m = &t->slots[i]->m;

		if (m->liveness != BCT_MEMBER_DEAD && (with_leaving || !m->leaving))
			out[n++] = m->incarnation;
	}
	return n;
}

void bct_member_fleet(const bct_member_table_t *t, bct_fleet_t *out)
{
	const bct_member_t *self = &t->self->m;

	memset(out, 0, sizeof(*out));
	out->nodes = t->n_live;
	out->node_key = self->node_key;
	out->region_key = bct_hash_str(self->region);
	out->failure_domain_key = bct_hash_str(self->failure_domain);
	for (uint32_t i = 0; i < t->n; i++) {
		const bct_member_t *m = &t->slots[i]->m;

		if (m->liveness != BCT_MEMBER_DEAD && m->incarnation < self->incarnation)
			out->rank++;
	}
}

void bct_member_counters(const bct_member_table_t *t, bct_member_counters_t *out)
{
	*out = t->counters;
}
