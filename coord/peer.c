/*
 * peer.c - construction of a peer, and the functions that other threads call.
 */
#include "coord/peer_int.h"
#include "base/err.h"
#include "base/mem.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define SOCKET_BUFFER_BYTES (1 << 20)

/* Queues an event; without memory it is dropped and counted. The lock is held. */
void bct_peer_event(bct_peer_t *p, const event_t *e)
{
	events_t *q = &p->events;

	if (q->n == q->cap) {
		uint32_t cap = q->cap ? q->cap * 2 : 32;
		event_t *v = bct_realloc(q->v, cap * sizeof(*v));

		if (!v) {
			bct_counter_inc(&p->counters[BCT_PEER_QUEUE_FULL]);
			return;
		}
		q->v = v;
		q->cap = cap;
	}
	q->v[q->n++] = *e;
}

static void on_member(void *ctx, bct_member_event_type_t type, const bct_member_t *member)
{
	bct_peer_t *p = ctx;
	event_t e = { .type = EVENT_MEMBER };

	e.u.member.type = type;
	e.u.member.member = *member;
	if (type != BCT_MEMBER_INFO && type != BCT_MEMBER_SUSPECTED)
		p->fleet_dirty = true;
	bct_peer_event(p, &e);
}

/* A gossiped fact is either the leaving notice of an engine or a MAX item of the policy. */
static void on_fact(void *ctx, const bct_fact_t *fact)
{
	bct_peer_t *p = ctx;
	bct_time_t now = bct_clock_now();
	event_t e = { .type = EVENT_TOTAL };
	bct_item_t *item = &e.u.total.item;

	if (fact->type == BCT_FACT_UPSTREAM_LEAVING) {
		bct_watch_receive_fact(p->watch, now, fact);
		return;
	}
	if (fact->type >= BCT_ITEM_COUNT)
		return;
	item->type = (bct_item_type_t)fact->type;
	item->key = fact->key;
	item->key2 = fact->key2;
	memcpy(item->v, fact->v, sizeof(item->v));
	item->v[BCT_ITEM_VALUES - 1] = fact->expires - now;
	e.u.total.nodes = 1;
	bct_peer_event(p, &e);
}

static void on_total(void *ctx, const bct_total_t *total)
{
	bct_peer_event(ctx, &(event_t){ .type = EVENT_TOTAL, .u.total = *total });
}

static void on_report(void *ctx, const bct_report_t *report)
{
	bct_peer_event(ctx, &(event_t){ .type = EVENT_REPORT, .u.report = *report });
}

static void on_cache_event(void *ctx, const bct_cache_event_t *event)
{
	bct_peer_event(ctx, &(event_t){ .type = EVENT_CACHE, .u.cache = *event });
}

static void on_leaving(void *ctx, uint64_t upstream_key, bool leaving)
{
	event_t e = { .type = EVENT_LEAVING };

	e.u.leaving.key = upstream_key;
	e.u.leaving.leaving = leaving;
	bct_peer_event(ctx, &e);
}

/* Called by the hand-off on the peer's thread, without the lock held. */
static int on_offer(void *ctx, uint64_t have_revision, uint64_t revision,
		    const bct_digest_t *digest, const void *doc, size_t doc_bytes)
{
	bct_peer_t *p = ctx;

	if (!p->opts.ops->offer_config)
		return -BCT_ESTATE;
	return p->opts.ops->offer_config(p->opts.ctx, have_revision, revision, digest, doc,
					 doc_bytes);
}

/* Opens and binds the UDP socket and finds out its port. */
static int socket_open(bct_peer_t *p)
{
	struct sockaddr_in6 v6 = { .sin6_family = AF_INET6, .sin6_port = htons(p->opts.port) };
	struct sockaddr_in v4 = { .sin_family = AF_INET, .sin_port = htons(p->opts.port) };
	int bytes = SOCKET_BUFFER_BYTES;
	struct sockaddr *sa;
	bct_addr_t bind_to;
	socklen_t len;

	if (bct_addr_parse(p->opts.bind_address, p->opts.port, &bind_to))
		return -BCT_EINVAL;
	p->family = bind_to.ip_len_bytes == 4 ? AF_INET : AF_INET6;
	memcpy(&v4.sin_addr, bind_to.ip, sizeof(v4.sin_addr));
	memcpy(&v6.sin6_addr, bind_to.ip, sizeof(v6.sin6_addr));
	sa = p->family == AF_INET ? (struct sockaddr *)&v4 : (struct sockaddr *)&v6;
	len = p->family == AF_INET ? sizeof(v4) : sizeof(v6);
	p->fd = socket(p->family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	p->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (p->fd < 0 || p->wake_fd < 0 || bind(p->fd, sa, len))
		return -BCT_EIO;
	setsockopt(p->fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	if (getsockname(p->fd, sa, &len))
		return -BCT_EIO;
	p->port = ntohs(p->family == AF_INET ? v4.sin_port : v6.sin6_port);
	return 0;
}

static int name_copy(char *out, const char *name)
{
	size_t len = name ? strlen(name) : 0;

	if (len >= BCT_NAME_BYTES)
		return -BCT_EINVAL;
	if (len)
		memcpy(out, name, len);
	return 0;
}

static int addr_opt(const char *address, uint16_t port, bct_addr_t *out)
{
	return address ? bct_addr_parse(address, port, out) : 0;
}

/* Fills in this node's entry of the member table from the options. */
static int self_fill(const bct_peer_t *p, bct_member_t *self)
{
	const bct_peer_opts_t *o = &p->opts;
	const char *address = o->address ? o->address : o->bind_address;

	memset(self, 0, sizeof(*self));
	self->incarnation = p->incarnation;
	if (name_copy(self->name, o->name) || name_copy(self->failure_domain, o->failure_domain) ||
	    name_copy(self->region, o->region) || bct_addr_parse(address, p->port, &self->peer) ||
	    addr_opt(o->caller_address, o->caller_port, &self->caller) ||
	    addr_opt(o->admin_address, o->admin_port, &self->admin))
		return -BCT_EINVAL;
	return 0;
}

static int state_machines_new(bct_peer_t *p, bct_time_t now)
{
	bct_member_opts_t member = { .seed = p->incarnation,
				     .seeds = p->opts.seeds,
				     .n_seeds = p->opts.n_seeds,
				     .outbox = &p->outbox,
				     .event = on_member,
				     .fact = on_fact,
				     .ctx = p };
	bct_totals_opts_t totals = { .outbox = &p->outbox, .total = on_total, .ctx = p };
	bct_watch_opts_t watch = { .outbox = &p->outbox,
				   .subset = p->opts.subset,
				   .report = on_report,
				   .cache_event = on_cache_event,
				   .leaving = on_leaving,
				   .ctx = p };
	int err = self_fill(p, &member.self);

	if (!err)
		err = bct_wire_new(p->incarnation, p->opts.secret, p->opts.secret_bytes, &p->wire);
	if (!err)
		err = bct_member_new(&member, now, &p->members);
	totals.members = p->members;
	watch.members = p->members;
	if (!err)
		err = bct_totals_new(&totals, now, &p->totals);
	if (!err)
		err = bct_watch_new(&watch, now, &p->watch);
	return err;
}

int bct_peer_new(const bct_peer_opts_t *opts, bct_peer_t **out)
{
	bct_peer_t *p;
	int err;

	*out = NULL;
	if (!opts->ops || !opts->bind_address || !opts->name || !opts->secret)
		return -BCT_EINVAL;
	p = bct_alloc(sizeof(*p));
	if (!p)
		return -BCT_ENOMEM;
	p->outbox.ops = &bct_peer_outbox_ops;
	p->opts = *opts;
	p->member_log.log = opts->log;
	p->incarnation = opts->incarnation ? opts->incarnation : bct_random_id();
	p->fd = -1;
	p->wake_fd = -1;
	pthread_mutex_init(&p->lock, NULL);
	bct_rng_seed(&p->rng, p->incarnation);
	bct_handoff_init(&p->handoff, &(bct_handoff_opts_t){
					      .outbox = &p->outbox, .offer = on_offer, .ctx = p });
	err = socket_open(p);
	if (!err)
		err = state_machines_new(p, bct_clock_now());
	if (err) {
		bct_peer_free(p);
		return err;
	}
	*out = p;
	return 0;
}

int bct_peer_start(bct_peer_t *p)
{
	if (pthread_create(&p->thread, NULL, bct_peer_loop, p))
		return -BCT_EIO;
	p->started = true;
	return 0;
}

void bct_peer_wake(bct_peer_t *p)
{
	uint64_t one = 1;

	/* The write fails only when the eventfd counter is full; poll(2) returns then anyway. */
	if (write(p->wake_fd, &one, sizeof(one)) < 0)
		return;
}

void bct_peer_stop(bct_peer_t *p)
{
	if (!p->started)
		return;
	__atomic_store_n(&p->stop, true, __ATOMIC_RELEASE);
	bct_peer_wake(p);
	pthread_join(p->thread, NULL);
	p->started = false;
}

void bct_peer_free(bct_peer_t *p)
{
	if (!p)
		return;
	bct_peer_stop(p);
	bct_watch_free(p->watch);
	bct_totals_free(p->totals);
	bct_member_free(p->members);
	bct_wire_free(p->wire);
	bct_handoff_free(&p->handoff);
	bct_peer_events_free(&p->events);
	bct_peer_events_free(&p->delivering);
	if (p->fd >= 0)
		close(p->fd);
	if (p->wake_fd >= 0)
		close(p->wake_fd);
	pthread_mutex_destroy(&p->lock);
	bct_free(p);
}

uint16_t bct_peer_port(const bct_peer_t *p)
{
	return p->port;
}

uint64_t bct_peer_incarnation(const bct_peer_t *p)
{
	return p->incarnation;
}

void bct_peer_set_leaving(bct_peer_t *p)
{
	pthread_mutex_lock(&p->lock);
	bct_member_set_leaving(p->members, bct_clock_now());
	p->fleet_dirty = true;
	pthread_mutex_unlock(&p->lock);
	bct_peer_wake(p);
}

void bct_peer_set_revision(bct_peer_t *p, uint64_t revision, const bct_digest_t *digest)
{
	pthread_mutex_lock(&p->lock);
	p->info.revision = revision;
	memcpy(&p->info.digest, digest->bytes, sizeof(p->info.digest));
	bct_member_set_info(p->members, bct_clock_now(), &p->info);
	pthread_mutex_unlock(&p->lock);
	bct_peer_wake(p);
}

void bct_peer_set_load(bct_peer_t *p, uint32_t load_permille)
{
	pthread_mutex_lock(&p->lock);
	p->info.load_permille = load_permille;
	bct_member_set_info(p->members, bct_clock_now(), &p->info);
	pthread_mutex_unlock(&p->lock);
}

int bct_peer_set_seeds(bct_peer_t *p, const bct_addr_t *seeds, uint32_t n)
{
	int rc;

	pthread_mutex_lock(&p->lock);
	rc = bct_member_set_seeds(p->members, seeds, n);
	pthread_mutex_unlock(&p->lock);
	bct_peer_wake(p);
	return rc;
}

void bct_peer_vm_list(bct_peer_t *p, const bct_vm_list_t *list)
{
	pthread_mutex_lock(&p->lock);
	bct_member_vm_list(p->members, bct_clock_now(), list);
	pthread_mutex_unlock(&p->lock);
}

/* The last value of a MAX item is its time to live in ms; it becomes the expiry of the fact. */
static int publish_max(bct_peer_t *p, bct_time_t now, const bct_item_t *item)
{
	bct_fact_t f = { .type = item->type, .key = item->key, .key2 = item->key2 };

	memcpy(f.v, item->v, sizeof(f.v));
	f.v[BCT_ITEM_VALUES - 1] = 0;
	f.expires = now + item->v[BCT_ITEM_VALUES - 1];
	return bct_member_gossip_fact(p->members, now, &f);
}

int bct_peer_publish(bct_peer_t *p, const bct_item_t *items, uint32_t n)
{
	bct_time_t now = bct_clock_now();
	int err;

	pthread_mutex_lock(&p->lock);
	err = bct_totals_publish(p->totals, now, items, n);
	for (uint32_t i = 0; i < n && !err; i++) {
		if (!bct_item_is_sum(items[i].type))
			err = publish_max(p, now, &items[i]);
	}
	pthread_mutex_unlock(&p->lock);
	return err;
}

int bct_peer_total(bct_peer_t *p, bct_item_type_t type, uint64_t key, uint64_t key2,
		   bct_total_t *out)
{
	int err;

	pthread_mutex_lock(&p->lock);
	err = bct_totals_get(p->totals, bct_clock_now(), type, key, key2, out);
	pthread_mutex_unlock(&p->lock);
	return err;
}

int bct_peer_engines(bct_peer_t *p, const uint64_t *keys, uint32_t n)
{
	int err;

	pthread_mutex_lock(&p->lock);
	err = bct_watch_set_engines(p->watch, bct_clock_now(), keys, n);
	pthread_mutex_unlock(&p->lock);
	return err;
}

void bct_peer_want(bct_peer_t *p, const uint64_t *keys, uint32_t n)
{
	pthread_mutex_lock(&p->lock);
	bct_watch_subscribe(p->watch, bct_clock_now(), keys, n);
	pthread_mutex_unlock(&p->lock);
}

uint32_t bct_peer_watch_due(bct_peer_t *p, uint64_t *out, uint32_t max)
{
	uint32_t n;

	pthread_mutex_lock(&p->lock);
	n = bct_watch_due(p->watch, bct_clock_now(), out, max);
	pthread_mutex_unlock(&p->lock);
	return n;
}

void bct_peer_polled(bct_peer_t *p, const bct_report_t *report)
{
	pthread_mutex_lock(&p->lock);
	bct_watch_polled(p->watch, bct_clock_now(), report);
	pthread_mutex_unlock(&p->lock);
	bct_peer_wake(p);
}

void bct_peer_polled_events(bct_peer_t *p, const bct_cache_event_t *events, uint32_t n)
{
	pthread_mutex_lock(&p->lock);
	bct_watch_polled_events(p->watch, bct_clock_now(), events, n);
	pthread_mutex_unlock(&p->lock);
	bct_peer_wake(p);
}

uint32_t bct_peer_members(bct_peer_t *p, bct_member_t *out, uint32_t max)
{
	uint32_t n;

	pthread_mutex_lock(&p->lock);
	n = bct_member_count(p->members);
	if (n > max)
		n = max;
	for (uint32_t i = 0; i < n; i++)
		out[i] = *bct_member_at(p->members, i);
	pthread_mutex_unlock(&p->lock);
	return n;
}

void bct_peer_fleet(bct_peer_t *p, bct_fleet_t *out)
{
	pthread_mutex_lock(&p->lock);
	bct_member_fleet(p->members, out);
	pthread_mutex_unlock(&p->lock);
}

void bct_peer_entry_list(bct_peer_t *p, const char *failure_domain, bct_entry_list_t *out)
{
	const bct_member_t *members[BCT_MEMBERS_MAX];
	uint32_t n;

	pthread_mutex_lock(&p->lock);
	n = bct_member_count(p->members);
	for (uint32_t i = 0; i < n; i++)
		members[i] = bct_member_at(p->members, i);
	bct_entry_list(members, n, bct_clock_now(), failure_domain, &p->rng, out);
	pthread_mutex_unlock(&p->lock);
}

static const bct_counter_desc_t counter_desc[BCT_PEER_COUNTER_COUNT] = {
#define DEF(name, metric, label, type, help) { metric, (label) ? "kind" : NULL, label, type, help },
	BCT_PEER_COUNTER_LIST(DEF)
#undef DEF
};

/* Copies the counters of the state machines to the peer's counters. */
static void counters_collect(bct_peer_t *p)
{
	bct_counter_t *c = p->counters;
	bct_member_counters_t m;
	bct_totals_counters_t t;
	bct_watch_counters_t w;
	bct_fleet_t fleet;

	pthread_mutex_lock(&p->lock);
	bct_member_counters(p->members, &m);
	bct_totals_counters(p->totals, &t);
	bct_watch_counters(p->watch, &w);
	bct_member_fleet(p->members, &fleet);
	pthread_mutex_unlock(&p->lock);
	bct_counter_set(&c[BCT_PEER_PROBES], m.probes);
	bct_counter_set(&c[BCT_PEER_PROBES_FAILED], m.probes_failed);
	bct_counter_set(&c[BCT_PEER_PROBES_RELAYED], m.relayed);
	bct_counter_set(&c[BCT_PEER_REFUTED], m.refuted);
	bct_counter_set(&c[BCT_PEER_PROCESS_RESUMES], m.process_resumes);
	bct_counter_set(&c[BCT_PEER_TAKEN_OVER], m.taken_over);
	bct_counter_set(&c[BCT_PEER_MEMBERS], fleet.nodes);
	bct_counter_set(&c[BCT_PEER_PARTS_SENT], t.partials_sent);
	bct_counter_set(&c[BCT_PEER_PARTS_RECEIVED], t.partials_received);
	bct_counter_set(&c[BCT_PEER_PARTS_EXPIRED], t.expired);
	bct_counter_set(&c[BCT_PEER_TOTALS_HELD], t.held_back);
	bct_counter_set(&c[BCT_PEER_AGGREGATOR_MOVES], t.aggregator_moves);
	bct_counter_set(&c[BCT_PEER_KEYFRAMES], w.keyframes_sent);
	bct_counter_set(&c[BCT_PEER_DELTAS], w.deltas_sent);
	bct_counter_set(&c[BCT_PEER_REPORTS_STALE], w.stale);
	bct_counter_set(&c[BCT_PEER_REPORTS_NO_KEYFRAME], w.no_keyframe);
	bct_counter_set(&c[BCT_PEER_BACKUP_POLLS], w.polled_as_backup);
}

uint64_t bct_peer_counter(bct_peer_t *p, bct_peer_counter_t which)
{
	counters_collect(p);
	return bct_counter_get(&p->counters[which]);
}

int bct_peer_counters_print(bct_peer_t *p, bct_buf_t *out)
{
	counters_collect(p);
	return bct_counters_print(out, counter_desc, p->counters, BCT_PEER_COUNTER_COUNT);
}
