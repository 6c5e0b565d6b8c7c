/*
 * gate_reach.c - counts different upstreams that failed in a row.
 */
#include "policy/gate_reach.h"
#include "base/mem.h"

void bct_gate_reaches_free(bct_gate_reaches_t *t)
{
	uint32_t pos = 0;
	void *r;

	while ((r = bct_map_next(&t->services, &pos)) != NULL)
		bct_free(r);
	bct_map_free(&t->services);
}

bct_gate_reach_t *bct_gate_reaches_of(bct_gate_reaches_t *t, uint64_t service_key)
{
	bct_gate_reach_t *r = bct_map_get(&t->services, service_key);

	if (r)
		return r;
	r = bct_alloc(sizeof(*r));
	if (r && bct_map_put(&t->services, service_key, r)) {
		bct_free(r);
		return NULL;
	}
	if (r)
		r->service_key = service_key;
	return r;
}

static bool has_failed(const bct_gate_reach_t *r, uint64_t upstream_key)
{
	for (uint32_t i = 0; i < r->n_failed; i++) {
		if (r->failed[i] == upstream_key)
			return true;
	}
	return false;
}

static bool is_forgotten(const bct_gate_reach_t *r, bct_time_t now)
{
	return now - r->failed_at > BCT_GATE_REACH_FORGET_MS;
}

static void note_failure(bct_gate_reach_t *r, bct_time_t now, uint64_t upstream_key)
{
	if (is_forgotten(r, now))
		r->n_failed = 0;
	if (!r->n_failed)
		r->failing_since = now;
	r->failed_at = now;
	if (r->n_failed && now - r->counted_at < BCT_GATE_REACH_SPACING_MS)
		return;
	if (r->n_failed < BCT_GATE_REACH_UPSTREAMS && !has_failed(r, upstream_key)) {
		r->failed[r->n_failed++] = upstream_key;
		r->counted_at = now;
	}
}

bool bct_gate_reach_failed(bct_gate_reach_t *r, bct_time_t now, uint64_t upstream_key,
			   uint32_t upstreams)
{
	uint32_t needed = BCT_GATE_REACH_UPSTREAMS;

	if (upstreams && upstreams < needed)
		needed = upstreams;
	note_failure(r, now, upstream_key);
	if (r->n_failed >= BCT_GATE_REACH_SUSPECT || r->n_failed >= needed)
		r->reached_since = 0;
	if (r->cut || r->n_failed < needed || now - r->failing_since < BCT_GATE_REACH_CONFIRM_MS)
		return false;
	r->cut = true;
	r->cut_at = now;
	r->probed_at = 0;
	r->comes_and_goes = r->regained_at && now - r->regained_at < BCT_GATE_REACH_AGAIN_MS;
	return true;
}

void bct_gate_reach_doubted(bct_gate_reach_t *r, bct_time_t now)
{
	if (!r->doubted_since)
		r->doubted_since = now;
}

bool bct_gate_reach_ok(bct_gate_reach_t *r, bct_time_t now, bct_time_t opened)
{
	if (r->n_failed && opened < r->failing_since)
		return false;
	r->n_failed = 0;
	if (opened >= r->doubted_since)
		r->doubted_since = 0;
	if (!r->cut)
		return false;
	if (!r->reached_since)
		r->reached_since = now;
	if (r->comes_and_goes && now - r->reached_since < BCT_GATE_REACH_STEADY_MS)
		return false;
	r->cut = false;
	r->regained_at = now;
	return true;
}

bool bct_gate_reaches_suspect(const bct_gate_reaches_t *t, bct_time_t now, uint64_t service_key)
{
	uint32_t pos = 0;
	const bct_gate_reach_t *r;

	while ((r = bct_map_next(&t->services, &pos)) != NULL) {
		if (r->cut)
			return true;
		if (r->service_key == service_key && r->n_failed >= BCT_GATE_REACH_SUSPECT &&
		    now - r->failed_at <= BCT_GATE_REACH_FORGET_MS)
			return true;
	}
	return false;
}

bool bct_gate_reach_take_probe(bct_gate_reach_t *r, bct_time_t now)
{
	bool unsure = r->doubted_since || (r->n_failed && !is_forgotten(r, now));

	if (!(r->cut || unsure) || now - r->probed_at < BCT_GATE_REACH_PROBE_MS)
		return false;
	r->probed_at = now;
	return true;
}
