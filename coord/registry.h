/*
 * registry.h - interface to the registry in which the gateway's configuration and its upstreams are
 * published. It has two topics of named records, and keeps the newest record of each name.
 *
 * A call ends when nothing has arrived for timeout_ms; a large answer may take longer in all. All
 * calls on one topic come from the same thread, but for cancel.
 */
#ifndef BCT_COORD_REGISTRY_H
#define BCT_COORD_REGISTRY_H

#include "policy/gate_poll.h"
#include "policy/gate_routes.h"
#include "policy/gate_upstreams.h"

typedef enum bct_registry_kind {
	BCT_REGISTRY_TABLE = 1,	 /* a configuration, in `table` */
	BCT_REGISTRY_ENTRY,	 /* an upstream, in `entry` */
	BCT_REGISTRY_REMOVED,	 /* the record of `name` was removed */
	BCT_REGISTRY_UNREADABLE, /* the record of `name` cannot be decoded */
} bct_registry_kind_t;

typedef struct bct_registry_change {
	bct_registry_kind_t kind;
	char name[BCT_GATE_ID_BYTES];
	bct_gate_position_t position; /* of the record in the topic's log; 0: unknown */
	bct_gate_routes_t *table;     /* holds a reference; NULL for other kinds */
	bct_gate_entry_t entry;	      /* with the same position */
} bct_registry_change_t;

typedef struct bct_registry_batch {
	bct_registry_change_t *changes;
	uint32_t n;
	bct_gate_position_t next; /* position to continue reading at */
	bool more;		  /* there are changes from there on: these were not all */
	bool era_malformed;	  /* the registry stated an era that can't be read */
	size_t received_bytes;	  /* of the answers, also of a failed call */
} bct_registry_batch_t;

typedef struct bct_registry bct_registry_t;

typedef struct bct_registry_ops {
	void (*destroy)(bct_registry_t *r);
	/* Ends the call in progress, and later ones at once. May be called from any thread. */
	void (*cancel)(bct_registry_t *r);
	/* Gets the newest record of each name. */
	int (*list)(bct_registry_t *r, bct_registry_topic_t topic, uint32_t timeout_ms,
		    bct_registry_batch_t *out);
	/*
	 * Gets the records from a position on, as many as fit in one answer; sets `more` if others
	 * follow. Returns -BCT_EEXPIRED when some of them are no longer kept, or the registry is in
	 * another era; the caller then has to call list again.
	 */
	int (*changes)(bct_registry_t *r, bct_registry_topic_t topic, bct_gate_position_t from,
		       uint32_t timeout_ms, bct_registry_batch_t *out);
	/*
	 * Decodes a configuration in the form in which the registry holds it, as another node
	 * received it. May be called from any thread. Returns 0, -BCT_ECODEC or -BCT_ENOMEM.
	 */
	int (*decode_routes)(bct_registry_t *r, const char *text, size_t len_bytes,
			     bct_gate_routes_t **out);
} bct_registry_ops_t;

struct bct_registry {
	const bct_registry_ops_t *ops;
};

/* bct_registry_free(3): release a registry. NULL is allowed. */
static inline void bct_registry_free(bct_registry_t *r)
{
	if (r)
		r->ops->destroy(r);
}

/*
 * bct_registry_batch_free(3): free the changes and release the references of their tables. A caller
 * that keeps a table sets it to NULL before.
 */
void bct_registry_batch_free(bct_registry_batch_t *b);

#endif
