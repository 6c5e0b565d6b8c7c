/*
 * registry_sync.c - keeps routes and upstreams in step with the registry.
 *
 * The event loop decides what is due (policy/gate_poll.h); a thread for each topic makes the calls
 * (registry_reader.h), so that a long transfer on one topic holds up no news on the other, and
 * pull.c the requests to peers. The topics are polled at an interval instead of by long polls:
 * upstreams write heartbeats all the time, and a long poll would return for each of them.
 */
#include "base/err.h"
#include "base/mem.h"
#include "base/names.h"
#include "gate/pull.h"
#include "gate/registry_reader.h"
#include "gate/registry_sync.h"
#include "gate/share.h"
#include "policy/gate_entry.h"

#include <errno.h>
#include <pthread.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

/* One topic. */
typedef struct topic_state {
	bct_registry_reader_t *reader;
	bool up;       /* the registry answered the last call */
	bool up_known; /* up has been set */
	bct_time_t pull_started_at;
} topic_state_t;

struct bct_registry_sync {
	bct_gate_t *gate;
	topic_state_t topics[BCT_REGISTRY_TOPICS];
	bool stopped; /* no more calls are made */
	int wake_fd;  /* eventfd: results are queued */
	struct event *wake;
	pthread_mutex_t lock; /* guards results, of bct_registry_result_t */
	bct_list_t results;
	bct_gate_poll_t poll;
	bct_pull_t *pull;
	bool knows_upstreams;		    /* the first listing has been applied */
	bool notify_peers;		    /* what is being applied is news from the registry */
	bct_names_t ready;		    /* upstreams that became ready and are not logged yet */
	const char *source;		    /* of what is being applied, for the log */
	bct_time_t fetch_ms;		    /* how long it took to fetch */
	bct_gate_position_t upstreams_next; /* of the registry's last answer on upstreams */
	uint64_t era;			    /* highest that is known; 0: none */
	bool era_malformed;		    /* the last answer stated one that can't be read */
};

/* Queues a result for the event loop. Called from the threads. */
static void on_result(void *ctx, bct_registry_result_t *d)
{
	bct_registry_sync_t *s = ctx;
	uint64_t one = 1;

	BCT_GATE_COUNT(s->gate, REGISTRY_CALLS);
	pthread_mutex_lock(&s->lock);
	bct_list_add_tail(&d->link, &s->results);
	pthread_mutex_unlock(&s->lock);
	if (write(s->wake_fd, &one, sizeof(one)) < 0 && errno != EAGAIN)
		BCT_LOG(s->gate->log, BCT_EV_REGISTRY_DOWN, BCT_ERR("error", -BCT_EIO));
}

/* Tells the table of upstreams whether the registry answers any node of the fleet. */
static void note_registry(bct_registry_sync_t *s)
{
	bct_time_t now = bct_clock_now();
	bool lost = bct_gate_poll_lost(&s->poll, now, BCT_REGISTRY_UPSTREAMS);

	bct_gate_upstreams_set_registry(&s->gate->upstreams, now, !lost);
}

static void start_pull(bct_registry_sync_t *s, bct_registry_topic_t topic, uint64_t from)
{
	int rc = bct_pull_start(s->pull, topic, from);

	if (!rc) {
		s->topics[topic].pull_started_at = bct_clock_now();
		return;
	}
	bct_gate_poll_pulled(&s->poll, topic, BCT_GATE_PULL_FAILED);
	BCT_LOG(s->gate->log, BCT_EV_PULL_FAILED, BCT_U64("topic", topic), BCT_HEX("peer", from),
		BCT_ERR("error", rc));
}

static void log_upstream(bct_gate_t *g, const char *id)
{
	const bct_gate_upstream_t *u = bct_gate_upstreams_find(&g->upstreams, id);

	if (!u)
		return;
	BCT_LOG(g->log, BCT_EV_UPSTREAM_PRESENCE, BCT_STR("upstream", id),
		BCT_U64("presence", u->presence), BCT_STR("service", u->entry.service),
		BCT_STR("domain", u->entry.zone), BCT_U64("spot", u->entry.spot),
		BCT_U64("leaves_ms", u->entry.leaves_ms), BCT_STR("address", u->entry.ip),
		BCT_U64("port", u->entry.port), BCT_STR("software", u->entry.software),
		BCT_U64("sequence", u->entry.sequence), BCT_U64("running", u->running));
}

/* Logs the upstreams that became ready lately. */
static void log_ready(bct_registry_sync_t *s, bct_time_t now)
{
	bct_log_t *log = s->gate->log;

	if (s->ready.n == 1)
		log_upstream(s->gate, s->ready.text);
	else if (s->ready.n)
		BCT_LOG(log, BCT_EV_UPSTREAMS_READY, BCT_U64("count", s->ready.n),
			BCT_STR("upstreams", s->ready.text),
			BCT_I64("within_ms", now - s->ready.since),
			BCT_U64("known", s->gate->upstreams.n));
	bct_names_clear(&s->ready);
}

/* Does what is due on a topic. */
static void follow(bct_registry_sync_t *s, bct_time_t now, bct_registry_topic_t topic)
{
	bct_gate_t *g = s->gate;
	bct_registry_reader_t *reader = s->topics[topic].reader;
	bct_gate_local_versions_t local = {
		.rank = g->rank,
		.routes_version = g->routes ? g->routes->version : 0,
		.upstreams_digest = bct_gate_upstreams_digest(&g->upstreams),
		.busy = bct_registry_reader_busy(reader),
	};
	bct_gate_due_t due;

	if (s->stopped)
		return;
	s->poll.message_interval_ms = bct_share_versions_interval_ms(g->share);
	due = bct_gate_poll_due(&s->poll, now, topic, &local);
	if (due.act == BCT_GATE_POLL_PULL)
		start_pull(s, topic, due.from);
	else if (due.act)
		bct_registry_reader_call(reader, due.act);
}

void bct_registry_sync_tick(bct_registry_sync_t *s)
{
	bct_time_t now = bct_clock_now();

	note_registry(s);
	if (now >= bct_names_due_at(&s->ready))
		log_ready(s, now);
	for (uint32_t i = 0; i < BCT_REGISTRY_TOPICS; i++)
		follow(s, now, (bct_registry_topic_t)i);
}

void bct_registry_sync_confirm(bct_registry_sync_t *s, bct_time_t at)
{
	bct_gate_poll_confirm(&s->poll, at);
	follow(s, bct_clock_now(), BCT_REGISTRY_UPSTREAMS);
}

bct_time_t bct_registry_sync_as_of(const bct_registry_sync_t *s)
{
	return bct_gate_poll_as_of(&s->poll);
}

void bct_registry_sync_peer_versions(bct_registry_sync_t *s, const bct_gate_peer_versions_t *h)
{
	bct_gate_poll_received(&s->poll, h);
	note_registry(s);
}

bct_time_t bct_registry_sync_age_ms(const bct_registry_sync_t *s, bct_time_t now)
{
	bct_time_t routes = bct_registry_sync_read(s, BCT_REGISTRY_ROUTES, false).answered_at;
	bct_time_t upstreams = bct_registry_sync_read(s, BCT_REGISTRY_UPSTREAMS, false).answered_at;

	return now - (routes < upstreams ? routes : upstreams);
}

bct_gate_read_t bct_registry_sync_read(const bct_registry_sync_t *s, bct_registry_topic_t topic,
				       bool own_only)
{
	return bct_gate_poll_latest(&s->poll, topic, own_only);
}

bool bct_registry_sync_advertises(const bct_registry_sync_t *s)
{
	return bct_gate_poll_advertises(&s->poll, bct_clock_now(), s->gate->rank);
}

/*
 * An answer that records expired shows that the registry is reachable, too. Like one that does not
 * hold all changes, it does not tell the state of the topic.
 */
static void note_health(bct_registry_sync_t *s, const bct_registry_result_t *d)
{
	topic_state_t *t = &s->topics[d->topic];
	bct_time_t now = bct_clock_now();
	bool up = !d->rc || d->rc == -BCT_EEXPIRED;

	bct_gate_poll_result(&s->poll, now, d->topic, d->rc || d->batch.more ? 0 : d->started_at,
			     up);
	note_registry(s);
	if (t->up_known && up == t->up)
		return;
	t->up_known = true;
	t->up = up;
	if (up)
		BCT_LOG(s->gate->log, BCT_EV_REGISTRY_UP, BCT_U64("topic", d->topic),
			BCT_U64("version", s->gate->routes ? s->gate->routes->version : 0));
	else
		BCT_LOG(s->gate->log, BCT_EV_REGISTRY_DOWN, BCT_ERR("error", d->rc),
			BCT_U64("topic", d->topic), BCT_U64("listing", d->listing),
			BCT_I64("took_ms", now - d->started_at),
			BCT_U64("received_bytes", d->batch.received_bytes));
}

/* Replaces the routes if there are none or the table is newer; then takes over its reference. */
static void adopt(bct_gate_t *g, bct_registry_change_t *c)
{
	uint64_t old_version = g->routes ? g->routes->version : 0;

	if (g->routes && c->table->version <= old_version) {
		if (c->table->version < old_version)
			BCT_LOG(g->log, BCT_EV_ROUTES_REFUSED,
				BCT_U64("version", c->table->version),
				BCT_U64("in_force", old_version), BCT_STR("why", "older"));
		return;
	}
	bct_gate_routes_unref(g->routes);
	g->routes = c->table;
	c->table = NULL;
	BCT_LOG(g->log, BCT_EV_ROUTES_ADOPTED, BCT_U64("version", g->routes->version),
		BCT_U64("was", old_version), BCT_U64("routes", g->routes->n_routes),
		BCT_U64("services", g->routes->n_services),
		BCT_U64("accounts", g->routes->n_accounts),
		BCT_U64("bytes", g->routes->record_bytes),
		BCT_STR("source", g->registry_sync->source),
		BCT_I64("fetch_ms", g->registry_sync->fetch_ms));
	bct_gate_routes_adopted(g);
}

/* One that becomes ready shares a line with others, as hundreds do at a start. */
static void log_change(bct_gate_t *g, const char *id, const bct_gate_upstream_t *u)
{
	bct_registry_sync_t *s = g->registry_sync;
	bct_time_t now = bct_clock_now();

	if (u && u->presence == BCT_GATE_READY && bct_names_add(&s->ready, now, id))
		return;
	log_ready(s, now);
	log_upstream(g, id);
}

/* Logs the new state of an upstream and sends it to the peers. */
static void upstream_changed(bct_gate_t *g, const char *id, bool notify_peers)
{
	const bct_gate_upstream_t *u = bct_gate_upstreams_find(&g->upstreams, id);

	log_change(g, id, u);
	if (u && notify_peers)
		bct_share_upstream_change(g->share, u);
}

static void log_unreadable(bct_gate_t *g, const char *record, const char *why)
{
	BCT_LOG(g->log, BCT_EV_REGISTRY_UNREADABLE, BCT_STR("record", record), BCT_STR("why", why));
}

/* returns whether the upstream changed. */
static bool apply_entry(bct_gate_t *g, const bct_gate_entry_t *e)
{
	int rc = bct_gate_upstreams_apply(&g->upstreams, bct_clock_now(), e);

	if (rc == -BCT_EINVAL)
		log_unreadable(g, e->id, bct_gate_entry_fault(e));
	return rc == 1;
}

bool bct_registry_sync_apply(bct_gate_t *g, bct_registry_change_t *c, bool notify_peers)
{
	bct_time_t now = bct_clock_now();
	bool changed = false;

	switch (c->kind) {
	case BCT_REGISTRY_TABLE:
		adopt(g, c);
		break;
	case BCT_REGISTRY_ENTRY:
		changed = apply_entry(g, &c->entry);
		break;
	case BCT_REGISTRY_REMOVED:
		changed = bct_gate_upstreams_remove(&g->upstreams, now, c->name, c->position) == 1;
		break;
	case BCT_REGISTRY_UNREADABLE:
		bct_gate_upstreams_hold(&g->upstreams, c->name);
		log_unreadable(g, c->name, "malformed");
		break;
	}
	if (changed)
		upstream_changed(g, c->name, notify_peers);
	return changed;
}

/*
 * Called for an upstream that a listing lacks. The removal is sent to the peers, unless the
 * upstream may be missing because of an outage of the registry.
 */
static void on_unlisted(void *ctx, const bct_gate_upstream_t *u)
{
	bct_gate_t *g = ctx;

	upstream_changed(g, u->entry.id,
			 g->registry_sync->notify_peers && u->presence == BCT_GATE_GONE);
}

/* Applies a full listing, or changes, of the registry or of a peer. */
static void apply_batch(bct_registry_sync_t *s, bct_registry_topic_t topic, bct_registry_batch_t *b,
			bool listing)
{
	bct_gate_t *g = s->gate;

	listing = listing && topic == BCT_REGISTRY_UPSTREAMS;
	if (listing)
		bct_gate_upstreams_list_begin(&g->upstreams);
	for (uint32_t i = 0; i < b->n; i++)
		bct_registry_sync_apply(g, &b->changes[i], s->notify_peers);
	if (listing)
		bct_gate_upstreams_list_end(&g->upstreams, bct_clock_now(), b->next);
	else if (topic == BCT_REGISTRY_UPSTREAMS)
		bct_gate_upstreams_reached(&g->upstreams, b->next);
	if (listing)
		s->knows_upstreams = true;
}

void bct_registry_sync_note_era(bct_registry_sync_t *s, uint64_t era, const char *source)
{
	uint64_t was = s->era;

	if (era <= was)
		return;
	s->era = era;
	BCT_LOG(s->gate->log, BCT_EV_REGISTRY_ERA, BCT_U64("era", era), BCT_U64("was", was),
		BCT_STR("source", source),
		BCT_U64("version", s->gate->routes ? s->gate->routes->version : 0),
		BCT_U64("upstreams", s->gate->upstreams.n));
	if (was)
		bct_gate_upstreams_new_era(&s->gate->upstreams, bct_clock_now());
}

/*
 * Notes the era of an answer. One of an earlier era than is known counts as none: its records may
 * have been replaced.
 */
static void check_era(bct_registry_sync_t *s, bct_registry_result_t *d)
{
	uint64_t era = bct_gate_position_era(d->batch.next);

	if (d->batch.era_malformed && !s->era_malformed)
		BCT_LOG(s->gate->log, BCT_EV_REGISTRY_ERA_BAD, BCT_U64("topic", d->topic),
			BCT_U64("era", s->era));
	s->era_malformed = d->batch.era_malformed;
	if (d->rc)
		return;
	if (era < s->era)
		d->rc = -BCT_ESTALE;
	else
		bct_registry_sync_note_era(s, era, "registry");
}

/* A log that ends before a position that it had reached was replaced by another one. */
static void check_replaced(bct_registry_sync_t *s, const bct_registry_result_t *d)
{
	if (d->topic != BCT_REGISTRY_UPSTREAMS)
		return;
	if (d->batch.next < s->upstreams_next)
		bct_gate_upstreams_log_replaced(&s->gate->upstreams);
	s->upstreams_next = d->batch.next;
}

/*
 * Applies the result of a call. Readers send the changes to the peers, but not those of the first
 * listing after the start: if all nodes that start did so, they would saturate their links.
 */
static void apply(bct_registry_sync_t *s, bct_registry_result_t *d)
{
	check_era(s, d);
	note_health(s, d);
	if (d->rc)
		return;
	check_replaced(s, d);
	if (d->batch.more)
		BCT_LOG(s->gate->log, BCT_EV_REGISTRY_BEHIND, BCT_U64("topic", d->topic),
			BCT_U64("records", d->batch.n),
			BCT_U64("received_bytes", d->batch.received_bytes));
	s->source = d->listing ? "listing" : "changes";
	s->fetch_ms = bct_clock_now() - d->started_at;
	s->notify_peers = s->knows_upstreams && bct_gate_poll_is_reader(&s->poll, bct_clock_now(),
									d->topic, s->gate->rank);
	apply_batch(s, d->topic, &d->batch, d->listing);
	s->notify_peers = false;
}

/* Applies what a peer answered to a pull. */
static void on_pulled(void *ctx, bct_registry_topic_t topic, bct_registry_batch_t *batch, int rc)
{
	bct_registry_sync_t *s = ctx;
	bct_gate_t *g = s->gate;
	uint64_t before = g->routes ? g->routes->version : 0;
	uint64_t digest = bct_gate_upstreams_digest(&g->upstreams);
	uint32_t n = batch->n;
	bool helped;

	s->source = "peer";
	s->fetch_ms = bct_clock_now() - s->topics[topic].pull_started_at;
	if (!rc)
		apply_batch(s, topic, batch, true);
	if (topic == BCT_REGISTRY_ROUTES)
		helped = g->routes && g->routes->version > before;
	else
		helped = bct_gate_upstreams_digest(&g->upstreams) != digest;
	bct_gate_poll_pulled(&s->poll, topic,
			     rc	      ? BCT_GATE_PULL_FAILED
			     : helped ? BCT_GATE_PULL_HELPED
				      : BCT_GATE_PULL_UNHELPFUL);
	if (rc)
		BCT_LOG(g->log, BCT_EV_PULL_FAILED, BCT_U64("topic", topic), BCT_ERR("error", rc),
			BCT_I64("took_ms", s->fetch_ms),
			BCT_U64("received_bytes", batch->received_bytes));
	else
		BCT_LOG(g->log, BCT_EV_PULLED, BCT_U64("topic", topic), BCT_U64("records", n),
			BCT_I64("took_ms", s->fetch_ms),
			BCT_U64("received_bytes", batch->received_bytes), BCT_U64("helped", helped),
			BCT_U64("version", g->routes ? g->routes->version : 0));
}

/* Applies the queued results. */
static void on_wake(evutil_socket_t fd, short what, void *ctx)
{
	bct_registry_sync_t *s = ctx;
	bct_list_t *el, *tmp, queued;
	uint64_t n;

	(void)what;
	if (read(fd, &n, sizeof(n)) < 0 && errno != EAGAIN)
		return;
	bct_list_init(&queued);
	pthread_mutex_lock(&s->lock);
	bct_list_for_each_safe(el, tmp, &s->results) {
		bct_list_del(el);
		bct_list_add_tail(el, &queued);
	}
	pthread_mutex_unlock(&s->lock);
	bct_list_for_each_safe(el, tmp, &queued) {
		bct_registry_result_t *d = bct_container_of(el, bct_registry_result_t, link);

		apply(s, d);
		bct_registry_result_free(d);
	}
}

static int start_reader(bct_registry_sync_t *s, bct_registry_topic_t topic)
{
	bct_registry_reader_opts_t o = {
		.registry = s->gate->opts.registry,
		.topic = topic,
		.timeout_ms = s->gate->settings->platform_timeout_ms,
		.on_result = on_result,
		.ctx = s,
	};

	return bct_registry_reader_new(&o, &s->topics[topic].reader);
}

int bct_registry_sync_new(bct_gate_t *g, bct_registry_sync_t **out)
{
	bct_registry_sync_t *s = bct_alloc(sizeof(*s));

	if (!s)
		return -BCT_ENOMEM;
	s->gate = g;
	g->upstreams.on_unlisted = on_unlisted;
	g->upstreams.ctx = g;
	bct_list_init(&s->results);
	pthread_mutex_init(&s->lock, NULL);
	bct_gate_poll_init(&s->poll, g->settings->platform_poll_ms);
	s->poll.call_limit_ms = g->settings->platform_timeout_ms;
	s->poll.self = g->peer ? bct_peer_incarnation(g->peer) : 0;
	s->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (s->wake_fd >= 0)
		s->wake = event_new(g->base, s->wake_fd, EV_READ | EV_PERSIST, on_wake, s);
	if (bct_pull_new(g, on_pulled, s, &s->pull) || !s->wake || event_add(s->wake, NULL) ||
	    start_reader(s, BCT_REGISTRY_ROUTES) || start_reader(s, BCT_REGISTRY_UPSTREAMS)) {
		bct_registry_sync_free(s);
		return -BCT_EIO;
	}
	*out = s;
	return 0;
}

void bct_registry_sync_stop(bct_registry_sync_t *s)
{
	s->stopped = true;
	for (uint32_t i = 0; i < BCT_REGISTRY_TOPICS; i++)
		bct_registry_reader_stop(s->topics[i].reader);
}

void bct_registry_sync_free(bct_registry_sync_t *s)
{
	bct_list_t *el, *tmp;

	if (!s)
		return;
	s->gate->opts.registry->ops->cancel(s->gate->opts.registry);
	for (uint32_t i = 0; i < BCT_REGISTRY_TOPICS; i++)
		bct_registry_reader_free(s->topics[i].reader);
	bct_pull_free(s->pull);
	bct_list_for_each_safe(el, tmp, &s->results) {
		bct_registry_result_t *d = bct_container_of(el, bct_registry_result_t, link);

		bct_list_del(el);
		bct_registry_result_free(d);
	}
	if (s->wake)
		event_free(s->wake);
	if (s->wake_fd >= 0)
		close(s->wake_fd);
	pthread_mutex_destroy(&s->lock);
	bct_free(s);
}
