/*
 * gate_refuse.c - computes the limit of each request, raised where less urgent requests of its
 * service were accepted at a higher one.
 */
#include "policy/gate_refuse.h"

#include <stdbool.h>
#include <string.h>

#define PERMILLE 1000
#define LATE_FACTOR 2 /* times the objective: a later first byte is of no use to the caller */

/* Fractions of the remaining time that a request may wait for its first byte. */
#define NORMAL_PERMILLE 400	   /* the rest is for its output */
#define SUSTAINED_TOP_PERMILLE 150 /* under sustained overload, for the most urgent requests */
#define SUSTAINED_LOW_PERMILLE 50  /* the same for the least urgent */
#define ORDER_PERMILLE 600	   /* at most, for a limit raised to that of less urgent requests */
#define RETURNING_PERMILLE 800	   /* for a caller that was promised room */

#define ORDER_MS 500	  /* limits of less urgent requests count for at least this long */
#define HALF_LIFE_MS 1000 /* of the weight of a past request in the overload estimate */
#define SEEN_UNIT 64	  /* initial weight of a request */
#define SEEN_MIN 8	  /* recent requests needed to detect overload */
#define OVERLOAD_GAIN 2	  /* fully sustained when half of the requests are over the limit */
#define IDLE_MS 20	  /* a shorter wait counts as none */
#define OUTPUT_PERMILLE \
	1250		 /* of the remaining time: a request predicted to last longer is refused */
#define WORK_MIN_MS 300	 /* recent work needed to estimate its parts by urgency */
#define RETRY_MIN_MS 200 /* least time before a refused caller should retry */
#define RETRY_DIVISOR 4	 /* of the remaining time; callers wait for a third of it at most */

/*
 * The longest limits that requests of one urgency were sent under, in the current period of
 * ORDER_MS and in the one before.
 */
typedef struct sent_limits {
	uint32_t current_ms;
	uint32_t previous_ms;
	bct_time_t since; /* start of the current period; 0: nothing was sent */
} sent_limits_t;

typedef struct service {
	sent_limits_t sent[BCT_GATE_URGENCIES];
	uint32_t work_ms[BCT_GATE_URGENCIES]; /* of recent requests, also refused ones */
	bct_time_t decayed_at;		      /* when seen and over were last halved */
	uint32_t seen;			      /* recent requests, in 1/SEEN_UNIT */
	uint32_t over; /* those of them beyond the limit of sustained overload */
} service_t;

void bct_gate_refuse_init(bct_gate_refuse_t *f)
{
	memset(f, 0, sizeof(*f));
}

void bct_gate_refuse_free(bct_gate_refuse_t *f)
{
	bct_map_free_values(&f->services);
}

/* Returns NULL if memory is short; nothing is refused then. */
static service_t *service_of(bct_gate_refuse_t *f, uint64_t key)
{
	return bct_map_get_new(&f->services, key, sizeof(service_t));
}

static uint32_t urgency_class(const bct_gate_refuse_input_t *in)
{
	return in->levels ? in->rank * BCT_GATE_URGENCIES / in->levels : 0;
}

static uint32_t scale_permille(uint32_t ms, uint32_t permille)
{
	return (uint32_t)((uint64_t)ms * permille / PERMILLE);
}

static uint32_t min_u32(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

static uint32_t max_u32(uint32_t a, uint32_t b)
{
	return a > b ? a : b;
}

/* Fraction of its remaining time that a request may wait under sustained overload. */
static uint32_t sustained_permille(const bct_gate_refuse_input_t *in)
{
	uint32_t last = in->levels > 1 ? in->levels - 1 : 1;
	uint32_t span = SUSTAINED_TOP_PERMILLE - SUSTAINED_LOW_PERMILLE;

	return SUSTAINED_TOP_PERMILLE - span * min_u32(in->rank, last) / last;
}

/* Halves the counters once per HALF_LIFE_MS. */
static void decay(service_t *s, bct_time_t now)
{
	while (s->seen && now - s->decayed_at >= HALF_LIFE_MS) {
		s->decayed_at += HALF_LIFE_MS;
		s->seen /= 2;
		s->over /= 2;
		for (uint32_t i = 0; i < BCT_GATE_URGENCIES; i++)
			s->work_ms[i] /= 2;
	}
	if (!s->seen)
		s->decayed_at = now;
}

/* Part of the recent work that is as urgent as the request or more. */
static uint32_t ahead_permille(const service_t *s, const bct_gate_refuse_input_t *in)
{
	uint64_t ahead = 0, all = 0;

	for (uint32_t i = 0; i < BCT_GATE_URGENCIES; i++) {
		all += s->work_ms[i];
		if (i <= urgency_class(in))
			ahead += s->work_ms[i];
	}
	return all < WORK_MIN_MS ? PERMILLE : (uint32_t)(ahead * PERMILLE / all);
}

/* The request with the delay that it will see, as less urgent work does not delay it. */
static bct_gate_refuse_input_t by_urgency(const bct_gate_refuse_input_t *in, uint32_t permille)
{
	bct_gate_refuse_input_t r = *in;

	r.delay_ms = scale_permille(in->delay_ms, permille);
	r.first_byte_ms -= in->delay_ms - r.delay_ms;
	return r;
}

/*
 * Counts a request; returns how sustained the overload is, in permille, estimated from it and those
 * of the last seconds.
 */
static uint32_t update_overload(service_t *s, const bct_gate_refuse_input_t *in)
{
	uint32_t permille;

	s->seen += SEEN_UNIT;
	if (in->first_byte_ms > scale_permille(in->remaining_ms, sustained_permille(in)) &&
	    in->delay_ms > IDLE_MS)
		s->over += SEEN_UNIT;
	if (s->seen < SEEN_MIN * SEEN_UNIT)
		return 0;
	permille = (uint32_t)((uint64_t)s->over * OVERLOAD_GAIN * PERMILLE / s->seen);
	return min_u32(permille, PERMILLE);
}

/* The limit of a request, in ms to its first byte, regardless of others. */
static uint32_t base_limit(const bct_gate_refuse_input_t *in, uint32_t overload_permille)
{
	uint32_t span = NORMAL_PERMILLE - sustained_permille(in);
	uint32_t permille = NORMAL_PERMILLE - scale_permille(span, overload_permille);

	if (in->over_share && overload_permille)
		return 0;
	return min_u32(in->target_ms * LATE_FACTOR, scale_permille(in->remaining_ms, permille));
}

/* Raises a limit to those that less urgent requests of the service were recently sent under. */
static uint32_t raise_limit(const service_t *s, bct_time_t now, const bct_gate_refuse_input_t *in,
			    uint32_t limit)
{
	uint32_t longest = scale_permille(in->remaining_ms, ORDER_PERMILLE);

	for (uint32_t i = urgency_class(in) + 1; i < BCT_GATE_URGENCIES; i++) {
		const sent_limits_t *w = &s->sent[i];

		if (w->since && now - w->since < 2 * ORDER_MS)
			limit = max_u32(limit,
					min_u32(max_u32(w->current_ms, w->previous_ms), longest));
	}
	return limit;
}

/* A caller that was promised room is refused only where the answer would be of no use to it. */
static uint32_t returning_limit(const bct_gate_refuse_input_t *in)
{
	return min_u32(in->target_ms * LATE_FACTOR,
		       scale_permille(in->remaining_ms, RETURNING_PERMILLE));
}

static void record_sent(sent_limits_t *w, bct_time_t now, uint32_t limit)
{
	if (now - w->since >= ORDER_MS) {
		w->previous_ms = now - w->since < 2 * ORDER_MS ? w->current_ms : limit;
		w->current_ms = limit;
		w->since = now;
	}
	w->current_ms = max_u32(w->current_ms, limit);
}

/* Whether the answer is predicted to end long after the caller has left. */
static bool ends_too_late(const bct_gate_refuse_input_t *in)
{
	return in->first_byte_ms + in->output_ms >
	       scale_permille(in->remaining_ms, OUTPUT_PERMILLE);
}

bct_gate_refuse_decision_t bct_gate_refuse(bct_gate_refuse_t *f, bct_time_t now,
					   const bct_gate_refuse_input_t *given)
{
	service_t *s = service_of(f, given->service_key);
	bct_gate_refuse_decision_t v = { 0 };
	bct_gate_refuse_input_t r, *in = &r;
	uint32_t retry_ms;

	if (!s)
		return v;
	decay(s, now);
	s->work_ms[urgency_class(given)] += given->work_ms;
	v.ahead_permille = ahead_permille(s, given);
	r = by_urgency(given, v.ahead_permille);
	v.overload_permille = update_overload(s, in);
	v.limit_ms = raise_limit(s, now, in, base_limit(in, v.overload_permille));
	if (in->returning)
		v.limit_ms = max_u32(v.limit_ms, returning_limit(in));
	if ((in->first_byte_ms <= v.limit_ms && !ends_too_late(in)) || in->delay_ms <= IDLE_MS) {
		record_sent(&s->sent[urgency_class(in)], now, v.limit_ms);
		return v;
	}
	retry_ms = in->first_byte_ms > v.limit_ms ? in->first_byte_ms - v.limit_ms : 0;
	retry_ms = min_u32(max_u32(retry_ms, RETRY_MIN_MS), in->remaining_ms / RETRY_DIVISOR);
	v.retry_after_ms = retry_ms ? retry_ms : 1;
	return v;
}
