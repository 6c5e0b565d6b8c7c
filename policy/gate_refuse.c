/*
 * gate_refuse.c - limits for each request, kept in the order of urgency within its service.
 */
#include "policy/gate_refuse.h"
#include "base/mem.h"

#include <string.h>

#define PERMILLE 1000
#define LATE_FACTOR 2		/* times the objective: a first byte later than that helps nobody */
#define CALM_PERMILLE 400	/* of the time left until the first byte: the rest is for output */
#define STEADY_TOP_PERMILLE 150 /* the same under steady overload, for the most urgent */
#define STEADY_LOW_PERMILLE 50	/* the same for the least urgent */
#define ORDER_PERMILLE 600 /* of the time left that one may wait because less urgent work does */
#define ORDER_MS 500	   /* limits of less urgent work count for so long at least */
#define HALVE_MS 1000	   /* a request seen counts half as much after so long */
#define SEEN_UNIT 64	   /* what a request counts for at first */
#define SEEN_MIN 8	   /* requests of late that tell of overload */
#define PRESSURE_GAIN 2	   /* half of the requests over the limit: overload is steady */
#define IDLE_MS 20	   /* a shorter wait is none */
#define BACK_MIN_MS 200	   /* before a refused caller comes back */
#define BACK_PART 4	   /* of the time left: callers wait for a third at most */

/* The longest limits that requests were sent under, in this span of ORDER_MS and the one before. */
typedef struct sent {
	uint32_t now_ms;
	uint32_t before_ms;
	bct_time_t since; /* start of this span; 0: nothing was sent */
} sent_t;

typedef struct service {
	sent_t sent[BCT_GATE_URGENCIES];
	bct_time_t halved;
	uint32_t seen; /* requests of late, in 1/SEEN_UNIT */
	uint32_t over; /* of them, those beyond the limit of steady overload */
} service_t;

void bct_gate_refuse_init(bct_gate_refuse_t *f)
{
	memset(f, 0, sizeof(*f));
}

void bct_gate_refuse_free(bct_gate_refuse_t *f)
{
	uint32_t pos = 0;
	void *s;

	while ((s = bct_map_next(&f->services, &pos)) != NULL)
		bct_free(s);
	bct_map_free(&f->services);
}

/* NULL without memory: then nothing is refused. */
static service_t *service_of(bct_gate_refuse_t *f, uint64_t key)
{
	service_t *s = bct_map_get(&f->services, key);

	if (s)
		return s;
	s = bct_alloc(sizeof(*s));
	if (s && bct_map_put(&f->services, key, s)) {
		bct_free(s);
		s = NULL;
	}
	return s;
}

static uint32_t urgency_of(const bct_gate_refuse_input_t *d)
{
	return d->levels ? d->rank * BCT_GATE_URGENCIES / d->levels : 0;
}

static uint32_t part_of(uint32_t ms, uint32_t permille)
{
	return (uint32_t)((uint64_t)ms * permille / PERMILLE);
}

static uint32_t least(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

static uint32_t most(uint32_t a, uint32_t b)
{
	return a > b ? a : b;
}

/* The part of its time that a request may wait under steady overload. */
static uint32_t steady_permille(const bct_gate_refuse_input_t *d)
{
	uint32_t last = d->levels > 1 ? d->levels - 1 : 1;
	uint32_t span = STEADY_TOP_PERMILLE - STEADY_LOW_PERMILLE;

	return STEADY_TOP_PERMILLE - span * least(d->rank, last) / last;
}

static void fade(service_t *s, bct_time_t now)
{
	while (s->seen && now - s->halved >= HALVE_MS) {
		s->halved += HALVE_MS;
		s->seen /= 2;
		s->over /= 2;
	}
	if (!s->seen)
		s->halved = now;
}

/* How steady the overload is, in permille, by this request and those of the last seconds. */
static uint32_t pressure_of(service_t *s, bct_time_t now, const bct_gate_refuse_input_t *d)
{
	uint32_t permille;

	fade(s, now);
	s->seen += SEEN_UNIT;
	if (d->first_byte_ms > part_of(d->remaining_ms, steady_permille(d)) &&
	    d->delay_ms > IDLE_MS)
		s->over += SEEN_UNIT;
	if (s->seen < SEEN_MIN * SEEN_UNIT)
		return 0;
	permille = (uint32_t)((uint64_t)s->over * PRESSURE_GAIN * PERMILLE / s->seen);
	return least(permille, PERMILLE);
}

/* The limit that a request has by itself. */
static uint32_t own_limit(const bct_gate_refuse_input_t *d, uint32_t pressure)
{
	uint32_t span = CALM_PERMILLE - steady_permille(d);
	uint32_t permille = CALM_PERMILLE - part_of(span, pressure);

	return least(d->target_ms * LATE_FACTOR, part_of(d->remaining_ms, permille));
}

/* Stretches a limit to those that less urgent work of the service was sent under of late. */
static uint32_t keep_order(const service_t *s, bct_time_t now, const bct_gate_refuse_input_t *d,
			   uint32_t limit)
{
	uint32_t longest = part_of(d->remaining_ms, ORDER_PERMILLE);

	for (uint32_t i = urgency_of(d) + 1; i < BCT_GATE_URGENCIES; i++) {
		const sent_t *w = &s->sent[i];

		if (w->since && now - w->since < 2 * ORDER_MS)
			limit = most(limit, least(most(w->now_ms, w->before_ms), longest));
	}
	return limit;
}

static void note_sent(sent_t *w, bct_time_t now, uint32_t limit)
{
	if (now - w->since >= ORDER_MS) {
		w->before_ms = now - w->since < 2 * ORDER_MS ? w->now_ms : limit;
		w->now_ms = limit;
		w->since = now;
	}
	w->now_ms = most(w->now_ms, limit);
}

bct_gate_refuse_decision_t bct_gate_refuse(bct_gate_refuse_t *f, bct_time_t now,
					   const bct_gate_refuse_input_t *d)
{
	service_t *s = service_of(f, d->service_key);
	bct_gate_refuse_decision_t v = { 0 };
	uint32_t back;

	if (!s)
		return v;
	v.overload_permille = pressure_of(s, now, d);
	v.limit_ms = keep_order(s, now, d, own_limit(d, v.overload_permille));
	if (d->first_byte_ms <= v.limit_ms || d->delay_ms <= IDLE_MS) {
		note_sent(&s->sent[urgency_of(d)], now, v.limit_ms);
		return v;
	}
	back = least(most(d->first_byte_ms - v.limit_ms, BACK_MIN_MS), d->remaining_ms / BACK_PART);
	v.retry_after_ms = back ? back : 1;
	return v;
}
