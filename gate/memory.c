/*
 * memory.c - counts the bytes of buffers by libevent's callbacks on their changes, and acts on the
 * total from an event of its own, so that no connection is freed inside another one's callback.
 */
#include "gate/memory.h"
#include "base/err.h"
#include "base/mem.h"

#include <inttypes.h>

/* Retry-After: room comes back as callers read on or leave. The spread keeps refused callers from
 * returning all at once. */
#define RETRY_MS 300
#define RETRY_SPREAD_MS 300

#define CHECK_MS 250   /* while requests wait or are refused */
#define LOG_MS 1000    /* between two lines about connections that sent ahead */
#define REFUSED_MS 500 /* after a refusal for which its caller may come back */

struct bct_memory {
	const bct_client_flow_ops_t *flow;
	bct_gate_t *gate;
	bct_gate_memory_t sums;
	bct_gate_memory_level_t level; /* that was last acted on */
	bct_time_t wanted_since;       /* a request waits or was refused since then; 0: none */
	bct_time_t refused_at;	       /* the last one */
	bct_time_t ahead_logged;       /* last line about a connection that sent ahead */
	uint64_t ahead_cut;	       /* connections since then, including the one it tells of */
	struct event *act;
	bct_list_t waiting; /* connections, the longest waiting first */
};

static void act_soon(bct_memory_t *m)
{
	event_active(m->act, EV_TIMEOUT, 0);
}

static void note_change(bct_memory_t *m)
{
	bct_gate_memory_level_t level = bct_gate_memory_level(&m->sums);

	if (level != m->level || level == BCT_GATE_MEMORY_CUT)
		act_soon(m);
}

static void changed(bct_client_t *c, const struct evbuffer_cb_info *info,
		    bct_gate_memory_kind_t kind)
{
	bct_memory_t *m = c->gate->memory;
	bool begins = kind == BCT_GATE_MEMORY_UNREAD && !info->orig_size;

	bct_gate_memory_change(&m->sums, &c->memory, begins ? bct_clock_now() : 0, kind,
			       info->n_added, info->n_deleted);
	note_change(m);
}

static void on_request(struct evbuffer *b, const struct evbuffer_cb_info *info, void *ctx)
{
	(void)b;
	changed(ctx, info, BCT_GATE_MEMORY_REQUEST);
}

static void on_kept(struct evbuffer *b, const struct evbuffer_cb_info *info, void *ctx)
{
	(void)b;
	changed(ctx, info, BCT_GATE_MEMORY_KEPT);
}

static void on_unread(struct evbuffer *b, const struct evbuffer_cb_info *info, void *ctx)
{
	(void)b;
	changed(ctx, info, BCT_GATE_MEMORY_UNREAD);
}

static const evbuffer_cb_func callbacks[BCT_GATE_MEMORY_KINDS] = { on_request, on_kept, on_unread };

void bct_memory_watch(bct_client_t *c, struct evbuffer *buffer, bct_gate_memory_kind_t kind)
{
	if (c->gate->memory)
		evbuffer_add_cb(buffer, callbacks[kind], c);
}

void bct_memory_unwatch(bct_client_t *c, struct evbuffer *buffer, bct_gate_memory_kind_t kind)
{
	struct evbuffer_cb_info gone = { .n_deleted = evbuffer_get_length(buffer) };

	if (!c->gate->memory)
		return;
	evbuffer_remove_cb(buffer, callbacks[kind], c);
	gone.orig_size = gone.n_deleted;
	changed(c, &gone, kind);
}

void bct_memory_kept(bct_client_t *c, size_t before_bytes, size_t now_bytes)
{
	struct evbuffer_cb_info change = { .orig_size = before_bytes,
					   .n_added = now_bytes,
					   .n_deleted = before_bytes };

	if (c->gate->memory && before_bytes != now_bytes)
		changed(c, &change, BCT_GATE_MEMORY_KEPT);
}

void bct_memory_ahead(bct_client_t *c, size_t bytes)
{
	bct_memory_t *m = c->gate->memory;

	if (!m || c->memory.bytes[BCT_GATE_MEMORY_AHEAD] == bytes)
		return;
	bct_gate_memory_change(&m->sums, &c->memory, bct_clock_now(), BCT_GATE_MEMORY_AHEAD, bytes,
			       c->memory.bytes[BCT_GATE_MEMORY_AHEAD]);
	note_change(m);
}

void bct_memory_drain(const bct_gate_t *g, struct evbuffer *buffer)
{
	if (g->memory && buffer)
		evbuffer_drain(buffer, evbuffer_get_length(buffer));
}

void bct_memory_release(const bct_gate_t *g, struct evbuffer *buffer)
{
	bct_memory_drain(g, buffer);
	if (buffer)
		evbuffer_free(buffer);
}

void bct_memory_opened(bct_client_t *c)
{
	bct_list_init(&c->waiting);
	if (!c->gate->memory)
		return;
	bct_gate_memory_open(&c->gate->memory->sums, &c->memory);
	bct_memory_watch(c, bufferevent_get_input(c->bev), BCT_GATE_MEMORY_REQUEST);
	bct_memory_watch(c, bufferevent_get_output(c->bev), BCT_GATE_MEMORY_UNREAD);
}

void bct_memory_closed(bct_client_t *c)
{
	bct_memory_t *m = c->gate->memory;

	bct_list_del(&c->waiting);
	if (!m)
		return;
	/* The connection's buffers may outlive it, see bct_bev_free(3). */
	evbuffer_remove_cb(bufferevent_get_input(c->bev), on_request, c);
	evbuffer_remove_cb(bufferevent_get_output(c->bev), on_unread, c);
	bct_gate_memory_close(&m->sums, &c->memory);
	if (m->level != BCT_GATE_MEMORY_FREE)
		act_soon(m);
}

bool bct_memory_may_read_body(bct_client_t *c, size_t expected_bytes)
{
	bct_memory_t *m = c->gate->memory;

	bct_gate_memory_expect(&c->memory, expected_bytes);
	return !m || bct_gate_memory_may_read_body(&m->sums, &c->memory);
}

void bct_memory_body_ended(bct_client_t *c)
{
	bct_memory_t *m = c->gate->memory;

	if (!m)
		return;
	bct_gate_memory_body_ended(&m->sums, &c->memory);
	/* The next one may be read now. */
	if (!bct_list_empty(&m->waiting))
		act_soon(m);
}

/* Somebody is in want of room: looks again later whether that is still so. */
static void want(bct_memory_t *m)
{
	struct timeval later = { 0, CHECK_MS * 1000 };

	if (!m->wanted_since)
		m->wanted_since = bct_clock_now();
	if (!evtimer_pending(m->act, NULL))
		event_add(m->act, &later);
}

/* Whether somebody has been in want of room for long. */
static bool is_wanted(bct_memory_t *m, bct_time_t now)
{
	bool now_wanted = !bct_list_empty(&m->waiting) || now - m->refused_at < REFUSED_MS;

	if (m->wanted_since && now_wanted) {
		want(m);
		return now - m->wanted_since >= BCT_GATE_MEMORY_WANT_MS;
	}
	m->wanted_since = 0;
	return false;
}

void bct_memory_wait(bct_client_t *c)
{
	BCT_GATE_COUNT(c->gate, BODIES_WAITED);
	bct_list_add_tail(&c->waiting, &c->gate->memory->waiting);
	want(c->gate->memory);
}

bool bct_memory_is_short(const bct_gate_t *g)
{
	return g->memory && bct_gate_memory_level(&g->memory->sums) >= BCT_GATE_MEMORY_WAIT;
}

bool bct_memory_refuses(const bct_gate_t *g)
{
	bct_memory_t *m = g->memory;

	if (!m || bct_gate_memory_level(&m->sums) < BCT_GATE_MEMORY_REFUSE)
		return false;
	m->refused_at = bct_clock_now();
	want(m);
	return true;
}

uint32_t bct_memory_retry_ms(bct_gate_t *g)
{
	return RETRY_MS + bct_rng_below(&g->picker.rng, RETRY_SPREAD_MS);
}

static void cut(bct_memory_t *m, bct_client_t *c)
{
	const bct_gate_memory_account_t *a = &c->memory;

	BCT_GATE_COUNT(m->gate, UNREAD_CUT);
	BCT_LOG(m->gate->log, BCT_EV_GATE_UNREAD_CUT, BCT_STR("request", c->x ? c->x->call.id : ""),
		BCT_U64("unread_bytes", a->bytes[BCT_GATE_MEMORY_UNREAD]),
		BCT_U64("kept_bytes", a->bytes[BCT_GATE_MEMORY_KEPT]),
		BCT_I64("unread_ms", bct_clock_now() - a->unread_since),
		BCT_U64("held_bytes", m->sums.total_bytes),
		BCT_U64("bound_bytes", m->sums.bound_bytes));
	m->flow->cut(c);
}

/* Ends a connection that sent requests ahead. */
static void cut_ahead(bct_memory_t *m, bct_client_t *c)
{
	const bct_gate_memory_account_t *a = &c->memory;
	bct_time_t now = bct_clock_now();

	BCT_GATE_COUNT(m->gate, AHEAD_CUT);
	m->ahead_cut++;
	if (now - m->ahead_logged >= LOG_MS) {
		BCT_LOG(m->gate->log, BCT_EV_GATE_AHEAD_CUT,
			BCT_STR("request", c->x ? c->x->call.id : ""),
			BCT_U64("ahead_bytes", a->bytes[BCT_GATE_MEMORY_AHEAD]),
			BCT_U64("request_bytes", a->bytes[BCT_GATE_MEMORY_REQUEST]),
			BCT_I64("ahead_ms", now - a->ahead_since),
			BCT_U64("connections", m->ahead_cut),
			BCT_U64("held_bytes", m->sums.total_bytes),
			BCT_U64("bound_bytes", m->sums.bound_bytes));
		m->ahead_logged = now;
		m->ahead_cut = 0;
	}
	m->flow->close(c);
}

static bool is_unread(const bct_gate_memory_account_t *a)
{
	return a->bytes[BCT_GATE_MEMORY_UNREAD] >= BCT_GATE_MEMORY_CUT_MIN_BYTES ||
	       a->bytes[BCT_GATE_MEMORY_KEPT] >= BCT_GATE_MEMORY_CUT_MIN_BYTES;
}

static void resume_waiting(bct_memory_t *m)
{
	bct_list_t *el, *tmp;

	bct_list_for_each_safe(el, tmp, &m->waiting) {
		bct_client_t *c = bct_container_of(el, bct_client_t, waiting);

		if (c->x ? !bct_memory_is_short(m->gate)
			 : bct_memory_may_read_body(c, c->memory.expected_bytes))
			m->flow->resume(c);
	}
}

/* Bodies that wait while others are refused give way: their callers are told to come back. */
static void refuse_waiting(bct_memory_t *m)
{
	bct_list_t *el, *tmp;

	bct_list_for_each_safe(el, tmp, &m->waiting) {
		bct_client_t *c = bct_container_of(el, bct_client_t, waiting);

		if (bct_gate_memory_level(&m->sums) < BCT_GATE_MEMORY_REFUSE)
			return;
		if (!c->x)
			m->flow->refuse(c);
	}
}

static void on_act(evutil_socket_t fd, short what, void *ctx)
{
	bct_memory_t *m = ctx;
	bct_gate_memory_account_t *a;
	bct_time_t now = bct_clock_now();
	bct_gate_memory_level_t level;
	bool wanted;

	(void)fd;
	(void)what;
	wanted = is_wanted(m, now);
	while ((a = bct_gate_memory_to_cut(&m->sums, now, wanted)) != NULL) {
		bct_client_t *c = bct_container_of(a, bct_client_t, memory);

		if (is_unread(a))
			cut(m, c);
		else
			cut_ahead(m, c);
	}
	if (wanted)
		refuse_waiting(m);
	resume_waiting(m);
	level = bct_gate_memory_level(&m->sums);
	if (level == m->level)
		return;
	m->level = level;
	BCT_LOG(m->gate->log, BCT_EV_GATE_MEMORY, BCT_U64("step", level),
		BCT_U64("held_bytes", m->sums.total_bytes),
		BCT_U64("bound_bytes", m->sums.bound_bytes),
		BCT_U64("connections", bct_clients_served(m->gate)),
		BCT_U64("requests", m->gate->n_exchanges));
}

void bct_memory_print(const bct_gate_t *g, bct_buf_t *out)
{
	if (g->memory)
		bct_buf_printf(
			out, "# TYPE bct_gate_held_bytes gauge\nbct_gate_held_bytes %" PRIu64 "\n",
			g->memory->sums.total_bytes);
}

int bct_memory_new(bct_gate_t *g, const bct_client_flow_ops_t *flow, bct_memory_t **out)
{
	bct_memory_t *m;

	if (!g->settings->gate_memory_bytes)
		return 0;
	m = bct_alloc(sizeof(*m));
	if (!m)
		return -BCT_ENOMEM;
	m->flow = flow;
	m->gate = g;
	bct_gate_memory_init(&m->sums, g->settings->gate_memory_bytes);
	bct_list_init(&m->waiting);
	m->act = event_new(g->base, -1, 0, on_act, m);
	if (!m->act) {
		bct_free(m);
		return -BCT_ENOMEM;
	}
	*out = m;
	return 0;
}

void bct_memory_free(bct_memory_t *m)
{
	if (!m)
		return;
	event_free(m->act);
	bct_free(m);
}
