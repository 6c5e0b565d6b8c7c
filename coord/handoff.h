/*
 * handoff.h - fetches a newer configuration from a peer; a state machine without I/O.
 *
 * Configuration changes normally arrive through the log. When a peer has a newer revision, the node
 * first waits 1 s for its log follower to read that revision, unless it has no configuration yet.
 * Then it fetches the configuration from that peer in chunks. So changes spread, and new VMs can
 * start, while the log is down.
 */
#ifndef BCT_COORD_HANDOFF_H
#define BCT_COORD_HANDOFF_H

#include "base/buf.h"
#include "base/clock.h"
#include "base/hash.h"
#include "coord/wire.h"

#include <stdint.h>

#define BCT_HANDOFF_MAX_BYTES (64u << 20) /* of one document */

typedef struct bct_handoff_counters {
	uint64_t fetches;   /* started */
	uint64_t completed; /* accepted by opts->offer */
	uint64_t refused;   /* refused by opts->offer */
	uint64_t abandoned; /* the peer stopped answering, or its document changed */
} bct_handoff_counters_t;

typedef struct bct_handoff_opts {
	bct_outbox_t *outbox;
	/*
	 * Called with a complete document. have_revision is the local revision when the fetch
	 * began. Returns 0 when the document was accepted; otherwise this revision is not fetched
	 * again for 10 s.
	 */
	int (*offer)(void *ctx, uint64_t have_revision, uint64_t revision,
		     const bct_digest_t *digest, const void *doc, size_t doc_bytes);
	void *ctx;
} bct_handoff_opts_t;

typedef struct bct_handoff {
	bct_handoff_opts_t opts;
	uint64_t local_revision;  /* revision in force on this node; 0: none */
	bct_dest_t source;	  /* the peer to fetch from */
	uint64_t revision;	  /* to be fetched; 0: no peer has a newer one */
	bct_time_t first_seen_at; /* when a newer revision was first seen */
	bool fetching;
	uint64_t revision_at_start; /* local revision when the fetch began */
	bct_digest_t digest;	    /* of the document being fetched, from its first chunk */
	bct_buf_t doc;		    /* the chunks received so far */
	uint64_t total_bytes;	    /* size of the document, from its first chunk */
	uint32_t xid;		    /* of the last request */
	uint32_t timeouts;	    /* time-outs of the current chunk */
	bct_time_t deadline;	    /* for the reply; BCT_TIME_NEVER while none is awaited */
	bct_time_t next_chunk; /* when to request the next chunk; BCT_TIME_NEVER while a reply is
				  awaited */
	uint64_t refused_revision;   /* refused by opts.offer; 0: none */
	bct_time_t refused_retry_at; /* refused_revision is not fetched again before this time */
	bct_handoff_counters_t counters;
} bct_handoff_t;

/* bct_handoff_init(3), bct_handoff_free(3): opts is copied; free releases only what h holds. */
void bct_handoff_init(bct_handoff_t *h, const bct_handoff_opts_t *opts);
void bct_handoff_free(bct_handoff_t *h);

/*
 * bct_handoff_set_revision(3): set the revision in force on this node; 0 for none. Stops a fetch
 * that has become unnecessary.
 */
void bct_handoff_set_revision(bct_handoff_t *h, uint64_t revision);

/* bct_handoff_peer_revision(3): note that a live peer has this revision in force. */
void bct_handoff_peer_revision(bct_handoff_t *h, bct_time_t now, const bct_dest_t *peer,
			       uint64_t revision);

/*
 * bct_handoff_receive(3): handle a reply to a chunk request.
 *
 * from  incarnation of the sender; replies of other peers or with an old xid are ignored
 */
void bct_handoff_receive(bct_handoff_t *h, bct_time_t now, uint64_t from, uint32_t xid,
			 const peer_config_reply *reply);

/* bct_handoff_tick(3): send the requests that are due. returns the latest time of the next call. */
bct_time_t bct_handoff_tick(bct_handoff_t *h, bct_time_t now);

#endif
