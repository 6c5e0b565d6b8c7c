/*
 * request.h - one caller's request, shared by the worker that holds its connection, the core and
 * the worker that talks to its upstream. Reference counted.
 *
 * Lock order: core lock, then request lock. Nothing is taken under a request lock but
 * libmicrohttpd's own lock.
 */
#ifndef BCT_NODE_REQUEST_H
#define BCT_NODE_REQUEST_H

#include "base/buf.h"
#include "base/clock.h"
#include "base/list.h"
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
	bct_conf_t *conf; /* in force when it was taken; keeps the two pointers below alive */
	const bct_account_conf_t *account;
	const bct_class_conf_t *klass;
	bool stream; /* the caller wants a stream */
	char method[8];
	char *path; /* below the service, with the query; NULL for completions */
	char *content_type;
	char *idempotency_key;
	bool first_send; /* the caller says that it has not sent this key before */
	char model[BCT_NAME_BYTES];
	bct_buf_t body; /* for the upstream */

	bct_list_t link; /* core's table, under the core lock */

	pthread_mutex_t lock;
	/* All below under lock. */
	struct MHD_Connection *conn; /* NULL once the connection is gone */
	bool suspended;
	bool ready;	 /* the answer may start: a token, a whole answer or a refusal is there */
	bool done;	 /* nothing more will come */
	bool incomplete; /* done, but the answer is not whole */
	bct_state_t state;
	bct_ended_by_t ended_by;
	bct_refuse_t refuse;
	bct_run_t run;
	uint32_t retry_after_ms;
	int status;		     /* HTTP status of an answer */
	bct_buf_t out;		     /* for the caller, not yet taken */
	char answer_type[64];	     /* content type of a service's answer */
	char finish_reason[16];	     /* of a completion */
	uint32_t prompt_tokens;	     /* as told by the engine */
	uint32_t tokens;	     /* given to the caller so far, over all attempts */
	bct_attempt_t *attempt;	     /* the only one whose output counts; holds no reference */
	bct_action_t claimed_action; /* to be sent once its claim is won */
	uint64_t intent;	     /* of its key; 0: none, or given up */
	bool intent_won;
	bool attempt_sent;	   /* the current attempt's first byte may be out */
	bool earlier_may_have_run; /* an earlier attempt may have run */
	bool may_have_run;	   /* when it ended */
	bool awaits_key_answer; /* its key is taken: it waits for the key's answer, not in the queue
				 */
	bool orphaned;		/* the caller left, but the request goes on to its outcome */
	bct_time_t first_token; /* BCT_TIME_NEVER until there is one */
	bct_time_t last_token;
	uint32_t max_gap_ms; /* longest time between tokens */
} bct_request_t;

/* bct_request_new(3): a request with one reference; NULL without memory. */
bct_request_t *bct_request_new(uint64_t id, bct_conf_t *conf);
bct_request_t *bct_request_ref(bct_request_t *r);
void bct_request_unref(bct_request_t *r);

/* bct_request_wake(3): resume the caller's connection if it waits. Call with the lock held. */
void bct_request_wake(bct_request_t *r);

/*
 * bct_request_end(3): mark a request as ended and wake its connection. The first end counts. A
 * request that may have run is never told as not run, whatever run says.
 *
 * returns  true if this call ended it
 */
bool bct_request_end(bct_request_t *r, bct_ended_by_t by, bct_refuse_t refuse, bct_run_t run,
		     uint32_t retry_after_ms);

/* bct_request_ended_by(3): whom a refusal is charged to, for the termination code. */
bct_ended_by_t bct_request_ended_by(bct_refuse_t refuse);

#endif
