/*
 * wire.h - the HTTP conventions of a platform (names of headers and paths) behind a vtable, which
 * converts them from and to the gateway's types. The adapter of a platform implements it.
 */
#ifndef BCT_GATE_WIRE_H
#define BCT_GATE_WIRE_H

#include "base/buf.h"
#include "http/http_msg.h"
#include "policy/gate_notice.h"
#include "policy/gate_prefix.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_WIRE_ID_BYTES 80
#define BCT_WIRE_SECRET_BYTES 256

/* A caller's request metadata, decoded from its headers. */
typedef struct bct_wire_call {
	char id[BCT_WIRE_ID_BYTES];	    /* of this attempt of the caller; empty: none */
	char secret[BCT_WIRE_SECRET_BYTES]; /* API key; empty: none */
	int64_t wait_ms;		    /* how long the caller waits; negative: not given */
	uint32_t prompt_tokens;
	uint32_t max_output_tokens;
	uint32_t likely_output_tokens;			    /* the caller's estimate; 0: none */
	bct_gate_segment_t segments[BCT_GATE_SEGMENTS_MAX]; /* of the prompt, in order */
	uint32_t n_segments;
	uint64_t after_event; /* if resumes: the caller has the events up to this id */
	bool resumes;	      /* continues a stream that broke */
	char resumes_id[BCT_WIRE_ID_BYTES]; /* attempt that brought its first event; empty: none */
} bct_wire_call_t;

/* Metadata that the gateway adds to the headers of a forwarded request. */
typedef struct bct_wire_forward {
	const char
		*upstream_id; /* only the process with this id may run it; NULL: a node relays it */
	const char *secret;   /* API key, to a node that relays it; NULL: none */
	const char *account;  /* NULL: none */
	uint32_t wait_ms;     /* remaining until the deadline */
	uint32_t rank;	      /* of urgency, 0: most urgent */
	uint32_t levels;      /* one more than the highest rank */
	bool engine;	      /* the upstream is an engine */
	bool resumes;
	uint64_t after_event; /* if resumes: send the events after this id */
	const char *fetch_ip; /* engine to copy the prompt's KV cache from; NULL: none */
	uint16_t fetch_port;
} bct_wire_forward_t;

/* Metadata of an upstream's answer, decoded from its head. */
typedef struct bct_wire_answer {
	bct_gate_notice_t notice;
	const char *call_id;	/* the request that it answers; NULL: not given */
	bool sealed;		/* has the header with the upstream's MAC; not verified */
	bool not_run;		/* the upstream has not run the request and will not run it */
	bool identity_mismatch; /* another process has taken over the address */
	int64_t idle_ms;	/* how long the connection may stay idle; negative: not given */
} bct_wire_answer_t;

typedef struct bct_wire_ops {
	void (*decode_call)(const bct_http_msg_t *m, bct_wire_call_t *out);
	/* Whether to remove a caller's header: a secret, or one that only the gateway may set. */
	bool (*drops)(const char *name);
	/* Appends header lines, each terminated by CRLF. returns 0 or the error of out. */
	int (*encode_forward)(const bct_wire_forward_t *f, bct_buf_t *out);
	void (*decode_answer)(const bct_http_msg_t *m, bct_wire_answer_t *out);
	const char *resolve_path;   /* lists the addresses that callers may use */
	const char *resolve_domain; /* its query argument with the caller's failure domain */
	const char *readiness_path; /* answers 200 while the node accepts new connections */
	/* Appends the body of the answer to resolve_path. returns 0 or the error of out. */
	int (*encode_addresses)(const char *const *addresses, uint32_t n, uint32_t lifetime_ms,
				bct_buf_t *out);
} bct_wire_ops_t;

#endif
