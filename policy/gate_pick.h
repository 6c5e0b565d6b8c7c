/*
 * gate_pick.h - chooses the upstream for a request: predicted time to the first byte, what is
 * cached where, whom it would disturb, and who has been failing. Pure.
 */
#ifndef BCT_POLICY_GATE_PICK_H
#define BCT_POLICY_GATE_PICK_H

#include "base/rng.h"
#include "policy/gate_lanes.h"
#include "policy/gate_prefix.h"
#include "policy/gate_upstreams.h"

#define BCT_GATE_TRIED 8

typedef struct bct_gate_pick_input {
	uint64_t service_key;
	bool engine;
	uint32_t target_ms;
	uint32_t gap_ms;
	const bct_gate_segment_t *segments;
	uint32_t n_segments;
	uint32_t prompt_tokens;
	uint32_t output_tokens; /* expected */
	uint32_t slots;		/* of an engine of the service */
	uint32_t copy_token_ns; /* to copy a token's KV cache between engines; 0: not possible */
	const char *zone;	/* of this node */
	uint64_t tried[BCT_GATE_TRIED]; /* keys of upstreams */
	uint32_t n_tried;
} bct_gate_pick_input_t;

typedef struct bct_gate_choice {
	bct_gate_upstream_t *upstream; /* NULL: there is none */
	uint32_t work_ms;	       /* predicted time to read the prompt there */
	uint32_t wait_ms;	       /* predicted time before that */
	uint32_t delay_ms;	       /* wait_ms at the pace seen there */
	uint32_t first_byte_ms; /* predicted time to the first byte, at the pace seen there */
	uint32_t cached_tokens;
	bct_gate_upstream_t *source; /* to copy a cached part of the prompt from; NULL: none */
	int32_t lane_distance;
} bct_gate_choice_t;

typedef struct bct_gate_picker {
	bct_gate_upstreams_t *upstreams;
	bct_gate_prefix_t prefix;
	bct_map_t lanes;	       /* service key: bct_gate_lanes_t */
	uint32_t prefill_tokens_per_s; /* of an engine at its usual pace */
	uint32_t step_us;	       /* between two tokens of a stream on a full engine */
	uint32_t nodes;		       /* live ones of the fleet */
	bct_rng_t rng;
} bct_gate_picker_t;

void bct_gate_picker_init(bct_gate_picker_t *p, bct_gate_upstreams_t *upstreams,
			  uint32_t prefill_tokens_per_s, uint32_t step_us, uint64_t seed);
void bct_gate_picker_free(bct_gate_picker_t *p);

/* bct_gate_pick_expect(3): requests that allow this pause will come to the service. */
void bct_gate_pick_expect(bct_gate_picker_t *p, uint64_t service_key, uint32_t gap_ms);

/* bct_gate_pick_lanes(3): the lanes of a service; NULL without memory. */
bct_gate_lanes_t *bct_gate_pick_lanes(bct_gate_picker_t *p, uint64_t service_key);

/* bct_gate_pick(3): choose; nothing is counted yet. */
void bct_gate_pick(bct_gate_picker_t *p, bct_time_t now, const bct_gate_pick_input_t *ask,
		   bct_gate_choice_t *out);

/*
 * bct_gate_pick_shared_segments(3): how many parts of the prompt other requests share too.
 *
 * returns  0 without parts, else at least 1; the parts before the last shared one are shared with
 * it
 */
uint32_t bct_gate_pick_shared_segments(const bct_gate_picker_t *p,
				       const bct_gate_pick_input_t *ask);

/* bct_gate_pick_sent(3), bct_gate_pick_began(3), bct_gate_pick_ended(3): the chosen upstream was
 * sent the request; its output began; it ended. began tells whether output had begun. */
void bct_gate_pick_sent(bct_gate_picker_t *p, bct_time_t now, const bct_gate_pick_input_t *ask,
			const bct_gate_choice_t *c);
void bct_gate_pick_began(bct_gate_upstream_t *u, uint32_t work_ms);
void bct_gate_pick_ended(bct_gate_upstream_t *u, uint32_t work_ms, bool began);

#endif
