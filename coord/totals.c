/*
 * totals.c - the state machine: when partial sums and totals are sent, received, expired and
 * reported.
 */
#include "coord/totals_int.h"
#include "base/err.h"
#include "base/mem.h"

#include <stdlib.h>
#include <string.h>

/*
 * Queues one entry for flush() and charges it to the byte budget, unless it is for this node
 * itself. Without memory the entry is not sent.
 */
static void enqueue(bct_totals_t *t, bct_time_t now, uint64_t to, bool total, const entry_t *e,
		    uint32_t level, uint32_t group, const partial_t *value)
{
	outgoing_t *out;

	if (t->n_out == t->cap_out) {
		uint32_t cap = t->cap_out ? t->cap_out * 2 : 64;
		outgoing_t *v = bct_realloc(t->out, cap * sizeof(*v));

		if (!v)
			return;
		t->out = v;
		t->cap_out = cap;
	}
	out = &t->out[t->n_out++];
	out->to = to;
	out->total = total;
	bct_totals_encode(now, e->id, level, group, value, &out->part);
	t->tokens_bytes -= to == t->self ? 0 : ENTRY_BYTES;
}

/* Withdraws an entry's partial sum from its parent by sending a sum of 0 nodes. */
static void withdraw(bct_totals_t *t, bct_time_t now, entry_t *e)
{
	partial_t none = { .sampled_at = now };

	if (e->up.to)
		enqueue(t, now, e->up.to, false, e, e->up.to_level, e->up.to_group, &none);
	e->up.to = 0;
}

static void record_sent(last_sent_t *s, bct_time_t now, const partial_t *value)
{
	memcpy(s->v, value->v, sizeof(s->v));
	s->nodes = value->nodes;
	s->at = now;
}

static bct_time_t refresh_ms(const bct_totals_t *t)
{
	return t->group == NO_GROUP ? REFRESH_MS : GROUPED_REFRESH_MS;
}

/*
 * Sends an entry's sum to its parent: in each round if it changed or its refresh is due, and at the
 * next tick when the parent has moved. The first sum also goes at the next tick, but in a fleet
 * with groups it waits for the round.
 */
static void send_up(bct_totals_t *t, bct_time_t now, entry_t *e)
{
	uint32_t level, group;
	uint64_t to = bct_totals_parent(t, e, &level, &group);
	bct_time_t since = now - e->up.at;
	bool due = e->due_up;
	partial_t sum;

	e->due_up = false;
	if (!to || e->level == LEVEL_ROOT || now < e->settle_deadline)
		return;
	bct_totals_sum(e, &sum);
	if (to == e->up.to && level == e->up.to_level && group == e->up.to_group) {
		if (!due || (since < refresh_ms(t) && !bct_totals_differs(&sum, &e->up)))
			return;
	} else if (e->up.to) {
		t->counters.aggregator_moves++;
		withdraw(t, now, e);
	} else if (!due && group != NO_GROUP) {
		return;
	}
	if (!sum.nodes)
		return;
	e->up.to = to;
	e->up.to_level = level;
	e->up.to_group = group;
	record_sent(&e->up, now, &sum);
	enqueue(t, now, to, false, e, level, group, &sum);
}

/*
 * Sends the total to the children: at the root its own sum, at a group aggregator the total that
 * the root has sent. A child that has not been sent any total gets it in the next round, even if
 * the total did not change.
 */
static void send_down(bct_totals_t *t, bct_time_t now, entry_t *e)
{
	bct_time_t since = now - e->down.at;
	partial_t total = e->total;
	bool due = e->due_down, all;

	e->due_down = false;
	if (!due || e->level == LEVEL_LEAF || now < e->settle_deadline)
		return;
	if (e->level == LEVEL_ROOT)
		bct_totals_sum(e, &total);
	if (!total.nodes)
		return;
	all = since >= refresh_ms(t) || bct_totals_differs(&total, &e->down);
	if (all)
		record_sent(&e->down, now, &total);
	for (uint32_t i = 0; i < e->n; i++) {
		partial_t *p = &e->partials[i];
		bool leaf = e->level == LEVEL_GROUP || p->group == NO_GROUP;

		if (!all && p->total_sent)
			continue;
		p->total_sent = true;
		enqueue(t, now, p->from, true, e, leaf ? LEVEL_LEAF : LEVEL_GROUP,
			leaf ? NO_GROUP : p->group, &total);
	}
}

static int out_cmp(const void *a, const void *b)
{
	const outgoing_t *x = a, *y = b;

	if (x->to != y->to)
		return x->to < y->to ? -1 : 1;
	return (int)x->total - (int)y->total;
}

/* Sends entries of one kind to one node in one datagram. */
static void send_batch(bct_totals_t *t, bct_time_t now, const outgoing_t *first, uint32_t n)
{
	const bct_member_t *m = bct_member_find(t->opts.members, first->to);
	peer_part parts[ENTRIES_PER_DATAGRAM];
	peer_call call = { .kind = PEER_PARTS };
	bct_dest_t to;

	for (uint32_t i = 0; i < n; i++)
		parts[i] = first[i].part;
	call.peer_call_u.parts.total = first->total;
	call.peer_call_u.parts.parts.parts_len = n;
	call.peer_call_u.parts.parts.parts_val = parts;
	if (first->to == t->self) {
		bct_totals_receive(t, now, t->self, &call.peer_call_u.parts);
		return;
	}
	if (!m || m->liveness == BCT_MEMBER_DEAD)
		return;
	t->counters.partials_sent += n;
	t->tokens_bytes -= DATAGRAM_BYTES;
	to = (bct_dest_t){ .addr = m->peer, .incarnation = m->incarnation };
	t->opts.outbox->ops->call(t->opts.outbox, &to, ++t->xid, &call);
}

/* Sends the queue, sorted by receiver, with as many entries in a datagram as fit. */
static void flush(bct_totals_t *t, bct_time_t now)
{
	outgoing_t *out = t->out;
	uint32_t n = t->n_out;

	/* Entries for this node itself are handled in the loop and may queue more. */
	t->out = NULL;
	t->n_out = 0;
	t->cap_out = 0;
	if (n)
		qsort(out, n, sizeof(*out), out_cmp);
	for (uint32_t i = 0; i < n;) {
		uint32_t len = 1;

		while (i + len < n && len < ENTRIES_PER_DATAGRAM &&
		       !out_cmp(&out[i], &out[i + len]))
			len++;
		send_batch(t, now, &out[i], len);
		i += len;
	}
	bct_free(out);
}

static void tokens_refill(bct_totals_t *t, bct_time_t now)
{
	int64_t rate = t->opts.max_bytes_per_s;

	t->tokens_bytes += rate * (now - t->tokens_at) / BCT_MS_PER_S;
	t->tokens_at = now;
	if (t->tokens_bytes > rate * BURST_MS / BCT_MS_PER_S)
		t->tokens_bytes = rate * BURST_MS / BCT_MS_PER_S;
}

static void expire_partials(bct_totals_t *t, bct_time_t now, entry_t *e)
{
	if (e->level == LEVEL_LEAF)
		return;
	for (uint32_t i = e->n; i-- > 0;) {
		if (now - e->partials[i].received_at <= EXPIRE_MS)
			continue;
		t->counters.expired++;
		bct_totals_drop_partial(e, i);
	}
}

static void total_fill(const entry_t *e, bct_time_t now, bct_total_t *out)
{
	out->item = e->item;
	memcpy(out->item.v, e->total.v, sizeof(out->item.v));
	out->nodes = e->total.nodes;
	out->age_ms = (uint32_t)(now - e->total.sampled_at);
}

static void report_total(bct_totals_t *t, bct_time_t now, entry_t *e)
{
	bct_total_t total;

	e->reported_at = now;
	total_fill(e, now, &total);
	t->opts.total(t->opts.ctx, &total);
}

/* Reports a total again, with its age now, when none has arrived for two refresh intervals. */
static void report_stale_total(bct_totals_t *t, bct_time_t now, entry_t *e)
{
	if (e->level == LEVEL_LEAF && e->total.nodes && now - e->reported_at >= 2 * refresh_ms(t))
		report_total(t, now, e);
}

/* Starts a round of partial sums or of totals when its interval has passed. */
static void rounds_start(bct_totals_t *t, bct_time_t now)
{
	bool small = t->n_candidates <= SMALL_FLEET_NODES_MAX;
	bool up = now >= t->next_up, down = now >= t->next_down;

	if (up)
		t->next_up = now + (small ? UP_INTERVAL_MS : LARGE_FLEET_INTERVAL_MS);
	if (down)
		t->next_down = now + (small ? DOWN_INTERVAL_MS : LARGE_FLEET_INTERVAL_MS);
	for (uint32_t i = 0; i < t->n; i++) {
		t->entries[i]->due_up |= up;
		t->entries[i]->due_down |= down;
	}
}

bct_time_t bct_totals_tick(bct_totals_t *t, bct_time_t now)
{
	uint32_t n = t->n;

	if (now < t->next_tick)
		return t->next_tick;
	t->next_tick = now + TICK_MS;
	tokens_refill(t, now);
	rounds_start(t, now);
	for (uint32_t i = 0; i < n; i++) {
		entry_t *e = t->entries[(t->cursor + i) % n];

		expire_partials(t, now, e);
		report_stale_total(t, now, e);
		if (t->tokens_bytes <= 0) {
			t->counters.held_back++;
			t->cursor = (t->cursor + i) % n;
			break;
		}
		send_up(t, now, e);
		send_down(t, now, e);
	}
	flush(t, now);
	for (uint32_t i = t->n; i-- > 0;) {
		entry_t *e = t->entries[i];

		if (e->n)
			continue;
		withdraw(t, now, e);
		bct_totals_remove(t, i);
	}
	return t->next_tick;
}

/* Accepts a total only from the aggregator that this node sends to now; any other is stale. */
static void receive_total(bct_totals_t *t, bct_time_t now, uint64_t from, uint64_t id,
			  uint32_t level, uint32_t group, const partial_t *value)
{
	entry_t *e = bct_totals_find(t, id, level, group);

	t->counters.totals_received++;
	if (!e || e->up.to != from)
		return;
	e->total = *value;
	if (e->level == LEVEL_LEAF)
		report_total(t, now, e);
}

/*
 * Stores or withdraws the partial sum of a child. A withdrawal by a former aggregator of a group
 * does not remove the sum of the new one. When the aggregator of a group changed, total_sent is
 * cleared, because the new one has not been sent a total.
 */
static void receive_partial(bct_totals_t *t, bct_time_t now, uint64_t from, uint64_t id,
			    uint32_t level, uint32_t group, const partial_t *value)
{
	uint32_t child = level == LEVEL_ROOT ? group : NO_GROUP;
	uint32_t entry_group = level == LEVEL_GROUP ? group : NO_GROUP;
	entry_t *e;
	partial_t *partial;
	bool total_sent;

	t->counters.partials_received++;
	if (!value->nodes) {
		e = bct_totals_find(t, id, level, entry_group);
		partial = e ? bct_totals_partial(e, from, child, false) : NULL;
		if (partial && partial->from == from)
			bct_totals_drop_partial(e, (uint32_t)(partial - e->partials));
		return;
	}
	e = bct_totals_entry(t, now, id, level, entry_group);
	partial = e ? bct_totals_partial(e, from, child, true) : NULL;
	if (!partial) {
		t->counters.dropped++;
		return;
	}
	total_sent = partial->total_sent && partial->from == from;
	*partial = *value;
	partial->total_sent = total_sent;
	partial->from = from;
	partial->group = child;
	partial->received_at = now;
}

void bct_totals_receive(bct_totals_t *t, bct_time_t now, uint64_t from, const peer_parts *msg)
{
	for (uint32_t i = 0; i < msg->parts.parts_len; i++) {
		const peer_part *p = &msg->parts.parts_val[i];
		uint32_t level, group;
		partial_t value;

		bct_totals_decode(now, p, &level, &group, &value);
		if (msg->total)
			receive_total(t, now, from, p->id, level, group, &value);
		else if (level == LEVEL_GROUP || level == LEVEL_ROOT)
			receive_partial(t, now, from, p->id, level, group, &value);
		else
			t->counters.dropped++;
	}
}

enum { MERGE_SUM, MERGE_MAX };

bool bct_item_is_sum(bct_item_type_t type)
{
	static const bool sum[BCT_ITEM_COUNT] = {
#define DEF(name, merge, text) [BCT_ITEM_##name] = MERGE_##merge == MERGE_SUM,
		BCT_ITEM_LIST(DEF)
#undef DEF
	};

	return (uint32_t)type < BCT_ITEM_COUNT && sum[type];
}

static int publish_item(bct_totals_t *t, bct_time_t now, const bct_item_t *item)
{
	uint64_t id = bct_totals_id(item->type, item->key, item->key2);
	entry_t *e = bct_totals_entry(t, now, id, LEVEL_LEAF, NO_GROUP);
	partial_t *partial = e ? bct_totals_partial(e, t->self, NO_GROUP, true) : NULL;

	if (!partial)
		return t->n >= BCT_TOTALS_ITEMS_MAX ? -BCT_EFULL : -BCT_ENOMEM;
	partial->from = t->self;
	partial->group = NO_GROUP;
	partial->nodes = 1;
	partial->sampled_at = now;
	memcpy(partial->v, item->v, sizeof(partial->v));
	e->item = *item;
	e->published = true;
	return 0;
}

int bct_totals_publish(bct_totals_t *t, bct_time_t now, const bct_item_t *items, uint32_t n)
{
	int err = 0;

	for (uint32_t i = 0; i < t->n; i++)
		t->entries[i]->published = false;
	for (uint32_t i = 0; i < n && !err; i++) {
		if (bct_item_is_sum(items[i].type))
			err = publish_item(t, now, &items[i]);
	}
	/* The next tick withdraws and removes entries without partial sums. */
	for (uint32_t i = 0; i < t->n; i++) {
		entry_t *e = t->entries[i];

		if (e->level == LEVEL_LEAF && !e->published)
			e->n = 0;
	}
	return err;
}

static void drop_dead_partials(bct_totals_t *t, entry_t *e)
{
	for (uint32_t i = e->n; i-- > 0;) {
		const bct_member_t *m = bct_member_find(t->opts.members, e->partials[i].from);

		/* The group of a dead group aggregator continues under another one. */
		if (e->partials[i].group == NO_GROUP && (!m || m->liveness == BCT_MEMBER_DEAD))
			bct_totals_drop_partial(e, i);
	}
}

void bct_totals_members_changed(bct_totals_t *t, bct_time_t now)
{
	t->n_candidates = bct_member_live(t->opts.members, false, t->candidates, BCT_MEMBERS_MAX);
	/* If all nodes are leaving, they still aggregate. */
	if (!t->n_candidates)
		t->n_candidates =
			bct_member_live(t->opts.members, true, t->candidates, BCT_MEMBERS_MAX);
	t->members_changed_at = now;
	bct_totals_assign_aggregators(t);
	for (uint32_t i = 0; i < t->n; i++) {
		if (t->entries[i]->level != LEVEL_LEAF)
			drop_dead_partials(t, t->entries[i]);
	}
}

int bct_totals_new(const bct_totals_opts_t *opts, bct_time_t now, bct_totals_t **out)
{
	bct_totals_t *t;

	*out = NULL;
	if (!opts->members || !opts->outbox || !opts->total)
		return -BCT_EINVAL;
	t = bct_alloc(sizeof(*t));
	if (!t)
		return -BCT_ENOMEM;
	t->opts = *opts;
	if (!t->opts.max_bytes_per_s)
		t->opts.max_bytes_per_s = DEFAULT_BYTES_PER_S;
	t->self = bct_member_self(opts->members)->incarnation;
	t->tokens_at = now;
	t->candidates = bct_alloc(BCT_MEMBERS_MAX * sizeof(*t->candidates));
	if (!t->candidates) {
		bct_free(t);
		return -BCT_ENOMEM;
	}
	bct_totals_members_changed(t, now);
	/* The first call does not count as a change of members: nothing has to settle. */
	t->members_changed_at = now - AGGREGATOR_SETTLE_MS;
	*out = t;
	return 0;
}

void bct_totals_free(bct_totals_t *t)
{
	if (!t)
		return;
	while (t->n)
		bct_totals_remove(t, t->n - 1);
	bct_free(t->entries);
	bct_free(t->candidates);
	bct_free(t->out);
	bct_free(t);
}

int bct_totals_get(const bct_totals_t *t, bct_time_t now, bct_item_type_t type, uint64_t key,
		   uint64_t key2, bct_total_t *out)
{
	const entry_t *e = bct_totals_find(t, bct_totals_id(type, key, key2), LEVEL_LEAF, NO_GROUP);

	if (!e || !e->total.nodes)
		return -BCT_ENOT_FOUND;
	total_fill(e, now, out);
	return 0;
}

uint64_t bct_totals_bytes(const bct_totals_t *t)
{
	uint64_t bytes = sizeof(*t) + t->cap * sizeof(*t->entries) +
			 BCT_MEMBERS_MAX * sizeof(*t->candidates);

	for (uint32_t i = 0; i < t->n; i++)
		bytes += sizeof(entry_t) + t->entries[i]->cap * sizeof(partial_t);
	return bytes;
}

void bct_totals_counters(const bct_totals_t *t, bct_totals_counters_t *out)
{
	*out = t->counters;
}
