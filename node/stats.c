/*
 * stats.c - counters, class windows and their output.
 */
#include "node/stats.h"
#include "base/mem.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define CLASSES_MIN 16 /* first allocation of classes */

void bct_stats_init(bct_stats_t *s, bct_time_t now)
{
	memset(s, 0, sizeof(*s));
	s->window_start = now;
	pthread_mutex_init(&s->lock, NULL);
}

void bct_stats_free(bct_stats_t *s)
{
	pthread_mutex_destroy(&s->lock);
	bct_free(s->classes);
	s->classes = NULL;
}

/*
 * Starts a new window if the current one has ended. If another full window has passed since then,
 * the counts are too old to be shown as the last window, so it is cleared.
 */
static void roll_window(bct_stats_t *s, bct_time_t now)
{
	bool skipped = now - s->window_start >= 2 * BCT_STATS_WINDOW_MS;

	if (now - s->window_start < BCT_STATS_WINDOW_MS)
		return;
	for (uint32_t i = 0; i < s->n_classes; i++) {
		bct_class_stats_t *c = &s->classes[i];

		c->last = c->now;
		memset(&c->now, 0, sizeof(c->now));
		if (skipped)
			memset(&c->last, 0, sizeof(c->last));
	}
	s->window_start = now;
}

static bct_class_stats_t *add_class(bct_stats_t *s, const bct_request_t *r)
{
	uint32_t cap = s->cap_classes ? 2 * s->cap_classes : CLASSES_MIN;
	bct_class_stats_t *c;

	if (s->n_classes == s->cap_classes) {
		c = bct_realloc(s->classes, sizeof(*c) * cap);
		if (!c)
			return NULL;
		s->classes = c;
		s->cap_classes = cap;
	}
	c = &s->classes[s->n_classes++];
	memset(c, 0, sizeof(*c));
	c->account_key = r->account->key;
	c->class_key = r->klass->key;
	snprintf(c->account, sizeof(c->account), "%s", r->account->name);
	snprintf(c->klass, sizeof(c->klass), "%s", r->klass->name);
	return c;
}

/* The entry for a request's class, added if needed; NULL if out of memory. */
static bct_class_stats_t *class_of(bct_stats_t *s, const bct_request_t *r)
{
	for (uint32_t i = 0; i < s->n_classes; i++) {
		bct_class_stats_t *c = &s->classes[i];

		if (c->account_key == r->account->key && c->class_key == r->klass->key)
			return c;
	}
	return add_class(s, r);
}

/* A service's answer has no tokens: the time of its end counts as that of the first token. */
static void count_request(bct_class_window_t *w, const bct_request_t *r, bct_time_t now)
{
	bct_time_t first = r->kind == BCT_REQUEST_SERVICE ? now : r->first_token;
	bool answered = r->refuse == BCT_REFUSE_NONE;
	bool ttft_met = answered && first - r->desc.arrived <= (bct_time_t)r->klass->ttft_ms;

	w->requests++;
	w->answered += answered;
	w->refused += !answered && r->refuse != BCT_REFUSE_CALLER_GONE;
	w->ttft_met += ttft_met;
	w->itl_met += answered && r->max_gap_ms <= r->klass->itl_ms;
	w->tokens += r->tokens;
}

void bct_stats_end(bct_stats_t *s, const bct_request_t *r, bct_time_t now)
{
	bct_class_stats_t *c;

	bct_counter_inc(&s->requests);
	bct_counter_add(&s->tokens, r->tokens);
	bct_counter_inc(&s->terminated[r->ended_by * BCT_STATE_COUNT + r->state]);
	pthread_mutex_lock(&s->lock);
	roll_window(s, now);
	c = class_of(s, r);
	if (c) {
		c->tier = r->klass->tier;
		count_request(&c->now, r, now);
		count_request(&c->total, r, now);
	}
	pthread_mutex_unlock(&s->lock);
}

void bct_stats_count_refused(bct_stats_t *s, bct_refuse_t why)
{
	bct_counter_inc(&s->refused[why]);
}

void bct_stats_refused_early(bct_stats_t *s, bct_refuse_t why, bct_state_t state)
{
	bct_ended_by_t by = bct_request_ended_by(why);

	bct_counter_inc(&s->refused[why]);
	bct_counter_inc(&s->terminated[by * BCT_STATE_COUNT + state]);
}

static const bct_counter_desc_t refused_desc[] = {
#define DEF(name, wire, http_status, text) \
	{ "bct_refused_total", "reason", wire, "counter", "requests refused, by reason" },
	BCT_REFUSE_LIST(DEF)
#undef DEF
};

static const bct_counter_desc_t retried_desc[] = {
#define DEF(name, wire, text) \
	{ "bct_retried_total", "reason", wire, "counter", "attempts after the first, by reason" },
	BCT_RETRY_LIST(DEF)
#undef DEF
};

/* Codes that have not occurred are left out. */
static void print_terminated(bct_stats_t *s, bct_buf_t *out)
{
	bct_buf_puts(out, "# HELP bct_terminated_total ended requests by termination code\n"
			  "# TYPE bct_terminated_total counter\n");
	for (uint32_t i = 0; i < BCT_ENDED_BY_COUNT * BCT_STATE_COUNT; i++) {
		uint64_t n = bct_counter_get(&s->terminated[i]);

		if (n)
			bct_buf_printf(out, "bct_terminated_total{code=\"%c%c\"} %" PRIu64 "\n",
				       bct_ended_by_letter(i / BCT_STATE_COUNT),
				       bct_state_letter(i % BCT_STATE_COUNT), n);
	}
}

static void print_unlabelled(bct_stats_t *s, bct_buf_t *out)
{
	static const bct_counter_desc_t desc[] = {
		{ "bct_requests_total", NULL, NULL, "counter", "requests that were taken" },
		{ "bct_tokens_total", NULL, NULL, "counter", "output tokens given to callers" },
		{ "bct_tokens_wasted_total", NULL, NULL, "counter",
		  "output tokens produced and given to nobody" },
		{ "bct_crossed_answers_total", NULL, NULL, "counter",
		  "answers of another attempt, dropped" },
		{ "bct_late_answers_total", NULL, NULL, "counter",
		  "answers of an attempt that no longer counted, dropped" },
		{ "bct_connections_reaped_total", NULL, NULL, "counter",
		  "connections closed because a request did not arrive in time" },
		{ "bct_connections_yielded_total", NULL, NULL, "counter",
		  "connections ended for new ones at the limit of connections" },
		{ "bct_connections_refused_total", NULL, NULL, "counter",
		  "new connections closed at the limit of connections" },
	};
	const bct_counter_t values[] = { s->requests, s->tokens, s->tokens_wasted, s->mismatched,
					 s->late,     s->reaped, s->yielded,	   s->turned_away };

	bct_counters_print(out, desc, values, sizeof(values) / sizeof(values[0]));
}

int bct_stats_print(bct_stats_t *s, bct_buf_t *out)
{
	print_unlabelled(s, out);
	bct_counters_print(out, refused_desc, s->refused, BCT_REFUSE_COUNT);
	bct_counters_print(out, retried_desc, s->retried, BCT_RETRY_COUNT);
	print_terminated(s, out);
	return out->err;
}

static json_t *window_json(const bct_class_window_t *w)
{
	return json_pack("{s:i, s:i, s:i, s:i, s:i, s:I}", "requests", (int)w->requests, "answered",
			 (int)w->answered, "ttft_met", (int)w->ttft_met, "itl_met", (int)w->itl_met,
			 "refused", (int)w->refused, "tokens", (json_int_t)w->tokens);
}

json_t *bct_stats_classes(bct_stats_t *s, bct_time_t now)
{
	json_t *list = json_array();

	pthread_mutex_lock(&s->lock);
	roll_window(s, now);
	for (uint32_t i = 0; list && i < s->n_classes; i++) {
		const bct_class_stats_t *c = &s->classes[i];

		json_array_append_new(list, json_pack("{s:s, s:s, s:i, s:o, s:o, s:o}", "account",
						      c->account, "class", c->klass, "tier",
						      (int)c->tier, "now", window_json(&c->now),
						      "last", window_json(&c->last), "total",
						      window_json(&c->total)));
	}
	pthread_mutex_unlock(&s->lock);
	return list;
}
