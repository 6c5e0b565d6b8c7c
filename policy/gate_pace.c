/*
 * gate_pace.c - sums over recent events and streams, halved as time passes.
 */
#include "policy/gate_pace.h"
#include "base/hash.h"
#include "base/mem.h"

#include <string.h>

#define HALF_LIFE_MS 1000 /* of the weight of an event */
#define EVENTS_MIN 10	  /* recent events needed to know the pace */
#define COMPLETE_MAX 1000 /* events of complete streams that are remembered */
#define GAP_MAX_MS 5000	  /* a longer pause is a fault of the stream, not its pace */

typedef struct kind {
	uint32_t local[BCT_GATE_PACE_SUMS];
	int32_t peers[BCT_GATE_PACE_SUMS]; /* may be temporarily negative */
	bct_time_t decayed_at;
} kind_t;

void bct_gate_pace_init(bct_gate_pace_t *p)
{
	memset(p, 0, sizeof(*p));
}

void bct_gate_pace_free(bct_gate_pace_t *p)
{
	uint32_t pos = 0;
	void *k;

	while ((k = bct_map_next(&p->kinds, &pos)) != NULL)
		bct_free(k);
	bct_map_free(&p->kinds);
}

static void decay(kind_t *k, bct_time_t now)
{
	while (k->local[BCT_GATE_PACE_EVENTS] && now - k->decayed_at >= HALF_LIFE_MS) {
		k->decayed_at += HALF_LIFE_MS;
		k->local[BCT_GATE_PACE_MS] /= 2;
		k->local[BCT_GATE_PACE_EVENTS] /= 2;
	}
	if (!k->local[BCT_GATE_PACE_EVENTS])
		k->decayed_at = now;
}

/* Returns NULL if memory is short. */
static kind_t *kind_of(bct_gate_pace_t *p, bct_time_t now, const bct_gate_pace_kind_t *of)
{
	uint64_t key = bct_hash_mix(of->service_key, of->gap_ms);
	kind_t *k = bct_map_get(&p->kinds, key);

	if (!k) {
		k = bct_alloc(sizeof(*k));
		if (k && bct_map_put(&p->kinds, key, k)) {
			bct_free(k);
			k = NULL;
		}
	}
	if (k)
		decay(k, now);
	return k;
}

void bct_gate_pace_events(bct_gate_pace_t *p, bct_time_t now, const bct_gate_pace_kind_t *of,
			  uint32_t n, uint32_t ms)
{
	kind_t *k = kind_of(p, now, of);

	if (!k)
		return;
	k->local[BCT_GATE_PACE_EVENTS] += n;
	k->local[BCT_GATE_PACE_MS] += ms < GAP_MAX_MS ? ms : GAP_MAX_MS;
}

void bct_gate_pace_complete(bct_gate_pace_t *p, bct_time_t now, const bct_gate_pace_kind_t *of,
			    uint32_t n, uint32_t tokens)
{
	kind_t *k = kind_of(p, now, of);

	if (!k)
		return;
	k->local[BCT_GATE_PACE_COMPLETE] += n;
	k->local[BCT_GATE_PACE_TOKENS] += tokens;
	if (k->local[BCT_GATE_PACE_COMPLETE] < COMPLETE_MAX)
		return;
	k->local[BCT_GATE_PACE_COMPLETE] /= 2;
	k->local[BCT_GATE_PACE_TOKENS] /= 2;
}

void bct_gate_pace_local(bct_gate_pace_t *p, bct_time_t now, const bct_gate_pace_kind_t *of,
			 uint32_t sums[BCT_GATE_PACE_SUMS])
{
	const kind_t *k = kind_of(p, now, of);

	for (uint32_t i = 0; i < BCT_GATE_PACE_SUMS; i++)
		sums[i] = k ? k->local[i] : 0;
}

void bct_gate_pace_peers(bct_gate_pace_t *p, bct_time_t now, const bct_gate_pace_kind_t *of,
			 uint32_t sums[BCT_GATE_PACE_SUMS])
{
	const kind_t *k = kind_of(p, now, of);

	for (uint32_t i = 0; i < BCT_GATE_PACE_SUMS; i++)
		sums[i] = k && k->peers[i] > 0 ? (uint32_t)k->peers[i] : 0;
}

void bct_gate_pace_add_peer(bct_gate_pace_t *p, bct_time_t now, const bct_gate_pace_kind_t *of,
			    const uint32_t *difference)
{
	kind_t *k = kind_of(p, now, of);

	for (uint32_t i = 0; k && i < BCT_GATE_PACE_SUMS; i++)
		k->peers[i] += (int32_t)difference[i];
}

uint32_t bct_gate_pace_output_ms(bct_gate_pace_t *p, bct_time_t now, const bct_gate_pace_kind_t *of,
				 uint32_t tokens)
{
	uint32_t local[BCT_GATE_PACE_SUMS], peers[BCT_GATE_PACE_SUMS];
	uint64_t sums[BCT_GATE_PACE_SUMS], events;

	bct_gate_pace_local(p, now, of, local);
	bct_gate_pace_peers(p, now, of, peers);
	for (uint32_t i = 0; i < BCT_GATE_PACE_SUMS; i++)
		sums[i] = (uint64_t)local[i] + peers[i];
	if (sums[BCT_GATE_PACE_EVENTS] < EVENTS_MIN || sums[BCT_GATE_PACE_COMPLETE] < EVENTS_MIN ||
	    !sums[BCT_GATE_PACE_TOKENS])
		return 0;
	events = tokens * sums[BCT_GATE_PACE_COMPLETE] / sums[BCT_GATE_PACE_TOKENS];
	return (uint32_t)(events * sums[BCT_GATE_PACE_MS] / sums[BCT_GATE_PACE_EVENTS]);
}
