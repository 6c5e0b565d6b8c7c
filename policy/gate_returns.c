/*
 * gate_returns.c - a clock per service and class of urgency says until when the room for promises
 * is booked. A booking advances the clocks of its class and of the less urgent ones, so that urgent
 * callers come back before others that were refused earlier.
 */
#include "policy/gate_returns.h"
#include "base/mem.h"

#include <math.h>
#include <string.h>

#define PERMILLE 1000
#define ROOM_PERMILLE 300 /* of the engines' time, for promises; the rest is for new requests */
#define SUSTAINED_PERMILLE 950 /* of the engines' time: a higher average leaves no room later */
#define AVERAGE_MS 30000       /* two waves and more */
#define EARLY_MS 20	       /* callers' timers are that exact */
#define GRACE_MS 1000	       /* after it is due; then the caller has gone */
#define KEEP_USED_MS 5000      /* for which a caller that used its promise gets no other */

typedef struct book {
	bct_time_t booked_until[BCT_GATE_URGENCIES];
	double offered; /* work that callers bring to this node, in ms per s; moving average */
	double weight;	/* of the average so far: 1 when it covers AVERAGE_MS and more */
	bct_time_t offered_at;
} book_t;

void bct_gate_returns_init(bct_gate_returns_t *r)
{
	memset(r, 0, sizeof(*r));
}

void bct_gate_returns_free(bct_gate_returns_t *r)
{
	bct_map_free_values(&r->services);
	bct_free(r->promises);
	memset(r, 0, sizeof(*r));
}

/* Returns NULL if memory is short. */
static book_t *book_of(bct_gate_returns_t *r, uint64_t key)
{
	return bct_map_get_new(&r->services, key, sizeof(book_t));
}

static uint32_t urgency_class(const bct_gate_return_input_t *in)
{
	return in->levels ? in->rank * BCT_GATE_URGENCIES / in->levels : 0;
}

static bct_gate_promise_t *bucket_of(const bct_gate_returns_t *r, uint64_t digest)
{
	return &r->promises[digest % BCT_GATE_RETURNS_BUCKETS * BCT_GATE_RETURNS_IN_BUCKET];
}

static bool is_over(const bct_gate_promise_t *p, bct_time_t now)
{
	return !p->digest || now - p->due > (p->used ? KEEP_USED_MS : GRACE_MS);
}

static bct_gate_promise_t *find(const bct_gate_returns_t *r, bct_time_t now, uint64_t digest)
{
	bct_gate_promise_t *b;

	if (!r->promises)
		return NULL;
	b = bucket_of(r, digest);
	for (uint32_t i = 0; i < BCT_GATE_RETURNS_IN_BUCKET; i++) {
		if (b[i].digest == digest && !is_over(&b[i], now))
			return &b[i];
	}
	return NULL;
}

/* Keeps a promise, in place of one that is over or, if none is, of the one that is due first. */
static bool keep(bct_gate_returns_t *r, bct_time_t now, uint64_t digest, bct_time_t due)
{
	bct_gate_promise_t *b, *to;

	if (!r->promises)
		r->promises = bct_alloc(sizeof(*r->promises) * BCT_GATE_RETURNS_BUCKETS *
					BCT_GATE_RETURNS_IN_BUCKET);
	if (!r->promises)
		return false;
	b = to = bucket_of(r, digest);
	for (uint32_t i = 0; i < BCT_GATE_RETURNS_IN_BUCKET; i++) {
		if (is_over(&b[i], now)) {
			to = &b[i];
			break;
		}
		if (b[i].due < to->due)
			to = &b[i];
	}
	*to = (bct_gate_promise_t){ .digest = digest, .due = due };
	if (due > r->latest_due)
		r->latest_due = due;
	return true;
}

void bct_gate_returns_offered(bct_gate_returns_t *r, bct_time_t now,
			      const bct_gate_return_input_t *in)
{
	book_t *b = book_of(r, in->service_key);
	double keep = 1;

	if (!b)
		return;
	if (b->offered_at)
		keep = exp(-(double)(now - b->offered_at) / AVERAGE_MS);
	b->offered = b->offered * keep + (double)in->work_ms * BCT_MS_PER_S / AVERAGE_MS;
	b->weight = b->weight * keep + 1 - keep;
	b->offered_at = now;
}

/* Whether the engines can make up for a wave: they can't while callers bring more all the time. */
static bool can_catch_up(const book_t *b, const bct_gate_return_input_t *in)
{
	return b->offered * in->nodes * PERMILLE <=
	       (double)in->engines * BCT_MS_PER_S * SUSTAINED_PERMILLE * b->weight;
}

/* The time for which a request occupies this node's share of the room for promises. */
static bct_time_t occupied_ms(const bct_gate_return_input_t *in)
{
	return (bct_time_t)in->work_ms * PERMILLE * in->nodes /
	       ((bct_time_t)in->engines * ROOM_PERMILLE);
}

uint32_t bct_gate_returns_book(bct_gate_returns_t *r, bct_time_t now, uint64_t digest,
			       const bct_gate_return_input_t *in)
{
	bct_gate_promise_t *p = find(r, now, digest);
	uint32_t class = urgency_class(in);
	bct_time_t due = now + (in->earliest_ms > in->news_ms ? in->earliest_ms : in->news_ms);
	book_t *b;

	if (p)
		return !p->used && p->due > now ? (uint32_t)(p->due - now) : 0;
	b = book_of(r, in->service_key);
	if (!b || !in->engines || !digest || !can_catch_up(b, in))
		return 0;
	if (due < b->booked_until[class])
		due = b->booked_until[class];
	if (due - now > in->latest_ms || !keep(r, now, digest, due))
		return 0;
	for (uint32_t i = class; i < BCT_GATE_URGENCIES; i++) {
		if (b->booked_until[i] < due)
			b->booked_until[i] = due;
		b->booked_until[i] += occupied_ms(in);
	}
	return (uint32_t)(due - now);
}

void bct_gate_returns_learn(bct_gate_returns_t *r, bct_time_t now, uint64_t digest, uint32_t due_ms)
{
	if (digest && !find(r, now, digest))
		keep(r, now, digest, now + due_ms);
}

bool bct_gate_returns_any(const bct_gate_returns_t *r, bct_time_t now)
{
	return r->promises && now - r->latest_due <= GRACE_MS;
}

bool bct_gate_returns_take(bct_gate_returns_t *r, bct_time_t now, uint64_t digest)
{
	bct_gate_promise_t *p = find(r, now, digest);

	if (!p || p->used || now < p->due - EARLY_MS)
		return false;
	p->used = true;
	return true;
}

uint32_t bct_gate_returns_reserved_ms(const bct_gate_returns_t *r, bct_time_t now,
				      const bct_gate_return_input_t *in, uint32_t within_ms)
{
	const book_t *b = bct_map_get(&r->services, in->service_key);
	bct_time_t booked;

	if (!b)
		return 0;
	booked = b->booked_until[urgency_class(in)] - now;
	if (booked <= 0)
		return 0;
	if (booked > within_ms)
		booked = within_ms;
	return (uint32_t)(booked * ROOM_PERMILLE / PERMILLE);
}
