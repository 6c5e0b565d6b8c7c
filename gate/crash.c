/*
 * crash.c - tracks requests under which upstreams crash, as seen by this node and reported by
 * others.
 */
#include "base/hash.h"
#include "gate/crash.h"
#include "gate/share.h"

#include <string.h>

/* Identifies a request across retries of its caller, so the id and other headers are left out. */
static uint64_t digest_of(const bct_exchange_t *x)
{
	size_t len = evbuffer_get_length(x->body);
	uint64_t target = bct_hash(x->head.data, strcspn(x->head.data, "\r"));
	uint64_t account = bct_hash_str(x->account ? x->account->name : "");
	uint64_t body = len ? bct_hash(evbuffer_pullup(x->body, -1), len) : 0;

	return bct_hash_mix(bct_hash_mix(target, account), body);
}

/* Logs a request once, when the number of upstreams reaches the limit. */
static void log_poison(bct_gate_t *g, const char *request, uint64_t digest, uint32_t upstreams)
{
	if (upstreams == BCT_GATE_CRASH_UPSTREAMS)
		BCT_LOG(g->log, BCT_EV_GATE_REQUEST_POISON, BCT_STR("request", request),
			BCT_HEX("digest", digest), BCT_U64("upstreams", upstreams),
			BCT_U64("refused_for_ms", BCT_GATE_CRASH_KEEP_MS));
}

void bct_crash_connection_broken(bct_exchange_t *x)
{
	bct_gate_t *g = x->gate;
	uint64_t digest = digest_of(x);
	uint32_t upstream = (uint32_t)x->conn->upstream->key;
	uint32_t n = bct_gate_crash_record(&g->crashes, bct_clock_now(), digest, upstream);

	if (!n)
		return;
	bct_share_add_crash(g->share, digest, upstream);
	log_poison(g, x->call.id, digest, n);
}

void bct_crash_peer_report(bct_gate_t *g, uint64_t digest, uint32_t upstream)
{
	if (upstream == BCT_CRASH_ANSWERED)
		bct_gate_crash_clear(&g->crashes, digest);
	else
		log_poison(g, "", digest,
			   bct_gate_crash_record(&g->crashes, bct_clock_now(), digest, upstream));
}

void bct_crash_answered(bct_exchange_t *x)
{
	bct_gate_t *g = x->gate;
	uint64_t digest;

	if (!g->crashes.map.n)
		return;
	digest = digest_of(x);
	if (bct_gate_crash_clear(&g->crashes, digest))
		bct_share_add_crash(g->share, digest, BCT_CRASH_ANSWERED);
}

uint32_t bct_crash_remaining_ms(const bct_exchange_t *x)
{
	const bct_gate_crashes_t *t = &x->gate->crashes;

	return t->map.n ? bct_gate_crash_remaining_ms(t, bct_clock_now(), digest_of(x)) : 0;
}
