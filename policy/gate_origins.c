/*
 * gate_origins.c - a bounded table of attempts, and the releases of services over time.
 */
#include "policy/gate_origins.h"
#include "base/err.h"
#include "base/hash.h"
#include "base/mem.h"
#include "policy/rendezvous.h"

#include <string.h>

/* Of the longer of the route's time limit and the caller's remaining time: a stream lives for one
 * limit, and its caller is back within another. */
#define LIVES_OF_A_STREAM 2
#define WAIT_MAX_MS 3600000

typedef struct record {
	bct_list_t link;
	uint64_t attempt;
	bct_gate_origin_t origin;
	bct_time_t began_at;
} record_t;

typedef struct service {
	uint64_t release; /* of all its upstreams; 0: several, or unknown */
	bct_time_t since; /* when this was first seen */
	uint64_t seen;	  /* in the current pass */
	uint32_t pass;	  /* of the last upstream that was seen */
	bool mixed;	  /* in the current pass */
} service_t;

void bct_gate_origins_init(bct_gate_origins_t *t)
{
	memset(t, 0, sizeof(*t));
	bct_list_init(&t->by_age);
	t->keep_ms = BCT_GATE_ORIGIN_KEEP_MS;
}

static void drop(bct_gate_origins_t *t, record_t *r)
{
	bct_map_del(&t->records, r->attempt);
	bct_list_del(&r->link);
	bct_free(r);
}

void bct_gate_origins_free(bct_gate_origins_t *t)
{
	uint32_t pos = 0;
	void *s;

	while (!bct_list_empty(&t->by_age))
		drop(t, bct_container_of(t->by_age.next, record_t, link));
	while ((s = bct_map_next(&t->services, &pos)) != NULL)
		bct_free(s);
	bct_map_free(&t->records);
	bct_map_free(&t->services);
}

uint64_t bct_gate_origin_attempt(const char *attempt_id, const char *account)
{
	return bct_hash_mix(bct_hash_str(attempt_id), bct_hash_str(account));
}

int bct_gate_origins_put(bct_gate_origins_t *t, bct_time_t now, uint64_t attempt,
			 const bct_gate_origin_t *o, uint32_t age_ms)
{
	record_t *r;

	if (bct_map_get(&t->records, attempt) || bct_gate_origins_doubts(t, now, o, age_ms))
		return 0;
	if (t->records.n >= BCT_GATE_ORIGINS_MAX)
		drop(t, bct_container_of(t->by_age.next, record_t, link));
	r = bct_alloc(sizeof(*r));
	if (!r)
		return -BCT_ENOMEM;
	r->attempt = attempt;
	r->origin = *o;
	r->began_at = now - age_ms;
	bct_list_init(&r->link);
	if (bct_map_put(&t->records, attempt, r)) {
		bct_free(r);
		return -BCT_ENOMEM;
	}
	bct_list_add_tail(&r->link, &t->by_age);
	return 0;
}

bool bct_gate_origins_get(const bct_gate_origins_t *t, bct_time_t now, uint64_t attempt,
			  bct_gate_origin_t *out, uint32_t *age_ms)
{
	const record_t *r = bct_map_get(&t->records, attempt);

	if (!r || (!r->origin.release && !r->origin.run))
		return false;
	*out = r->origin;
	if (age_ms)
		*age_ms = (uint32_t)(now - r->began_at);
	return true;
}

bool bct_gate_origins_doubts(const bct_gate_origins_t *t, bct_time_t now,
			     const bct_gate_origin_t *o, uint32_t age_ms)
{
	for (uint32_t i = 0; i < BCT_GATE_ORIGIN_ENDED && i < t->n_ended; i++) {
		const bct_gate_origin_ended_t *e = &t->ended[i];

		if (e->origin.run == o->run && e->origin.release == o->release &&
		    now - age_ms >= e->since)
			return true;
	}
	return false;
}

void bct_gate_origins_doubt(bct_gate_origins_t *t, bct_time_t now, const bct_gate_origin_t *ended,
			    uint32_t doubt_ms)
{
	bct_list_t *el;

	t->ended[t->n_ended++ % BCT_GATE_ORIGIN_ENDED] =
		(bct_gate_origin_ended_t){ .origin = *ended, .since = now - doubt_ms };
	bct_list_for_each(el, &t->by_age) {
		record_t *r = bct_container_of(el, record_t, link);

		if (r->origin.run == ended->run && now - r->began_at <= doubt_ms)
			r->origin = (bct_gate_origin_t){ 0 };
	}
}

static uint32_t max_u32(uint32_t a, uint32_t b)
{
	return a > b ? a : b;
}

void bct_gate_origins_sweep(bct_gate_origins_t *t, bct_time_t now, uint32_t limit_ms)
{
	t->keep_ms = max_u32(BCT_GATE_ORIGIN_KEEP_MS, limit_ms * LIVES_OF_A_STREAM);
	while (!bct_list_empty(&t->by_age)) {
		record_t *r = bct_container_of(t->by_age.next, record_t, link);

		if (now - r->began_at <= t->keep_ms)
			return;
		drop(t, r);
	}
}

static service_t *find_or_add_service(bct_gate_origins_t *t, bct_time_t now, uint64_t key)
{
	service_t *s = bct_map_get(&t->services, key);

	if (s)
		return s;
	s = bct_alloc(sizeof(*s));
	if (s && bct_map_put(&t->services, key, s)) {
		bct_free(s);
		return NULL;
	}
	if (s)
		s->since = now;
	return s;
}

static void see(bct_gate_origins_t *t, bct_time_t now, const bct_gate_upstream_t *u)
{
	service_t *s = find_or_add_service(t, now, u->service_key);

	if (!s)
		return;
	if (s->pass != t->pass) {
		s->pass = t->pass;
		s->seen = u->release;
		s->mixed = false;
	}
	s->mixed = s->mixed || !u->release || u->release != s->seen;
}

/* A service without upstreams keeps what it had. */
static void conclude_service(bct_gate_origins_t *t, bct_time_t now, service_t *s)
{
	uint64_t release = s->mixed ? 0 : s->seen;

	if (s->pass != t->pass)
		return;
	if (!release || release != s->release)
		s->since = now;
	s->release = release;
}

void bct_gate_origins_observe(bct_gate_origins_t *t, bct_time_t now, bct_time_t answered_at,
			      const bct_gate_upstreams_t *upstreams)
{
	bool blind = upstreams->registry_lost ||
		     (t->observed_at && now - t->observed_at > BCT_GATE_ORIGIN_GAP_MS) ||
		     answered_at - t->answered_at > BCT_GATE_ORIGIN_BLIND_MS;
	bct_list_t *el;
	uint32_t pos = 0;
	service_t *s;

	t->observed_at = now;
	if (answered_at > t->answered_at)
		t->answered_at = answered_at;
	t->pass++;
	bct_list_for_each(el, &upstreams->all)
		see(t, now, bct_container_of(el, bct_gate_upstream_t, link));
	while ((s = bct_map_next(&t->services, &pos)) != NULL) {
		conclude_service(t, now, s);
		if (blind)
			s->since = now;
	}
}

uint64_t bct_gate_origins_sole(const bct_gate_origins_t *t, bct_time_t now, uint64_t service_key,
			       uint32_t ms)
{
	const service_t *s = bct_map_get(&t->services, service_key);

	if (now - t->observed_at > BCT_GATE_ORIGIN_GAP_MS)
		return 0;
	return s && s->release && now - s->since >= ms ? s->release : 0;
}

bct_gate_conclusion_t bct_gate_origins_conclude(const bct_gate_origins_t *t, bct_time_t now,
						const bct_gate_take_up_t *u)
{
	bct_gate_conclusion_t c = { 0 };
	uint32_t wait_ms = 0, ms;

	if (u->wait_ms > 0)
		wait_ms = u->wait_ms < WAIT_MAX_MS ? (uint32_t)u->wait_ms : WAIT_MAX_MS;
	ms = max_u32(u->limit_ms, wait_ms) * LIVES_OF_A_STREAM;
	/* Younger streams have a record: this one is from before all nodes forgot theirs. */
	if (u->named)
		ms = max_u32(ms, t->keep_ms);
	c.window_ms = ms;
	c.release = bct_gate_origins_sole(t, now, u->service_key, ms);
	c.unconfirmed = c.release && u->as_of < u->arrived;
	if (c.unconfirmed)
		c.release = 0;
	return c;
}

uint32_t bct_gate_origin_homes(uint64_t attempt, const uint64_t *nodes, uint32_t n, uint64_t *out,
			       uint32_t max)
{
	uint32_t found = 0;

	/* Inserts each node in the order of its score, among the best so far. */
	for (uint32_t i = 0; i < n; i++) {
		uint64_t score = bct_rendezvous_score(attempt, nodes[i]);
		uint32_t at = found;

		while (at && score > bct_rendezvous_score(attempt, out[at - 1]))
			at--;
		if (at == max)
			continue;
		found += found < max;
		memmove(&out[at + 1], &out[at], (found - at - 1) * sizeof(*out));
		out[at] = nodes[i];
	}
	return found;
}
