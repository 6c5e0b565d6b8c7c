/*
 * gate_part_verdict.c - bounded lists of verdicts and of trusted parts.
 */
#include "policy/gate_part_verdict.h"
#include "base/hash.h"

bct_gate_part_verdict_t *bct_gate_part_verdict_find(const bct_gate_part_verdicts_t *t,
						    uint64_t part)
{
	for (uint32_t i = 0; i < t->n; i++) {
		if (t->list[i].part == part)
			return (bct_gate_part_verdict_t *)&t->list[i];
	}
	return NULL;
}

bct_gate_part_verdict_t *bct_gate_part_verdict_put(bct_gate_part_verdicts_t *t, uint64_t part)
{
	bct_gate_part_verdict_t *v = bct_gate_part_verdict_find(t, part);

	if (v)
		return v;
	if (t->n < BCT_GATE_PART_VERDICTS_MAX) {
		v = &t->list[t->n++];
	} else {
		v = &t->list[t->next];
		t->next = (t->next + 1) % BCT_GATE_PART_VERDICTS_MAX;
	}
	*v = (bct_gate_part_verdict_t){ .part = part };
	return v;
}

bool bct_gate_part_verdict_holds(const bct_gate_part_verdict_t *v, bct_time_t now)
{
	return v->since && now - v->since < BCT_GATE_PART_KEEP_MS;
}

bool bct_gate_part_verdict_refuses(const bct_gate_part_verdicts_t *t, bct_time_t at, uint64_t part)
{
	const bct_gate_part_verdict_t *v = bct_gate_part_verdict_find(t, part);

	return v && v->refused && bct_gate_part_verdict_holds(v, at);
}

/* Returns the part's slot: one of two, by its hash; if it has none, the older of them. */
static const bct_gate_part_trust_t *slot_of(const bct_gate_part_trusts_t *t, uint64_t part)
{
	uint64_t h = bct_hash(&part, sizeof(part));
	const bct_gate_part_trust_t *a = &t->slots[h % BCT_GATE_PART_TRUSTED];
	const bct_gate_part_trust_t *b = &t->slots[(h >> 32) % BCT_GATE_PART_TRUSTED];

	if (a->part == part)
		return a;
	if (b->part == part)
		return b;
	return a->at <= b->at ? a : b;
}

void bct_gate_part_trust_note(bct_gate_part_trusts_t *t, uint64_t part, bct_time_t at)
{
	bct_gate_part_trust_t *slot = (bct_gate_part_trust_t *)slot_of(t, part);

	if (slot->part == part && slot->at >= at)
		return;
	*slot = (bct_gate_part_trust_t){ .part = part, .at = at };
}

bool bct_gate_part_is_trusted(const bct_gate_part_trusts_t *t, bct_time_t now, uint64_t part)
{
	const bct_gate_part_trust_t *slot = slot_of(t, part);

	return slot->part == part && now - slot->at < BCT_GATE_PART_TRUST_MS;
}
