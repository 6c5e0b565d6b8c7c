/*
 * share_notice.c - limits of upstreams in the share protocol: sent when they change and, by their
 * owners, periodically; relayed by hubs as changes of the registry are.
 */
#include "gate/notice.h"
#include "gate/share_int.h"

#include <string.h>

static share_notice encode_notice(const bct_gate_upstream_t *u, const bct_gate_limit_report_t *r)
{
	share_notice x = { .upstream = (uint32_t)u->key, .age_ms = r->age_ms };

	x.limit_mrps = r->named ? r->mrps : SHARE_NEVER;
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

void bct_share_notice_changed(bct_share_t *s, const bct_gate_upstream_t *u,
			      const bct_gate_limit_report_t *r)
{
	bct_share_notices_t n = { .n = 1 };

	if (!s)
		return;
	n.list[0] = encode_notice(u, r);
	send_notices(s, &n);
}

/* Announces what this node is to keep known. */
static void announce(bct_share_t *s, bct_time_t now)
{
	bct_share_notices_t n = { .n = 0 };
	bct_list_t *el;

	bct_list_for_each(el, &s->gate->upstreams.all) {
		bct_gate_upstream_t *u = bct_container_of(el, bct_gate_upstream_t, link);
		bct_gate_limit_report_t r;

		if (!bct_gate_limit_announces(&u->limit, now, &r))
			continue;
		n.list[n.n++] = encode_notice(u, &r);
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

void bct_share_notice_apply(bct_share_t *s, const share_update *update)
{
	bct_share_notices_t news = { .n = 0 };

	for (uint32_t i = 0; i < update->notices.notices_len; i++) {
		const share_notice *x = &update->notices.notices_val[i];
		bct_gate_upstream_t *u =
			bct_gate_upstreams_find_short(&s->gate->upstreams, x->upstream);
		bct_gate_limit_report_t r = { .named = x->limit_mrps != SHARE_NEVER,
					      .mrps = x->limit_mrps,
					      .age_ms = x->age_ms };

		if (u && bct_notice_reported(s->gate, u, &r, update->from))
			news.list[news.n++] = *x;
	}
	relay(s, update, &news);
}
