/*
 * gate_part_judge.c - evidence in a ring; counts are taken from it anew for each decision, as
 * crashes are rare and what speaks for a part may come later.
 */
#include "policy/gate_part_judge.h"

#include <string.h>

/* An answer that began this long after the last crash on record is later evidence, also for nodes
 * that learned of both with different delays. */
#define RELEASE_MARGIN_MS 500
/* Error of times that other nodes report. */
#define SENT_MARGIN_MS 50
/* Bytes that arrive this long after an upstream's crash are no rest of what it had sent before. */
#define HEARD_MARGIN_MS 300

static bool same_parts(const bct_parts_t *a, const bct_parts_t *b)
{
	return a->n == b->n && !memcmp(a->ids, b->ids, a->n * sizeof(a->ids[0]));
}

/* Returns the number of parts up to and with the last one that is refused; 0: none is. */
static uint32_t parts_to_refused(const bct_gate_part_judge_t *j, const bct_gate_part_crash_t *c)
{
	uint32_t n = c->parts.n;

	while (n && !bct_gate_part_verdict_refuses(&j->verdicts, c->at, c->parts.ids[n - 1]))
		n--;
	return n;
}

/* Whether the run had ended before the request was sent, or well before it broke: what is left of a
 * run may accept connections and break them. */
static bool is_after_end(const bct_gate_part_judge_t *j, const bct_gate_part_crash_t *c)
{
	for (uint32_t i = 0; i < j->n_events; i++) {
		const bct_gate_part_event_t *first = &j->events[i];

		if (first->crash.run != c->run || first->voided)
			continue;
		if (c->sent_at > first->crash.at + SENT_MARGIN_MS ||
		    c->at > first->crash.at + BCT_GATE_PART_SPREAD_MS)
			return true;
	}
	return false;
}

static bool has_part(const bct_parts_t *p, uint64_t part)
{
	for (uint32_t i = 0; i < p->n; i++) {
		if (p->ids[i] == part)
			return true;
	}
	return false;
}

/* The crash of the run is explained by a refused part, of which the event may have none. */
static void explain_run(bct_gate_part_judge_t *j, uint32_t run, uint64_t part)
{
	for (uint32_t i = 0; i < j->n_events; i++) {
		bct_gate_part_event_t *e = &j->events[i];

		if (e->crash.run == run && !has_part(&e->crash.parts, part))
			e->open_from = e->crash.parts.n;
	}
}

/*
 * Finds what the events still speak against. Those after the end of a run speak against nothing;
 * those of a crash that a refused part explains only against parts behind it, which may be a
 * narrower cause. When that part is released, they speak against all again.
 */
static void update_open(bct_gate_part_judge_t *j)
{
	for (uint32_t i = 0; i < j->n_events; i++) {
		bct_gate_part_event_t *e = &j->events[i];

		e->open_from = parts_to_refused(j, &e->crash);
		if (e->voided || is_after_end(j, &e->crash))
			e->open_from = e->crash.parts.n;
	}
	for (uint32_t i = 0; i < j->n_events; i++) {
		const bct_gate_part_crash_t *c = &j->events[i].crash;
		uint32_t n = parts_to_refused(j, c);

		if (n)
			explain_run(j, c->run, c->parts.ids[n - 1]);
	}
}

static bool is_known(const bct_gate_part_judge_t *j, const bct_gate_part_crash_t *c)
{
	for (uint32_t i = 0; i < j->n_events; i++) {
		const bct_gate_part_crash_t *known = &j->events[i].crash;

		if (known->run == c->run && same_parts(&known->parts, &c->parts))
			return true;
	}
	return false;
}

/* A crash so long after a verdict is that of a request that some node let through: no more trials.
 */
static void note_trial_failed(bct_gate_part_judge_t *j, const bct_gate_part_crash_t *c)
{
	for (uint32_t i = 0; i < c->parts.n; i++) {
		bct_gate_part_verdict_t *v =
			bct_gate_part_verdict_find(&j->verdicts, c->parts.ids[i]);

		if (v && v->refused && c->at - v->since >= BCT_GATE_PART_TRIAL_MS)
			v->trial_failed = true;
	}
}

/* Returns room for an event; of a full list, one that speaks against nothing, else the oldest. */
static bct_gate_part_event_t *take_event(bct_gate_part_judge_t *j)
{
	uint32_t at = j->next_event;

	if (j->n_events < BCT_GATE_PART_EVENTS_MAX)
		return &j->events[j->n_events++];
	for (uint32_t i = 0; i < BCT_GATE_PART_EVENTS_MAX; i++) {
		if (j->events[i].voided || !j->events[i].suspects)
			return &j->events[i];
	}
	j->next_event = (at + 1) % BCT_GATE_PART_EVENTS_MAX;
	return &j->events[at];
}

bool bct_gate_part_judge_crash(bct_gate_part_judge_t *j, const bct_gate_part_crash_t *c)
{
	bct_gate_part_event_t *e;

	if (!c->parts.n || is_known(j, c) || is_after_end(j, c))
		return false;
	e = take_event(j);
	*e = (bct_gate_part_event_t){ .crash = *c, .suspects = (1U << c->parts.n) - 1 };
	note_trial_failed(j, c);
	j->undecided = true;
	return true;
}

/* returns the number of crashes after which the part is refused */
static uint32_t crashes_required(const bct_gate_part_judge_t *j, bct_time_t now, uint64_t part)
{
	if (now - j->started_at < BCT_GATE_PART_LEARN_MS ||
	    bct_gate_part_is_trusted(&j->trusted, now, part))
		return BCT_GATE_PART_CRASHES_TRUSTED;
	return BCT_GATE_PART_CRASHES;
}

static bool clear_part(bct_gate_part_event_t *e, uint64_t part)
{
	bool cleared = false;

	for (uint32_t i = 0; i < e->crash.parts.n; i++) {
		if (e->crash.parts.ids[i] != part || !(e->suspects & 1U << i))
			continue;
		e->suspects &= ~(1U << i);
		cleared = true;
	}
	return cleared;
}

bool bct_gate_part_judge_survived(bct_gate_part_judge_t *j, uint64_t part, bct_time_t began_at)
{
	bct_gate_part_verdict_t *v = bct_gate_part_verdict_find(&j->verdicts, part);
	bool news = false;

	bct_gate_part_trust_note(&j->trusted, part, began_at);
	for (uint32_t i = 0; i < j->n_events; i++) {
		bct_gate_part_event_t *e = &j->events[i];

		if (e->crash.at <= began_at && clear_part(e, part))
			news = true;
	}
	if (v && v->refused && began_at >= v->since + RELEASE_MARGIN_MS) {
		v->refused = false;
		v->since = began_at;
		j->undecided = true;
		news = true;
	}
	return news;
}

/* The run lived on through these crashes, so they were none. A later connection may be to the next
 * run, of which this node has not heard. */
static void void_crashes_of(bct_gate_part_judge_t *j, const bct_gate_upstream_t *u)
{
	uint32_t run = bct_gate_upstream_run(u);

	for (uint32_t i = 0; i < j->n_events; i++) {
		bct_gate_part_event_t *e = &j->events[i];

		if (e->crash.run == run && u->lived_from <= e->crash.at &&
		    u->lived_to > e->crash.at + HEARD_MARGIN_MS)
			e->voided = true;
	}
}

static void void_false_crashes(bct_gate_part_judge_t *j, const bct_gate_upstreams_t *t)
{
	bct_list_t *el;

	bct_list_for_each(el, &t->all) {
		const bct_gate_upstream_t *u = bct_container_of(el, bct_gate_upstream_t, link);

		if (u->lived_to)
			void_crashes_of(j, u);
	}
}

/* Whether an event that has settled speaks against the part. depth: where it is in the prompt. */
static bool speaks_against(const bct_gate_part_event_t *e, bct_time_t now, uint64_t part,
			   uint32_t *depth)
{
	bct_time_t age_ms = now - e->crash.at;

	if (age_ms < BCT_GATE_PART_SETTLE_MS || age_ms >= BCT_GATE_PART_KEEP_MS)
		return false;
	for (uint32_t i = e->open_from; i < e->crash.parts.n; i++) {
		if (e->crash.parts.ids[i] == part && e->suspects & 1U << i) {
			*depth = i;
			return true;
		}
	}
	return false;
}

typedef struct tally {
	uint32_t crashes; /* at different upstreams, and apart in time */
	uint32_t runs;	  /* of upstreams that crashed */
	uint32_t depth;
	bct_time_t last_at;
} tally_t;

typedef struct crash_time {
	uint32_t run;
	bct_time_t at;
} crash_time_t;

/* Adds a crash to a list in order of time, unless its upstream is there. */
static void insert_crash(crash_time_t *list, uint32_t *n, const bct_gate_part_crash_t *c)
{
	uint32_t at;

	for (uint32_t i = 0; i < *n; i++) {
		if (list[i].run == c->run)
			return;
	}
	for (at = *n; at && list[at - 1].at > c->at; at--)
		list[at] = list[at - 1];
	list[at] = (crash_time_t){ .run = c->run, .at = c->at };
	(*n)++;
}

static tally_t count_crashes(const bct_gate_part_judge_t *j, bct_time_t now, uint64_t part)
{
	crash_time_t list[BCT_GATE_PART_EVENTS_MAX];
	tally_t out = { 0 };
	uint32_t n = 0;

	for (uint32_t i = 0; i < j->n_events; i++) {
		if (speaks_against(&j->events[i], now, part, &out.depth))
			insert_crash(list, &n, &j->events[i].crash);
	}
	out.runs = n;
	for (uint32_t i = 0; i < n; i++) {
		if (out.crashes && list[i].at - out.last_at < BCT_GATE_PART_SPACING_MS)
			continue;
		out.crashes++;
		out.last_at = list[i].at;
	}
	return out;
}

/* Of two parts against which enough speaks, the deeper one is the narrower cause. */
static bool is_better(const tally_t *a, const tally_t *b)
{
	if (a->depth != b->depth)
		return a->depth > b->depth;
	return a->crashes != b->crashes ? a->crashes > b->crashes : a->runs > b->runs;
}

/* Whether an event before the i-th suspects the part as well, so that it is counted already. */
static bool is_counted(const bct_gate_part_judge_t *j, uint32_t i, uint64_t part)
{
	while (i--) {
		const bct_gate_part_event_t *e = &j->events[i];

		for (uint32_t k = 0; k < e->crash.parts.n; k++) {
			if (k >= e->open_from && e->crash.parts.ids[k] == part &&
			    e->suspects & 1U << k)
				return true;
		}
	}
	return false;
}

/* Whether a deeper part of the same prompts accounts for half of the part's crashes: then that one
 * is the cause, or not enough is known yet. */
static bool has_narrower_cause(const bct_gate_part_judge_t *j, bct_time_t now, uint64_t part,
			       const tally_t *t)
{
	for (uint32_t i = 0; i < j->n_events; i++) {
		const bct_gate_part_event_t *e = &j->events[i];
		uint32_t depth = 0;

		if (!speaks_against(e, now, part, &depth))
			continue;
		for (uint32_t k = depth + 1; k < e->crash.parts.n; k++) {
			if (count_crashes(j, now, e->crash.parts.ids[k]).crashes * 2 >= t->crashes)
				return true;
		}
	}
	return false;
}

/* Whether enough speaks against the part to refuse it. */
static bool is_guilty(const bct_gate_part_judge_t *j, bct_time_t now, uint64_t part,
		      const tally_t *t)
{
	return t->crashes >= crashes_required(j, now, part) && !has_narrower_cause(j, now, part, t);
}

/* Finds the part that most speaks against, of those against which enough does. returns whether
 * there is one. */
static bool find_worst(const bct_gate_part_judge_t *j, bct_time_t now, uint64_t *part,
		       tally_t *worst)
{
	*worst = (tally_t){ 0 };
	for (uint32_t i = 0; i < j->n_events; i++) {
		const bct_gate_part_event_t *e = &j->events[i];

		for (uint32_t k = 0; k < e->crash.parts.n; k++) {
			uint64_t id = e->crash.parts.ids[k];
			tally_t t;

			if (k < e->open_from || !(e->suspects & 1U << k) || is_counted(j, i, id))
				continue;
			t = count_crashes(j, now, id);
			if ((worst->crashes && !is_better(&t, worst)) || !is_guilty(j, now, id, &t))
				continue;
			*worst = t;
			*part = id;
		}
	}
	return worst->crashes > 0;
}

static bool is_settled(const bct_gate_part_judge_t *j, bct_time_t now)
{
	for (uint32_t i = 0; i < j->n_events; i++) {
		if (now - j->events[i].crash.at < BCT_GATE_PART_SETTLE_MS)
			return false;
	}
	return true;
}

/* The parts before a refused one in the same prompts were refused for what it did. */
static void release_wider(bct_gate_part_judge_t *j, bct_time_t now, uint64_t part)
{
	for (uint32_t i = 0; i < j->n_events; i++) {
		const bct_parts_t *p = &j->events[i].crash.parts;

		if (!has_part(p, part))
			continue;
		for (uint32_t k = 0; p->ids[k] != part; k++) {
			bct_gate_part_verdict_t *v =
				bct_gate_part_verdict_find(&j->verdicts, p->ids[k]);

			if (!v || !v->refused || !bct_gate_part_verdict_holds(v, now))
				continue;
			v->refused = false;
			v->since = now;
			v->superseded = true;
		}
	}
}

static void refuse(bct_gate_part_judge_t *j, bct_time_t now, uint64_t part, const tally_t *t,
		   bct_gate_part_verdict_t *out)
{
	bct_gate_part_verdict_t *v = bct_gate_part_verdict_put(&j->verdicts, part);

	*v = (bct_gate_part_verdict_t){
		.part = part,
		.refused = true,
		.since = t->last_at,
		.crashes = t->crashes,
	};
	*out = *v;
	release_wider(j, now, part);
}

static bool next_superseded(bct_gate_part_judge_t *j, bct_gate_part_verdict_t *out)
{
	for (uint32_t i = 0; i < j->verdicts.n; i++) {
		bct_gate_part_verdict_t *v = &j->verdicts.list[i];

		if (!v->superseded)
			continue;
		v->superseded = false;
		*out = *v;
		return true;
	}
	return false;
}

bool bct_gate_part_judge_decide(bct_gate_part_judge_t *j, bct_time_t now,
				const bct_gate_upstreams_t *t, bct_gate_part_verdict_t *out)
{
	uint64_t part = 0;
	tally_t worst;

	if (j->n_events)
		void_false_crashes(j, t);
	if (next_superseded(j, out))
		return true;
	if (!j->undecided)
		return false;
	j->undecided = !is_settled(j, now);
	update_open(j);
	if (!find_worst(j, now, &part, &worst))
		return false;
	refuse(j, now, part, &worst, out);
	j->undecided = true;
	return true;
}

bool bct_gate_part_judge_heard(bct_gate_part_judge_t *j, bct_time_t now,
			       const bct_gate_part_verdict_t *in)
{
	bct_gate_part_verdict_t *v = bct_gate_part_verdict_find(&j->verdicts, in->part);

	if (!bct_gate_part_verdict_holds(in, now) || in->since > now)
		return false;
	if (v && bct_gate_part_verdict_holds(v, now) &&
	    (v->refused == in->refused || v->since >= in->since))
		return false;
	v = bct_gate_part_verdict_put(&j->verdicts, in->part);
	*v = *in;
	v->tried_at = 0;
	v->trial_failed = false;
	for (uint32_t i = 0; !in->refused && i < j->n_events; i++)
		clear_part(&j->events[i], in->part);
	j->undecided = true;
	return true;
}

uint32_t bct_gate_part_judge_remaining_ms(const bct_gate_part_judge_t *j, bct_time_t now,
					  uint64_t part)
{
	const bct_gate_part_verdict_t *v = bct_gate_part_verdict_find(&j->verdicts, part);

	if (!v || !v->refused || !bct_gate_part_verdict_holds(v, now))
		return 0;
	return (uint32_t)(v->since + BCT_GATE_PART_KEEP_MS - now);
}

bool bct_gate_part_judge_is_suspect(const bct_gate_part_judge_t *j, bct_time_t now, uint64_t part)
{
	for (uint32_t i = 0; i < j->n_events; i++) {
		const bct_gate_part_event_t *e = &j->events[i];

		for (uint32_t k = 0; k < e->crash.parts.n; k++) {
			if (e->crash.parts.ids[k] == part && e->suspects & 1U << k && !e->voided &&
			    now - e->crash.at < BCT_GATE_PART_KEEP_MS)
				return true;
		}
	}
	return false;
}

bool bct_gate_part_judge_take_trial(bct_gate_part_judge_t *j, bct_time_t now, uint64_t part)
{
	bct_gate_part_verdict_t *v = bct_gate_part_verdict_find(&j->verdicts, part);

	if (!v || !v->refused || v->trial_failed || now - v->since < BCT_GATE_PART_TRIAL_MS)
		return false;
	if (v->tried_at && now - v->tried_at < BCT_GATE_PART_TRIAL_MS)
		return false;
	v->tried_at = now;
	return true;
}

bool bct_gate_part_judge_next(const bct_gate_part_judge_t *j, bct_time_t now, uint32_t *pos,
			      bct_gate_part_verdict_t *out)
{
	while (*pos < j->verdicts.n) {
		const bct_gate_part_verdict_t *v = &j->verdicts.list[(*pos)++];

		if (!bct_gate_part_verdict_holds(v, now))
			continue;
		*out = *v;
		return true;
	}
	return false;
}
