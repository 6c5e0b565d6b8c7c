/*
 * member_probe.c - failure detector, joining through seeds, and anti-entropy sync of member tables.
 */
#include "coord/member_int.h"

#include <string.h>

static void call(bct_member_table_t *t, const bct_dest_t *to, uint32_t xid, peer_call *c)
{
	t->opts.outbox->ops->call(t->opts.outbox, to, xid, c);
}

static bct_dest_t dest_of(const slot_t *s)
{
	return (bct_dest_t){ .addr = s->m.peer, .incarnation = s->m.incarnation };
}

/* Picks a random member that is not dead, not this node and not `except`; NULL: there is none. */
slot_t *bct_probe_random(bct_member_table_t *t, uint64_t except)
{
	uint32_t start = bct_rng_below(&t->rng, t->n);

	for (uint32_t i = 0; i < t->n; i++) {
		slot_t *s = t->slots[(start + i) % t->n];

		if (s != t->self && s->m.incarnation != except && s->m.liveness != BCT_MEMBER_DEAD)
			return s;
	}
	return NULL;
}

static void ping_xid(bct_member_table_t *t, bct_time_t now, const bct_dest_t *to, uint32_t xid)
{
	peer_call c = { .kind = PEER_PING };
	gossip_buf_t b;

	/* A receiver merges nothing from a datagram for incarnation 0, so no updates are sent. */
	if (to->incarnation)
		bct_gossip_fill(t, now, to->incarnation, &b);
	else
		bct_gossip_begin(t, &b, 0);
	c.peer_call_u.ping = b.g;
	call(t, to, xid, &c);
}

void bct_probe_ping(bct_member_table_t *t, bct_time_t now, const bct_dest_t *to)
{
	ping_xid(t, now, to, ++t->xid);
}

void bct_probe_confirm(bct_member_table_t *t, bct_time_t now, slot_t *s)
{
	peer_call c = { .kind = PEER_PING };
	bct_dest_t to = dest_of(s);
	gossip_buf_t b;

	if (now < s->suspect_deadline - CONFIRM_MS || now < s->next_confirm)
		return;
	s->next_confirm = now + CONFIRM_INTERVAL_MS;
	bct_gossip_begin(t, &b, GOSSIP_BUDGET_BYTES);
	bct_gossip_put_status(&b, s);
	c.peer_call_u.ping = b.g;
	call(t, &to, ++t->xid, &c);
}

/* Draws a random probe order for the next round. */
static void probe_order_shuffle(bct_member_table_t *t)
{
	t->n_probe_order = 0;
	t->probe_order_at = 0;
	for (uint32_t i = 0; i < t->n; i++) {
		uint32_t j;

		if (t->slots[i] == t->self || t->slots[i]->m.liveness == BCT_MEMBER_DEAD)
			continue;
		j = bct_rng_below(&t->rng, t->n_probe_order + 1);
		t->probe_order[t->n_probe_order] = t->probe_order[j];
		t->probe_order[j] = t->slots[i]->m.incarnation;
		t->n_probe_order++;
	}
}

/* Next member to probe; each round probes every member once. NULL: there is none. */
static slot_t *next_target(bct_member_table_t *t)
{
	for (int pass = 0; pass < 2; pass++) {
		while (t->probe_order_at < t->n_probe_order) {
			slot_t *s = bct_member_slot(t, t->probe_order[t->probe_order_at++]);

			if (s && s->m.liveness != BCT_MEMBER_DEAD)
				return s;
		}
		probe_order_shuffle(t);
	}
	return NULL;
}

static bct_time_t ack_timeout_ms(const bct_member_table_t *t)
{
	return ACK_TIMEOUT_MS * (bct_time_t)(1 + t->health);
}

static void probe_start(bct_member_table_t *t, bct_time_t now)
{
	slot_t *s = next_target(t);
	bct_dest_t to;

	t->next_probe = now + PROBE_INTERVAL_MS;
	if (!s)
		return;
	t->counters.probes++;
	t->probe = (probe_t){ .target = s->m.incarnation,
			      .xid = ++t->xid,
			      .deadline = now + ack_timeout_ms(t) };
	to = dest_of(s);
	ping_xid(t, now, &to, t->probe.xid);
}

/* Asks other members to probe the target, as only the path from this node may be broken. */
static void probe_indirect(bct_member_table_t *t, bct_time_t now, const slot_t *target)
{
	peer_call c = { .kind = PEER_PING_REQ };
	bct_addr_t addr = target->m.peer;
	uint64_t last = target->m.incarnation;

	t->probe.indirect = true;
	t->probe.deadline = now + 2 * ack_timeout_ms(t);
	c.peer_call_u.ping_req.target = target->m.incarnation;
	c.peer_call_u.ping_req.addr.ip.ip_len = addr.ip_len_bytes;
	c.peer_call_u.ping_req.addr.ip.ip_val = (char *)addr.ip;
	c.peer_call_u.ping_req.addr.port = addr.port;
	for (uint32_t i = 0; i < INDIRECT_PROBES; i++) {
		const slot_t *helper = bct_probe_random(t, target->m.incarnation);
		bct_dest_t to;

		if (!helper || helper->m.incarnation == last)
			continue;
		last = helper->m.incarnation;
		to = dest_of(helper);
		call(t, &to, t->probe.xid, &c);
	}
}

/* No answer, direct or indirect. The cause may be this node, so its health gets worse. */
static void probe_failed(bct_member_table_t *t, bct_time_t now, slot_t *s)
{
	t->probe.target = 0;
	t->counters.probes_failed++;
	if (t->health < HEALTH_MAX)
		t->health++;
	if (s && s->m.liveness == BCT_MEMBER_ALIVE)
		bct_member_apply_status(t, now, s, s->m.number, BCT_MEMBER_SUSPECT, false);
}

void bct_probe_tick(bct_member_table_t *t, bct_time_t now)
{
	if (t->probe.target && now >= t->probe.deadline) {
		slot_t *s = bct_member_slot(t, t->probe.target);

		if (s && !t->probe.indirect && s->m.liveness != BCT_MEMBER_DEAD)
			probe_indirect(t, now, s);
		else
			probe_failed(t, now, s);
	}
	if (!t->probe.target && now >= t->next_probe)
		probe_start(t, now);
}

/*
 * This process resumed after suspension. Answers may have arrived unread in the meantime, so the
 * running probe is cancelled and each suspect's deadline is extended by the length of the pause.
 */
void bct_probe_resumed(bct_member_table_t *t, bct_time_t now, bct_time_t paused_ms)
{
	t->counters.process_resumes++;
	t->probe.target = 0;
	t->next_probe = now;
	t->next_contact = now;
	if (t->health < HEALTH_MAX)
		t->health++;
	for (uint32_t i = 0; i < t->n; i++)
		t->slots[i]->suspect_deadline += paused_ms;
}

/*
 * Another process answered at the member's address. As a process never changes its address, the
 * member is dead. Its status passes through suspect, since bct_member_apply_status() turns a death
 * of an alive member into a suspicion.
 */
static void probe_taken_over(bct_member_table_t *t, bct_time_t now, uint64_t incarnation)
{
	slot_t *s = bct_member_slot(t, incarnation);

	if (!s || s->m.liveness == BCT_MEMBER_DEAD)
		return;
	t->counters.taken_over++;
	bct_member_apply_status(t, now, s, s->m.number, BCT_MEMBER_SUSPECT, false);
	bct_member_apply_status(t, now, s, s->m.number, BCT_MEMBER_DEAD, false);
}

/* Passes an acknowledgement on to the node that asked for the indirect probe. */
static void relay_acked(bct_member_table_t *t, bct_time_t now, const bct_wire_msg_t *msg)
{
	for (uint32_t i = 0; i < RELAYS_MAX; i++) {
		relay_t *r = &t->relays[i];
		peer_reply reply = { .kind = PEER_PING_REQ };
		gossip_buf_t b;

		if (!r->target || r->xid != msg->xid || r->deadline < now || r->target != msg->from)
			continue;
		r->target = 0;
		bct_gossip_fill(t, now, r->requester.incarnation, &b);
		reply.peer_reply_u.ping_req = b.g;
		t->opts.outbox->ops->reply(t->opts.outbox, &r->requester, r->requester_xid, &reply);
	}
}

/* A reply to a ping or a ping request ends the running probe if its xid matches. */
void bct_probe_acked(bct_member_table_t *t, bct_time_t now, const bct_wire_msg_t *msg)
{
	bool direct = msg->u.reply.kind == PEER_PING;

	if (direct)
		relay_acked(t, now, msg);
	if (!t->probe.target || msg->xid != t->probe.xid)
		return;
	if (direct && msg->from != t->probe.target)
		probe_taken_over(t, now, t->probe.target);
	else if (direct && t->health)
		t->health--;
	t->probe.target = 0;
}

/* Serves a ping request: probes the target for the sender. */
void bct_probe_relay(bct_member_table_t *t, bct_time_t now, const bct_addr_t *src,
		     const bct_wire_msg_t *msg)
{
	const peer_ping_req *req = &msg->u.call.peer_call_u.ping_req;
	relay_t *r = &t->relays[t->relay_at++ % RELAYS_MAX];
	bct_dest_t to = { .incarnation = req->target };

	if ((req->addr.ip.ip_len != 4 && req->addr.ip.ip_len != 16) || !req->target)
		return;
	memcpy(to.addr.ip, req->addr.ip.ip_val, req->addr.ip.ip_len);
	to.addr.ip_len_bytes = (uint8_t)req->addr.ip.ip_len;
	to.addr.port = (uint16_t)req->addr.port;
	t->counters.relayed++;
	*r = (relay_t){ .xid = ++t->xid,
			.requester_xid = msg->xid,
			.target = req->target,
			.requester = { .addr = *src, .incarnation = msg->from },
			.deadline = now + RELAY_KEEP_MS };
	ping_xid(t, now, &to, r->xid);
}

static bool addr_is_live(const bct_member_table_t *t, const bct_addr_t *a)
{
	for (uint32_t i = 0; i < t->n; i++) {
		const bct_member_t *m = &t->slots[i]->m;

		if (m->liveness != BCT_MEMBER_DEAD && bct_addr_eq(&m->peer, a))
			return true;
	}
	return false;
}

/* Pings a seed unless it is the address of a live member. */
static void contact_seed(bct_member_table_t *t, bct_time_t now, uint32_t i)
{
	bct_dest_t to = { .addr = t->seeds[i] };

	if (!addr_is_live(t, &to.addr))
		bct_probe_ping(t, now, &to);
}

static void contact_random_seed(bct_member_table_t *t, bct_time_t now)
{
	if (t->n_seeds)
		contact_seed(t, now, bct_rng_below(&t->rng, t->n_seeds));
}

static void contact_new_seeds(bct_member_table_t *t, bct_time_t now)
{
	if (!t->contact_all_seeds)
		return;
	t->contact_all_seeds = false;
	for (uint32_t i = 0; i < t->n_configured_seeds; i++)
		contact_seed(t, now, i);
}

/* Pings one dead member, so that the halves of a fleet rejoin after a partition. */
static void contact_dead(bct_member_table_t *t, bct_time_t now)
{
	uint32_t start = bct_rng_below(&t->rng, t->n);

	for (uint32_t i = 0; i < t->n; i++) {
		const slot_t *s = t->slots[(start + i) % t->n];
		bct_dest_t to = dest_of(s);

		if (s->m.liveness != BCT_MEMBER_DEAD || addr_is_live(t, &s->m.peer))
			continue;
		bct_probe_ping(t, now, &to);
		return;
	}
}

void bct_join_tick(bct_member_table_t *t, bct_time_t now)
{
	contact_new_seeds(t, now);
	if (t->n_live == 1 && now >= t->next_join) {
		t->next_join = now + JOIN_INTERVAL_MS;
		contact_random_seed(t, now);
	}
	if (now >= t->next_contact) {
		t->next_contact = now + CONTACT_INTERVAL_MS;
		contact_random_seed(t, now);
		contact_dead(t, now);
	}
}

/*
 * Hashes the state that must agree between tables, in one bucket for each value of the upper 4 bits
 * of the incarnation. Suspicions are transient and omitted.
 */
static void bucket_hashes(const bct_member_table_t *t, uint64_t out[PEER_BUCKETS])
{
	memset(out, 0, PEER_BUCKETS * sizeof(*out));
	for (uint32_t i = 0; i < t->n; i++) {
		const bct_member_t *m = &t->slots[i]->m;

		if (m->liveness != BCT_MEMBER_DEAD)
			out[m->incarnation >> 60] ^=
				bct_hash_mix(m->incarnation, (uint64_t)m->number << 1 | m->leaving);
	}
}

void bct_sync_request(bct_member_table_t *t, const bct_dest_t *to, uint64_t cursor)
{
	peer_call c = { .kind = PEER_SYNC };

	c.peer_call_u.sync.cursor = cursor;
	bucket_hashes(t, c.peer_call_u.sync.buckets);
	t->sync_xid = ++t->xid;
	call(t, to, t->sync_xid, &c);
}

/*
 * Serves a sync: replies with the members in buckets whose hashes differ, starting at the cursor.
 * Members that do not fit follow with the next request, whose cursor is returned in `next`.
 */
void bct_sync_serve(bct_member_table_t *t, bct_time_t now, const bct_addr_t *src,
		    const bct_wire_msg_t *msg)
{
	const peer_sync *req = &msg->u.call.peer_call_u.sync;
	bct_dest_t to = { .addr = *src, .incarnation = msg->from };
	peer_reply reply = { .kind = PEER_SYNC };
	uint64_t local[PEER_BUCKETS];
	gossip_buf_t b;

	(void)now;
	bucket_hashes(t, local);
	bct_gossip_begin(t, &b, GOSSIP_BUDGET_BYTES);
	for (uint32_t i = 0; i < t->n; i++) {
		slot_t *s = t->slots[i];
		uint32_t bucket = (uint32_t)(s->m.incarnation >> 60);
		bool put;

		if (s->m.incarnation < req->cursor || local[bucket] == req->buckets[bucket])
			continue;
		put = s->m.liveness == BCT_MEMBER_DEAD ? bct_gossip_put_status(&b, s)
						       : bct_gossip_put_desc(&b, s);
		if (!put) {
			reply.peer_reply_u.sync.next = s->m.incarnation;
			break;
		}
	}
	reply.peer_reply_u.sync.gossip = b.g;
	t->opts.outbox->ops->reply(t->opts.outbox, &to, msg->xid, &reply);
}

/* Syncs with a random member. The interval doubles up to a limit that grows with the fleet. */
void bct_sync_tick(bct_member_table_t *t, bct_time_t now)
{
	bct_time_t longest_ms = SYNC_INTERVAL_MS + (bct_time_t)t->n_live * SYNC_PER_MEMBER_MS;
	const slot_t *s;
	bct_dest_t to;

	if (now < t->next_sync)
		return;
	t->next_sync = now + t->sync_interval_ms;
	t->sync_interval_ms *= 2;
	if (t->sync_interval_ms > longest_ms)
		t->sync_interval_ms = longest_ms;
	s = bct_probe_random(t, 0);
	if (!s)
		return;
	to = dest_of(s);
	bct_sync_request(t, &to, 0);
}

/*
 * Serves a ping. A sender that is unknown here, or that addressed another incarnation, gets the
 * description of this node too. Gossip is merged only if it was sent to this incarnation.
 */
static void ping_serve(bct_member_table_t *t, bct_time_t now, const bct_dest_t *from,
		       const bct_wire_msg_t *msg)
{
	bool known = bct_member_slot(t, msg->from) != NULL;
	peer_reply reply = { .kind = PEER_PING };
	gossip_buf_t b;

	if (msg->to == t->self->m.incarnation) {
		bct_gossip_merge(t, now, from, &msg->u.call.peer_call_u.ping);
		bct_gossip_fill(t, now, msg->from, &b);
	} else {
		bct_gossip_begin(t, &b, GOSSIP_BUDGET_BYTES);
	}
	if (!known || msg->to != t->self->m.incarnation) {
		/* Adds the room that GOSSIP_BUDGET_BYTES reserves for this description. */
		b.remaining_bytes += BCT_WIRE_BODY_BYTES - GOSSIP_BUDGET_BYTES - SELF_BYTES;
		bct_gossip_put_desc(&b, t->self);
	}
	reply.peer_reply_u.ping = b.g;
	t->opts.outbox->ops->reply(t->opts.outbox, from, msg->xid, &reply);
}

static void receive_call(bct_member_table_t *t, bct_time_t now, const bct_dest_t *from,
			 const bct_wire_msg_t *msg)
{
	const peer_call *c = &msg->u.call;

	if (c->kind == PEER_PING)
		ping_serve(t, now, from, msg);
	else if (c->kind == PEER_PING_REQ)
		bct_probe_relay(t, now, &from->addr, msg);
	else if (c->kind == PEER_SYNC)
		bct_sync_serve(t, now, &from->addr, msg);
	else if (c->kind == PEER_GOSSIP)
		bct_gossip_merge(t, now, from, &c->peer_call_u.gossip);
}

static void receive_reply(bct_member_table_t *t, bct_time_t now, const bct_dest_t *from,
			  const bct_wire_msg_t *msg)
{
	const peer_reply *r = &msg->u.reply;
	bool known = bct_member_slot(t, msg->from) != NULL;

	if (r->kind == PEER_PING || r->kind == PEER_PING_REQ) {
		bct_probe_acked(t, now, msg);
		bct_gossip_merge(t, now, from, &r->peer_reply_u.ping);
		if (!known && r->kind == PEER_PING)
			bct_sync_request(t, from, 0);
	} else if (r->kind == PEER_SYNC) {
		bct_gossip_merge(t, now, from, &r->peer_reply_u.sync.gossip);
		if (msg->xid == t->sync_xid && r->peer_reply_u.sync.next)
			bct_sync_request(t, from, r->peer_reply_u.sync.next);
	}
}

void bct_member_receive(bct_member_table_t *t, bct_time_t now, const bct_addr_t *src,
			const bct_wire_msg_t *msg)
{
	bct_dest_t from = { .addr = *src, .incarnation = msg->from };

	if (msg->is_reply)
		receive_reply(t, now, &from, msg);
	else
		receive_call(t, now, &from, msg);
}
