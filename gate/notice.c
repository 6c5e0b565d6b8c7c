/*
 * notice.c - logs and keeps what upstreams state about themselves in their answers.
 */
#include "gate/notice.h"
#include "gate/exchange_int.h"

static bool is_equal(const bct_gate_notice_t *a, const bct_gate_notice_t *b)
{
	return a->limits == b->limits && a->limit_mrps == b->limit_mrps &&
	       a->malformed == b->malformed;
}

void bct_notice_received(bct_exchange_t *x, const bct_gate_notice_t *n)
{
	bct_gate_upstream_t *u = x->conn->upstream;

	if (is_equal(n, &u->notice))
		return;
	u->notice = *n;
	BCT_LOG(x->gate->log, BCT_EV_UPSTREAM_NOTICE, BCT_STR("upstream", u->entry.id),
		BCT_STR("request", x->call.id), BCT_U64("limits", n->limits),
		BCT_U64("limit_mrps", n->limit_mrps), BCT_U64("malformed", n->malformed),
		BCT_U64("running", u->running));
}
