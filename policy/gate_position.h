/*
 * gate_position.h - positions in the registry's logs.
 *
 * The registry may come back from a copy that is some seconds old. Offsets then go back and are
 * given out again, and its era rises by one. A position is therefore an era and an offset; any
 * position of a later era is after all of an earlier one.
 */
#ifndef BCT_POLICY_GATE_POSITION_H
#define BCT_POLICY_GATE_POSITION_H

#include <stdint.h>

/* Era and offset in one number, so that positions compare as numbers. 0: unknown. */
typedef uint64_t bct_gate_position_t;

#define BCT_GATE_ERA_SHIFT 44 /* 2^44 offsets are more than a log sees in its lifetime */
#define BCT_GATE_ERA_MAX ((UINT64_C(1) << (64 - BCT_GATE_ERA_SHIFT)) - 1)

/* bct_gate_position(3): era 0 if the registry states none. */
static inline bct_gate_position_t bct_gate_position(uint64_t era, uint64_t offset)
{
	return era << BCT_GATE_ERA_SHIFT | offset;
}

static inline uint64_t bct_gate_position_era(bct_gate_position_t p)
{
	return p >> BCT_GATE_ERA_SHIFT;
}

static inline uint64_t bct_gate_position_offset(bct_gate_position_t p)
{
	return p & ((UINT64_C(1) << BCT_GATE_ERA_SHIFT) - 1);
}

#endif
