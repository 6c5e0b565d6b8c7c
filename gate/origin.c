/*
 * origin.c - the software that began a stream, from its first event to its log record.
 */
#include "gate/origin.h"

void bct_origin_began(bct_exchange_t *x)
{
	if (x->call.resumes)
		return;
	x->origin = bct_gate_origin_of(x->conn->upstream);
	x->query.origin = &x->origin;
}

const char *bct_origin_software(const bct_exchange_t *x)
{
	return bct_gate_upstreams_software(&x->gate->upstreams, x->origin.release);
}

void bct_origin_continued(bct_exchange_t *x)
{
	const bct_gate_upstream_t *u = x->choice.upstream;

	BCT_LOG(x->gate->log, BCT_EV_GATE_STREAM_CONTINUED, BCT_STR("request", x->call.id),
		BCT_STR("resumes", x->call.resumes_id), BCT_U64("caller", x->call.resumes),
		BCT_U64("after_event", x->events.has_id ? x->events.last_id : x->call.after_event),
		BCT_HEX("began_run", x->origin.run),
		BCT_STR("began_software", bct_origin_software(x)), BCT_STR("upstream", u->entry.id),
		BCT_HEX("run", bct_gate_upstream_run(u)), BCT_STR("software", u->entry.software));
}
