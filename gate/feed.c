/*
 * feed.c - follows the registry on a thread of its own and hands what it reads to the event loop.
 *
 * The event loop says what is due (policy/gate_poll.h); the thread makes the calls, which block.
 * Each topic is listed once and then read from the listing's end; when records expired unread it is
 * listed again. Reads are paced instead of held open: upstreams write heartbeats all the time, and
 * a held read would return for each of them.
 */
#include "base/err.h"
#include "base/mem.h"
#include "gate/feed.h"
#include "gate/share.h"
#include "policy/gate_poll.h"

#include <errno.h>
#include <pthread.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

typedef struct delivery {
	bct_list_t link;
	bct_registry_topic_t topic;
	bct_registry_batch_t batch;
	bool listing;
	int rc; /* of the call */
} delivery_t;

struct bct_feed {
	bct_gate_t *gate;
	pthread_t thread;
	bool started;
	int wake_fd; /* the thread has delivered something */
	struct event *wake;
	pthread_mutex_t lock; /* guards all below */
	pthread_cond_t due_cond;
	bct_list_t deliveries;
	bct_gate_due_t due; /* what the thread is to ask */
	bool busy;	    /* it is asking */
	bool stop;
	/* Of the thread. */
	bool listed[BCT_REGISTRY_TOPICS];
	uint64_t next[BCT_REGISTRY_TOPICS];
	/* Of the event loop. */
	bct_gate_poll_t follow;
	bool up;
	bool known;	      /* up was told once */
	bool knows_upstreams; /* by a first listing */
};

static void deliver(bct_feed_t *f, delivery_t *d)
{
	uint64_t one = 1;

	pthread_mutex_lock(&f->lock);
	bct_list_add_tail(&d->link, &f->deliveries);
	pthread_mutex_unlock(&f->lock);
	if (write(f->wake_fd, &one, sizeof(one)) < 0 && errno != EAGAIN)
		BCT_LOG(f->gate->log, BCT_EV_REGISTRY_DOWN, BCT_ERR("error", -BCT_EIO));
}

/* One call for one topic. returns the call's error. */
static int read_topic(bct_feed_t *f, bct_registry_topic_t t)
{
	bct_registry_t *r = f->gate->opts.registry;
	uint32_t timeout_ms = f->gate->settings->platform_timeout_ms;
	delivery_t *d = bct_alloc(sizeof(*d));
	int rc;

	if (!d)
		return -BCT_ENOMEM;
	d->topic = t;
	d->listing = !f->listed[t];
	bct_list_init(&d->link);
	BCT_GATE_COUNT(f->gate, REGISTRY_CALLS);
	rc = d->listing ? r->ops->list(r, t, timeout_ms, &d->batch)
			: r->ops->changes(r, t, f->next[t], timeout_ms, &d->batch);
	d->rc = rc;
	if (!rc) {
		f->listed[t] = true;
		f->next[t] = d->batch.next;
	} else if (rc == -BCT_EEXPIRED) {
		f->listed[t] = false;
	}
	deliver(f, d);
	return rc;
}

/* Waits until something is due. returns false when the feed is being stopped. */
static bool next_due(bct_feed_t *f, bct_gate_due_t *due)
{
	bool stop;

	pthread_mutex_lock(&f->lock);
	f->busy = false;
	while (!f->stop && !f->due.routes && !f->due.upstreams)
		pthread_cond_wait(&f->due_cond, &f->lock);
	*due = f->due;
	memset(&f->due, 0, sizeof(f->due));
	f->busy = true;
	stop = f->stop;
	pthread_mutex_unlock(&f->lock);
	return !stop;
}

/* Reads a topic, and lists it at once when records expired unread. */
static void ask(bct_feed_t *f, bct_registry_topic_t t, bool list)
{
	if (list)
		f->listed[t] = false;
	if (read_topic(f, t) == -BCT_EEXPIRED)
		read_topic(f, t);
}

static bool halted(bct_feed_t *f)
{
	bool stop;

	pthread_mutex_lock(&f->lock);
	stop = f->stop;
	pthread_mutex_unlock(&f->lock);
	return stop;
}

static void *run(void *arg)
{
	bct_feed_t *f = arg;
	bct_gate_due_t due;

	while (next_due(f, &due)) {
		if (due.routes)
			ask(f, BCT_REGISTRY_ROUTES, due.list);
		if (due.upstreams && !halted(f))
			ask(f, BCT_REGISTRY_UPSTREAMS, due.list);
	}
	return NULL;
}

void bct_feed_tick(bct_feed_t *f)
{
	bct_gate_t *g = f->gate;
	bct_gate_local_versions_t own = {
		.rank = g->rank,
		.routes_version = g->routes ? g->routes->version : 0,
		.upstreams_digest = bct_gate_upstreams_digest(&g->upstreams),
	};
	bct_gate_due_t due;

	pthread_mutex_lock(&f->lock);
	if (!f->busy && !f->due.routes && !f->due.upstreams) {
		f->follow.message_interval_ms = bct_share_versions_ms(g->share);
		due = bct_gate_poll_due(&f->follow, bct_clock_now(), &own);
		f->due = due;
		if (due.routes || due.upstreams)
			pthread_cond_signal(&f->due_cond);
	}
	pthread_mutex_unlock(&f->lock);
}

void bct_feed_heard(bct_feed_t *f, const bct_gate_peer_versions_t *h)
{
	bct_gate_poll_received(&f->follow, h);
}

bct_time_t bct_feed_age_ms(const bct_feed_t *f, bct_time_t now)
{
	bct_time_t own = f->follow.answered_at, heard = f->follow.latest.registry_answered_at;

	return now - (own > heard ? own : heard);
}

bct_time_t bct_feed_answered_at(const bct_feed_t *f)
{
	return f->follow.answered_at;
}

static void note_health(bct_feed_t *f, int rc)
{
	bool up = !rc || rc == -BCT_EEXPIRED;

	bct_gate_upstreams_set_registry(&f->gate->upstreams, bct_clock_now(), up);
	bct_gate_poll_result(&f->follow, bct_clock_now(), up);
	if (f->known && up == f->up)
		return;
	f->known = true;
	f->up = up;
	if (up)
		BCT_LOG(f->gate->log, BCT_EV_REGISTRY_UP,
			BCT_U64("version", f->gate->routes ? f->gate->routes->version : 0));
	else
		BCT_LOG(f->gate->log, BCT_EV_REGISTRY_DOWN, BCT_ERR("error", rc));
}

static void expect_streams(bct_gate_t *g)
{
	const bct_gate_routes_t *t = g->routes;

	for (uint32_t i = 0; i < t->n_routes; i++) {
		const bct_gate_route_t *r = &t->routes[i];

		for (uint32_t j = 0; j < r->n_splits; j++) {
			const bct_gate_service_t *s = &t->services[r->splits[j].service];

			if (s->engine && r->kind == BCT_GATE_STREAM)
				bct_gate_pick_expect(&g->picker, s->key, r->target_gap_ms);
		}
	}
}

static void adopt(bct_gate_t *g, bct_registry_change_t *c)
{
	uint64_t had = g->routes ? g->routes->version : 0;

	if (g->routes && c->table->version <= had) {
		if (c->table->version < had)
			BCT_LOG(g->log, BCT_EV_ROUTES_REFUSED,
				BCT_U64("version", c->table->version), BCT_U64("in_force", had),
				BCT_STR("why", "older"));
		return;
	}
	bct_gate_routes_unref(g->routes);
	g->routes = c->table;
	c->table = NULL;
	expect_streams(g);
	BCT_LOG(g->log, BCT_EV_ROUTES_ADOPTED, BCT_U64("version", g->routes->version),
		BCT_U64("was", had), BCT_U64("routes", g->routes->n_routes),
		BCT_U64("services", g->routes->n_services),
		BCT_U64("accounts", g->routes->n_accounts));
}

static void log_upstream(bct_gate_t *g, const char *id)
{
	const bct_gate_upstream_t *u = bct_gate_upstreams_find(&g->upstreams, id);

	if (!u)
		return;
	BCT_LOG(g->log, BCT_EV_UPSTREAM_PRESENCE, BCT_STR("upstream", id),
		BCT_U64("presence", u->presence), BCT_STR("service", u->entry.service),
		BCT_STR("address", u->entry.ip), BCT_U64("port", u->entry.port),
		BCT_U64("sequence", u->entry.sequence), BCT_U64("running", u->running));
}

void bct_feed_apply(bct_gate_t *g, bct_registry_change_t *c, bool tell)
{
	bct_time_t now = bct_clock_now();

	switch (c->kind) {
	case BCT_REGISTRY_TABLE:
		adopt(g, c);
		break;
	case BCT_REGISTRY_ENTRY:
		if (bct_gate_upstreams_apply(&g->upstreams, now, &c->entry) != 1)
			break;
		log_upstream(g, c->entry.id);
		if (tell)
			bct_share_change(g->share, c);
		break;
	case BCT_REGISTRY_REMOVED:
		if (!bct_gate_upstreams_remove(&g->upstreams, now, c->name))
			break;
		log_upstream(g, c->name);
		if (tell)
			bct_share_change(g->share, c);
		break;
	case BCT_REGISTRY_UNREADABLE:
		BCT_LOG(g->log, BCT_EV_REGISTRY_UNREADABLE, BCT_STR("name", c->name));
		break;
	}
}

/* A reader tells what a listing lacked, if that is not for an outage of the registry. */
static void tell_lacked(void *ctx, const bct_gate_upstream_t *u)
{
	bct_gate_t *g = ctx;
	bct_registry_change_t c = { .kind = BCT_REGISTRY_REMOVED };

	log_upstream(g, u->entry.id);
	if (u->presence != BCT_GATE_GONE || g->rank >= BCT_GATE_POLLERS)
		return;
	memcpy(c.name, u->entry.id, sizeof(c.name));
	bct_share_change(g->share, &c);
}

/* A reader tells what it learned, also by a listing after a gap; not the listing of its start. */
static void apply(bct_feed_t *f, delivery_t *d)
{
	bct_gate_t *g = f->gate;
	bool listing = !d->rc && d->listing && d->topic == BCT_REGISTRY_UPSTREAMS;
	bool tell = !d->listing || (f->knows_upstreams && g->rank < BCT_GATE_POLLERS);

	note_health(f, d->rc);
	if (listing)
		bct_gate_upstreams_list_begin(&g->upstreams);
	for (uint32_t i = 0; i < d->batch.n; i++)
		bct_feed_apply(g, &d->batch.changes[i], tell);
	if (!listing)
		return;
	bct_gate_upstreams_list_end(&g->upstreams, bct_clock_now());
	f->knows_upstreams = true;
}

static void on_wake(evutil_socket_t fd, short what, void *ctx)
{
	bct_feed_t *f = ctx;
	bct_list_t *el, *tmp, got;
	uint64_t n;

	(void)what;
	if (read(fd, &n, sizeof(n)) < 0 && errno != EAGAIN)
		return;
	bct_list_init(&got);
	pthread_mutex_lock(&f->lock);
	bct_list_for_each_safe(el, tmp, &f->deliveries) {
		bct_list_del(el);
		bct_list_add_tail(el, &got);
	}
	pthread_mutex_unlock(&f->lock);
	bct_list_for_each_safe(el, tmp, &got) {
		delivery_t *d = bct_container_of(el, delivery_t, link);

		apply(f, d);
		bct_registry_batch_free(&d->batch);
		bct_free(d);
	}
}

int bct_feed_new(bct_gate_t *g, bct_feed_t **out)
{
	bct_feed_t *f = bct_alloc(sizeof(*f));

	if (!f)
		return -BCT_ENOMEM;
	f->gate = g;
	g->upstreams.on_unlisted = tell_lacked;
	g->upstreams.ctx = g;
	bct_list_init(&f->deliveries);
	pthread_mutex_init(&f->lock, NULL);
	pthread_cond_init(&f->due_cond, NULL);
	bct_gate_poll_init(&f->follow, g->settings->platform_poll_ms);
	f->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (f->wake_fd >= 0)
		f->wake = event_new(g->base, f->wake_fd, EV_READ | EV_PERSIST, on_wake, f);
	if (!f->wake || event_add(f->wake, NULL) || pthread_create(&f->thread, NULL, run, f)) {
		bct_feed_free(f);
		return -BCT_EIO;
	}
	f->started = true;
	*out = f;
	return 0;
}

void bct_feed_halt(bct_feed_t *f)
{
	pthread_mutex_lock(&f->lock);
	f->stop = true;
	pthread_cond_signal(&f->due_cond);
	pthread_mutex_unlock(&f->lock);
}

void bct_feed_free(bct_feed_t *f)
{
	bct_list_t *el, *tmp;

	if (!f)
		return;
	bct_feed_halt(f);
	if (f->started)
		pthread_join(f->thread, NULL);
	bct_list_for_each_safe(el, tmp, &f->deliveries) {
		delivery_t *d = bct_container_of(el, delivery_t, link);

		bct_list_del(el);
		bct_registry_batch_free(&d->batch);
		bct_free(d);
	}
	if (f->wake)
		event_free(f->wake);
	if (f->wake_fd >= 0)
		close(f->wake_fd);
	pthread_cond_destroy(&f->due_cond);
	pthread_mutex_destroy(&f->lock);
	bct_free(f);
}
