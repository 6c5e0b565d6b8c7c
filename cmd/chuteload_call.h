/*
 * chuteload_call.h - one request of the load tool, with all its attempts.
 */
#ifndef BCT_CMD_CHUTELOAD_CALL_H
#define BCT_CMD_CHUTELOAD_CALL_H

#include "base/list.h"
#include "cmd/chuteload.h"
#include "cmd/chuteload_check.h"

typedef struct load_call {
	bct_list_t link; /* in loop_t.calls or loop_t.resends */
	load_run_t *run;
	load_class_t *cls;
	CURL *easy; /* of the current attempt; NULL while waiting for a resend */
	struct curl_slist *headers;
	bct_buf_t body;		/* body of the request */
	bct_buf_t in;		/* part of the answer that is not parsed yet */
	load_check_t check;	/* of the text of a generation */
	uint64_t outcome_index; /* index in run->outcomes */
	uint64_t arrival_us;	/* this and the times below as load_now_us() */
	uint64_t first_us;	/* first token of this attempt; 0: none yet */
	uint64_t last_us;	/* last token */
	uint64_t disconnect_us; /* when the caller disconnects; 0: it does not */
	uint64_t resend_us;	/* when the next attempt is due */
	uint32_t attempts;	/* that were started */
	bool slow;	     /* the caller reads slowly: not counted in latencies and attainment */
	bool poison;	     /* crashes engines until it is refused: not counted in attainment */
	bool end_marker;     /* [DONE] was received */
	bool has_error;	     /* a typed error was received: run_status and reason are set */
	char run_status[16]; /* "run" of the error, such as "not_run" */
	char reason[LOAD_NAME_BYTES];
} load_call_t;

/*
 * load_call_new(3): build a request and count it as sent.
 *
 * arrival_us  its scheduled arrival, as load_now_us(); latencies count from here
 * returns     NULL when memory ran out
 */
load_call_t *load_call_new(load_run_t *run, load_class_t *cls, uint64_t arrival_us);
void load_call_free(load_call_t *call);

/*
 * load_call_send(3): set up the transfer of one attempt; the caller adds call->easy to a multi.
 *
 * address  ADDRESS:PORT
 * returns  0 or -BCT_ENOMEM
 */
int load_call_send(load_call_t *call, const char *address);

/*
 * load_call_end(3): classify a finished transfer and count the call unless it is to be resent.
 *
 * returns  true when the call must be resent at call->resend_us
 */
bool load_call_end(load_call_t *call, CURLcode code, uint64_t now_us);

/* load_call_disconnect(3): count a call whose caller disconnected. */
void load_call_disconnect(load_call_t *call);

/* load_call_no_answer(3): count a call that could not be sent or had no answer by the run's end. */
void load_call_no_answer(load_call_t *call);

#endif
