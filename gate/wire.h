/*
 * wire.h - what differs between installations on the wire: names of headers and paths, decoded into
 * and encoded from types of our own. Whoever adapts the gateway to an installation fills this in.
 */
#ifndef BCT_GATE_WIRE_H
#define BCT_GATE_WIRE_H

#include "base/buf.h"
#include "gate/http_msg.h"
#include "policy/gate_prefix.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_WIRE_ID_BYTES 80
#define BCT_WIRE_SECRET_BYTES 256

/* What a caller says of its request. */
typedef struct bct_wire_call {
	char id[BCT_WIRE_ID_BYTES];	    /* of this try; empty: none */
	char secret[BCT_WIRE_SECRET_BYTES]; /* API key; empty: none */
	int64_t wait_ms;		    /* how long the caller waits; negative: not told */
	uint32_t prompt_tokens;
	uint32_t max_output_tokens;
	uint32_t likely_output_tokens; /* the caller's estimate; 0: none */
	bct_gate_segment_t parts[BCT_GATE_SEGMENTS_MAX];
	uint32_t n_parts;
	uint64_t after_event; /* the caller has the stream's events up to this id */
	bool resumes;
} bct_wire_call_t;

/* What the gateway tells an upstream beside the caller's own headers. */
typedef struct bct_wire_order {
	const char *upstream_id; /* only this process may run it */
	const char *account;	 /* NULL: none */
	uint32_t wait_ms;	 /* what is left */
	uint32_t rank;		 /* in the order of urgency, 0 first */
	uint32_t levels;	 /* one more than the highest rank */
	bool engine;
	bool resumes;
	uint64_t after_event;
	const char *fetch_ip; /* engine to copy the prompt's KV cache from; NULL: none */
	uint16_t fetch_port;
} bct_wire_order_t;

/* What an upstream's answer says of itself. */
typedef struct bct_wire_answer {
	const char *call_id; /* the request that it answers; NULL: not told */
	bool sealed;	     /* bears the upstream's MAC */
	bool not_run;	     /* the upstream did not run the request and will not */
	bool misplaced;	     /* another process has this address now */
	int64_t idle_ms;     /* how long the connection may stay idle; negative: not told */
} bct_wire_answer_t;

typedef struct bct_wire_ops {
	void (*decode_call)(const bct_http_msg_t *m, bct_wire_call_t *out);
	/* Whether a caller's header is kept back: secrets, and what only the gateway may set. */
	bool (*drops)(const char *name);
	/* Appends header lines, each with its line end. */
	int (*encode_order)(const bct_wire_order_t *o, bct_buf_t *out);
	void (*decode_answer)(const bct_http_msg_t *m, bct_wire_answer_t *out);
	const char *resolve_path;   /* callers ask here which addresses to use */
	const char *resolve_domain; /* its query argument that names the caller's failure domain */
	const char *readiness_path; /* 200 while the node takes new connections */
	/* The answer to resolve_path. */
	int (*encode_addresses)(const char *const *addresses, uint32_t n, uint32_t lifetime_ms,
				bct_buf_t *out);
} bct_wire_ops_t;

#endif
