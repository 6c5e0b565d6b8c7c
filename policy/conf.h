/*
 * conf.h - the configuration in force as typed structures, immutable once built and shared by
 * reference count. coord/conf_json.h builds it from the published JSON documents.
 */
#ifndef BCT_POLICY_CONF_H
#define BCT_POLICY_CONF_H

#include "base/clock.h"
#include "base/hash.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_NAME_BYTES 48
#define BCT_ADDR_BYTES 48
#define BCT_TIERS 5 /* tier 1 is the most important, tier 5 the least */
#define BCT_TOKENS_PER_ACCOUNT 8
#define BCT_MODELS_PER_UPSTREAM 8

typedef enum bct_upstream_kind {
	BCT_UPSTREAM_ENGINE = 1,
	BCT_UPSTREAM_SERVICE = 2,
} bct_upstream_kind_t;

/*
 * A key, here and in the structures below, is bct_hash_str() of the name, so that it is the same on
 * all nodes and in all revisions.
 */
typedef struct bct_model_conf {
	char name[BCT_NAME_BYTES];
	uint64_t key;
	uint32_t context_tokens;
} bct_model_conf_t;

typedef struct bct_upstream_conf {
	char name[BCT_NAME_BYTES];
	uint64_t key;
	bct_upstream_kind_t kind;
	char address[BCT_ADDR_BYTES];
	uint16_t port;
	char failure_domain[BCT_NAME_BYTES];
	char region[BCT_NAME_BYTES];
	uint64_t failure_domain_key;
	uint64_t region_key;
	char service[BCT_NAME_BYTES]; /* name of the service, for BCT_UPSTREAM_SERVICE */
	uint64_t service_key;
	uint64_t model_keys[BCT_MODELS_PER_UPSTREAM]; /* models to serve, for BCT_UPSTREAM_ENGINE */
	uint32_t n_models;
	uint32_t slots;		       /* requests that run concurrently */
	uint32_t kv_tokens;	       /* capacity of the KV cache */
	uint32_t prefill_tokens_per_s; /* expected, of the whole engine */
	uint32_t decode_tokens_per_s;  /* expected, of one stream in a full batch */
	bool checks_fencing;	       /* rejects orders with a stale fencing token */
	bool checks_sender;	       /* authenticates the sender of an order */
	bool honours_priority;	       /* schedules and preempts by the priority of a request */
	char software[BCT_NAME_BYTES]; /* version of its software; empty: not told */
	uint64_t software_key;	       /* 0: not told, like others that are not */
	bool resumes;		       /* can continue a stream after tokens already sent */
	bool leaving;		       /* an operator takes it out of service */
} bct_upstream_conf_t;

typedef struct bct_class_conf {
	char name[BCT_NAME_BYTES];
	uint64_t key;
	uint8_t tier;
	bct_upstream_kind_t target_kind;
	char target[BCT_NAME_BYTES]; /* model or service name */
	uint64_t target_key;
	uint32_t ttft_ms; /* target for the first token; of a service, for the complete answer */
	uint32_t itl_ms;  /* target for the time between tokens */
	uint32_t deadline_ms;	 /* for the complete answer, from arrival; 0: none */
	uint32_t floor_permille; /* share of the capacity reserved against starvation */
	uint32_t max_output_tokens;
	bool repeatable; /* a request may be executed more than once */
} bct_class_conf_t;

typedef struct bct_account_conf {
	char name[BCT_NAME_BYTES];
	uint64_t key;
	bct_digest_t token_hashes[BCT_TOKENS_PER_ACCOUNT];
	uint32_t n_token_hashes;
	uint32_t requests_per_s; /* 0: no limit, as for the next two */
	uint32_t tokens_per_s;
	uint32_t concurrent; /* requests */
	bct_class_conf_t *classes;
	uint32_t n_classes;
} bct_account_conf_t;

typedef struct bct_timeouts_conf {
	uint32_t connect_ms;
	uint32_t first_token_ms;
	uint32_t stall_ms;   /* longest gap within a stream */
	uint32_t service_ms; /* complete answer of a service */
	uint32_t order_ms;   /* answer of an engine to a placement order */
	uint32_t idempotency_window_ms;
} bct_timeouts_conf_t;

typedef struct bct_conf {
	uint64_t revision;
	bct_digest_t digest; /* of the documents in canonical form */
	bct_timeouts_conf_t timeouts;
	bct_model_conf_t *models;
	uint32_t n_models;
	bct_upstream_conf_t *upstreams;
	uint32_t n_upstreams;
	bct_account_conf_t *accounts;
	uint32_t n_accounts;
	uint32_t refs; /* atomic */
} bct_conf_t;

/* bct_conf_new(3): an empty configuration with one reference; NULL if out of memory. */
bct_conf_t *bct_conf_new(void);

/*
 * bct_conf_ref(3), bct_conf_unref(3): take and drop a reference; dropping the last one frees the
 * configuration. NULL is allowed.
 */
bct_conf_t *bct_conf_ref(bct_conf_t *c);
void bct_conf_unref(bct_conf_t *c);

/* Look-ups by key; they return NULL if there is no such object. */
const bct_account_conf_t *bct_conf_account(const bct_conf_t *c, uint64_t key);
const bct_class_conf_t *bct_account_class(const bct_account_conf_t *a, uint64_t key);
const bct_upstream_conf_t *bct_conf_upstream(const bct_conf_t *c, uint64_t key);
const bct_model_conf_t *bct_conf_model(const bct_conf_t *c, uint64_t key);

/* bct_upstream_serves(3): whether the upstream serves this model or service. */
bool bct_upstream_serves(const bct_upstream_conf_t *u, uint64_t target_key);

#endif
