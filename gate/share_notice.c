/*
 * share_notice.c - what upstreams state about themselves, in the share protocol: sent when it
 * changes and then periodically, limits by their owners; relayed by hubs as changes of the registry
 * are.
 */
#include "gate/notice.h"
#include "gate/share_int.h"

#include <string.h>

#define LEAVING_ANNOUNCE_MS 10000 /* longer than a statement takes to arrive, also with losses */

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

static void send_notices(bct_share_t *s, bct_share_notices_t *n)
{
	share_update update = { .view = BCT_GATE_VIEW_LOCAL };

	update.notices.notices_val = n->list;
	update.notices.notices_len = n->n;
	if (n->n)
		bct_share_send_change(s, &update);
	n->n = 0;
}

void bct_share_notice_changed(bct_share_t *s, const bct_gate_upstream_t *u)
{
	bct_share_notices_t n = { .n = 1 };

	if (!s)
		return;
	n.list[0] = encode_notice(u, bct_clock_now());
	send_notices(s, &n);
}

/* Whether this node is to tell the others about the upstream, periodically. */
static bool is_announced(const bct_gate_upstream_t *u, bct_time_t now)
{
	if (u->leaving_own && now - u->leaving_since < LEAVING_ANNOUNCE_MS)
		return true;
	return bct_gate_limit_announces(&u->limit, now);
}

static void announce(bct_share_t *s, bct_time_t now)
{
	bct_share_notices_t n = { .n = 0 };
	bct_list_t *el;

	bct_list_for_each(el, &s->gate->upstreams.all) {
		bct_gate_upstream_t *u = bct_container_of(el, bct_gate_upstream_t, link);

		if (!is_announced(u, now))
			continue;
		n.list[n.n++] = encode_notice(u, now);
		if (n.n == SHARE_NOTICES_MAX)
			send_notices(s, &n);
	}
	send_notices(s, &n);
}

void bct_share_notice_round(bct_share_t *s, bct_time_t now)
{
	if (now - s->notices_sent_at < BCT_GATE_LIMIT_ANNOUNCE_MS)
		return;
	s->notices_sent_at = now;
	announce(s, now);
}

/* At a hub: forwards news to the nodes of its cluster. */
static void relay(bct_share_t *s, const share_update *from, bct_share_notices_t *news)
{
	share_update update = { .view = BCT_GATE_VIEW_REST };

	if (!news->n || from->view != BCT_GATE_VIEW_LOCAL || !bct_share_is_hub(s))
		return;
	update.notices.notices_val = news->list;
	update.notices.notices_len = news->n;
	bct_share_send_to_local_cluster(s, &update);
}

/* Applies what a peer knows of one upstream. returns whether it is news that others may lack. */
static bool apply_notice(bct_share_t *s, const share_notice *x, uint64_t from)
{
	bct_gate_upstream_t *u = bct_gate_upstreams_find_short(&s->gate->upstreams, x->upstream);
	bct_gate_limit_report_t limit = { .named = x->limit_mrps != SHARE_NEVER,
					  .mrps = x->limit_mrps,
					  .age_ms = x->limit_age_ms };
	bool news = false;

	if (!u || u->entry.born_ms != x->born_ms)
		return false;
	if (x->leaving)
		news = bct_notice_leaving_reported(s->gate, u, from);
	if (x->limit_age_ms != SHARE_NEVER)
		news = bct_notice_limit_reported(s->gate, u, &limit, from) || news;
	return news;
}

void bct_share_notice_apply(bct_share_t *s, const share_update *update)
{
	bct_share_notices_t news = { .n = 0 };

	for (uint32_t i = 0; i < update->notices.notices_len; i++) {
		const share_notice *x = &update->notices.notices_val[i];

		if (apply_notice(s, x, update->from))
			news.list[news.n++] = *x;
	}
	relay(s, update, &news);
}
