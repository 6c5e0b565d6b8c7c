/*
 * gate_routes.h - the gateway's routing configuration: routes by host and path prefix, services,
 * client accounts and their API keys. Immutable once sealed, and reference-counted.
 *
 * A table is built with bct_gate_routes_new(3) and the add functions, then bct_gate_routes_seal(3).
 */
#ifndef BCT_POLICY_GATE_ROUTES_H
#define BCT_POLICY_GATE_ROUTES_H

#include "base/map.h"
#include "policy/autoscale.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BCT_GATE_SPLITS 8	/* services that one route can distribute its requests over */
#define BCT_GATE_NO_PRIORITY -1 /* a client account for which no priority is configured */

/* How often a request of a route may be run. */
typedef enum bct_gate_kind {
	BCT_GATE_SAFE = 1, /* any number of times */
	BCT_GATE_UNSAFE,   /* at most once */
	BCT_GATE_STREAM,   /* answered by a stream of events; at most once unless resumable */
} bct_gate_kind_t;

typedef struct bct_gate_service {
	const char *name;
	uint64_t key;		 /* hash of the name */
	bool engine;		 /* runs on model engines, with prompts, KV cache and priorities */
	uint32_t slots;		 /* requests that one engine runs at once */
	uint32_t kv_token_bytes; /* size of one token's KV cache */
	uint32_t link_mbps;	 /* of an engine, for KV cache copies; 0: no copies */
	bct_autoscale_conf_t scaling; /* n_domains 0: engines are not ordered */
	const char *scaling_fault;    /* why the configured scaling is not used; NULL: no fault */
} bct_gate_service_t;

typedef struct bct_gate_split {
	uint32_t service; /* index into services */
	uint32_t weight;
} bct_gate_split_t;

typedef struct bct_gate_route {
	const char *name;
	const char *host;
	const char *prefix; /* of the path; begins and ends with a slash */
	uint64_t key;	    /* hash of the name */
	size_t prefix_bytes;
	bct_gate_kind_t kind;
	bool resumable;	   /* a stream that another upstream can continue */
	bool open;	   /* public: needs no API key */
	uint32_t attempts; /* upstreams that one request may be sent to */
	uint32_t timeout_ms;
	uint32_t target_ms;	/* latency objective of the complete answer, or the first event */
	uint32_t target_gap_ms; /* objective for the longest gap between events; 0: none */
	uint8_t priority;	/* 0: highest */
	bct_gate_split_t splits[BCT_GATE_SPLITS];
	uint32_t n_splits;
	uint32_t weight_sum;
} bct_gate_route_t;

typedef struct bct_gate_account {
	const char *name;
	int32_t priority; /* takes precedence over the route's; or BCT_GATE_NO_PRIORITY */
} bct_gate_account_t;

typedef struct bct_gate_api_key {
	const char *secret;
	uint32_t account; /* index into accounts */
} bct_gate_api_key_t;

/* Limits on the size and duration of a caller's requests. */
typedef struct bct_gate_limits {
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
} bct_gate_limits_t;

typedef struct bct_gate_routes {
	uint64_t version;
	bct_gate_limits_t limits;
	bct_gate_route_t *routes; /* once sealed: sorted by host, then longest prefix first */
	uint32_t n_routes;
	bct_gate_service_t *services;
	uint32_t n_services;
	bct_gate_account_t *accounts;
	uint32_t n_accounts;
	bct_gate_api_key_t *keys;
	uint32_t n_keys;
	bool needs_keys; /* client accounts are configured: routes need API keys unless open */
	uint32_t route_levels;	 /* one more than the highest priority number of a route */
	uint32_t account_levels; /* the same for client accounts */
	bct_map_t by_host;	 /* hash of the lower-case host: its first route */
	bct_map_t by_secret;	 /* hash of the secret: bct_gate_api_key_t */
	char *record; /* as read from the registry, for nodes that can't read it; NULL: unknown */
	size_t record_bytes;
	uint32_t refs;
} bct_gate_routes_t;

/* bct_gate_routes_new(3): returns an empty table with one reference; NULL if memory is short. */
bct_gate_routes_t *bct_gate_routes_new(uint64_t version);
bct_gate_routes_t *bct_gate_routes_ref(bct_gate_routes_t *t);
void bct_gate_routes_unref(bct_gate_routes_t *t);

/* bct_gate_routes_longest_ms(3): returns the longest time limit of a route; 0 if t is NULL. */
uint32_t bct_gate_routes_longest_ms(const bct_gate_routes_t *t);

/*
 * bct_gate_routes_add_service(3), bct_gate_routes_add_route(3), bct_gate_routes_add_account(3),
 * bct_gate_routes_add_key(3): copy an entry and its strings into a table that is not yet sealed.
 *
 * returns  the entry's index, or -BCT_ENOMEM
 */
int bct_gate_routes_add_service(bct_gate_routes_t *t, const bct_gate_service_t *s);
int bct_gate_routes_add_route(bct_gate_routes_t *t, const bct_gate_route_t *r);
int bct_gate_routes_add_account(bct_gate_routes_t *t, const bct_gate_account_t *a);
int bct_gate_routes_add_key(bct_gate_routes_t *t, const char *secret, uint32_t account);

/* bct_gate_routes_service(3): returns the index of a service by name, or -BCT_ENOT_FOUND. */
int bct_gate_routes_service(const bct_gate_routes_t *t, const char *name);

/* bct_gate_routes_set_record(3): keep a copy of the table's encoded form; 0 or -BCT_ENOMEM. */
int bct_gate_routes_set_record(bct_gate_routes_t *t, const char *text, size_t len_bytes);

/* bct_gate_routes_seal(3): sorts and indexes the table; returns 0 or -BCT_ENOMEM. */
int bct_gate_routes_seal(bct_gate_routes_t *t);

/*
 * bct_gate_routes_match(3): finds the route for the host with the longest prefix of the path.
 *
 * host, path  need not be NUL-terminated; the path may include a query
 * returns     the route, or NULL
 */
const bct_gate_route_t *bct_gate_routes_match(const bct_gate_routes_t *t, const char *host,
					      size_t host_bytes, const char *path,
					      size_t path_bytes);

/* bct_gate_routes_account(3): returns the client account of an API key, or NULL. */
const bct_gate_account_t *bct_gate_routes_account(const bct_gate_routes_t *t, const char *secret);

/*
 * bct_gate_routes_rank(3): ranks a request by urgency: by the client account's priority, then by
 * the route's. An account without a priority ranks with the highest.
 *
 * account  NULL for a request without an account; ranks like an account without a priority
 * levels   set to one more than the highest possible rank
 * returns  the rank; 0 is the most urgent
 */
uint32_t bct_gate_routes_rank(const bct_gate_routes_t *t, const bct_gate_route_t *r,
			      const bct_gate_account_t *account, uint32_t *levels);

/*
 * bct_gate_route_split(3): chooses the service for one request, in proportion to the weights.
 *
 * draw     evenly distributed number, such as a hash of the request's id
 * returns  index of the service
 */
uint32_t bct_gate_route_split(const bct_gate_route_t *r, uint64_t draw);

/* bct_gate_route_repeatable(3): returns whether a request of the route may run more than once. */
static inline bool bct_gate_route_repeatable(const bct_gate_route_t *r)
{
	return r->kind == BCT_GATE_SAFE || (r->kind == BCT_GATE_STREAM && r->resumable);
}

#endif
