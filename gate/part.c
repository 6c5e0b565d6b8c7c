/*
 * part.c - parts of prompts that crash upstreams, as judged by this node and others.
 */
#include "gate/part.h"
#include "gate/running.h"
#include "gate/share.h"

bct_parts_t bct_part_of(const bct_exchange_t *x)
{
	bct_parts_t out = { 0 };

	while (out.n + 1 < x->call.n_segments && out.n < BCT_PARTS_MAX) {
		out.ids[out.n] = x->call.segments[out.n].id;
		out.n++;
	}
	return out;
}

static void log_verdict(bct_gate_t *g, const char *request, const char *how,
			const bct_gate_part_verdict_t *v)
{
	bct_time_t age_ms = bct_clock_now() - v->since;

	if (v->refused)
		BCT_LOG(g->log, BCT_EV_GATE_PART_REFUSED, BCT_HEX("part", v->part),
			BCT_STR("how", how), BCT_U64("crashes", v->crashes),
			BCT_I64("evidence_age_ms", age_ms),
			BCT_I64("refused_for_ms", BCT_GATE_PART_KEEP_MS - age_ms));
	else
		BCT_LOG(g->log, BCT_EV_GATE_PART_RELEASED, BCT_STR("request", request),
			BCT_HEX("part", v->part), BCT_STR("how", how),
			BCT_I64("evidence_age_ms", age_ms));
}

void bct_part_crashed(bct_gate_t *g, const char *request, const bct_gate_part_crash_t *c)
{
	if (!bct_gate_part_judge_crash(&g->part_judge, c))
		return;
	BCT_LOG(g->log, BCT_EV_GATE_PART_SUSPECTED, BCT_STR("request", request),
		BCT_HEX("first_part", c->parts.ids[0]),
		BCT_HEX("last_part", c->parts.ids[c->parts.n - 1]), BCT_U64("parts", c->parts.n),
		BCT_HEX("run", c->run), BCT_I64("age_ms", bct_clock_now() - c->at));
	bct_share_add_part_crash(g->share, c);
}

/* Whether requests with the part are refused now. */
static bool is_refused(const bct_gate_t *g, uint64_t part)
{
	return bct_gate_part_judge_remaining_ms(&g->part_judge, bct_clock_now(), part) > 0;
}

/* Records that the answer of a request with the part began then and did no harm. request: its id;
 * empty if a peer reported it. returns whether it is news */
static bool survived(bct_gate_t *g, const char *request, uint64_t part, bct_time_t began_at)
{
	bool refused = is_refused(g, part);

	if (!bct_gate_part_judge_survived(&g->part_judge, part, began_at))
		return false;
	if (refused && !is_refused(g, part))
		log_verdict(g, request, "survivor",
			    &(bct_gate_part_verdict_t){ .part = part, .since = began_at });
	return true;
}

void bct_part_output(bct_exchange_t *x, bool complete)
{
	bct_time_t now = bct_clock_now();
	bct_parts_t parts;

	if (x->harmless || !x->output_started ||
	    (!complete && now - x->output_at < BCT_GATE_PART_SURVIVED_MS))
		return;
	x->harmless = true;
	parts = bct_part_of(x);
	for (uint32_t i = 0; i < parts.n; i++) {
		if (survived(x->gate, x->call.id, parts.ids[i], x->output_at))
			bct_share_add_survivor(x->gate->share, parts.ids[i], x->output_at);
	}
}

void bct_part_decide(bct_gate_t *g)
{
	bct_gate_part_verdict_t v;

	while (bct_gate_part_judge_decide(&g->part_judge, bct_clock_now(), &g->upstreams, &v)) {
		BCT_GATE_COUNT(g, PARTS_REFUSED);
		log_verdict(g, "", "judged", &v);
		bct_share_send_verdict(g->share, &v);
	}
}

uint32_t bct_part_remaining_ms(bct_exchange_t *x)
{
	const bct_gate_part_judge_t *j = &x->gate->part_judge;
	bct_parts_t parts;
	uint32_t longest = 0;

	if (!j->verdicts.n)
		return 0;
	parts = bct_part_of(x);
	for (uint32_t i = 0; i < parts.n; i++) {
		uint32_t ms = bct_gate_part_judge_remaining_ms(j, bct_clock_now(), parts.ids[i]);

		if (ms <= longest)
			continue;
		longest = ms;
		x->refused_part = parts.ids[i];
	}
	return longest;
}

/* The only part of the prompt that is refused, if no other one is even suspected; 0: there is none.
 */
static uint64_t part_to_try(const bct_exchange_t *x)
{
	const bct_gate_part_judge_t *j = &x->gate->part_judge;
	bct_parts_t parts = bct_part_of(x);
	bct_time_t now = bct_clock_now();
	uint64_t part = 0;

	for (uint32_t i = 0; i < parts.n; i++) {
		bool refused = is_refused(x->gate, parts.ids[i]);

		if (!refused && !bct_gate_part_judge_is_suspect(j, now, parts.ids[i]))
			continue;
		if (part || !refused)
			return 0;
		part = parts.ids[i];
	}
	return part;
}

bool bct_part_take_trial(const bct_exchange_t *x)
{
	bct_gate_t *g = x->gate;
	uint64_t part = part_to_try(x);

	bct_gate_check_resumed(g);
	if (!part || bct_gate_is_resuming(g) || !bct_share_is_responsible(g->share, part) ||
	    !bct_gate_part_judge_take_trial(&g->part_judge, bct_clock_now(), part))
		return false;
	BCT_LOG(g->log, BCT_EV_GATE_PART_TRIAL, BCT_STR("request", x->call.id),
		BCT_HEX("part", part));
	return true;
}

bool bct_part_peer_crash(bct_gate_t *g, const bct_gate_part_crash_t *c)
{
	return bct_gate_part_judge_crash(&g->part_judge, c);
}

bool bct_part_peer_survivor(bct_gate_t *g, uint64_t part, bct_time_t began_at)
{
	return survived(g, "", part, began_at);
}

void bct_part_peer_verdict(bct_gate_t *g, const bct_gate_part_verdict_t *v)
{
	if (bct_gate_part_judge_heard(&g->part_judge, bct_clock_now(), v))
		log_verdict(g, "", "peer", v);
}
