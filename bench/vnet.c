/*
 * vnet.c - see vnet.h. Datagrams in flight are in a binary heap; each step advances time by 1 ms.
 */
#include "bench/vnet.h"
#include "base/err.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SECRET "0123456789abcdef0123456789abcdef"
#define FLEET_INTERVAL_MS 200 /* least time between two notices of changed members */
#define START_MS 1000000

struct vdatagram {
	bct_time_t at; /* delivery */
	uint64_t seq;  /* order of sending; breaks ties, so that a seed gives the same run */
	uint32_t from; /* slots */
	uint32_t to;
	int len;
	uint8_t data[];
};

static bool earlier(const vdatagram_t *a, const vdatagram_t *b)
{
	return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

static void heap_push(vnet_t *net, vdatagram_t *d)
{
	uint32_t i;

	if (net->n_heap == net->cap_heap) {
		net->cap_heap = net->cap_heap ? net->cap_heap * 2 : 256;
		net->heap = realloc(net->heap, net->cap_heap * sizeof(vdatagram_t *));
	}
	for (i = net->n_heap++; i > 0 && earlier(d, net->heap[(i - 1) / 2]); i = (i - 1) / 2)
		net->heap[i] = net->heap[(i - 1) / 2];
	net->heap[i] = d;
}

static vdatagram_t *heap_pop(vnet_t *net)
{
	vdatagram_t *top = net->heap[0], *last = net->heap[--net->n_heap];
	uint32_t i = 0;

	for (;;) {
		uint32_t child = 2 * i + 1;

		if (child >= net->n_heap)
			break;
		if (child + 1 < net->n_heap && earlier(net->heap[child + 1], net->heap[child]))
			child++;
		if (!earlier(net->heap[child], last))
			break;
		net->heap[i] = net->heap[child];
		i = child;
	}
	net->heap[i] = last;
	return top;
}

static uint32_t random_delay(vnet_t *net)
{
	uint32_t spread = net->delay_max_ms - net->delay_min_ms + 1;

	return net->delay_min_ms + bct_rng_below(&net->rng, spread);
}

/* Puts a datagram in flight, possibly duplicated; each copy may be lost. The port is the slot. */
static void transmit(vnode_t *from, const bct_dest_t *to, uint32_t kind, const uint8_t *data,
		     int len)
{
	vnet_t *net = from->net;
	uint32_t copies = 1 + (bct_rng_below(&net->rng, 1000) < net->duplicate_permille);

	if (len < 0)
		abort();
	from->sent++;
	from->sent_bytes += (uint32_t)len;
	from->sent_by_kind[kind % VNET_KINDS] += (uint32_t)len + VNET_UDP_IP_BYTES;
	if ((uint32_t)len > net->max_datagram_bytes)
		net->max_datagram_bytes = (uint32_t)len;
	for (uint32_t i = 0; i < copies; i++) {
		vdatagram_t *d;

		if (bct_rng_below(&net->rng, 1000) < net->loss_permille)
			continue;
		d = malloc(sizeof(*d) + (size_t)len);
		d->at = net->now + random_delay(net);
		d->seq = net->datagrams++;
		d->from = from->index;
		d->to = to->addr.port;
		d->len = len;
		memcpy(d->data, data, (size_t)len);
		heap_push(net, d);
	}
}

static void outbox_call(bct_outbox_t *o, const bct_dest_t *to, uint32_t xid, peer_call *call)
{
	vnode_t *n = (vnode_t *)o;
	uint8_t data[BCT_DATAGRAM_BYTES];

	transmit(n, to, call->kind, data, bct_wire_call(n->wire, to->incarnation, xid, call, data));
}

static void outbox_reply(bct_outbox_t *o, const bct_dest_t *to, uint32_t xid, peer_reply *reply)
{
	vnode_t *n = (vnode_t *)o;
	uint8_t data[BCT_DATAGRAM_BYTES];

	transmit(n, to, reply->kind, data,
		 bct_wire_reply(n->wire, to->incarnation, xid, reply, data));
}

static const bct_outbox_ops_t outbox_ops = { outbox_call, outbox_reply };

static void on_member(void *ctx, bct_member_event_type_t type, const bct_member_t *member)
{
	vnode_t *n = ctx;

	(void)member;
	n->died += type == BCT_MEMBER_DIED;
	if (type != BCT_MEMBER_INFO && type != BCT_MEMBER_SUSPECTED)
		n->fleet_dirty = true;
}

static void on_fact(void *ctx, const bct_fact_t *fact)
{
	vnode_t *n = ctx;

	if (fact->type == BCT_FACT_UPSTREAM_LEAVING)
		bct_watch_receive_fact(n->watch, n->net->now, fact);
	else
		n->fact = *fact;
}

static void on_total(void *ctx, const bct_total_t *total)
{
	vnode_t *n = ctx;

	n->total = *total;
	n->totals_received++;
	n->total_age_ms += total->age_ms;
}

static void on_report(void *ctx, const bct_report_t *report)
{
	vnode_t *n = ctx;

	n->report = *report;
	n->reports++;
}

static void on_cache_event(void *ctx, const bct_cache_event_t *event)
{
	(void)event;
	((vnode_t *)ctx)->cache_events++;
}

static void on_leaving(void *ctx, uint64_t upstream_key, bool leaving)
{
	vnode_t *n = ctx;

	n->leaving_upstream = leaving ? upstream_key : 0;
	n->leaving_at = n->net->now;
}

vnet_t *vnet_new(uint64_t seed)
{
	vnet_t *net = calloc(1, sizeof(*net));

	if (!net)
		return NULL;
	net->seed = seed;
	bct_rng_seed(&net->rng, seed);
	net->now = START_MS;
	net->delay_min_ms = 1;
	net->delay_max_ms = 1;
	net->n_domains = 7;
	return net;
}

static void node_free(vnode_t *n)
{
	bct_watch_free(n->watch);
	bct_totals_free(n->totals);
	bct_member_free(n->members);
	bct_wire_free(n->wire);
	n->watch = NULL;
	n->totals = NULL;
	n->members = NULL;
	n->wire = NULL;
	n->up = false;
}

void vnet_free(vnet_t *net)
{
	for (uint32_t i = 0; i < net->n; i++)
		node_free(&net->nodes[i]);
	while (net->n_heap)
		free(heap_pop(net));
	free(net->heap);
	free(net);
}

static bct_addr_t slot_addr(uint32_t index)
{
	return (bct_addr_t){ .ip = { 10, 0, (uint8_t)(index >> 8), (uint8_t)index },
			     .ip_len_bytes = 4,
			     .port = (uint16_t)index };
}

/* The first four failure domains are one region, the others another. */
static void fill_self(vnode_t *n, bct_member_t *self)
{
	uint32_t domain = n->index % n->net->n_domains;

	memset(self, 0, sizeof(*self));
	self->incarnation = n->incarnation;
	snprintf(self->name, sizeof(self->name), "vm-%u", n->index);
	snprintf(self->failure_domain, sizeof(self->failure_domain), "domain-%u", domain);
	snprintf(self->region, sizeof(self->region), "region-%u", domain < 4 ? 0u : 1u);
	self->peer = n->addr;
	self->caller = n->addr;
	self->admin = n->addr;
}

static void components_new(vnode_t *n, const bct_addr_t *seed)
{
	bct_member_opts_t member = { .seed = n->incarnation,
				     .seeds = seed,
				     .n_seeds = seed != NULL,
				     .outbox = &n->outbox,
				     .event = on_member,
				     .fact = on_fact,
				     .ctx = n };
	bct_totals_opts_t totals = { .outbox = &n->outbox, .total = on_total, .ctx = n };
	bct_watch_opts_t watch = { .outbox = &n->outbox,
				   .report = on_report,
				   .cache_event = on_cache_event,
				   .leaving = on_leaving,
				   .ctx = n };
	vnet_t *net = n->net;

	fill_self(n, &member.self);
	if (bct_wire_new(n->incarnation, SECRET, strlen(SECRET), &n->wire) ||
	    bct_member_new(&member, net->now, &n->members))
		abort();
	totals.members = n->members;
	watch.members = n->members;
	if (bct_totals_new(&totals, net->now, &n->totals) ||
	    bct_watch_new(&watch, net->now, &n->watch) ||
	    bct_watch_set_engines(n->watch, net->now, net->engines, net->n_engines))
		abort();
}

void vnet_start(vnet_t *net, uint32_t index, uint32_t seed_index)
{
	vnode_t *n = &net->nodes[index];
	bct_addr_t seed = slot_addr(seed_index);

	node_free(n);
	memset(n, 0, sizeof(*n));
	n->outbox.ops = &outbox_ops;
	n->net = net;
	n->index = index;
	n->addr = slot_addr(index);
	n->incarnation = bct_hash_mix(net->seed, ++net->n_started);
	n->up = true;
	n->next_tick = net->now + bct_rng_below(&net->rng, 1000);
	components_new(n, seed_index == index ? NULL : &seed);
	if (index >= net->n)
		net->n = index + 1;
}

void vnet_start_all(vnet_t *net, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++)
		vnet_start(net, i, 0);
}

void vnet_crash(vnet_t *net, uint32_t index)
{
	node_free(&net->nodes[index]);
}

void vnet_pause(vnet_t *net, uint32_t index, bool paused)
{
	net->nodes[index].paused = paused;
}

void vnet_leave(vnet_t *net, uint32_t index)
{
	vnode_t *n = &net->nodes[index];

	n->leaving = true;
	n->fleet_dirty = true;
	bct_member_set_leaving(n->members, net->now);
}

void vnet_partition(vnet_t *net, uint32_t split, bool block_up, bool block_down)
{
	for (uint32_t i = 0; i < VNET_NODES_MAX; i++) {
		for (uint32_t j = 0; j < VNET_NODES_MAX; j++) {
			if (i < split && j >= split)
				net->blocked[i][j] = block_up;
			else if (i >= split && j < split)
				net->blocked[i][j] = block_down;
		}
	}
}

/* Passes a message to the component that handles its kind. */
static void dispatch(vnode_t *n, const bct_addr_t *src, bct_wire_msg_t *msg)
{
	bct_time_t now = n->net->now;
	uint32_t kind = msg->is_reply ? msg->u.reply.kind : msg->u.call.kind;

	if (kind == PEER_PARTS)
		bct_totals_receive(n->totals, now, msg->from, &msg->u.call.peer_call_u.parts);
	else if (kind == PEER_REPORTS)
		bct_watch_receive(n->watch, now, msg->from, &msg->u.call.peer_call_u.reports);
	else
		bct_member_receive(n->members, now, src, msg);
}

static void arrive(vnet_t *net, const vdatagram_t *d)
{
	vnode_t *n = &net->nodes[d->to];
	bct_addr_t src = slot_addr(d->from);
	bct_wire_msg_t msg;

	if (d->to >= net->n || !n->up || net->blocked[d->from][d->to])
		return;
	n->received++;
	n->received_bytes += (uint32_t)d->len;
	if (bct_wire_open(n->wire, d->data, (size_t)d->len, &msg)) {
		n->refused++;
		return;
	}
	dispatch(n, &src, &msg);
	bct_wire_msg_free(&msg);
}

static void node_tick(vnode_t *n)
{
	bct_time_t now = n->net->now, next;

	next = bct_member_tick(n->members, now);
	if (n->fleet_dirty && now >= n->fleet_next) {
		n->fleet_dirty = false;
		n->fleet_next = now + FLEET_INTERVAL_MS;
		bct_totals_members_changed(n->totals, now);
		bct_watch_members_changed(n->watch, now);
	}
	n->next_tick = bct_totals_tick(n->totals, now);
	if (next < n->next_tick)
		n->next_tick = next;
	next = bct_watch_tick(n->watch, now);
	if (next < n->next_tick)
		n->next_tick = next;
}

static void step(vnet_t *net)
{
	net->now++;
	for (uint32_t i = 0; i < net->n; i++) {
		vnode_t *n = &net->nodes[i];

		if (n->up && !n->paused && n->next_tick <= net->now)
			node_tick(n);
	}
	while (net->n_heap && net->heap[0]->at <= net->now) {
		vdatagram_t *d = heap_pop(net);

		/* A suspended process receives its datagrams when it resumes. */
		if (net->nodes[d->to].up && net->nodes[d->to].paused) {
			d->at = net->now + 1;
			heap_push(net, d);
			continue;
		}
		arrive(net, d);
		free(d);
	}
	if (net->check)
		net->check(net);
}

void vnet_run(vnet_t *net, bct_time_t ms)
{
	for (bct_time_t i = 0; i < ms; i++)
		step(net);
}

bct_time_t vnet_run_until(vnet_t *net, bool (*done)(vnet_t *net), bct_time_t max_ms)
{
	for (bct_time_t i = 0; i <= max_ms; i++) {
		if (done(net))
			return i;
		step(net);
	}
	return -1;
}

const bct_member_t *vnet_find_member(vnet_t *net, uint32_t observer, uint32_t index)
{
	return bct_member_find(net->nodes[observer].members, net->nodes[index].incarnation);
}

static bool node_converged(vnet_t *net, uint32_t observer, uint32_t n_up)
{
	bct_fleet_t fleet;

	bct_member_fleet(net->nodes[observer].members, &fleet);
	if (fleet.nodes != n_up)
		return false;
	for (uint32_t i = 0; i < net->n; i++) {
		const bct_member_t *m;

		if (!net->nodes[i].up)
			continue;
		m = vnet_find_member(net, observer, i);
		if (!m || m->liveness != BCT_MEMBER_ALIVE || m->leaving != net->nodes[i].leaving)
			return false;
	}
	return true;
}

bool vnet_converged(vnet_t *net)
{
	uint32_t n_up = 0;

	for (uint32_t i = 0; i < net->n; i++)
		n_up += net->nodes[i].up;
	for (uint32_t i = 0; i < net->n; i++) {
		if (net->nodes[i].up && !node_converged(net, i, n_up))
			return false;
	}
	return true;
}
