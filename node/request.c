/*
 * request.c - reference counting and end of a request.
 */
#include "node/request.h"
#include "base/err.h"
#include "base/mem.h"
#include "base/sync.h"
#include "node/http.h"

#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

bct_request_t *bct_request_new(uint64_t id, bct_conf_t *conf)
{
	bct_request_t *r = bct_alloc(sizeof(*r));

	if (!r)
		return NULL;
	r->refs = 1;
	r->id = id;
	r->desc.req_id = id;
	r->conf = bct_conf_ref(conf);
	r->first_token = BCT_TIME_NEVER;
	bct_list_init(&r->link);
	bct_buf_init(&r->body, 0);
	bct_buf_init(&r->out, 0);
	pthread_mutex_init(&r->lock, NULL);
	return r;
}

bct_request_t *bct_request_ref(bct_request_t *r)
{
	bct_ref_get(&r->refs);
	return r;
}

void bct_request_unref(bct_request_t *r)
{

	if (!r)
		return;
	if (!bct_ref_put(&r->refs))
		return;
	pthread_mutex_destroy(&r->lock);
	bct_buf_free(&r->body);
	bct_buf_free(&r->out);
	if (r->room)
		bct_room_give_back(r->room, r->kept_bytes);
	bct_free(r->path);
	bct_free(r->content_type);
	bct_free(r->idempotency_key);
	bct_conf_unref(r->conf);
	bct_free(r);
}

int bct_request_keep(bct_request_t *r, uint64_t more_bytes)
{
	if (r->room && !bct_room_take(r->room, r->kept_bytes, more_bytes))
		return -BCT_ETOO_LARGE;
	r->kept_bytes += more_bytes;
	return 0;
}

void bct_request_wake(bct_request_t *r)
{
	if (!r->suspended || !r->conn)
		return;
	r->suspended = false;
	MHD_resume_connection(r->conn);
}

/* Once output has started, a refusal is sent as the last event of the stream, without [DONE]. */
static void put_error_event(bct_request_t *r)
{
	bct_refusal_t f = {
		.why = r->refuse,
		.run = r->run,
		.retry_after_ms = r->retry_after_ms,
		.req_id = r->id,
	};
	char *text = bct_http_refusal_json(&f);

	if (text)
		bct_buf_printf(&r->out, "data: %s\n\n", text);
	free(text);
}

bool bct_request_end(bct_request_t *r, bct_ended_by_t by, bct_refuse_t refuse, bct_run_t run,
		     uint32_t retry_after_ms)
{
	bool first;

	pthread_mutex_lock(&r->lock);
	first = !r->done;
	if (first) {
		r->done = true;
		r->ready = true;
		r->ended_by = by;
		r->refuse = refuse;
		r->may_have_run = r->attempt_sent || r->earlier_may_have_run;
		r->run = run == BCT_RUN_NOT_RUN && r->may_have_run ? BCT_RUN_UNKNOWN : run;
		r->retry_after_ms = retry_after_ms;
		r->incomplete = refuse != BCT_REFUSE_NONE;
		if (!r->incomplete)
			r->state = BCT_STATE_DONE;
		r->attempt = NULL;
		if (r->incomplete && r->stream && r->tokens)
			put_error_event(r);
		bct_request_wake(r);
	}
	pthread_mutex_unlock(&r->lock);
	return first;
}

bct_ended_by_t bct_request_ended_by(bct_refuse_t refuse)
{
	switch (refuse) {
	case BCT_REFUSE_NONE:
		return BCT_ENDED_BY_NOBODY;
	case BCT_REFUSE_CALLER_GONE:
		return BCT_ENDED_BY_CALLER;
	case BCT_REFUSE_DEADLINE:
		return BCT_ENDED_BY_DEADLINE;
	case BCT_REFUSE_NO_UPSTREAM:
	case BCT_REFUSE_UPSTREAM_FAILED:
	case BCT_REFUSE_OUTCOME_UNKNOWN:
		return BCT_ENDED_BY_UPSTREAM;
	case BCT_REFUSE_IN_PROGRESS:
	case BCT_REFUSE_KEY_CONFLICT:
	case BCT_REFUSE_KEY_EXPIRED:
	case BCT_REFUSE_ANSWER_GONE:
	case BCT_REFUSE_LOG_DOWN:
		return BCT_ENDED_BY_LOG;
	case BCT_REFUSE_NOT_READY:
	case BCT_REFUSE_STOPPING:
	case BCT_REFUSE_INTERNAL:
		return BCT_ENDED_BY_NODE;
	case BCT_REFUSE_RATE_LIMIT:
	case BCT_REFUSE_TOKEN_LIMIT:
	case BCT_REFUSE_CONCURRENCY_LIMIT:
	case BCT_REFUSE_SHED:
	case BCT_REFUSE_QUEUE_FULL:
	case BCT_REFUSE_TARGET_MISSED:
	case BCT_REFUSE_POISON:
	case BCT_REFUSE_RETRY_BUDGET:
		return BCT_ENDED_BY_POLICY;
	default:
		return BCT_ENDED_BY_CALLER;
	}
}
