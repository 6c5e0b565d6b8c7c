/*
 * attempt.h - one attempt to run a request at an upstream, carried out by a worker of
 * node/upstream.h.
 */
#ifndef BCT_NODE_ATTEMPT_H
#define BCT_NODE_ATTEMPT_H

#include "base/clock.h"
#include "base/list.h"
#include "http/answer_lines.h"
#include "node/request.h"
#include "node/sse.h"
#include "policy/sched.h"

#include <curl/curl.h>

/* Commands from other threads to the worker that owns the attempt. */
typedef enum bct_attempt_cmd_type {
	BCT_ATTEMPT_CMD_START = 1,
	BCT_ATTEMPT_CMD_CANCEL,
	BCT_ATTEMPT_CMD_UNPAUSE,
} bct_attempt_cmd_type_t;

typedef struct bct_attempt_cmd {
	bct_list_t link; /* in the worker's inbox, under the inbox lock */
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

	/* Set before the start command, constant from then on. */
	char address[BCT_ADDR_BYTES];
	uint16_t port;
	uint64_t upstream_key;
	char upstream_name[BCT_NAME_BYTES];
	char kv_from[BCT_ADDR_BYTES + 8]; /* engine to import the KV cache from; empty: none */
	uint8_t priority;
	uint32_t resume_from;	/* output tokens that the caller already has */
	bct_time_t send_before; /* the first byte must not be sent after this time */
	bct_timeouts_conf_t timeouts;
	char id_hex[17]; /* of id, as in headers and answers */
	char req_id_hex[17];

	/* Used by the worker only. */
	bct_list_t link; /* the worker's running attempts */
	CURL *easy;
	struct curl_slist *headers;
	bct_sse_t sse;
	bct_answer_lines_t lines; /* of the answer's heads */
	bool cancelled;
	bool sent;	   /* libcurl was allowed to send the first byte */
	bool paused;	   /* receiving is stopped because the caller reads too slowly */
	bool finished;	   /* the stream's [DONE] event was received */
	bool mismatched;   /* the answer carried the id of another attempt */
	bool malformed;	   /* the answer could not be parsed */
	bool id_matched;   /* the answer's header carried this attempt's id */
	bool deadline_hit; /* a time limit of the attempt has passed */
	bool delivered;	   /* when its connection was closed, the upstream had taken all of it */
	bool withheld;	   /* not sent: too late, or no longer the request's current attempt */
	int status;	   /* HTTP status; 0 until headers are received */
	uint32_t retry_after_ms;
	uint64_t partial_bytes; /* of an event that is not whole, in the room for answers */
	uint32_t tokens;	/* received by this attempt */
	bct_buf_t answer;	/* body of a service's answer or of an engine's error */
	bct_time_t started;
	bct_time_t progress; /* last sending, receiving or unpausing; stall_ms counts from it */
};

#endif
