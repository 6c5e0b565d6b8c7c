/*
 * attempt.c - what an upstream answers, and whether the request is sent again.
 */
#include "base/err.h"
#include "gate/crash.h"
#include "gate/exchange_int.h"

#include <string.h>

#define ANSWER_MAX_BYTES (16 * 1024 * 1024)
#define CALLER_BACKLOG_BYTES (128 * 1024) /* unread by the caller: its upstream is paused */
#define STATUS_OK_MIN 200
#define STATUS_OK_MAX 299
#define STATUS_FAULT_MIN 500

static bool is_success(int status)
{
	return status >= STATUS_OK_MIN && status <= STATUS_OK_MAX;
}

/* Statuses that promise that a request was not run. */
static bool is_promise(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

static void log_fault(bct_exchange_t *x, const char *what, bool again)
{
	const bct_gate_upstream_t *u = bct_gate_upstreams_find(&x->gate->upstreams, x->upstream_id);

	BCT_LOG(x->gate->log, BCT_EV_GATE_ATTEMPT_FAILED, BCT_STR("request", x->call.id),
		BCT_STR("what", what), BCT_STR("upstream", x->upstream_id),
		BCT_U64("attempts", x->attempts), BCT_U64("upstream_running", u ? u->running : 0),
		BCT_U64("upstream_strikes", u ? u->consecutive_failures : 0),
		BCT_I64("again", again), BCT_I64("ms", bct_clock_now() - x->arrived));
}

static const char *count_fault(bct_exchange_t *x, bct_attempt_fault_t fault)
{
	switch (fault) {
	case BCT_FAULT_CONNECT:
		BCT_GATE_COUNT(x->gate, RETRY_CONNECT);
		return "connect";
	case BCT_FAULT_BROKEN:
		BCT_GATE_COUNT(x->gate, RETRY_BROKEN);
		return "broken";
	case BCT_FAULT_BAD_ANSWER:
		BCT_GATE_COUNT(x->gate, RETRY_BAD);
		return "bad_answer";
	case BCT_FAULT_SILENT:
		BCT_GATE_COUNT(x->gate, RETRY_SILENT);
		return "silent";
	}
	return "unknown";
}

/* Sends the request to another upstream; a stream goes on after its last event. */
static void resend(bct_exchange_t *x)
{
	bct_exchange_drop_attempt(x);
	if (x->answer_begun)
		BCT_GATE_COUNT(x->gate, RESUMES);
	bct_events_restart(&x->events);
	evbuffer_drain(x->answer, evbuffer_get_length(x->answer));
	bct_exchange_dispatch(x);
}

static void again_or_give_up(bct_exchange_t *x, const char *what)
{
	bool again = bct_exchange_may_resend(x);

	log_fault(x, what, again);
	if (again)
		resend(x);
	else
		bct_exchange_give_up(x);
}

/* No answer for too long. Without a word from the budget the attempt goes on. */
void bct_exchange_silent(bct_exchange_t *x)
{
	if (!bct_exchange_may_resend(x)) {
		x->patient = true;
		bct_exchange_set_timer(x);
		return;
	}
	x->last_fault = BCT_FAULT_SILENT;
	log_fault(x, count_fault(x, BCT_FAULT_SILENT), true);
	bct_gate_upstream_result(x->conn->upstream, bct_clock_now(), false);
	resend(x);
}

void bct_exchange_fault(bct_exchange_t *x, bct_attempt_fault_t fault)
{
	const char *what = count_fault(x, fault);

	x->last_fault = fault;
	if (fault == BCT_FAULT_BROKEN)
		bct_crash_seen(x);
	bct_gate_upstream_result(x->conn->upstream, bct_clock_now(), false);
	bct_exchange_drop_attempt(x);
	if (fault != BCT_FAULT_CONNECT) {
		again_or_give_up(x, what);
		return;
	}
	/* Nothing was sent: another upstream may be asked without a word from the budget. */
	x->connects++;
	log_fault(x, what, true);
	bct_exchange_dispatch(x);
}

/* The upstream says that it did not run the request. */
static void not_run(bct_exchange_t *x, const bct_wire_answer_t *a)
{
	BCT_GATE_COUNT(x->gate, RETRY_NOT_RUN);
	if (a->misplaced)
		x->conn->upstream->identity_mismatch = true;
	x->may_have_run = x->earlier_may_have_run;
	bct_exchange_drop_attempt(x);
	again_or_give_up(x, a->misplaced ? "misplaced" : "not_run");
}

/* A failure that the upstream made itself: asked elsewhere if that is allowed, else passed on. */
static bool retried_error(bct_exchange_t *x)
{
	if (!bct_gate_route_repeatable(x->route) || x->answer_begun)
		return false;
	if (!bct_exchange_may_resend(x))
		return false;
	BCT_GATE_COUNT(x->gate, RETRY_ERROR);
	bct_gate_upstream_result(x->conn->upstream, bct_clock_now(), false);
	log_fault(x, "error", true);
	resend(x);
	return true;
}

static bool is_event_stream(const bct_exchange_t *x)
{
	const char *type = bct_http_msg_header(&x->conn->msg, "Content-Type");

	return x->route->kind == BCT_GATE_STREAM && is_success(x->conn->msg.status) && type &&
	       !strncmp(type, "text/event-stream", 17);
}

bool bct_exchange_head(bct_exchange_t *x)
{
	int status = x->conn->msg.status;
	bct_wire_answer_t a;

	x->gate->wire->decode_answer(&x->conn->msg, &a);
	if (a.not_run || a.misplaced) {
		not_run(x, &a);
		return false;
	}
	if ((is_success(status) && !a.sealed) || (x->answer_begun && !is_event_stream(x)) ||
	    (is_promise(status) && !bct_gate_route_repeatable(x->route))) {
		bct_exchange_fault(x, BCT_FAULT_BAD_ANSWER);
		return false;
	}
	if (status >= STATUS_FAULT_MIN && retried_error(x))
		return false;
	x->status = status;
	x->streaming = is_event_stream(x);
	if (!x->first_byte_at)
		x->first_byte_at = bct_clock_now();
	return true;
}

/* The first event of an attempt: its prompt has been read. */
static void output_began(bct_exchange_t *x)
{
	bct_time_t now = bct_clock_now();

	x->began = true;
	bct_gate_pick_began(x->conn->upstream, x->choice.work_ms);
	bct_gate_upstream_timing(x->conn->upstream, x->choice.wait_ms + x->choice.work_ms,
				 (uint32_t)(now - x->conn->sent_at));
}

static int take_events(bct_exchange_t *x, const char *data, size_t len)
{
	struct evbuffer *out = x->answer;
	int n = bct_events_feed(&x->events, data, len, out);

	if (n < 0)
		return n;
	if (!evbuffer_get_length(out))
		return 0;
	if (!x->began)
		output_began(x);
	if (!x->answer_begun) {
		x->answer_begun = true;
		bct_answer_head(x->client, &x->conn->msg, -1);
	}
	bct_answer_chunk(x->client, out);
	if (evbuffer_get_length(bufferevent_get_output(x->client->bev)) > CALLER_BACKLOG_BYTES)
		bct_upconn_pause(x->conn, true);
	bct_exchange_set_timer(x);
	return 0;
}

int bct_exchange_body(bct_exchange_t *x, const char *data, size_t len_bytes)
{
	if (x->streaming)
		return take_events(x, data, len_bytes);
	if (evbuffer_get_length(x->answer) + len_bytes > ANSWER_MAX_BYTES)
		return -BCT_ETOO_LARGE;
	return evbuffer_add(x->answer, data, len_bytes) ? -BCT_ENOMEM : 0;
}

void bct_exchange_flushed(bct_exchange_t *x)
{
	if (x->conn)
		bct_upconn_pause(x->conn, false);
}

static void finish_stream(bct_exchange_t *x)
{
	if (!bct_events_clean(&x->events) || !x->answer_begun) {
		bct_exchange_fault(x, BCT_FAULT_BAD_ANSWER);
		return;
	}
	bct_gate_upstream_result(x->conn->upstream, bct_clock_now(), true);
	bct_crash_answered(x);
	bct_answer_last_chunk(x->client);
	bct_exchange_keep_attempt(x);
	bct_exchange_end(x, BCT_GATE_END_OK, false);
}

void bct_exchange_complete(bct_exchange_t *x)
{
	bool ok = is_success(x->status);

	if (x->streaming) {
		finish_stream(x);
		return;
	}
	bct_gate_upstream_result(x->conn->upstream, bct_clock_now(), ok);
	if (ok)
		bct_crash_answered(x);
	bct_answer_head(x->client, &x->conn->msg, (int64_t)evbuffer_get_length(x->answer));
	evbuffer_add_buffer(bufferevent_get_output(x->client->bev), x->answer);
	bct_exchange_keep_attempt(x);
	bct_exchange_end(x, ok ? BCT_GATE_END_OK : BCT_GATE_END_UPSTREAM_ERROR, false);
}
