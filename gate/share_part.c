/*
 * share_part.c - evidence and verdicts on parts of prompts that crash upstreams, in the share
 * protocol. In a large fleet hubs relay what is news.
 */
#include "gate/part.h"
#include "gate/share_int.h"

#include <string.h>

#define CRASH_ROUNDS 3 /* in which the same crash is sent, as datagrams may be lost */

void bct_share_add_part_crash(bct_share_t *s, const bct_gate_part_crash_t *c)
{
	if (!s)
		return;
	if (s->n_part_crashes == BCT_SHARE_PART_CRASHES_MAX) {
		BCT_GATE_COUNT(s->gate, SHARES_DROPPED);
		return;
	}
	s->part_crashes[s->n_part_crashes++] = (bct_share_part_crash_t){ .crash = *c };
}

void bct_share_add_survivor(bct_share_t *s, uint64_t part, bct_time_t began_at)
{
	if (!s)
		return;
	if (s->n_survivors == SHARE_SURVIVORS_MAX) {
		BCT_GATE_COUNT(s->gate, SHARES_DROPPED);
		return;
	}
	s->survivors[s->n_survivors++] =
		(bct_share_survivor_t){ .part = part, .began_at = began_at };
}

static uint32_t age_of(bct_time_t at, bct_time_t now)
{
	return now > at ? (uint32_t)(now - at) : 0;
}

static share_part_crash encode_crash(const bct_gate_part_crash_t *c, bct_time_t now)
{
	share_part_crash x = { .run = c->run,
			       .sent_age_ms = age_of(c->sent_at, now),
			       .age_ms = age_of(c->at, now) };

	/* Encoding does not change it. */
	x.parts.parts_val = (u_quad_t *)c->parts.ids;
	x.parts.parts_len = c->parts.n;
	return x;
}

static share_verdict encode_verdict(const bct_gate_part_verdict_t *v, bct_time_t now)
{
	return (share_verdict){ .part = v->part,
				.refused = v->refused,
				.age_ms = age_of(v->since, now),
				.crashes = v->crashes };
}

/* Sends up to SHARE_PART_CRASHES_MAX of the crashes that wait. */
static void send_some_crashes(bct_share_t *s, bct_time_t now, uint32_t first, uint32_t n)
{
	share_part_crash list[SHARE_PART_CRASHES_MAX];
	share_update update = { .view = BCT_GATE_VIEW_LOCAL };

	for (uint32_t i = 0; i < n; i++) {
		list[i] = encode_crash(&s->part_crashes[first + i].crash, now);
		s->part_crashes[first + i].rounds++;
	}
	update.part_crashes.part_crashes_val = list;
	update.part_crashes.part_crashes_len = n;
	bct_share_send_change(s, &update);
}

static void send_crashes(bct_share_t *s, bct_time_t now)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < s->n_part_crashes; i += SHARE_PART_CRASHES_MAX) {
		uint32_t n = s->n_part_crashes - i;

		send_some_crashes(s, now, i,
				  n < SHARE_PART_CRASHES_MAX ? n : SHARE_PART_CRASHES_MAX);
	}
	for (uint32_t i = 0; i < s->n_part_crashes; i++) {
		if (s->part_crashes[i].rounds < CRASH_ROUNDS)
			s->part_crashes[kept++] = s->part_crashes[i];
	}
	s->n_part_crashes = kept;
}

static void send_survivors(bct_share_t *s, bct_time_t now)
{
	share_survivor list[SHARE_SURVIVORS_MAX];
	share_update update = { .view = BCT_GATE_VIEW_LOCAL };

	if (!s->n_survivors)
		return;
	for (uint32_t i = 0; i < s->n_survivors; i++)
		list[i] = (share_survivor){ .part = s->survivors[i].part,
					    .age_ms = age_of(s->survivors[i].began_at, now) };
	update.survivors.survivors_val = list;
	update.survivors.survivors_len = s->n_survivors;
	bct_share_send_change(s, &update);
	s->n_survivors = 0;
}

void bct_share_part_round(bct_share_t *s, bct_time_t now)
{
	send_crashes(s, now);
	send_survivors(s, now);
}

void bct_share_send_verdict(bct_share_t *s, const bct_gate_part_verdict_t *v)
{
	share_update update = { 0 };
	share_verdict x;

	if (!s)
		return;
	x = encode_verdict(v, bct_clock_now());
	update.verdicts.verdicts_val = &x;
	update.verdicts.verdicts_len = 1;
	bct_share_send_all(s, &update);
}

void bct_share_part_announce(bct_share_t *s, bct_time_t now)
{
	share_verdict list[BCT_GATE_PART_VERDICTS_MAX];
	bct_gate_part_verdict_t v;
	uint32_t n = 0, pos = 0;

	while (bct_gate_part_judge_next(&s->gate->part_judge, now, &pos, &v))
		list[n++] = encode_verdict(&v, now);
	for (uint32_t i = 0; i < n; i += SHARE_VERDICTS_MAX) {
		share_update update = { 0 };

		update.verdicts.verdicts_val = list + i;
		update.verdicts.verdicts_len =
			n - i < SHARE_VERDICTS_MAX ? n - i : SHARE_VERDICTS_MAX;
		bct_share_send_all(s, &update);
	}
}

/* At a hub: forwards news to the nodes of its cluster. */
static void relay(bct_share_t *s, const share_update *from, share_update *news)
{
	news->view = BCT_GATE_VIEW_REST;
	if (from->view == BCT_GATE_VIEW_LOCAL && bct_share_is_hub(s))
		bct_share_send_to_local_cluster(s, news);
}

static void apply_crashes(bct_share_t *s, bct_time_t now, const share_update *update)
{
	share_part_crash list[SHARE_PART_CRASHES_MAX];
	share_update news = { 0 };
	uint32_t n = 0;

	for (uint32_t i = 0; i < update->part_crashes.part_crashes_len; i++) {
		const share_part_crash *x = &update->part_crashes.part_crashes_val[i];
		bct_gate_part_crash_t c = { .run = x->run,
					    .sent_at = now - x->sent_age_ms,
					    .at = now - x->age_ms };

		c.parts.n = x->parts.parts_len;
		memcpy(c.parts.ids, x->parts.parts_val, c.parts.n * sizeof(c.parts.ids[0]));
		if (bct_part_peer_crash(s->gate, &c))
			list[n++] = *x;
	}
	news.part_crashes.part_crashes_val = list;
	news.part_crashes.part_crashes_len = n;
	if (n)
		relay(s, update, &news);
}

static void apply_survivors(bct_share_t *s, bct_time_t now, const share_update *update)
{
	share_survivor list[SHARE_SURVIVORS_MAX];
	share_update news = { 0 };
	uint32_t n = 0;

	for (uint32_t i = 0; i < update->survivors.survivors_len; i++) {
		const share_survivor *x = &update->survivors.survivors_val[i];

		if (bct_part_peer_survivor(s->gate, x->part, now - x->age_ms))
			list[n++] = *x;
	}
	news.survivors.survivors_val = list;
	news.survivors.survivors_len = n;
	if (n)
		relay(s, update, &news);
}

void bct_share_part_apply(bct_share_t *s, bct_time_t now, const share_update *update)
{
	apply_crashes(s, now, update);
	apply_survivors(s, now, update);
	for (uint32_t i = 0; i < update->verdicts.verdicts_len; i++) {
		const share_verdict *x = &update->verdicts.verdicts_val[i];

		bct_part_peer_verdict(s->gate, &(bct_gate_part_verdict_t){ .part = x->part,
									   .refused = x->refused,
									   .since = now - x->age_ms,
									   .crashes = x->crashes });
	}
}
