/*
 * gate_pick.h - chooses the upstream for a request by predicted time to the first byte, cached
 * prompt segments, streams that the request would disturb, and recent failures. Pure: no I/O and
 * no clock.
 */
#ifndef BCT_POLICY_GATE_PICK_H
#define BCT_POLICY_GATE_PICK_H

#include "base/rng.h"
#include "policy/gate_lanes.h"
#include "policy/gate_origin.h"
#include "policy/gate_prefix.h"
#include "policy/gate_upstreams.h"

#define BCT_GATE_TRIED 8 /* upstreams of earlier attempts that are remembered */

typedef struct bct_gate_pick_input {
	uint64_t service_key;
	bool engine;	    /* the service runs engines and the request has a prompt */
	uint32_t target_ms; /* latency objective of the route */
	uint32_t gap_ms;    /* longest inter-token gap that the request allows */
	const bct_gate_segment_t *segments;
	uint32_t n_segments;
	uint32_t prompt_tokens;
	uint32_t output_tokens; /* expected */
	uint32_t slots;		/* requests that an engine of the service runs at once */
	uint32_t copy_token_ns; /* to copy a token's KV cache between engines; 0: not possible */
	const char *zone;	/* failure domain of this node, or NULL */
	const bct_gate_origin_t *origin; /* of a stream that goes on; NULL: any upstream will do */
	uint64_t tried[BCT_GATE_TRIED];	 /* keys of upstreams to leave out */
	uint32_t n_tried;
} bct_gate_pick_input_t;

/* The chosen upstream and what was predicted for the request there. */
typedef struct bct_gate_choice {
	bct_gate_upstream_t *upstream; /* NULL: none available */
	uint32_t work_ms;	       /* time to prefill the prompt at the usual pace */
	uint32_t wait_ms;	       /* time before the prefill starts, at the usual pace */
	uint32_t delay_ms;	       /* wait_ms at the upstream's observed pace */
	uint32_t first_byte_ms;	       /* time to the first byte, at the observed pace */
	uint32_t cached_tokens;	       /* of the prompt: cached there, or copied there first */
	bct_gate_upstream_t *source;   /* engine to copy cached segments from; NULL: none */
	uint32_t copy_ms;	       /* time that the copy takes, part of work_ms */
	int32_t lane_distance;	       /* see bct_gate_lanes_distance(3) */
	uint32_t limited;	       /* upstreams whose statements allow no request now */
	uint32_t brittle;    /* those of them that are brittle: another node may send there */
	uint32_t limited_ms; /* until one of them may get one from this node */
} bct_gate_choice_t;

typedef struct bct_gate_picker {
	bct_gate_upstreams_t *upstreams; /* not owned */
	bct_gate_prefix_t prefix;
	bct_map_t lanes;	       /* service key: bct_gate_lanes_t */
	uint32_t prefill_tokens_per_s; /* of an engine at its usual pace */
	uint32_t step_us;	       /* between two tokens of a stream on a full engine */
	uint32_t nodes;		       /* live nodes of the fleet; set by the caller */
	bct_rng_t rng;
} bct_gate_picker_t;

void bct_gate_picker_init(bct_gate_picker_t *p, bct_gate_upstreams_t *upstreams,
			  uint32_t prefill_tokens_per_s, uint32_t step_us, uint64_t seed);
void bct_gate_picker_free(bct_gate_picker_t *p);

/* bct_gate_pick_expect(3): adds a lane for requests with this gap before the first one arrives. */
void bct_gate_pick_expect(bct_gate_picker_t *p, uint64_t service_key, uint32_t gap_ms);

/* bct_gate_pick_lanes(3): returns the lanes of a service, or NULL if memory is short. */
bct_gate_lanes_t *bct_gate_pick_lanes(bct_gate_picker_t *p, uint64_t service_key);

/*
 * bct_gate_pick(3): chooses an upstream. Counts nothing: see bct_gate_pick_sent(3).
 *
 * out  out->upstream is NULL if no upstream is available
 */
void bct_gate_pick(bct_gate_picker_t *p, bct_time_t now, const bct_gate_pick_input_t *in,
		   bct_gate_choice_t *out);

/*
 * bct_gate_pick_shared_segments(3): estimates how many leading segments of the prompt other
 * requests have in common with it.
 *
 * returns  0 without segments, else at least 1
 */
uint32_t bct_gate_pick_shared_segments(const bct_gate_picker_t *p, const bct_gate_pick_input_t *in);

/*
 * bct_gate_pick_sent(3), bct_gate_pick_began(3), bct_gate_pick_ended(3): account for a request that
 * was sent to the chosen upstream, whose output began, and which ended.
 *
 * work_ms  work_ms of the choice
 * began    whether its output had begun
 */
void bct_gate_pick_sent(bct_gate_picker_t *p, bct_time_t now, const bct_gate_pick_input_t *in,
			const bct_gate_choice_t *c);
void bct_gate_pick_began(bct_gate_upstream_t *u, uint32_t work_ms);
void bct_gate_pick_ended(bct_gate_upstream_t *u, uint32_t work_ms, bool began);

/*
 * bct_gate_pick_work_ms(3): engine time that the request takes; 0 if the service runs no engines.
 *
 * c  the choice for it; without an upstream, nothing of its prompt counts as cached
 */
uint32_t bct_gate_pick_work_ms(const bct_gate_picker_t *p, const bct_gate_pick_input_t *in,
			       const bct_gate_choice_t *c);

#endif
