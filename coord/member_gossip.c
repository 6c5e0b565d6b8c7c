/*
 * member_gossip.c - gossip that each datagram carries: a bounded number of member updates and
 * facts.
 */
#include "coord/member_int.h"
#include "base/err.h"

#include <string.h>

/* Encoded sizes. */
#define STATUS_BYTES 16
#define INFO_BYTES 32
#define ITEM_BYTES 56
#define RENEW_STEP_MS 5000 /* an expiry extended by at most this is not gossiped */

/* Length of a name padded to a multiple of 4; see peer_desc in schema/peer.x. */
static uint32_t padded(const char *name)
{
	return ((uint32_t)strlen(name) + 3) & ~3u;
}

/* Encoded size of a member's description. */
static uint32_t desc_bytes(const bct_member_t *m)
{
	return 3 * 4 + padded(m->name) + padded(m->failure_domain) + padded(m->region) + 3 * 8 +
	       m->peer.ip_len_bytes + m->caller.ip_len_bytes + m->admin.ip_len_bytes +
	       STATUS_BYTES + INFO_BYTES;
}

static peer_member_status status_of(const bct_member_t *m)
{
	return (peer_member_status){ .incarnation = m->incarnation,
				     .number = m->number,
				     .state = m->liveness | (m->leaving ? PEER_LEAVING : 0u) };
}

static peer_info info_of(const bct_member_t *m)
{
	return (peer_info){ .incarnation = m->incarnation,
			    .seq = m->info.seq,
			    .load_permille = m->info.load_permille,
			    .revision = m->info.revision,
			    .digest = m->info.digest };
}

static peer_addr addr_encode(bct_addr_t *a)
{
	return (peer_addr){ .ip = { a->ip_len_bytes, (char *)a->ip }, .port = a->port };
}

static bool addr_decode(const peer_addr *p, bct_addr_t *out)
{
	memset(out, 0, sizeof(*out));
	if ((p->ip.ip_len != 0 && p->ip.ip_len != 4 && p->ip.ip_len != 16) || p->port > UINT16_MAX)
		return false;
	if (p->ip.ip_len)
		memcpy(out->ip, p->ip.ip_val, p->ip.ip_len);
	out->ip_len_bytes = (uint8_t)p->ip.ip_len;
	out->port = (uint16_t)p->port;
	return true;
}

/* Starts a datagram with the sender's status and info; all that is added uses up the budget. */
void bct_gossip_begin(bct_member_table_t *t, gossip_buf_t *b, uint32_t budget_bytes)
{
	memset(&b->g, 0, sizeof(b->g));
	b->remaining_bytes = budget_bytes;
	b->g.self = status_of(&t->self->m);
	b->g.info = info_of(&t->self->m);
	b->g.descs.descs_val = b->descs;
	b->g.statuses.statuses_val = b->statuses;
	b->g.infos.infos_val = b->infos;
	b->g.items.items_val = b->items;
}

/* Deducts bytes from the budget; false if too few remain or the array has `max` entries. */
static bool reserve_bytes(gossip_buf_t *b, uint32_t bytes, uint32_t used, uint32_t max)
{
	if (b->remaining_bytes < bytes || used >= max)
		return false;
	b->remaining_bytes -= bytes;
	return true;
}

bool bct_gossip_put_desc(gossip_buf_t *b, slot_t *s)
{
	bct_member_t *m = &s->m;
	peer_desc *d = &b->descs[b->g.descs.descs_len];

	if (!reserve_bytes(b, desc_bytes(m), b->g.descs.descs_len, GOSSIP_DESCS_MAX))
		return false;
	b->g.descs.descs_len++;
	*d = (peer_desc){ .name = { padded(m->name), m->name },
			  .failure_domain = { padded(m->failure_domain), m->failure_domain },
			  .region = { padded(m->region), m->region },
			  .peer = addr_encode(&m->peer),
			  .caller = addr_encode(&m->caller),
			  .admin = addr_encode(&m->admin),
			  .status = status_of(m),
			  .info = info_of(m) };
	return true;
}

bool bct_gossip_put_status(gossip_buf_t *b, const slot_t *s)
{
	if (!reserve_bytes(b, STATUS_BYTES, b->g.statuses.statuses_len, GOSSIP_STATUSES_MAX))
		return false;
	b->statuses[b->g.statuses.statuses_len++] = status_of(&s->m);
	return true;
}

static bool put_info(gossip_buf_t *b, const slot_t *s)
{
	if (!reserve_bytes(b, INFO_BYTES, b->g.infos.infos_len, GOSSIP_INFOS_MAX))
		return false;
	b->infos[b->g.infos.infos_len++] = info_of(&s->m);
	return true;
}

static bool put_item(gossip_buf_t *b, bct_time_t now, const bct_fact_t *f)
{
	peer_item *p = &b->items[b->g.items.items_len];

	if (!reserve_bytes(b, ITEM_BYTES, b->g.items.items_len, GOSSIP_ITEMS_MAX))
		return false;
	b->g.items.items_len++;
	p->type = f->type;
	p->expires_ms = (uint32_t)(f->expires - now);
	p->key = f->key;
	p->key2 = f->key2;
	memcpy(p->v, f->v, sizeof(p->v));
	return true;
}

/* Adds one member's pending update. A description includes the status and the info. */
static void put_member_update(gossip_buf_t *b, slot_t *s)
{
	if (s->tx_desc && s->m.liveness != BCT_MEMBER_DEAD) {
		if (bct_gossip_put_desc(b, s)) {
			s->tx_desc--;
			s->tx_status -= s->tx_status > 0;
			s->tx_info -= s->tx_info > 0;
		}
	} else if (s->tx_status) {
		if (bct_gossip_put_status(b, s))
			s->tx_status--;
	}
}

/* Whether a pending status tells of a suspicion, a refutation, a death or a leaving member. */
static bool is_pressing(const slot_t *s)
{
	return s->tx_status && (s->m.liveness != BCT_MEMBER_ALIVE || s->m.number || s->m.leaving);
}

/*
 * Adds statuses that cannot wait until the descriptions of a mass start are sent: a suspect that
 * does not hear of it, or whose refutation is late, is declared dead.
 */
static void put_pressing_statuses(bct_member_table_t *t, gossip_buf_t *b)
{
	uint32_t budget_end = b->remaining_bytes / 2;

	for (uint32_t i = 0; i < t->n && b->remaining_bytes > budget_end; i++) {
		slot_t *s = t->slots[(t->gossip_start + i) % t->n];

		if (is_pressing(s) && bct_gossip_put_status(b, s))
			s->tx_status--;
	}
}

/*
 * Fills a datagram for one member. In this order, until the budget is spent: the receiver's own
 * status if it is not believed alive, so that it can refute; facts; pressing statuses, in up to
 * half of the rest; member updates, each datagram starting one slot further; infos.
 */
void bct_gossip_fill(bct_member_table_t *t, bct_time_t now, uint64_t target, gossip_buf_t *b)
{
	const slot_t *to = bct_member_slot(t, target);

	bct_gossip_begin(t, b, GOSSIP_BUDGET_BYTES);
	if (to && to->m.liveness != BCT_MEMBER_ALIVE)
		bct_gossip_put_status(b, to);
	for (uint32_t i = 0; i < t->n_facts; i++) {
		fact_slot_t *f = &t->facts[i];

		if (f->tx && f->f.expires > now && put_item(b, now, &f->f))
			f->tx--;
	}
	t->gossip_start = t->gossip_start + 1 < t->n ? t->gossip_start + 1 : 0;
	put_pressing_statuses(t, b);
	for (uint32_t i = 0; i < t->n; i++)
		put_member_update(b, t->slots[(t->gossip_start + i) % t->n]);
	for (uint32_t i = 0; i < t->n; i++) {
		slot_t *s = t->slots[(t->gossip_start + i) % t->n];

		if (s->tx_info && put_info(b, s))
			s->tx_info--;
	}
}

static bool has_urgent_updates(const bct_member_table_t *t)
{
	for (uint32_t i = 0; i < t->n_facts; i++) {
		if (t->facts[i].tx)
			return true;
	}
	for (uint32_t i = 0; i < t->n; i++) {
		const slot_t *s = t->slots[i];

		if (s->tx_status || (s->tx_info && s->info_urgent) ||
		    (s->tx_desc && s->m.liveness != BCT_MEMBER_DEAD))
			return true;
	}
	return false;
}

/* Sends urgent updates to a few random members; other updates are only piggybacked on probes. */
void bct_gossip_round(bct_member_table_t *t, bct_time_t now)
{
	for (uint32_t i = 0; i < GOSSIP_FANOUT && has_urgent_updates(t); i++) {
		const slot_t *to = bct_probe_random(t, 0);
		peer_call call = { .kind = PEER_GOSSIP };
		gossip_buf_t b;
		bct_dest_t dest;

		if (!to)
			return;
		bct_gossip_fill(t, now, to->m.incarnation, &b);
		call.peer_call_u.gossip = b.g;
		dest = (bct_dest_t){ .addr = to->m.peer, .incarnation = to->m.incarnation };
		t->opts.outbox->ops->call(t->opts.outbox, &dest, ++t->xid, &call);
	}
}

/* Liveness of a received state; an unknown value counts as suspect. */
static bct_liveness_t liveness_of(uint32_t state)
{
	uint32_t v = state & ~(uint32_t)PEER_LEAVING;

	return v > BCT_MEMBER_DEAD ? BCT_MEMBER_SUSPECT : (bct_liveness_t)v;
}

static void merge_status(bct_member_table_t *t, bct_time_t now, const peer_member_status *f)
{
	slot_t *s = bct_member_slot(t, f->incarnation);

	if (s)
		bct_member_apply_status(t, now, s, f->number, liveness_of(f->state),
					f->state & PEER_LEAVING);
}

static bct_member_info_t info_decode(const peer_info *p)
{
	return (bct_member_info_t){ .seq = p->seq,
				    .load_permille = p->load_permille,
				    .revision = p->revision,
				    .digest = p->digest };
}

static void merge_info(bct_member_table_t *t, const peer_info *p)
{
	slot_t *s = bct_member_slot(t, p->incarnation);
	bct_member_info_t info = info_decode(p);

	if (s)
		bct_member_apply_info(t, s, &info);
}

/* `out` is zeroed by the caller. */
static void name_decode(const char *data, uint32_t len, char out[BCT_NAME_BYTES])
{
	if (len)
		memcpy(out, data, len < BCT_NAME_BYTES ? len : BCT_NAME_BYTES - 1);
}

/* Merges a description. An unknown member is added unless it is dead or an address is invalid. */
static void merge_desc(bct_member_table_t *t, bct_time_t now, const peer_desc *d)
{
	bct_member_t m = { .incarnation = d->status.incarnation, .number = d->status.number };

	if (bct_member_slot(t, m.incarnation)) {
		merge_status(t, now, &d->status);
		merge_info(t, &d->info);
		return;
	}
	m.liveness = liveness_of(d->status.state);
	m.leaving = d->status.state & PEER_LEAVING;
	m.info = info_decode(&d->info);
	if (!m.incarnation || m.liveness == BCT_MEMBER_DEAD || !addr_decode(&d->peer, &m.peer) ||
	    !addr_decode(&d->caller, &m.caller) || !addr_decode(&d->admin, &m.admin))
		return;
	name_decode(d->name.name_val, d->name.name_len, m.name);
	name_decode(d->failure_domain.failure_domain_val, d->failure_domain.failure_domain_len,
		    m.failure_domain);
	name_decode(d->region.region_val, d->region.region_len, m.region);
	bct_member_add(t, now, &m);
}

static fact_slot_t *fact_find(bct_member_table_t *t, const bct_fact_t *f)
{
	for (uint32_t i = 0; i < t->n_facts; i++) {
		const bct_fact_t *have = &t->facts[i].f;

		if (have->type == f->type && have->key == f->key && have->key2 == f->key2)
			return &t->facts[i];
	}
	return NULL;
}

/*
 * Merges a fact and queues it for gossip when that changed anything; an expiry extended by at most
 * RENEW_STEP_MS alone is not gossiped.
 *
 * returns  1 when the fact was new, raised or renewed, 0 when not, or -BCT_EFULL
 */
static int fact_merge(bct_member_table_t *t, const bct_fact_t *f)
{
	fact_slot_t *s = fact_find(t, f);
	bool changed = false;

	if (!s) {
		if (t->n_facts == FACTS_MAX) {
			t->counters.facts_dropped++;
			return -BCT_EFULL;
		}
		s = &t->facts[t->n_facts++];
		s->f = *f;
		changed = true;
	}
	for (int i = 0; i < BCT_ITEM_VALUES; i++) {
		changed = changed || f->v[i] > s->f.v[i];
		if (f->v[i] > s->f.v[i])
			s->f.v[i] = f->v[i];
	}
	if (f->expires > s->f.expires + RENEW_STEP_MS)
		changed = true;
	if (f->expires > s->f.expires)
		s->f.expires = f->expires;
	if (changed)
		s->tx = bct_member_tx_limit(t);
	return changed;
}

static void merge_item(bct_member_table_t *t, bct_time_t now, const peer_item *p)
{
	bct_fact_t f = {
		.type = p->type, .key = p->key, .key2 = p->key2, .expires = now + p->expires_ms
	};

	memcpy(f.v, p->v, sizeof(f.v));
	if (fact_merge(t, &f) > 0 && t->opts.fact)
		t->opts.fact(t->opts.ctx, &fact_find(t, &f)->f);
}

int bct_member_gossip_fact(bct_member_table_t *t, bct_time_t now, const bct_fact_t *fact)
{
	int err = fact_merge(t, fact);

	if (err > 0)
		t->next_gossip = now;
	return err < 0 ? err : 0;
}

void bct_gossip_expire(bct_member_table_t *t, bct_time_t now)
{
	for (uint32_t i = t->n_facts; i-- > 0;) {
		if (t->facts[i].f.expires <= now)
			t->facts[i] = t->facts[--t->n_facts];
	}
}

/*
 * If the sender is unknown or believed dead, asks it to describe or refute itself, at most once in
 * SYNC_REQUEST_MS for all senders.
 */
static void query_sender(bct_member_table_t *t, bct_time_t now, const bct_dest_t *from)
{
	const slot_t *s = bct_member_slot(t, from->incarnation);

	if (now - t->last_sync_request < SYNC_REQUEST_MS)
		return;
	if (!s) {
		t->last_sync_request = now;
		bct_sync_request(t, from, 0);
	} else if (s->m.liveness == BCT_MEMBER_DEAD) {
		t->last_sync_request = now;
		bct_probe_ping(t, now, from);
	}
}

/* Merges received gossip. The sender's own status and info must carry the sender's incarnation. */
void bct_gossip_merge(bct_member_table_t *t, bct_time_t now, const bct_dest_t *from,
		      const peer_gossip *g)
{
	for (uint32_t i = 0; i < g->descs.descs_len; i++)
		merge_desc(t, now, &g->descs.descs_val[i]);
	if (g->self.incarnation == from->incarnation && g->info.incarnation == from->incarnation) {
		merge_status(t, now, &g->self);
		merge_info(t, &g->info);
	}
	for (uint32_t i = 0; i < g->statuses.statuses_len; i++)
		merge_status(t, now, &g->statuses.statuses_val[i]);
	for (uint32_t i = 0; i < g->infos.infos_len; i++)
		merge_info(t, &g->infos.infos_val[i]);
	for (uint32_t i = 0; i < g->items.items_len; i++)
		merge_item(t, now, &g->items.items_val[i]);
	query_sender(t, now, from);
}
