/*
 * attempt.h - one try of a request at an upstream, driven by a worker of node/upstream.h.
 */
#ifndef BCT_NODE_ATTEMPT_H
#define BCT_NODE_ATTEMPT_H

#include "base/clock.h"
#include "base/list.h"
#include "node/request.h"
#include "node/sse.h"
#include "policy/sched.h"

#include <curl/curl.h>

/* Orders from other threads to the worker that owns the attempt. */
typedef enum bct_attempt_cmd_type {
	BCT_ATTEMPT_CMD_START = 1,
	BCT_ATTEMPT_CMD_CANCEL,
	BCT_ATTEMPT_CMD_UNPAUSE,
} bct_attempt_cmd_type_t;

typedef struct bct_attempt_cmd {
	bct_list_t link; /* the worker's inbox, under its lock */
	bct_attempt_cmd_type_t type;
	bct_attempt_t *attempt;
} bct_attempt_cmd_t;

struct bct_upstream_worker;
struct bct_upstream_pool;

struct bct_attempt {
	uint32_t refs;
	uint64_t id;
	bct_request_t *req;
	struct bct_upstream_pool *pool;
	struct bct_upstream_worker *worker;
	bct_attempt_cmd_t start, cancel, unpause;

	/* Fixed at dispatch. */
	char address[BCT_ADDR_BYTES];
	uint16_t port;
	uint64_t upstream_key;
	char upstream_name[BCT_NAME_BYTES];
	char kv_from[BCT_ADDR_BYTES + 8]; /* empty: none */
	uint8_t priority;
	uint32_t resume_from;
	bct_time_t send_before; /* no byte goes out after this time */
	bct_timeouts_conf_t timeouts;
	char id_hex[17];
	char req_id_hex[17];

	/* Used by the worker alone. */
	bct_list_t link;
	CURL *easy;
	struct curl_slist *headers;
	bct_sse_t sse;
	bool cancelled;
	bool sent;	 /* the first byte went out */
	bool paused;	 /* the caller reads too slowly */
	bool finished;	 /* [DONE] was seen */
	bool crossed;	 /* the answer carried another id */
	bool malformed;	 /* the answer could not be understood */
	bool id_matched; /* the answer's header named this attempt */
	bool deadline_hit;
	bool withheld; /* it was too late, or the request had moved on: nothing was sent */
	int status;    /* HTTP status; 0 until the headers came */
	uint32_t retry_after_ms;
	uint32_t tokens;
	bct_buf_t answer; /* of a service, or an error body */
	bct_time_t started;
	bct_time_t progress; /* last byte of the answer */
};

#endif
