/*
 * notice.c - keeps, logs and passes on what upstreams state about themselves in their answers.
 */
#include "gate/notice.h"
#include "gate/brittle.h"
#include "gate/exchange_int.h"
#include "gate/running.h"
#include "gate/share.h"

static bct_gate_limit_nodes_t live_nodes(const bct_gate_t *g, uint64_t *live)
{
	bct_gate_limit_nodes_t nodes = bct_share_live_nodes(g->share, live);

	nodes.leaving = g->draining || bct_gate_is_resuming(g);
	return nodes;
}

void bct_notice_assign(bct_gate_t *g, bct_gate_upstream_t *u)
{
	uint64_t live[BCT_SHARE_NODES_MAX];
	bct_gate_limit_nodes_t nodes = live_nodes(g, live);
	bct_time_t now = bct_clock_now();

	bct_gate_limit_assign(&u->limit, now, u->key, &nodes);
	bct_gate_brittle_assign(&u->brittle, now, u->key, u->entry.slots, &nodes);
}

static void log_limit(bct_gate_t *g, const bct_gate_upstream_t *u, const char *request,
		      uint64_t from, const bct_gate_limit_report_t *r)
{
	BCT_LOG(g->log, BCT_EV_UPSTREAM_LIMIT, BCT_STR("upstream", u->entry.id),
		BCT_STR("request", request), BCT_HEX("peer", from), BCT_U64("named", r->named),
		BCT_U64("limit_mrps", r->mrps), BCT_U64("age_ms", r->age_ms),
		BCT_U64("owner", u->limit.owner), BCT_U64("share_mrps", u->limit.share_mrps),
		BCT_U64("nodes", g->nodes), BCT_U64("running", u->running));
}

static void log_leaving(bct_gate_t *g, const bct_gate_upstream_t *u, const char *request,
			uint64_t from)
{
	BCT_LOG(g->log, BCT_EV_UPSTREAM_LEAVING, BCT_STR("upstream", u->entry.id),
		BCT_STR("request", request), BCT_HEX("peer", from),
		BCT_U64("presence", u->presence), BCT_U64("sequence", u->entry.sequence),
		BCT_U64("running", u->running));
}

/* Logs that statements could not be read, once until an answer is readable again. */
static void note_malformed(bct_exchange_t *x, bct_gate_upstream_t *u, const bct_gate_notice_t *n)
{
	if (n->malformed && !u->notice_malformed)
		BCT_LOG(x->gate->log, BCT_EV_UPSTREAM_NOTICE_BAD, BCT_STR("upstream", u->entry.id),
			BCT_STR("request", x->call.id));
	u->notice_malformed = n->malformed;
}

/* returns whether the limit changed */
static bool note_limit(bct_exchange_t *x, bct_gate_upstream_t *u, const bct_gate_notice_t *n)
{
	bct_gate_limit_report_t r = { .named = n->limits, .mrps = n->limit_mrps };

	if (!bct_gate_limit_answered(&u->limit, bct_clock_now(), x->conn->sent_at, n->limits,
				     n->limit_mrps))
		return false;
	bct_notice_assign(x->gate, u);
	log_limit(x->gate, u, x->call.id, 0, &r);
	return true;
}

/* returns whether that is news */
static bool note_leaving(bct_exchange_t *x, bct_gate_upstream_t *u)
{
	if (!bct_gate_upstream_leaves(u, bct_clock_now(), true))
		return false;
	log_leaving(x->gate, u, x->call.id, 0);
	return true;
}

/* A pause concerns this node only, so the others are not told. */
static void note_pause(bct_exchange_t *x, bct_gate_upstream_t *u, uint32_t pause_ms)
{
	if (!pause_ms || !bct_gate_upstream_pauses(u, bct_clock_now(), pause_ms))
		return;
	BCT_LOG(x->gate->log, BCT_EV_UPSTREAM_PAUSED, BCT_STR("upstream", u->entry.id),
		BCT_STR("request", x->call.id), BCT_U64("pause_ms", pause_ms),
		BCT_U64("running", u->running));
}

void bct_notice_received(bct_exchange_t *x, const bct_gate_notice_t *n)
{
	bct_gate_upstream_t *u = x->conn->upstream;
	bool news = false;

	/* An earlier run of the upstream may have got the request; a helper has read them itself.
	 */
	if (x->conn->sent_at < u->run_since || u->is_node)
		return;
	note_malformed(x, u, n);
	note_pause(x, u, n->pause_ms);
	if (n->brittle || !n->malformed)
		bct_brittle_answered(x, u, n);
	if (n->limits || !n->malformed)
		news = note_limit(x, u, n);
	if (n->leaves)
		news = note_leaving(x, u) || news;
	if (news)
		bct_notice_tell(x->gate, u);
}

bool bct_notice_limit_reported(bct_gate_t *g, bct_gate_upstream_t *u,
			       const bct_gate_limit_report_t *r, uint64_t from)
{
	bool named = u->limit.named;
	uint32_t mrps = u->limit.mrps;

	if (!bct_gate_limit_reported(&u->limit, bct_clock_now(), r))
		return false;
	if (u->limit.named == named && u->limit.mrps == mrps)
		return true;
	bct_notice_assign(g, u);
	log_limit(g, u, "", from, r);
	return true;
}

bool bct_notice_leaving_reported(bct_gate_t *g, bct_gate_upstream_t *u, uint64_t from)
{
	if (!bct_gate_upstream_leaves(u, bct_clock_now(), false))
		return false;
	log_leaving(g, u, "", from);
	return true;
}

void bct_notice_assign_limits(bct_gate_t *g)
{
	uint64_t live[BCT_SHARE_NODES_MAX];
	bct_gate_limit_nodes_t nodes = live_nodes(g, live);
	bct_time_t now = bct_clock_now();
	bct_list_t *el;

	bct_list_for_each(el, &g->upstreams.all) {
		bct_gate_upstream_t *u = bct_container_of(el, bct_gate_upstream_t, link);

		bct_gate_limit_assign(&u->limit, now, u->key, &nodes);
		bct_gate_brittle_assign(&u->brittle, now, u->key, u->entry.slots, &nodes);
	}
}
