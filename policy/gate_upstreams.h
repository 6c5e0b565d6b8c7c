/*
 * gate_upstreams.h - the upstreams that the gateway knows: who registered for which service, who is
 * leaving, and what this node has seen of each. Pure.
 *
 * An upstream is one start of one process. Its id may be used again by a later start, which is told
 * by its start time; its address may be taken over by another service. Entries of the registry may
 * be repeated or arrive out of order: an older start or an older sequence number changes nothing.
 */
#ifndef BCT_POLICY_GATE_UPSTREAMS_H
#define BCT_POLICY_GATE_UPSTREAMS_H

#include "base/clock.h"
#include "base/list.h"
#include "base/map.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_GATE_ID_BYTES 64
#define BCT_GATE_IP_BYTES 48

/* What a registry entry says of an upstream. */
typedef struct bct_gate_entry {
	char id[BCT_GATE_ID_BYTES];
	char service[BCT_GATE_ID_BYTES];
	char zone[BCT_GATE_ID_BYTES]; /* its failure domain */
	char ip[BCT_GATE_IP_BYTES];
	uint16_t port;
	uint32_t slots;
	uint32_t cold_ms; /* how much longer it stays slow after its start */
	bool draining;
	int64_t born_ms;   /* start of the process, Unix time; 0: not told */
	uint64_t sequence; /* grows with each write of one start */
} bct_gate_entry_t;

typedef enum bct_gate_presence {
	BCT_GATE_READY = 1,
	BCT_GATE_DRAINING, /* finishes what it has; takes nothing new */
	BCT_GATE_LAPSED,   /* not listed right after an outage of the registry; may come back */
	BCT_GATE_GONE,
} bct_gate_presence_t;

typedef struct bct_gate_upstream {
	bct_list_t link; /* of the table, in order of arrival */
	bct_gate_entry_t entry;
	uint64_t key; /* hash of the id */
	uint64_t service_key;
	bct_gate_presence_t presence;
	bct_time_t since;	/* last change of presence */
	uint32_t refs;		/* requests and connections that name it */
	bool identity_mismatch; /* another process answered at its address */
	uint32_t list_pass;	/* of the last listing that named it */

	/* Load that this node has placed there. */
	uint32_t running;	     /* requests sent and not ended */
	uint32_t prefill_ms;	     /* predicted work of those without output yet */
	uint32_t streams;	     /* those with output */
	bool advertised;	     /* the other nodes were told of it */
	uint32_t advertised_running; /* at this node and those that report to it, when last told */
	uint32_t advertised_prefill_ms; /* the same */
	/* Load that the other nodes reported, see gate_peers.h. */
	int32_t peer_running;
	int32_t peer_prefill_ms;

	/* What requests experienced. */
	uint32_t fail_permille;	       /* moving average of failed requests */
	uint32_t consecutive_failures; /* failures in a row */
	bct_time_t avoid_until;	       /* nothing new before, if there is another upstream */
	uint32_t slow_permille; /* moving average of observed over predicted time to the first byte
				 */
	void *connections;	/* idle connections, owned by the I/O layer */
} bct_gate_upstream_t;

typedef struct bct_gate_upstreams {
	bct_list_t all;
	uint32_t n;
	bct_map_t by_id;
	bct_map_t by_short; /* lower half of the key, as datagrams carry it */
	uint32_t list_pass;
	bct_time_t registry_back_at; /* end of the last outage; 0: none yet */
	bool registry_lost;
	/* Called before an upstream is freed. */
	void (*release)(void *ctx, bct_gate_upstream_t *u);
	/* Called when a listing lacks one that was known; may be NULL. */
	void (*on_unlisted)(void *ctx, const bct_gate_upstream_t *u);
	void *ctx;
} bct_gate_upstreams_t;

/* How long entries that lapsed in an outage of the registry are still used after its return. */
#define BCT_GATE_LAPSE_GRACE_MS 1800

/* Failures in a row set an upstream aside for this long at first, doubled up to the maximum. */
#define BCT_GATE_AVOID_FIRST_MS 500
#define BCT_GATE_AVOID_MAX_MS 4000

void bct_gate_upstreams_init(bct_gate_upstreams_t *t);
void bct_gate_upstreams_free(bct_gate_upstreams_t *t);

/*
 * bct_gate_upstreams_apply(3): take in a registry entry.
 *
 * returns  1 when something but its sequence changed, 0 when not, -BCT_ESTALE for an entry of an
 *          older start or sequence, -BCT_ENOMEM
 */
int bct_gate_upstreams_apply(bct_gate_upstreams_t *t, bct_time_t now, const bct_gate_entry_t *e);

/* bct_gate_upstreams_remove(3): its entry is gone. returns 1 when it was known, else 0. */
int bct_gate_upstreams_remove(bct_gate_upstreams_t *t, bct_time_t now, const char *id);

/*
 * bct_gate_upstreams_list_begin(3), bct_gate_upstreams_list_end(3): a full listing is applied in
 * between; what it does not name is removed at its end.
 */
void bct_gate_upstreams_list_begin(bct_gate_upstreams_t *t);
void bct_gate_upstreams_list_end(bct_gate_upstreams_t *t, bct_time_t now);

/* bct_gate_upstreams_set_registry(3): the registry answers, or does not. */
void bct_gate_upstreams_set_registry(bct_gate_upstreams_t *t, bct_time_t now, bool answers);

/* bct_gate_upstreams_digest(3): equal for tables that list the same starts in the same states. */
uint64_t bct_gate_upstreams_digest(const bct_gate_upstreams_t *t);

/* bct_gate_upstreams_sweep(3): end lapses that are over and free what is gone and unused. */
void bct_gate_upstreams_sweep(bct_gate_upstreams_t *t, bct_time_t now);

bct_gate_upstream_t *bct_gate_upstreams_find(const bct_gate_upstreams_t *t, const char *id);

/* bct_gate_upstreams_find_short(3): by the lower half of its key; NULL when there is none. */
bct_gate_upstream_t *bct_gate_upstreams_find_short(const bct_gate_upstreams_t *t, uint32_t half);

/* bct_gate_upstream_accepts(3): whether new requests of the service may be sent there. */
bool bct_gate_upstream_accepts(const bct_gate_upstream_t *u, uint64_t service_key);

/* bct_gate_upstream_result(3): a request there succeeded, or failed by the upstream's fault. */
void bct_gate_upstream_result(bct_gate_upstream_t *u, bct_time_t now, bool ok);

/* bct_gate_upstream_timing(3): predicted and observed time to the first byte of an answer. */
void bct_gate_upstream_timing(bct_gate_upstream_t *u, uint32_t predicted_ms, uint32_t observed_ms);

#endif
