/*
 * share_promise.c - promises to refused callers in the share protocol. They travel as placements
 * do: to all nodes or, in a large fleet, through the hubs, with the rounds of the load.
 */
#include "gate/share_int.h"

static void add(bct_share_t *s, bct_share_promises_t *p, uint64_t digest, bct_time_t due)
{
	if (p->n < SHARE_PROMISES_MAX)
		p->list[p->n++] = (bct_share_promise_t){ digest, due };
	else
		BCT_GATE_COUNT(s->gate, SHARES_DROPPED);
}

void bct_share_add_promise(bct_share_t *s, uint64_t digest, uint32_t due_ms)
{
	if (s)
		add(s, &s->promises, digest, bct_clock_now() + due_ms);
}

void bct_share_send_promises(bct_share_t *s, bct_gate_view_t view, const bct_share_promises_t *p,
			     const bct_share_peer_t *to)
{
	share_update update = { .view = view };
	share_promise list[SHARE_PROMISES_MAX];
	bct_time_t now = bct_clock_now();
	u_int n = 0;

	for (uint32_t i = 0; i < p->n; i++) {
		if (p->list[i].due > now)
			list[n++] =
				(share_promise){ p->list[i].digest, (u_int)(p->list[i].due - now) };
	}
	if (!n)
		return;
	update.promises.promises_val = list;
	update.promises.promises_len = n;
	if (to)
		bct_share_send(s, &update, to);
	else
		bct_share_send_all(s, &update);
}

void bct_share_apply_promises(bct_share_t *s, bct_time_t now, const share_update *update)
{
	bool relayed = bct_share_is_hub(s) && update->view != BCT_GATE_VIEW_REST;
	bct_share_promises_t *queue =
		update->view == BCT_GATE_VIEW_CLUSTER ? &s->hub_promises : &s->promises;

	for (u_int i = 0; i < update->promises.promises_len; i++) {
		const share_promise *p = &update->promises.promises_val[i];

		if (p->due_ms > BCT_SHARE_PROMISE_MS)
			continue;
		if (relayed)
			add(s, queue, p->digest, now + p->due_ms);
		bct_gate_returns_learn(&s->gate->returns, now, p->digest, p->due_ms);
	}
}
