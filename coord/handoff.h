/*
 * handoff.h - fetching a newer configuration from a peer, as a pure state machine.
 *
 * The log is the usual way of a change. A node that sees a peer with a newer revision waits a
 * moment for its own log reader, then fetches the change from that peer in chunks, so that changes
 * spread and new VMs start while the log is down.
 */
#ifndef BCT_COORD_HANDOFF_H
#define BCT_COORD_HANDOFF_H

#include "base/buf.h"
#include "base/clock.h"
#include "base/hash.h"
#include "coord/wire.h"

#include <stdint.h>

#define BCT_HANDOFF_MAX_BYTES (64u << 20)

typedef struct bct_handoff_counters {
	uint64_t fetches;
	uint64_t completed;
	uint64_t refused;   /* by opts->offer */
	uint64_t abandoned; /* the peer fell silent, or its document changed */
} bct_handoff_counters_t;

typedef struct bct_handoff_opts {
	bct_outbox_t *outbox;
	/*
	 * A document is complete. have_revision is what the node had when it asked.
	 * returns 0 when it was taken; else this revision is left alone for a while
	 */
	int (*offer)(void *ctx, uint64_t have_revision, uint64_t revision,
		     const bct_digest_t *digest, const void *doc, size_t doc_bytes);
	void *ctx;
} bct_handoff_opts_t;

typedef struct bct_handoff {
	bct_handoff_opts_t opts;
	uint64_t have;	   /* revision in force here */
	bct_dest_t source; /* the best offer seen, then the peer being asked */
	uint64_t revision; /* 0: nothing newer was seen */
	bct_time_t seen;
	bool fetching;
	uint64_t asked_from; /* own revision when the fetch began */
	bct_digest_t digest;
	bct_buf_t doc;
	uint64_t total_bytes;
	uint32_t xid;
	uint32_t tries;
	bct_time_t deadline;
	bct_time_t next_chunk;
	uint64_t refused_revision;
	bct_time_t refused_until;
	bct_handoff_counters_t counters;
} bct_handoff_t;

void bct_handoff_init(bct_handoff_t *h, const bct_handoff_opts_t *opts);
void bct_handoff_free(bct_handoff_t *h);

/* bct_handoff_set_revision(3): the revision in force on this node; 0 is none. */
void bct_handoff_set_revision(bct_handoff_t *h, uint64_t revision);

/* bct_handoff_peer_revision(3): a live peer has this revision in force. */
void bct_handoff_peer_revision(bct_handoff_t *h, bct_time_t now, const bct_dest_t *peer,
			       uint64_t revision);

void bct_handoff_receive(bct_handoff_t *h, bct_time_t now, uint64_t from, uint32_t xid,
			 const peer_config_reply *reply);

/* bct_handoff_tick(3): ask for what is due. returns when to call it again at the latest. */
bct_time_t bct_handoff_tick(bct_handoff_t *h, bct_time_t now);

#endif
