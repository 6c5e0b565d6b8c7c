/*
 * chuteload_call.h - one request of the load tool, over all its sendings.
 */
#ifndef BCT_CMD_CHUTELOAD_CALL_H
#define BCT_CMD_CHUTELOAD_CALL_H

#include "base/list.h"
#include "cmd/chuteload.h"
#include "cmd/chuteload_check.h"

typedef struct load_call {
	bct_list_t link; /* in the list of calls in flight or of calls to send again */
	load_run_t *run;
	load_class_t *cls;
	CURL *easy;
	struct curl_slist *headers;
	bct_buf_t body; /* of the request */
	bct_buf_t in;	/* of the answer, not parsed yet */
	load_check_t check;
	uint64_t outcome_index; /* index in run->told */
	uint64_t arrival_us;
	uint64_t first_us; /* first token; 0: none yet */
	uint64_t last_us;
	uint64_t disconnect_us; /* when the caller leaves; 0: it stays */
	uint64_t resend_us;	/* when it is sent again */
	uint32_t attempts;
	bool slow;	 /* it reads slowly, so its latency says nothing */
	bool poison;	 /* a refusal is what it should get */
	bool end_marker; /* [DONE] was seen */
	bool has_error;	 /* a typed error was seen */
	char run_status[16];
	char reason[LOAD_NAME_BYTES];
} load_call_t;

/* load_call_new(3): a request that arrives at a time; NULL without memory. */
load_call_t *load_call_new(load_run_t *run, load_class_t *cls, uint64_t arrival_us);
void load_call_free(load_call_t *call);

/* load_call_send(3): set up the transfer to an address; the caller adds call->easy to a multi. */
int load_call_send(load_call_t *call, const char *address);

/*
 * load_call_end(3): judge a finished transfer and count it.
 *
 * returns  true when the call is to be sent again at call->resend_us
 */
bool load_call_end(load_call_t *call, CURLcode code, uint64_t now_us);

/* load_call_leave(3), load_call_lose(3): the caller left; no answer came until the run's end. */
void load_call_disconnect(load_call_t *call);
void load_call_no_answer(load_call_t *call);

#endif
