/*
 * registry.h - where the gateway's configuration and its upstreams are published, behind a vtable:
 * two topics of keyed records, of which the newest of each name is kept.
 *
 * Calls block up to timeout_ms and come from one thread.
 */
#ifndef BCT_COORD_REGISTRY_H
#define BCT_COORD_REGISTRY_H

#include "policy/gate_routes.h"
#include "policy/gate_upstreams.h"

typedef enum bct_registry_topic {
	BCT_REGISTRY_ROUTES = 0,
	BCT_REGISTRY_UPSTREAMS,
	BCT_REGISTRY_TOPICS,
} bct_registry_topic_t;

typedef enum bct_registry_kind {
	BCT_REGISTRY_TABLE = 1,	 /* a configuration */
	BCT_REGISTRY_ENTRY,	 /* an upstream's entry */
	BCT_REGISTRY_REMOVED,	 /* the entry of `name` is gone */
	BCT_REGISTRY_UNREADABLE, /* a record of `name` that is not understood */
} bct_registry_kind_t;

typedef struct bct_registry_change {
	bct_registry_kind_t kind;
	char name[BCT_GATE_ID_BYTES];
	bct_gate_routes_t *table; /* holds a reference */
	bct_gate_entry_t entry;
} bct_registry_change_t;

typedef struct bct_registry_batch {
	bct_registry_change_t *changes;
	uint32_t n;
	uint64_t next; /* position to read from next */
} bct_registry_batch_t;

typedef struct bct_registry bct_registry_t;

typedef struct bct_registry_ops {
	void (*destroy)(bct_registry_t *r);
	/* The newest record of each name. */
	int (*list)(bct_registry_t *r, bct_registry_topic_t topic, uint32_t timeout_ms,
		    bct_registry_batch_t *out);
	/* Records from a position on; -BCT_EEXPIRED: some are no longer kept, list again. */
	int (*changes)(bct_registry_t *r, bct_registry_topic_t topic, uint64_t from,
		       uint32_t timeout_ms, bct_registry_batch_t *out);
} bct_registry_ops_t;

struct bct_registry {
	const bct_registry_ops_t *ops;
};

static inline void bct_registry_free(bct_registry_t *r)
{
	if (r)
		r->ops->destroy(r);
}

/* bct_registry_batch_free(3): release the changes and the tables that are still in them. */
void bct_registry_batch_free(bct_registry_batch_t *b);

#endif
