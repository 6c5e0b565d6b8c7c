/*
 * peer_loop.c - the peer's thread: sending and receiving of datagrams, timers and callbacks.
 */
#include "coord/peer_int.h"
#include "base/err.h"
#include "base/mem.h"

#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DATAGRAMS_PER_LOOP 128 /* read before timers run again */
#define FLEET_INTERVAL_MS 200  /* minimum time between fleet events */
#define CONFIG_CHUNKS_PER_S 1000
#define WAIT_MAX_MS 1000
#define REFUSED_LOG_MS 10000 /* minimum time between log lines about refused datagrams */

static socklen_t addr_to_sockaddr(const bct_addr_t *a, struct sockaddr_storage *ss)
{
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)ss;
	struct sockaddr_in *v4 = (struct sockaddr_in *)ss;

	memset(ss, 0, sizeof(*ss));
	if (a->ip_len_bytes == 4) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons(a->port);
		memcpy(&v4->sin_addr, a->ip, 4);
		return sizeof(*v4);
	}
	v6->sin6_family = AF_INET6;
	v6->sin6_port = htons(a->port);
	memcpy(&v6->sin6_addr, a->ip, 16);
	return sizeof(*v6);
}

static void addr_from_sockaddr(const struct sockaddr_storage *ss, bct_addr_t *a)
{
	const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)ss;
	const struct sockaddr_in *v4 = (const struct sockaddr_in *)ss;

	memset(a, 0, sizeof(*a));
	if (ss->ss_family == AF_INET) {
		a->ip_len_bytes = 4;
		a->port = ntohs(v4->sin_port);
		memcpy(a->ip, &v4->sin_addr, 4);
	} else {
		a->ip_len_bytes = 16;
		a->port = ntohs(v6->sin6_port);
		memcpy(a->ip, &v6->sin6_addr, 16);
	}
}

/* Sends an encoded datagram; a negative len means that it did not fit in one. */
static void send_datagram(bct_peer_t *p, const bct_dest_t *to, const uint8_t *data, int len)
{
	struct sockaddr_storage ss;
	socklen_t ss_len;

	if (len < 0) {
		bct_counter_inc(&p->counters[BCT_PEER_TOO_LARGE]);
		return;
	}
	ss_len = addr_to_sockaddr(&to->addr, &ss);
	if (sendto(p->fd, data, (size_t)len, 0, (struct sockaddr *)&ss, ss_len) != len) {
		bct_counter_inc(&p->counters[BCT_PEER_SEND_FAILED]);
		return;
	}
	bct_counter_inc(&p->counters[BCT_PEER_SENT]);
	bct_counter_add(&p->counters[BCT_PEER_SENT_BYTES], (uint64_t)len);
}

static void outbox_call(bct_outbox_t *o, const bct_dest_t *to, uint32_t xid, peer_call *call)
{
	bct_peer_t *p = (bct_peer_t *)o;
	uint8_t data[BCT_DATAGRAM_BYTES];

	send_datagram(p, to, data, bct_wire_call(p->wire, to->incarnation, xid, call, data));
}

static void outbox_reply(bct_outbox_t *o, const bct_dest_t *to, uint32_t xid, peer_reply *reply)
{
	bct_peer_t *p = (bct_peer_t *)o;
	uint8_t data[BCT_DATAGRAM_BYTES];

	send_datagram(p, to, data, bct_wire_reply(p->wire, to->incarnation, xid, reply, data));
}

const bct_outbox_ops_t bct_peer_outbox_ops = { outbox_call, outbox_reply };

/* Queues a configuration message; it is handled by callbacks, after the lock is released. */
static void queue_config(bct_peer_t *p, const bct_dest_t *from, bct_wire_msg_t *msg)
{
	event_t e = { .type = msg->is_reply ? EVENT_CONFIG_REPLY : EVENT_CONFIG_CALL };

	e.u.config.from = *from;
	e.u.config.xid = msg->xid;
	if (!msg->is_reply) {
		e.u.config.call = msg->u.call.peer_call_u.config;
	} else {
		/* The event takes ownership of the data. */
		e.u.config.reply = msg->u.reply.peer_reply_u.config;
		msg->u.reply.peer_reply_u.config.data.data_val = NULL;
		msg->u.reply.peer_reply_u.config.data.data_len = 0;
	}
	bct_peer_event(p, &e);
}

static void dispatch(bct_peer_t *p, bct_time_t now, const bct_addr_t *src, bct_wire_msg_t *msg)
{
	bct_dest_t from = { .addr = *src, .incarnation = msg->from };
	uint32_t kind = msg->is_reply ? msg->u.reply.kind : msg->u.call.kind;

	switch (kind) {
	case PEER_CONFIG:
		queue_config(p, &from, msg);
		break;
	case PEER_PARTS:
		bct_totals_receive(p->totals, now, msg->from, &msg->u.call.peer_call_u.parts);
		break;
	case PEER_REPORTS:
		bct_watch_receive(p->watch, now, msg->from, &msg->u.call.peer_call_u.reports);
		break;
	default:
		bct_member_receive(p->members, now, src, msg);
		break;
	}
}

/* Counts a refused datagram and queues a log line, at a limited rate. */
static void count_refused(bct_peer_t *p, bct_time_t now, const bct_addr_t *src, int err)
{
	event_t e = { .type = EVENT_REFUSED };

	if (err == -BCT_EAUTH)
		bct_counter_inc(&p->counters[BCT_PEER_BAD_MAC]);
	else if (err == -BCT_EREPLAY)
		bct_counter_inc(&p->counters[BCT_PEER_REPLAYED]);
	else
		bct_counter_inc(&p->counters[BCT_PEER_MALFORMED]);
	if (now < p->refused_log_next)
		return;
	p->refused_log_next = now + REFUSED_LOG_MS;
	e.u.refused.src = *src;
	e.u.refused.err = err;
	bct_peer_event(p, &e);
}

static void receive_all(bct_peer_t *p, bct_time_t now)
{
	for (int i = 0; i < DATAGRAMS_PER_LOOP; i++) {
		uint8_t data[BCT_DATAGRAM_BYTES + 1];
		struct sockaddr_storage ss;
		socklen_t ss_len = sizeof(ss);
		ssize_t len =
			recvfrom(p->fd, data, sizeof(data), 0, (struct sockaddr *)&ss, &ss_len);
		bct_wire_msg_t msg;
		bct_addr_t src;
		int err;

		if (len < 0)
			return;
		bct_counter_inc(&p->counters[BCT_PEER_RECEIVED]);
		bct_counter_add(&p->counters[BCT_PEER_RECEIVED_BYTES], (uint64_t)len);
		addr_from_sockaddr(&ss, &src);
		err = bct_wire_open(p->wire, data, (size_t)len, &msg);
		if (err) {
			count_refused(p, now, &src, err);
			continue;
		}
		dispatch(p, now, &src, &msg);
		bct_wire_msg_free(&msg);
	}
}

/* Prefers a higher revision, then a member of this node's region. */
static bool is_better_source(const bct_member_t *m, const bct_member_t *best, const char *region)
{
	if (!best || m->info.revision != best->info.revision)
		return !best || m->info.revision > best->info.revision;
	return !strcmp(m->region, region) && strcmp(best->region, region);
}

/*
 * Offers the hand-off a member with a newer configuration, if there is one. The scan starts at a
 * random member, so that equally good sources share the load.
 */
static void find_config_source(bct_peer_t *p, bct_time_t now)
{
	const bct_member_t *self = bct_member_self(p->members);
	uint32_t n = bct_member_count(p->members);
	uint32_t start = bct_rng_below(&p->rng, n);
	const bct_member_t *best = NULL;

	bct_handoff_set_revision(&p->handoff, p->info.revision);
	for (uint32_t i = 0; i < n; i++) {
		const bct_member_t *m = bct_member_at(p->members, (start + i) % n);

		if (m->liveness == BCT_MEMBER_ALIVE && m->info.revision > p->info.revision &&
		    is_better_source(m, best, self->region))
			best = m;
	}
	if (best)
		bct_handoff_peer_revision(
			&p->handoff, now,
			&(bct_dest_t){ .addr = best->peer, .incarnation = best->incarnation },
			best->info.revision);
}

/* Passes a change of membership on to totals, watch and the fleet callback, at a limited rate. */
static void fleet_changed(bct_peer_t *p, bct_time_t now)
{
	event_t e = { .type = EVENT_FLEET };

	if (!p->fleet_dirty || now < p->fleet_next)
		return;
	p->fleet_dirty = false;
	p->fleet_next = now + FLEET_INTERVAL_MS;
	bct_totals_members_changed(p->totals, now);
	bct_watch_members_changed(p->watch, now);
	bct_member_fleet(p->members, &e.u.fleet);
	bct_peer_event(p, &e);
}

static bct_time_t min_time(bct_time_t a, bct_time_t b)
{
	return a < b ? a : b;
}

/* Runs all timers. Returns when to run them again at the latest. */
static bct_time_t tick_all(bct_peer_t *p, bct_time_t now)
{
	bct_time_t next = bct_member_tick(p->members, now);

	fleet_changed(p, now);
	if (p->fleet_dirty)
		next = min_time(next, p->fleet_next);
	next = min_time(next, bct_totals_tick(p->totals, now));
	next = min_time(next, bct_watch_tick(p->watch, now));
	find_config_source(p, now);
	next = min_time(next, bct_handoff_tick(&p->handoff, now));
	if (p->events.n)
		next = now;
	return next;
}

static void log_refused(bct_peer_t *p, const event_t *e)
{
	char addr[BCT_ADDR_PORT_BYTES];

	bct_addr_print(&e->u.refused.src, addr, sizeof(addr));
	BCT_LOG(p->opts.log, BCT_EV_PEER_AUTH_FAILED, BCT_STR("address", addr),
		BCT_ERR("reason", e->u.refused.err));
}

/*
 * Serves a chunk of the configuration. The rate is limited for all peers together: a token bucket
 * of CONFIG_CHUNKS_PER_S. Requests above it are dropped.
 */
static void serve_config(bct_peer_t *p, bct_time_t now, const event_t *e)
{
	const peer_config *c = &e->u.config.call;
	peer_reply reply = { .kind = PEER_CONFIG };
	peer_config_reply *r = &reply.peer_reply_u.config;
	uint8_t data[PEER_CHUNK_MAX];
	bct_peer_config_t info;
	int n;

	p->config_tokens += (now - p->config_tokens_at) * CONFIG_CHUNKS_PER_S / BCT_MS_PER_S;
	p->config_tokens_at = now;
	if (p->config_tokens > CONFIG_CHUNKS_PER_S)
		p->config_tokens = CONFIG_CHUNKS_PER_S;
	if (p->config_tokens <= 0 || !p->opts.ops->get_config) {
		bct_counter_inc(&p->counters[BCT_PEER_CONFIG_LIMITED]);
		return;
	}
	p->config_tokens--;
	memset(&info, 0, sizeof(info));
	n = p->opts.ops->get_config(p->opts.ctx, c->have_revision, c->revision, c->offset, data,
				    sizeof(data), &info);
	if (n < 0)
		return;
	r->revision = info.revision;
	memcpy(r->digest, info.digest.bytes, sizeof(r->digest));
	r->offset = c->offset;
	r->total_bytes = info.total_bytes;
	/* Pads the chunk with zeros to a multiple of 4; see peer_desc in schema/peer.x. */
	memset(&data[n], 0, sizeof(data) - (size_t)n);
	r->data.data_len = ((u_int)n + 3) & ~3u;
	r->data.data_val = (char *)data;
	pthread_mutex_lock(&p->lock);
	outbox_reply(&p->outbox, &e->u.config.from, e->u.config.xid, &reply);
	pthread_mutex_unlock(&p->lock);
}

static void event_free(event_t *e)
{
	if (e->type == EVENT_CONFIG_REPLY)
		xdr_free((xdrproc_t)xdr_peer_config_reply, &e->u.config.reply);
}

static void deliver(bct_peer_t *p, bct_time_t now, event_t *e)
{
	const bct_peer_ops_t *ops = p->opts.ops;
	void *ctx = p->opts.ctx;

	switch (e->type) {
	case EVENT_MEMBER:
		bct_member_log_change(&p->member_log, now, e->u.member.type, &e->u.member.member);
		if (ops->member)
			ops->member(ctx, e->u.member.type, &e->u.member.member);
		break;
	case EVENT_FLEET:
		if (ops->fleet)
			ops->fleet(ctx, &e->u.fleet);
		break;
	case EVENT_TOTAL:
		if (ops->total)
			ops->total(ctx, &e->u.total);
		break;
	case EVENT_REPORT:
		if (ops->report)
			ops->report(ctx, &e->u.report);
		break;
	case EVENT_CACHE:
		if (ops->cache_event)
			ops->cache_event(ctx, &e->u.cache);
		break;
	case EVENT_LEAVING:
		if (ops->upstream_leaving)
			ops->upstream_leaving(ctx, e->u.leaving.key, e->u.leaving.leaving);
		break;
	case EVENT_REFUSED:
		log_refused(p, e);
		break;
	case EVENT_CONFIG_CALL:
		serve_config(p, now, e);
		break;
	case EVENT_CONFIG_REPLY:
		bct_handoff_receive(&p->handoff, now, e->u.config.from.incarnation, e->u.config.xid,
				    &e->u.config.reply);
		break;
	}
}

void bct_peer_events_free(events_t *events)
{
	for (uint32_t i = 0; i < events->n; i++)
		event_free(&events->v[i]);
	bct_free(events->v);
	memset(events, 0, sizeof(*events));
}

/* Makes the callbacks of the queued events, without the lock. */
static void deliver_all(bct_peer_t *p, bct_time_t now)
{
	events_t empty = p->delivering;

	pthread_mutex_lock(&p->lock);
	p->delivering = p->events;
	p->events = empty;
	pthread_mutex_unlock(&p->lock);
	for (uint32_t i = 0; i < p->delivering.n; i++) {
		deliver(p, now, &p->delivering.v[i]);
		event_free(&p->delivering.v[i]);
	}
	p->delivering.n = 0;
	bct_counter_set(&p->counters[BCT_PEER_HANDOFFS], p->handoff.counters.fetches);
	bct_counter_set(&p->counters[BCT_PEER_HANDOFFS_DONE], p->handoff.counters.completed);
	bct_counter_set(&p->counters[BCT_PEER_HANDOFFS_ABANDONED], p->handoff.counters.abandoned);
}

static void wait_for_input(bct_peer_t *p, bct_time_t wait_ms)
{
	struct pollfd fds[2] = { { .fd = p->fd, .events = POLLIN },
				 { .fd = p->wake_fd, .events = POLLIN } };
	uint64_t wakeups;

	if (wait_ms < 0)
		wait_ms = 0;
	if (wait_ms > WAIT_MAX_MS)
		wait_ms = WAIT_MAX_MS;
	if (poll(fds, 2, (int)wait_ms) > 0 && fds[1].revents &&
	    read(p->wake_fd, &wakeups, sizeof(wakeups)) < 0)
		return;
}

void *bct_peer_loop(void *arg)
{
	bct_peer_t *p = arg;

	while (!__atomic_load_n(&p->stop, __ATOMIC_ACQUIRE)) {
		bct_time_t now = bct_clock_now(), next;

		/*
		 * Timers run before datagrams are read, so that a process resumed after suspension
		 * notices that before it handles datagrams received in the meantime.
		 */
		pthread_mutex_lock(&p->lock);
		next = tick_all(p, now);
		receive_all(p, now);
		if (p->fleet_dirty)
			next = min_time(next, p->fleet_next);
		pthread_mutex_unlock(&p->lock);
		deliver_all(p, now);
		next = min_time(next, bct_member_log_flush(&p->member_log, now, false));
		if (p->handoff.fetching)
			next = min_time(next, p->handoff.next_chunk);
		wait_for_input(p, next - bct_clock_now());
	}
	bct_member_log_flush(&p->member_log, bct_clock_now(), true);
	return NULL;
}
