/*
 * load.c - estimates of the load of one upstream.
 */
#include "policy/load.h"

#include <math.h>

void bct_load_init(bct_load_t *l, uint32_t slots)
{
	*l = (bct_load_t){ .slots = slots, .quota = slots };
}

/*
 * Samples the local load. Called before each change, so a sample is valid up to the time at which
 * it was taken.
 */
static void load_note(bct_load_t *l, bct_time_t now)
{
	bct_load_sample_t *last = &l->history[(l->n_history - 1) % BCT_LOAD_HISTORY];

	if (l->n_history && now - last->at < BCT_LOAD_HISTORY_STEP_MS)
		return;
	l->history[l->n_history++ % BCT_LOAD_HISTORY] =
		(bct_load_sample_t){ now, l->local, l->prefill_tokens };
}

/* The local load at a past time: the first sample taken at or after it. */
static bct_load_sample_t load_at(const bct_load_t *l, bct_time_t at)
{
	bct_load_sample_t found = { at, l->local, l->prefill_tokens };
	uint32_t kept = l->n_history < BCT_LOAD_HISTORY ? l->n_history : BCT_LOAD_HISTORY;
	uint32_t i;

	for (i = 1; i <= kept; i++) {
		const bct_load_sample_t *s = &l->history[(l->n_history - i) % BCT_LOAD_HISTORY];

		if (s->at < at)
			break;
		found = *s;
	}
	return found;
}

void bct_load_sent(bct_load_t *l, bct_time_t now, uint32_t prompt_tokens)
{
	load_note(l, now);
	l->local++;
	l->prefill_tokens += prompt_tokens;
}

void bct_load_first_token(bct_load_t *l, bct_time_t now, uint32_t prompt_tokens)
{
	load_note(l, now);
	l->prefill_tokens -= prompt_tokens;
}

void bct_load_ended(bct_load_t *l, bct_time_t now, uint32_t prompt_tokens, bool had_first_token)
{
	load_note(l, now);
	l->local--;
	if (!had_first_token)
		l->prefill_tokens -= prompt_tokens;
}

void bct_load_report(bct_load_t *l, bct_time_t at, uint32_t busy, uint32_t waiting_tokens)
{
	bct_load_sample_t then = load_at(l, at);

	if (at < l->others_at)
		return;
	l->others = busy > then.local ? busy - then.local : 0;
	l->others_prefill_tokens = (int64_t)waiting_tokens - then.prefill_tokens;
	if (l->others_prefill_tokens < 0)
		l->others_prefill_tokens = 0;
	l->others_at = at;
	l->others_from_total = false;
}

void bct_load_fleet_total(bct_load_t *l, bct_time_t at, uint32_t total)
{
	if (at < l->others_at)
		return;
	l->others = total > l->published ? total - l->published : 0;
	l->others_at = at;
	l->others_from_total = true;
}

bool bct_load_is_shared(const bct_load_t *l)
{
	return l->local || l->published || (l->others && l->others_from_total);
}

void bct_load_set_quota(bct_load_t *l, double share, double rounding)
{
	uint32_t used = l->local + l->others;
	double room = l->slots > used ? l->slots - used : 0;
	double fair = l->slots * share;
	double with_room = l->local + room * share;

	if (room > 0 && with_room > fair)
		fair = with_room;
	l->quota = (uint32_t)floor(fair + rounding);
	if (l->quota > l->slots)
		l->quota = l->slots;
}

uint32_t bct_load_room(const bct_load_t *l)
{
	uint32_t used = l->local + l->others;

	return used < l->slots ? l->slots - used : 0;
}

uint32_t bct_load_free(const bct_load_t *l)
{
	return l->local < l->quota ? bct_load_room(l) : 0;
}
