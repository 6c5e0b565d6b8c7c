/*
 * notice_topic.c - what upstreams state about themselves, as nodes tell each other: at once when it
 * changes and then periodically, limits by their owners.
 */
#include "base/err.h"
#include "base/mem.h"
#include "gate/notice.h"
#include "gate/share.h"

#define LEAVING_ANNOUNCE_MS 10000 /* longer than a statement takes to arrive, also with losses */

struct bct_notices {
	bct_share_topic_t topic;
	bct_gate_t *gate;
	share_notice list[SHARE_NOTICES_MAX];
};

static share_notice encode_notice(const bct_gate_upstream_t *u, bct_time_t now)
{
	const bct_gate_limit_t *l = &u->limit;
	share_notice x = { .upstream = (uint32_t)u->key,
			   .born_ms = u->entry.born_ms,
			   .leaving = u->leaving };

	x.limit_mrps = l->named ? l->mrps : SHARE_NEVER;
	x.limit_age_ms = l->observed_at ? (uint32_t)(now - l->observed_at) : SHARE_NEVER;
	return x;
}

void bct_notice_tell(bct_gate_t *g, const bct_gate_upstream_t *u)
{
	share_notice one = encode_notice(u, bct_clock_now());
	share_update update = { 0 };

	update.notices.notices_val = &one;
	update.notices.notices_len = 1;
	bct_share_publish(&g->notices->topic, &update);
}

/* Whether this node is to tell the others about the upstream, periodically. */
static bool is_announced(const bct_gate_upstream_t *u, bct_time_t now)
{
	if (u->leaving_own && now - u->leaving_since < LEAVING_ANNOUNCE_MS)
		return true;
	return bct_gate_limit_announces(&u->limit, now);
}

/* A node that joins is told all that is known. */
static bool encode(bct_share_topic_t *t, bct_time_t now, bool all, uint32_t *pos,
		   share_update *update)
{
	bct_notices_t *s = (bct_notices_t *)t;
	uint32_t i = 0;
	u_int n = 0;
	bct_list_t *el;

	bct_list_for_each(el, &s->gate->upstreams.all) {
		const bct_gate_upstream_t *u = bct_container_of(el, bct_gate_upstream_t, link);
		bool told = is_announced(u, now) || (all && (u->leaving || u->limit.named));

		if (i++ < *pos || !told)
			continue;
		s->list[n++] = encode_notice(u, now);
		if (n == SHARE_NOTICES_MAX)
			break;
	}
	*pos = i;
	update->notices.notices_val = s->list;
	update->notices.notices_len = n;
	return n > 0;
}

/* Applies what a peer knows of one upstream. returns whether it is news that others may lack. */
static bool apply_notice(bct_gate_t *g, const share_notice *x, uint64_t from)
{
	bct_gate_upstream_t *u = bct_gate_upstreams_find_short(&g->upstreams, x->upstream);
	bct_gate_limit_report_t limit = { .named = x->limit_mrps != SHARE_NEVER,
					  .mrps = x->limit_mrps,
					  .age_ms = x->limit_age_ms };
	bool news = false;

	if (!u || u->entry.born_ms != x->born_ms)
		return false;
	if (x->leaving)
		news = bct_notice_leaving_reported(g, u, from);
	if (x->limit_age_ms != SHARE_NEVER)
		news = bct_notice_limit_reported(g, u, &limit, from) || news;
	return news;
}

static bool apply(bct_share_topic_t *t, bct_time_t now, const share_update *update,
		  share_update *news)
{
	bct_notices_t *s = (bct_notices_t *)t;
	u_int n = 0;

	(void)now;
	for (u_int i = 0; i < update->notices.notices_len; i++) {
		const share_notice *x = &update->notices.notices_val[i];

		if (apply_notice(s->gate, x, update->from))
			s->list[n++] = *x;
	}
	news->notices.notices_val = s->list;
	news->notices.notices_len = n;
	return n > 0;
}

static const bct_share_topic_ops_t ops = { .encode = encode, .apply = apply };

int bct_notices_new(bct_gate_t *g, bct_notices_t **out)
{
	bct_share_topic_opts_t o = { .interval_ms = BCT_GATE_LIMIT_ANNOUNCE_MS, .relayed = true };
	bct_notices_t *s = bct_alloc(sizeof(*s));

	if (!s)
		return -BCT_ENOMEM;
	s->gate = g;
	s->topic.ops = &ops;
	bct_share_register(g->share, &s->topic, &o);
	*out = s;
	return 0;
}

void bct_notices_free(bct_notices_t *s)
{
	bct_free(s);
}
