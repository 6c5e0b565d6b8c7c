/*
 * part.h - tracks parts of prompts that crash upstreams: feeds policy/gate_part_judge.h with what
 * becomes of exchanges and with the reports of other nodes.
 */
#ifndef BCT_GATE_PART_H
#define BCT_GATE_PART_H

#include "gate/gate_int.h"

/* bct_part_of(3): the parts of x's prompt that other requests may share: all but the last. */
bct_parts_t bct_part_of(const bct_exchange_t *x);

/*
 * bct_part_crashed(3): record that an upstream crashed under a request with these parts, and tell
 * the other nodes.
 *
 * request  its id; empty when it is over
 */
void bct_part_crashed(bct_gate_t *g, const char *request, const bct_gate_part_crash_t *c);

/* bct_part_output(3): output of x has arrived, or its answer is complete: it may prove harmless. */
void bct_part_output(bct_exchange_t *x, bool complete);

/* bct_part_decide(3): judge by the evidence so far; to be called periodically. */
void bct_part_decide(bct_gate_t *g);

/*
 * bct_part_remaining_ms(3): returns how much longer to refuse x for a part of its prompt, in ms,
 * and notes that part in x; 0: it may run. bct_part_take_trial(3): whether x may run all the same,
 * to find out.
 */
uint32_t bct_part_remaining_ms(bct_exchange_t *x);
bool bct_part_take_trial(const bct_exchange_t *x);

/* Reports of other nodes. bct_part_peer_crash(3), bct_part_peer_survivor(3): return whether they
 * are news. */
bool bct_part_peer_crash(bct_gate_t *g, const bct_gate_part_crash_t *c);
bool bct_part_peer_survivor(bct_gate_t *g, uint64_t part, bct_time_t began_at);
void bct_part_peer_verdict(bct_gate_t *g, const bct_gate_part_verdict_t *v);

#endif
