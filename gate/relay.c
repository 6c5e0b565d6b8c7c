/*
 * relay.c - the way of requests through another node, seen from both.
 */
#include "gate/relay_int.h"
#include "gate/exchange_int.h"
#include "gate/origin.h"
#include "gate/reach.h"
#include "gate/relay_head.h"
#include "gate/share.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define AUTH_BYTES (16 + 1 + 2 * BCT_SHARE_MAC_BYTES + 1)
#define HELPERS_MAX 3  /* tried for one request */
#define FAILED_MS 1000 /* for which a helper that failed is not used */
#define STATUS_UNAVAILABLE 503
#define STATUS_GATEWAY_TIMEOUT 504

/* "INCARNATION MAC" of a request that the node relays. */
static void authorize(const bct_share_t *s, uint64_t incarnation, const char *call_id,
		      const char *request_line, char *out)
{
	uint8_t mac[BCT_SHARE_MAC_BYTES];
	bct_buf_t text;
	int n;

	bct_buf_init(&text, 0);
	bct_buf_printf(&text, "relay %016" PRIx64 " %s %s", incarnation, call_id, request_line);
	bct_share_mac(s, (const uint8_t *)text.data, text.len_bytes, mac);
	bct_buf_free(&text);
	n = snprintf(out, AUTH_BYTES, "%016" PRIx64 " ", incarnation);
	for (uint32_t i = 0; i < BCT_SHARE_MAC_BYTES; i++)
		n += snprintf(out + n, AUTH_BYTES - (size_t)n, "%02x", mac[i]);
}

static void encode_head(bct_exchange_t *x, bct_buf_t *out)
{
	bct_gate_t *g = x->gate;
	bct_time_t remaining_ms = bct_exchange_deadline(x) - bct_clock_now();
	char auth[AUTH_BYTES], line[BCT_RELAY_LINE_BYTES];
	bct_wire_forward_t o = {
		.secret = x->call.secret,
		.wait_ms = remaining_ms > 0 ? (uint32_t)remaining_ms : 1,
		.resumes = x->call.resumes || x->events.has_id,
		.after_event = x->events.has_id ? x->events.last_id : x->call.after_event,
	};

	snprintf(line, sizeof(line), "%.*s", (int)strcspn(x->head.data, "\r"), x->head.data);
	authorize(g->share, bct_peer_incarnation(g->peer), x->call.id, line, auth);
	bct_buf_put(out, x->head.data, x->head.len_bytes);
	g->wire->encode_forward(&o, out);
	bct_buf_printf(out, BCT_RELAY_AUTH_HEADER ": %s\r\n", auth);
	if (x->query.origin)
		bct_buf_printf(out, BCT_RELAY_ORIGIN_HEADER ": %016" PRIx64 " %08x\r\n",
			       x->origin.release, x->origin.run);
	if (x->attempts)
		bct_buf_printf(out, BCT_RELAY_ATTEMPTS_HEADER ": %u\r\n", x->attempts);
	bct_buf_printf(out, "Content-Length: %zu\r\n\r\n", evbuffer_get_length(x->body));
}

/* returns whether the attempt is in progress */
static bool send_through(bct_exchange_t *x, bct_relay_helper_t *h)
{
	bct_buf_t out;
	bool sent = false;

	bct_buf_init(&out, 0);
	encode_head(x, &out);
	x->conn = out.err ? NULL : bct_upconn_get(x->gate, &h->node, x);
	if (x->conn) {
		h->node.running++;
		sent = !bct_upconn_send(x->conn, &out, x->body);
		if (!sent)
			bct_exchange_abort_attempt(x);
	}
	bct_buf_free(&out);
	if (!sent)
		h->failed_until = bct_clock_now() + FAILED_MS;
	return sent;
}

static void log_relayed(const bct_exchange_t *x, const bct_relay_helper_t *h, const char *why)
{
	BCT_LOG(x->gate->log, BCT_EV_GATE_RELAYED, BCT_STR("request", x->call.id),
		BCT_STR("helper", h->node.entry.id), BCT_STR("why", why),
		BCT_U64("helpers", x->helpers), BCT_U64("running", h->node.running),
		BCT_U64("connects_failed", x->connects), BCT_U64("attempts", x->attempts),
		BCT_I64("ms", bct_clock_now() - x->arrived));
}

/* Sends x through h, which may be NULL. returns whether that is in progress */
static bool relay_through(bct_exchange_t *x, bct_relay_helper_t *h, const char *why)
{
	if (!h)
		return false;
	x->helpers++;
	if (!send_through(x, h))
		return false;
	snprintf(x->upstream_id, sizeof(x->upstream_id), "%s", h->node.entry.id);
	log_relayed(x, h, why);
	if (x->conn->connected)
		bct_exchange_connected(x);
	else
		bct_exchange_set_timer(x);
	return true;
}

/* A request is relayed once, and only if other nodes take it. */
static bool may_relay(const bct_exchange_t *x)
{
	return !x->relayed && x->gate->share && x->gate->settings->gate_relay_port &&
	       x->helpers < HELPERS_MAX;
}

bool bct_relay_send(bct_exchange_t *x, bool last_resort)
{
	bool cut = bct_reach_is_cut(x->gate, x->query.service_key);
	bct_relay_helper_t *h;

	while (may_relay(x) && (cut || last_resort)) {
		h = bct_relay_choose(x->gate->relay, x->query.service_key);
		if (relay_through(x, h, cut ? "cut_off" : "no_connection"))
			return true;
		if (!h)
			return false;
	}
	return false;
}

/* A random brittle upstream that seems to have room, or NULL. */
static const bct_gate_upstream_t *draw_brittle(const bct_exchange_t *x)
{
	const bct_gate_upstream_t *drawn = NULL;
	uint32_t n = 0;
	bct_list_t *el;

	bct_list_for_each(el, &x->gate->upstreams.all) {
		const bct_gate_upstream_t *u = bct_container_of(el, bct_gate_upstream_t, link);

		if (!bct_gate_upstream_accepts(u, x->query.service_key) || !u->brittle.named ||
		    (x->query.origin && !bct_gate_origin_allows(x->query.origin, u)))
			continue;
		if (!bct_rng_below(&x->gate->picker.rng, ++n))
			drawn = u;
	}
	return drawn;
}

bool bct_relay_send_to_owner(bct_exchange_t *x)
{
	const bct_gate_upstream_t *u;

	if (!may_relay(x))
		return false;
	u = draw_brittle(x);
	return u && relay_through(x, bct_relay_choose_owner(x->gate->relay, u), "brittle");
}

void bct_relay_failed(bct_exchange_t *x)
{
	bct_relay_helper_t *h = bct_container_of(x->conn->upstream, bct_relay_helper_t, node);

	/* One that ends an answer early passes on what an upstream did. */
	if (!x->answer_started)
		h->failed_until = bct_clock_now() + FAILED_MS;
}

/* "0.400", in seconds; 0 without the header. */
static uint32_t retry_after_ms(const bct_http_msg_t *m)
{
	const char *text = bct_http_msg_header(m, "Retry-After");

	return text ? (uint32_t)(strtod(text, NULL) * BCT_MS_PER_S) : 0;
}

/* Passes a helper's own answer on to the caller. Frees x. */
static void pass_on(bct_exchange_t *x, bct_gate_end_t end)
{
	bct_answer_opts_t o = { .status = x->conn->msg.status,
				.retry_after_ms = retry_after_ms(&x->conn->msg),
				.text = "answered by another node; see its status" };

	bct_exchange_refuse(x, end, &o);
}

bool bct_relay_head(bct_exchange_t *x)
{
	const char *outcome = bct_http_msg_header(&x->conn->msg, BCT_RELAY_OUTCOME_HEADER);
	int status = x->conn->msg.status;

	if (!outcome)
		return false;
	if (!strcmp(outcome, "unknown")) {
		pass_on(x, status == STATUS_GATEWAY_TIMEOUT ? BCT_GATE_END_TIMEOUT_RUNNING
							    : BCT_GATE_END_UNKNOWN_OUTCOME);
		return true;
	}
	x->may_have_run = x->earlier_may_have_run;
	x->through_helper = false;
	if (!strcmp(outcome, "elsewhere") || !strcmp(outcome, "limited")) {
		/* Other reasons concern this request only. */
		if (status == STATUS_UNAVAILABLE && outcome[0] == 'e')
			bct_relay_failed(x);
		bct_exchange_abort_attempt(x);
		bct_exchange_dispatch(x);
		return true;
	}
	if (x->may_have_run) {
		/* An attempt of this node before may have run: the helper does not know of it. */
		bct_exchange_abort_attempt(x);
		bct_exchange_give_up(x);
		return true;
	}
	pass_on(x, BCT_GATE_END_NOT_RUN);
	return true;
}

bool bct_relay_accept(bct_exchange_t *x, const bct_http_msg_t *m)
{
	const char *got = bct_http_msg_header(m, BCT_RELAY_AUTH_HEADER);
	const char *origin = bct_http_msg_header(m, BCT_RELAY_ORIGIN_HEADER);
	const char *attempts = bct_http_msg_header(m, BCT_RELAY_ATTEMPTS_HEADER);
	char want[AUTH_BYTES], line[BCT_RELAY_LINE_BYTES];

	if (!x->gate->share || !got || strlen(got) != AUTH_BYTES - 1)
		return false;
	snprintf(line, sizeof(line), "%s %s HTTP/1.1", m->method, m->target);
	authorize(x->gate->share, strtoull(got, NULL, 16), x->call.id, line, want);
	if (sodium_memcmp(got, want, AUTH_BYTES - 1))
		return false;
	x->relayed = true;
	if (origin &&
	    sscanf(origin, "%" SCNx64 " %" SCNx32, &x->origin.release, &x->origin.run) == 2)
		x->query.origin = &x->origin;
	if (attempts) {
		x->attempts = (uint32_t)strtoul(attempts, NULL, 10);
		x->budget_counted = true;
	}
	return true;
}
