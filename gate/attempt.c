/*
 * attempt.c - handles the response, or the failure, of an attempt: forwards it to the caller,
 * retries at another upstream, or gives up.
 */
#include "base/err.h"
#include "gate/brittle.h"
#include "gate/crash.h"
#include "gate/exchange_int.h"
#include "gate/notice.h"
#include "gate/origin.h"
#include "gate/part.h"
#include "gate/reach.h"
#include "gate/relay.h"
#include "gate/usage.h"

#include <string.h>

#define RESPONSE_MAX_BYTES (16 * 1024 * 1024) /* of a response that is not streamed */
#define LARGE_BYTES (1024 * 1024)	      /* such responses share RESPONSE_MAX_BYTES */
#define CALLER_BACKLOG_BYTES (128 * 1024) /* more output unsent: stop reading from the upstream */
#define STATUS_OK_MIN 200
#define STATUS_OK_MAX 299
#define STATUS_SERVER_ERROR_MIN 500

static bool is_success(int status)
{
	return status >= STATUS_OK_MIN && status <= STATUS_OK_MAX;
}

/* Statuses that callers understand as "the request was not run, it may be repeated". */
static bool implies_not_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/* retry: the request is sent to another upstream. */
static void log_fault(bct_exchange_t *x, const char *what, bool retry)
{
	const bct_gate_upstream_t *u = bct_gate_upstreams_find(&x->gate->upstreams, x->upstream_id);

	BCT_LOG(x->gate->log, BCT_EV_GATE_ATTEMPT_FAILED, BCT_STR("request", x->call.id),
		BCT_HEX("digest", bct_crash_digest(x)), BCT_STR("what", what),
		BCT_STR("upstream", x->upstream_id),
		BCT_STR("software", u ? u->entry.software : ""), BCT_U64("events", x->events.count),
		BCT_U64("attempts", x->attempts), BCT_U64("upstream_running", u ? u->running : 0),
		BCT_U64("upstream_strikes", u ? u->consecutive_failures : 0),
		BCT_I64("again", retry), BCT_I64("ms", bct_clock_now() - x->arrived));
}

/* Counts a failed attempt. returns the fault's name in the log. */
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
	case BCT_FAULT_UNREAD:
		BCT_GATE_COUNT(x->gate, RETRY_UNREAD);
		return "unread";
	}
	return "unknown";
}

/* Sends the request to another upstream; a stream continues after the last event delivered. */
static void resend(bct_exchange_t *x)
{
	bct_exchange_abort_attempt(x);
	if (x->answer_started)
		BCT_GATE_COUNT(x->gate, RESUMES);
	bct_gate_sse_resume(&x->events);
	evbuffer_drain(x->answer, evbuffer_get_length(x->answer));
	bct_exchange_dispatch(x);
}

static void retry_or_give_up(bct_exchange_t *x, const char *what)
{
	bool retry = bct_exchange_take_retry(x);

	log_fault(x, what, retry);
	if (retry)
		resend(x);
	else
		bct_exchange_give_up(x);
}

/* Whether another upstream can take the request now. */
static bool has_alternative(bct_exchange_t *x)
{
	bct_gate_choice_t c;

	bct_gate_pick(&x->gate->picker, bct_clock_now(), &x->query, &c);
	return c.upstream != NULL;
}

/* The upstream was silent for too long. If no other one can take the request, or no retry is
 * permitted, keeps the attempt and disables the silence limit for it. */
void bct_exchange_on_silence(bct_exchange_t *x)
{
	if (!has_alternative(x) || !bct_exchange_take_retry(x)) {
		x->no_silence_retry = true;
		bct_exchange_set_timer(x);
		return;
	}
	x->last_fault = BCT_FAULT_SILENT;
	if (!x->first_byte_at)
		bct_reach_doubted(x->gate, x->conn->upstream);
	log_fault(x, count_fault(x, BCT_FAULT_SILENT), true);
	bct_crash_given_up(x);
	bct_gate_upstream_result(x->conn->upstream, bct_clock_now(), false);
	resend(x);
}

/* What the failed attempt says of the upstream, of the links to it, and of the request. */
static void judge_fault(bct_exchange_t *x, bct_attempt_fault_t fault)
{
	if (x->conn->upstream->is_node)
		bct_relay_failed(x);
	else if (fault == BCT_FAULT_BROKEN)
		bct_crash_connection_broken(x);
	if (fault == BCT_FAULT_CONNECT)
		bct_reach_failed(x->gate, x->conn->upstream);
	else if (fault == BCT_FAULT_BROKEN && !x->first_byte_at)
		bct_reach_doubted(x->gate, x->conn->upstream);
	bct_gate_upstream_result(x->conn->upstream, bct_clock_now(), false);
}

void bct_exchange_fault(bct_exchange_t *x, bct_attempt_fault_t fault)
{
	const char *what;

	x->unread = fault == BCT_FAULT_BROKEN && bct_upconn_is_unread(x->conn);
	x->last_fault = x->unread ? BCT_FAULT_UNREAD : fault;
	what = count_fault(x, x->last_fault);
	if (!x->unread)
		judge_fault(x, fault);
	bct_exchange_abort_attempt(x);
	if (fault != BCT_FAULT_CONNECT) {
		retry_or_give_up(x, what);
		return;
	}
	/* Nothing was sent, so trying another upstream is not charged to the retry budget. */
	x->connects++;
	log_fault(x, what, true);
	bct_exchange_dispatch(x);
}

/* The upstream states that it did not run the request, or another process has its address: this
 * attempt does not count as one that may have run it. */
static void handle_not_run(bct_exchange_t *x, const bct_wire_answer_t *a)
{
	BCT_GATE_COUNT(x->gate, RETRY_NOT_RUN);
	if (a->identity_mismatch)
		x->conn->upstream->identity_mismatch = true;
	else
		bct_brittle_turned_away(x);
	x->may_have_run = x->earlier_may_have_run;
	bct_exchange_abort_attempt(x);
	retry_or_give_up(x, a->identity_mismatch ? "misplaced" : "not_run");
}

/* Retries at another upstream after a 5xx response, if the request is repeatable and a retry is
 * permitted. returns false when the response is to be forwarded instead. */
static bool retry_after_error(bct_exchange_t *x)
{
	if (!bct_gate_route_repeatable(x->route) || x->answer_started)
		return false;
	if (!bct_exchange_take_retry(x))
		return false;
	BCT_GATE_COUNT(x->gate, RETRY_ERROR);
	bct_gate_upstream_result(x->conn->upstream, bct_clock_now(), false);
	log_fault(x, "error", true);
	resend(x);
	return true;
}

/* The answer to HEAD has no events, whatever its type. */
static bool is_event_stream(const bct_exchange_t *x)
{
	const char *type = bct_http_msg_header(&x->conn->msg, "Content-Type");

	return x->route->kind == BCT_GATE_STREAM && !x->conn->msg.head_only &&
	       is_success(x->conn->msg.status) && type && !strncmp(type, "text/event-stream", 17);
}

/* Bytes of the answer have arrived. */
static void note_progress(bct_exchange_t *x)
{
	x->progress_at = bct_clock_now();
	bct_gate_upstream_heard(x->conn->upstream, x->progress_at, x->conn->opened);
	bct_reach_ok(x->gate, x->conn->upstream, x->conn->opened);
}

static bool on_head(bct_exchange_t *x)
{
	int status = x->conn->msg.status;
	bct_wire_answer_t a;

	if (x->conn->upstream->is_node && bct_relay_head(x))
		return false;
	x->gate->wire->decode_answer(&x->conn->msg, &a);
	bct_notice_received(x, &a.notice);
	if (!a.identity_mismatch)
		note_progress(x);
	/* It may be an earlier refusal once more, while the upstream runs this request. */
	if ((a.not_run || a.identity_mismatch) && x->conn->unattributed) {
		bct_exchange_fault(x, BCT_FAULT_BAD_ANSWER);
		return false;
	}
	if (a.not_run || a.identity_mismatch) {
		handle_not_run(x, &a);
		return false;
	}
	/*
	 * Don't forward a success without the upstream's seal, anything but an event stream after
	 * part of a stream was delivered, or, for a request that is not repeatable, a status that
	 * claims it was not run when the upstream did not state so in its own header.
	 */
	if ((is_success(status) && !a.sealed) || (x->answer_started && !is_event_stream(x)) ||
	    (implies_not_run(status) && !bct_gate_route_repeatable(x->route))) {
		bct_exchange_fault(x, BCT_FAULT_BAD_ANSWER);
		return false;
	}
	if (status >= STATUS_SERVER_ERROR_MIN && retry_after_error(x))
		return false;
	x->status = status;
	x->streaming = is_event_stream(x);
	if (!x->first_byte_at)
		x->first_byte_at = bct_clock_now();
	return true;
}

/* The first event of an attempt shows that the prefill of its prompt is done: updates the load on
 * the upstream and records predicted against observed time. */
static void on_first_output(bct_exchange_t *x)
{
	bct_time_t now = bct_clock_now();

	x->output_started = true;
	x->output_at = x->events_at = now;
	bct_gate_pick_began(x->conn->upstream, x->choice.work_ms);
	bct_gate_upstream_timing(x->conn->upstream, x->choice.wait_ms + x->choice.work_ms,
				 (uint32_t)(now - x->conn->sent_at));
}

/*
 * The first token of a successful answer has arrived: counts the request, once. A helper leaves
 * that to the node that relays to it. A stream that is taken up was counted when it began, unless
 * nothing of it had arrived.
 */
static void count_usage(bct_exchange_t *x)
{
	bool began_before = x->call.resumes && (x->call.after_event || x->call.resumes_id[0]);

	if (x->usage_counted || x->relayed || began_before)
		return;
	x->usage_counted = true;
	bct_gate_usage_began(x->gate, x->account ? x->account->name : NULL);
}

/* Records the pace of the stream: n events came together. */
static void observe_pace(bct_exchange_t *x, uint32_t n)
{
	bct_time_t now = bct_clock_now();
	bct_gate_pace_kind_t kind = bct_exchange_pace_kind(x);

	if (x->query.engine && x->output_started)
		bct_gate_pace_events(&x->gate->pace, now, &kind, n, (uint32_t)(now - x->events_at));
	x->events_at = now;
}

/* Forwards n complete events. The head goes out with the first of them, so that until then a retry
 * can still return another status. */
static void send_events(bct_exchange_t *x, uint32_t n)
{
	count_usage(x);
	observe_pace(x, n);
	if (!x->output_started)
		on_first_output(x);
	bct_part_output(x, false);
	if (!x->answer_started) {
		x->answer_started = true;
		bct_origin_began(x);
		bct_answer_head(x->client, &x->conn->msg, -1);
	}
	bct_answer_chunk(x->client, x->answer);
	bct_gate_sse_forwarded(&x->events);
	if (evbuffer_get_length(bufferevent_get_output(x->client->bev)) > CALLER_BACKLOG_BYTES)
		bct_upconn_pause(x->conn, true);
	bct_exchange_set_timer(x);
}

/*
 * Forwards what bytes of the stream complete. Events before a spoilt one are sound: they are
 * forwarded before the fault is handled, as the stream goes on behind the last one forwarded.
 *
 * returns  0 or a negative error
 */
static int forward_events(bct_exchange_t *x, const char *data, size_t len)
{
	uint32_t n;
	int rc = bct_gate_sse_feed(&x->events, data, len, x->answer, &n);

	if (n)
		send_events(x, n);
	return rc;
}

/* Bytes of all large responses that are being received. */
static size_t large_bytes(const bct_gate_t *g)
{
	size_t sum = 0;
	bct_list_t *el;

	bct_list_for_each(el, &g->clients) {
		const bct_client_t *c = bct_container_of(el, bct_client_t, link);
		size_t len = c->x ? evbuffer_get_length(c->x->answer) : 0;

		if (len > LARGE_BYTES)
			sum += len;
	}
	return sum;
}

/* A response is kept until it is complete. If several grow without end, the node must not run out
 * of memory: large ones are ended, small ones are never affected. */
static bool is_too_large(const bct_exchange_t *x, size_t len_bytes)
{
	size_t len = evbuffer_get_length(x->answer) + len_bytes;

	return len > LARGE_BYTES && large_bytes(x->gate) + len_bytes > RESPONSE_MAX_BYTES;
}

static int on_body(bct_exchange_t *x, const char *data, size_t len_bytes)
{
	note_progress(x);
	if (x->streaming)
		return forward_events(x, data, len_bytes);
	if (is_success(x->status) && len_bytes)
		count_usage(x);
	if (is_too_large(x, len_bytes))
		return -BCT_ETOO_LARGE;
	return evbuffer_add(x->answer, data, len_bytes) ? -BCT_ENOMEM : 0;
}

/* Most of the output to the caller has been sent: resumes reading from the upstream. */
void bct_exchange_flushed(bct_exchange_t *x)
{
	if (!x->conn || !x->conn->paused)
		return;
	bct_upconn_pause(x->conn, false);
	/* Neither silence nor the pace of the upstream is measured over the pause. */
	x->progress_at = x->events_at = bct_clock_now();
	bct_exchange_set_timer(x);
}

/* A stream is complete only if it had an event and does not end inside one. */
static void finish_stream(bct_exchange_t *x)
{
	bct_gate_pace_kind_t kind = bct_exchange_pace_kind(x);

	if (!bct_gate_sse_at_boundary(&x->events) || !x->answer_started) {
		bct_exchange_fault(x, bct_upconn_is_unread(x->conn) ? BCT_FAULT_BROKEN
								    : BCT_FAULT_BAD_ANSWER);
		return;
	}
	bct_gate_upstream_result(x->conn->upstream, bct_clock_now(), true);
	if (x->query.engine && x->attempts == 1)
		bct_gate_pace_complete(&x->gate->pace, bct_clock_now(), &kind, x->events.count,
				       x->query.output_tokens);
	bct_crash_answered(x);
	bct_part_output(x, true);
	bct_answer_last_chunk(x->client);
	bct_exchange_finish_attempt(x);
	bct_exchange_end(x, BCT_GATE_END_OK, false);
}

static void on_complete(bct_exchange_t *x)
{
	bool ok = is_success(x->status);

	if (x->streaming) {
		finish_stream(x);
		return;
	}
	bct_gate_upstream_result(x->conn->upstream, bct_clock_now(), ok);
	if (ok) {
		count_usage(x);
		bct_crash_answered(x);
	}
	bct_answer_head(x->client, &x->conn->msg, (int64_t)evbuffer_get_length(x->answer));
	evbuffer_add_buffer(bufferevent_get_output(x->client->bev), x->answer);
	bct_exchange_finish_attempt(x);
	bct_exchange_end(x, ok ? BCT_GATE_END_OK : BCT_GATE_END_UPSTREAM_ERROR, false);
}

const bct_upconn_user_ops_t bct_exchange_upconn_ops = {
	.connected = bct_exchange_connected,
	.fault = bct_exchange_fault,
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
};
