/*
 * brittle.c - what nodes tell each other of brittle upstreams: at once when it changes or one has
 * turned a request away, and now and then what still holds.
 */
#include "gate/brittle.h"
#include "base/err.h"
#include "base/mem.h"
#include "gate/notice.h"
#include "gate/share.h"

#include <string.h>

#define TELL_MS 2000 /* between two announcements of all that is brittle */

struct bct_brittle {
	bct_share_topic_t topic;
	bct_gate_t *gate;
	share_brittle list[SHARE_BRITTLE_MAX];
};

static share_brittle encode_one(const bct_gate_upstream_t *u, bct_time_t now, uint32_t turned_away)
{
	const bct_gate_brittle_t *b = &u->brittle;

	return (share_brittle){ .upstream = (uint32_t)u->key,
				.born_ms = u->entry.born_ms,
				.bears = b->named ? b->bears : SHARE_NEVER,
				.age_ms = (uint32_t)(now - b->observed_at),
				.turned_away = turned_away };
}

static void log_state(bct_gate_t *g, const bct_gate_upstream_t *u, const char *request,
		      uint64_t from)
{
	BCT_LOG(g->log, BCT_EV_UPSTREAM_BRITTLE, BCT_STR("upstream", u->entry.id),
		BCT_STR("request", request), BCT_HEX("peer", from),
		BCT_U64("named", u->brittle.named), BCT_U64("bears", u->brittle.bears),
		BCT_I64("age_ms", bct_clock_now() - u->brittle.observed_at),
		BCT_U64("owner", u->brittle.owner), BCT_U64("slots", u->entry.slots),
		BCT_U64("running", u->running), BCT_I64("peer_running", u->peer_running));
}

static void tell(bct_gate_t *g, const bct_gate_upstream_t *u, uint32_t turned_away)
{
	share_update update = { 0 };
	share_brittle one = encode_one(u, bct_clock_now(), turned_away);

	update.brittle.brittle_val = &one;
	update.brittle.brittle_len = 1;
	bct_share_publish(&g->brittle->topic, &update);
}

void bct_brittle_answered(bct_exchange_t *x, bct_gate_upstream_t *u, const bct_gate_notice_t *n)
{
	if (!bct_gate_brittle_answered(&u->brittle, bct_clock_now(), x->conn->sent_at, n->brittle,
				       n->bears))
		return;
	bct_notice_assign(x->gate, u);
	log_state(x->gate, u, x->call.id, 0);
	tell(x->gate, u, 0);
}

void bct_brittle_turned_away(bct_exchange_t *x)
{
	bct_gate_upstream_t *u = x->conn->upstream;

	if (!u->brittle.named)
		return;
	bct_gate_brittle_turned_away(&u->brittle, bct_clock_now());
	BCT_GATE_COUNT(x->gate, TURNED_AWAY);
	BCT_LOG(x->gate->log, BCT_EV_UPSTREAM_TURNED_AWAY, BCT_STR("upstream", u->entry.id),
		BCT_STR("request", x->call.id), BCT_U64("bears", u->brittle.bears),
		BCT_U64("turned_away", u->brittle.turned_away), BCT_U64("slots", u->entry.slots),
		BCT_U64("running", u->running), BCT_I64("peer_running", u->peer_running));
	tell(x->gate, u, 1);
}

/* Owners announce what is brittle. */
static bool encode(bct_share_topic_t *t, bct_time_t now, bool all, uint32_t *pos,
		   share_update *update)
{
	bct_brittle_t *b = (bct_brittle_t *)t;
	uint32_t i = 0;
	u_int n = 0;
	bct_list_t *el;

	bct_list_for_each(el, &b->gate->upstreams.all) {
		const bct_gate_upstream_t *u = bct_container_of(el, bct_gate_upstream_t, link);

		if (i++ < *pos || !u->brittle.named || (!all && !u->brittle.owner))
			continue;
		b->list[n++] = encode_one(u, now, 0);
		if (n == SHARE_BRITTLE_MAX)
			break;
	}
	*pos = i;
	update->brittle.brittle_val = b->list;
	update->brittle.brittle_len = n;
	return n > 0;
}

static bool apply_one(bct_gate_t *g, bct_time_t now, uint64_t from, const share_brittle *x)
{
	bct_gate_upstream_t *u = bct_gate_upstreams_find_short(&g->upstreams, x->upstream);
	bct_gate_brittle_report_t r = { .named = x->bears != SHARE_NEVER,
					.bears = x->bears,
					.age_ms = x->age_ms,
					.turned_away = x->turned_away };
	bool named;

	if (!u || u->entry.born_ms != x->born_ms)
		return false;
	named = u->brittle.named;
	if (!bct_gate_brittle_reported(&u->brittle, now, &r))
		return false;
	if (u->brittle.named != named) {
		bct_notice_assign(g, u);
		log_state(g, u, "", from);
	}
	return true;
}

static bool apply(bct_share_topic_t *t, bct_time_t now, const share_update *update,
		  share_update *news)
{
	bct_brittle_t *b = (bct_brittle_t *)t;
	u_int n = 0;

	for (u_int i = 0; i < update->brittle.brittle_len; i++) {
		const share_brittle *x = &update->brittle.brittle_val[i];

		if (apply_one(b->gate, now, update->from, x))
			b->list[n++] = *x;
	}
	news->brittle.brittle_val = b->list;
	news->brittle.brittle_len = n;
	return n > 0;
}

static const bct_share_topic_ops_t ops = { .encode = encode, .apply = apply };

int bct_brittle_new(bct_gate_t *g, bct_brittle_t **out)
{
	bct_share_topic_opts_t o = { .interval_ms = TELL_MS, .relayed = true };
	bct_brittle_t *b = bct_alloc(sizeof(*b));

	if (!b)
		return -BCT_ENOMEM;
	b->gate = g;
	b->topic.ops = &ops;
	bct_share_register(g->share, &b->topic, &o);
	*out = b;
	return 0;
}

void bct_brittle_free(bct_brittle_t *b)
{
	bct_free(b);
}
