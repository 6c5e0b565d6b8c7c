/*
 * request.h - a caller's request. It is reference counted and shared by the thread that serves the
 * caller's connection, the core, and the worker that exchanges data with the upstream.
 *
 * Lock order: core lock, then request lock. No lock but libmicrohttpd's internal one and that of
 * the room for answers is taken under a request lock.
 */
#ifndef BCT_NODE_REQUEST_H
#define BCT_NODE_REQUEST_H

#include "base/buf.h"
#include "base/clock.h"
#include "base/list.h"
#include "node/room.h"
#include "policy/conf.h"
#include "policy/reason.h"
#include "policy/sched.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

struct MHD_Connection;
typedef struct bct_attempt bct_attempt_t;

typedef enum bct_request_kind {
	BCT_REQUEST_CHAT = 1,
	BCT_REQUEST_COMPLETION,
	BCT_REQUEST_SERVICE,
} bct_request_kind_t;

typedef struct bct_request {
	uint32_t refs;
	uint64_t id;
	bct_request_kind_t kind;
	bct_req_desc_t desc;
	bct_conf_t *conf; /* in force when the request arrived; owns account and klass */
	const bct_account_conf_t *account;
	const bct_class_conf_t *klass;
	bool stream; /* the caller asked for a streamed answer */
	char method[8];
	char *path;	       /* after the service's name, with the query; NULL for completions */
	char *content_type;    /* of body; NULL: not given */
	char *idempotency_key; /* NULL: not given */
	bool first_send;       /* the caller states that it has not sent this key before */
	char model[BCT_NAME_BYTES];
	bct_buf_t body; /* sent to the upstream */

	bct_list_t link; /* entry in the core's table, under the core lock */

	pthread_mutex_t lock;
	/* All members below are protected by lock. */
	struct MHD_Connection *conn; /* NULL after the exchange has ended */
	bool suspended;		     /* conn is suspended */
	bool ready;	 /* the answer may start: a token, a complete answer or a refusal exists */
	bool done;	 /* the request has ended; no more output follows */
	bool incomplete; /* done, but refused or not answered completely */
	bct_state_t state;
	bct_ended_by_t ended_by;
	bct_refuse_t refuse;
	bct_run_t run;
	uint32_t retry_after_ms;
	int status;		     /* HTTP status of the answer */
	bct_buf_t out;		     /* output for the caller that has not been sent yet */
	bct_room_t *room;	     /* for answers; NULL: no attempt has started */
	uint64_t kept_bytes;	     /* of it, until the request is freed */
	char answer_type[64];	     /* content type of a service's answer */
	char finish_reason[16];	     /* of a completion; empty: none */
	uint32_t prompt_tokens;	     /* as reported by the engine */
	uint32_t tokens;	     /* output tokens so far, over all attempts */
	bct_attempt_t *attempt;	     /* whose output is used; holds no reference */
	bct_action_t claimed_action; /* dispatch to carry out once the key's claim has succeeded */
	uint64_t intent;	     /* intent that claims the key; 0: none, or settled */
	bool intent_won;	     /* the claim has succeeded */
	bool attempt_sent;	     /* the current attempt's first byte may have been sent */
	bool earlier_may_have_run;   /* an earlier attempt may have run */
	bool may_have_run;	     /* at its end: whether any attempt may have run */
	bool awaits_key_answer;	     /* its key is taken: not queued, gets the key's answer */
	bool orphaned;		/* the caller disconnected, but the request runs to its outcome */
	bct_time_t first_token; /* BCT_TIME_NEVER: none yet */
	bct_time_t last_token;
	uint32_t max_gap_ms; /* longest inter-token gap */
} bct_request_t;

/* bct_request_new(3): a request with one reference; takes one of conf. NULL if out of memory. */
bct_request_t *bct_request_new(uint64_t id, bct_conf_t *conf);
bct_request_t *bct_request_ref(bct_request_t *r);
void bct_request_unref(bct_request_t *r);

/*
 * bct_request_keep(3): take room for more bytes of the answer. Call with lock held.
 *
 * returns  0 or -BCT_ETOO_LARGE; nothing more is kept then
 */
int bct_request_keep(bct_request_t *r, uint64_t more_bytes);

/* bct_request_wake(3): resume the caller's connection if it is suspended. Call with lock held. */
void bct_request_wake(bct_request_t *r);

/*
 * bct_request_end(3): mark a request as ended and resume its connection. Only the first call has an
 * effect. A request that may have run is reported as unknown if run is BCT_RUN_NOT_RUN.
 *
 * by              whom or what the termination code names
 * refuse          BCT_REFUSE_NONE: answered
 * retry_after_ms  0: none
 * returns         true if this call ended it
 */
bool bct_request_end(bct_request_t *r, bct_ended_by_t by, bct_refuse_t refuse, bct_run_t run,
		     uint32_t retry_after_ms);

/* bct_request_ended_by(3): who or what causes a refusal, for the termination code. */
bct_ended_by_t bct_request_ended_by(bct_refuse_t refuse);

#endif
