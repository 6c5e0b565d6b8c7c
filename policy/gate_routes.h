/*
 * gate_routes.h - the gateway's configuration in force: routes by host and path prefix, services,
 * client accounts and their API keys. Immutable once built, shared by reference count.
 *
 * Build one with bct_gate_routes_new(3) and the add calls, then bct_gate_routes_seal(3).
 */
#ifndef BCT_POLICY_GATE_ROUTES_H
#define BCT_POLICY_GATE_ROUTES_H

#include "base/map.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BCT_GATE_SPLITS 8	/* services that one route may be split over */
#define BCT_GATE_NO_PRIORITY -1 /* a client account without a priority of its own */

/* What may be done with a request more than once. */
typedef enum bct_gate_kind {
	BCT_GATE_SAFE = 1, /* may run any number of times */
	BCT_GATE_UNSAFE,   /* at most once */
	BCT_GATE_STREAM,   /* a stream of events; at most once unless it is resumable */
} bct_gate_kind_t;

typedef struct bct_gate_service {
	const char *name;
	uint64_t key;
	bool engine;		 /* a model engine: prompts, KV cache, priorities */
	uint32_t slots;		 /* requests that an engine runs at once */
	uint32_t kv_token_bytes; /* KV cache of one token, for copies between engines */
	uint32_t link_mbps;	 /* of an engine, for such copies; 0: there are none */
} bct_gate_service_t;

typedef struct bct_gate_split {
	uint32_t service; /* index into services */
	uint32_t weight;
} bct_gate_split_t;

typedef struct bct_gate_route {
	const char *name;
	const char *host;
	const char *prefix; /* begins and ends with a slash */
	uint64_t key;	    /* hash of the name */
	size_t prefix_bytes;
	bct_gate_kind_t kind;
	bool resumable;	   /* a stream that another upstream may continue */
	bool open;	   /* needs no API key */
	uint32_t attempts; /* upstreams that one request may be sent to */
	uint32_t timeout_ms;
	uint32_t target_ms;	/* latency objective: whole answer, or first event */
	uint32_t target_gap_ms; /* longest pause between events; 0: none */
	uint8_t priority;	/* 0 is the most important */
	bct_gate_split_t splits[BCT_GATE_SPLITS];
	uint32_t n_splits;
	uint32_t weight_sum;
} bct_gate_route_t;

typedef struct bct_gate_account {
	const char *name;
	int32_t priority; /* compared before the route's; or BCT_GATE_NO_PRIORITY */
} bct_gate_account_t;

typedef struct bct_gate_api_key {
	const char *secret;
	uint32_t account;
} bct_gate_api_key_t;

/* Bounds on what one caller may send and how long it may take. */
typedef struct bct_gate_limits {
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
} bct_gate_limits_t;

typedef struct bct_gate_routes {
	uint64_t version;
	bct_gate_limits_t limits;
	bct_gate_route_t *routes; /* sealed: by host, then longest prefix first */
	uint32_t n_routes;
	bct_gate_service_t *services;
	uint32_t n_services;
	bct_gate_account_t *accounts;
	uint32_t n_accounts;
	bct_gate_api_key_t *keys;
	uint32_t n_keys;
	bool needs_keys;	 /* the configuration lists client accounts */
	uint32_t route_levels;	 /* one more than the highest priority number of a route */
	uint32_t account_levels; /* the same of a client account */
	bct_map_t by_host;	 /* hash of the host: its first route */
	bct_map_t by_secret;
	uint32_t refs;
} bct_gate_routes_t;

/* bct_gate_routes_new(3): an empty table with one reference; NULL without memory. */
bct_gate_routes_t *bct_gate_routes_new(uint64_t version);
bct_gate_routes_t *bct_gate_routes_ref(bct_gate_routes_t *t);
void bct_gate_routes_unref(bct_gate_routes_t *t);

/*
 * bct_gate_routes_add_service(3), ..._add_route(3), ..._add_account(3), ..._add_key(3): copy an
 * entry with its strings into a table that is not sealed yet.
 *
 * returns  the entry's index, or -BCT_ENOMEM
 */
int bct_gate_routes_add_service(bct_gate_routes_t *t, const bct_gate_service_t *s);
int bct_gate_routes_add_route(bct_gate_routes_t *t, const bct_gate_route_t *r);
int bct_gate_routes_add_account(bct_gate_routes_t *t, const bct_gate_account_t *a);
int bct_gate_routes_add_key(bct_gate_routes_t *t, const char *secret, uint32_t account);

/* bct_gate_routes_service(3): index of a service by name, or -BCT_ENOT_FOUND. */
int bct_gate_routes_service(const bct_gate_routes_t *t, const char *name);

/* bct_gate_routes_seal(3): sort and index. returns 0 or -BCT_ENOMEM. */
int bct_gate_routes_seal(bct_gate_routes_t *t);

/*
 * bct_gate_routes_match(3): the route of the host with the longest prefix that begins the path.
 *
 * host, path  not NUL-terminated; the path may carry a query
 * returns     the route, or NULL
 */
const bct_gate_route_t *bct_gate_routes_match(const bct_gate_routes_t *t, const char *host,
					      size_t host_bytes, const char *path,
					      size_t path_bytes);

/* bct_gate_routes_account(3): the client account of an API key, or NULL. */
const bct_gate_account_t *bct_gate_routes_account(const bct_gate_routes_t *t, const char *secret);

/*
 * bct_gate_routes_rank(3): the place of a request in the order of urgency, 0 first: by the client
 * account's priority, then by the route's. An account without a priority counts as the first.
 *
 * account  or NULL
 * levels   set to one more than the highest rank that there is
 */
uint32_t bct_gate_routes_rank(const bct_gate_routes_t *t, const bct_gate_route_t *r,
			      const bct_gate_account_t *account, uint32_t *levels);

/*
 * bct_gate_route_split(3): the service for one request.
 *
 * draw  any number; requests spread over the services by weight as it varies
 */
uint32_t bct_gate_route_split(const bct_gate_route_t *r, uint64_t draw);

/* bct_gate_route_repeatable(3): whether a request of the route may run more than once. */
static inline bool bct_gate_route_repeatable(const bct_gate_route_t *r)
{
	return r->kind == BCT_GATE_SAFE || (r->kind == BCT_GATE_STREAM && r->resumable);
}

#endif
