/*
 * crash.c - tracks requests under which upstreams crash, as seen by this node and reported by
 * others.
 */
#include "base/hash.h"
#include "gate/crash.h"
#include "gate/part.h"
#include "gate/running.h"
#include "gate/share.h"

#include <string.h>

uint64_t bct_crash_digest(bct_exchange_t *x)
{
	size_t len = evbuffer_get_length(x->body);
	uint64_t target, account, body;

	if (x->digest || !x->head.data)
		return x->digest;
	target = bct_hash(x->head.data, strcspn(x->head.data, "\r"));
	account = bct_hash_str(x->account ? x->account->name : "");
	body = len ? bct_hash(evbuffer_pullup(x->body, -1), len) : 0;
	x->digest = bct_hash_mix(bct_hash_mix(target, account), body);
	return x->digest;
}

uint64_t bct_crash_shared_part(const bct_exchange_t *x)
{
	return x->call.n_segments > 1 ? x->call.segments[x->call.n_segments - 2].id : 0;
}

/* how: what this node learned it from. */
static void log_poison(bct_gate_t *g, const char *request, uint64_t digest, const char *how,
		       uint32_t refused_for_ms)
{
	BCT_LOG(g->log, BCT_EV_GATE_REQUEST_POISON, BCT_STR("request", request),
		BCT_HEX("digest", digest), BCT_STR("how", how),
		BCT_U64("refused_for_ms", refused_for_ms));
}

static void log_cleared(bct_gate_t *g, const char *request, uint64_t digest)
{
	BCT_LOG(g->log, BCT_EV_GATE_CRASH_CLEARED, BCT_STR("request", request),
		BCT_HEX("digest", digest));
}

/* Records a crash that this node observed, and tells the other nodes. */
static void record(bct_gate_t *g, const char *request, uint64_t digest, uint32_t run,
		   bct_time_t since, const char *how)
{
	bct_time_t now = bct_clock_now();
	uint32_t n = bct_gate_crash_record(&g->crashes, now, digest, run);

	if (!n)
		return;
	BCT_LOG(g->log, BCT_EV_GATE_CRASH, BCT_STR("request", request), BCT_HEX("digest", digest),
		BCT_HEX("run", run), BCT_STR("how", how), BCT_U64("upstreams", n),
		BCT_I64("since_ms", now - since));
	bct_share_add_crash(g->share, digest, run);
	if (n == BCT_GATE_CRASH_UPSTREAMS)
		log_poison(g, request, digest, how, BCT_GATE_CRASH_KEEP_MS);
}

/* The parts of the prompt that may be the cause if the upstream crashes now. */
static bct_parts_t suspect_parts(const bct_exchange_t *x)
{
	bct_parts_t none = { 0 };

	return x->harmless ? none : bct_part_of(x);
}

void bct_crash_connection_broken(bct_exchange_t *x)
{
	bct_gate_part_crash_t c = { .run = x->conn->run,
				    .sent_at = x->conn->sent_at,
				    .at = bct_clock_now(),
				    .parts = suspect_parts(x) };

	bct_part_crashed(x->gate, x->call.id, &c);
	record(x->gate, x->call.id, bct_crash_digest(x), x->conn->run, x->conn->sent_at, "broken");
}

void bct_crash_given_up(bct_exchange_t *x)
{
	bct_abandoned_t a = { .at = bct_clock_now(), .parts = suspect_parts(x) };

	/* One that is no longer listed may go on serving for a while, and then ends as planned. */
	if (!x->conn || !x->conn->connected || x->conn->upstream->is_node ||
	    x->conn->upstream->presence != BCT_GATE_READY)
		return;
	a.digest = bct_crash_digest(x);
	a.upstream_key = x->conn->upstream->key;
	a.run = x->conn->run;
	a.sent_at = x->conn->sent_at;
	a.heard_at = x->conn->upstream->heard_at;
	bct_abandoned_add(&x->gate->abandoned, &a);
}

static bct_upstream_sight_t look(const void *ctx, uint64_t upstream_key, bct_time_t at)
{
	return bct_gate_upstreams_sight(ctx, upstream_key, at);
}

void bct_crash_check_abandoned(bct_gate_t *g)
{
	bct_abandoned_t a;

	while (bct_abandoned_next_crash(&g->abandoned, bct_clock_now(), look, &g->upstreams, &a)) {
		bct_gate_part_crash_t c = {
			.run = a.run, .sent_at = a.sent_at, .at = a.at, .parts = a.parts
		};

		bct_part_crashed(g, "", &c);
		record(g, "", a.digest, a.run, a.at, "ended_after_abandoned");
	}
}

void bct_crash_peer_report(bct_gate_t *g, uint64_t digest, uint32_t run)
{
	uint32_t n;

	if (run == BCT_CRASH_ANSWERED) {
		if (bct_gate_crash_clear(&g->crashes, bct_clock_now(), digest))
			log_cleared(g, "", digest);
		return;
	}
	n = bct_gate_crash_record(&g->crashes, bct_clock_now(), digest, run);
	if (!n)
		return;
	BCT_LOG(g->log, BCT_EV_GATE_CRASH_REPORTED, BCT_HEX("digest", digest), BCT_HEX("run", run),
		BCT_U64("upstreams", n));
	if (n == BCT_GATE_CRASH_UPSTREAMS)
		log_poison(g, "", digest, "reported", BCT_GATE_CRASH_KEEP_MS);
}

void bct_crash_peer_block(bct_gate_t *g, uint64_t digest, uint32_t remaining_ms)
{
	bct_gate_crash_block_t b = { .digest = digest, .remaining_ms = remaining_ms };

	switch (bct_gate_crash_block(&g->crashes, bct_clock_now(), &b)) {
	case BCT_GATE_CRASH_KNOWN:
		break;
	case BCT_GATE_CRASH_NEWS:
		log_poison(g, "", digest, "announced", remaining_ms);
		break;
	case BCT_GATE_CRASH_CLEARED:
		bct_share_add_crash(g->share, digest, BCT_CRASH_ANSWERED);
		break;
	}
}

void bct_crash_answered(bct_exchange_t *x)
{
	bct_gate_t *g = x->gate;
	uint64_t digest;

	if (!g->crashes.map.n)
		return;
	digest = bct_crash_digest(x);
	if (!bct_gate_crash_clear(&g->crashes, bct_clock_now(), digest))
		return;
	log_cleared(g, x->call.id, digest);
	bct_share_add_crash(g->share, digest, BCT_CRASH_ANSWERED);
}

uint32_t bct_crash_remaining_ms(bct_exchange_t *x)
{
	const bct_gate_crashes_t *t = &x->gate->crashes;

	if (!t->map.n)
		return 0;
	return bct_gate_crash_remaining_ms(t, bct_clock_now(), bct_crash_digest(x));
}

bool bct_crash_take_trial(bct_exchange_t *x)
{
	bct_gate_t *g = x->gate;
	uint64_t digest = bct_crash_digest(x);

	bct_gate_check_resumed(g);
	if (bct_gate_is_resuming(g) || !bct_share_is_responsible(g->share, digest) ||
	    !bct_gate_crash_take_trial(&g->crashes, bct_clock_now(), digest))
		return false;
	BCT_LOG(g->log, BCT_EV_GATE_CRASH_TRIAL, BCT_STR("request", x->call.id),
		BCT_HEX("digest", digest));
	return true;
}
