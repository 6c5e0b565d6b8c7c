/*
 * conf_fields.h - X-macro tables of the fields of the configuration document. coord/conf_json.c
 * parses the document with them, and docs/CONFIGURATION.md is generated from them.
 *
 * F(type, member, min, max, default, need, text): a field whose key is the name of the struct
 * member in policy/conf.h. O(key, need, text): a field with a parser of its own in conf_json.c.
 * need is REQUIRED or OPTIONAL; the default of a REQUIRED field is not used.
 */
#ifndef BCT_COORD_CONF_FIELDS_H
#define BCT_COORD_CONF_FIELDS_H

#include "policy/conf.h"

#define BCT_CONF_MAX_MODELS 64
#define BCT_CONF_MAX_UPSTREAMS 4096
#define BCT_CONF_MAX_ACCOUNTS 4096
#define BCT_CONF_MAX_CLASSES 32 /* per account */
#define BCT_CONF_DAY_MS 86400000

#define BCT_DOCUMENT_FIELDS(F, O)                                       \
	O(timeouts, OPTIONAL, "time limits that apply to all requests") \
	O(models, OPTIONAL, "models by name")                           \
	O(upstreams, OPTIONAL, "upstreams by name")                     \
	O(contracts, OPTIONAL, "contracts by name of the client account")

#define BCT_TIMEOUT_FIELDS(F, O)                                                                   \
	F(U32, connect_ms, 10, 60000, 1000, OPTIONAL, "time limit for connecting to an upstream")  \
	F(U32, first_token_ms, 10, 600000, 30000, OPTIONAL,                                        \
	  "time limit from sending a request to its first token")                                  \
	F(U32, stall_ms, 10, 600000, 10000, OPTIONAL, "longest time without data within a stream") \
	F(U32, service_ms, 10, 600000, 30000, OPTIONAL,                                            \
	  "time limit for the complete answer of a service")                                       \
	F(U32, order_ms, 10, 3600000, 60000, OPTIONAL,                                             \
	  "time limit for an order to an engine, until it is completed")                           \
	F(U32, idempotency_window_ms, 1000, 7 * BCT_CONF_DAY_MS, BCT_CONF_DAY_MS, OPTIONAL,        \
	  "how long an idempotency key is remembered")

#define BCT_MODEL_FIELDS(F, O) \
	F(U32, context_tokens, 1, 16777216, 32768, OPTIONAL, "limit on prompt plus output tokens")

#define BCT_UPSTREAM_FIELDS(F, O)                                                                \
	O(kind, REQUIRED, "\"engine\" or \"service\"")                                           \
	O(models, OPTIONAL, "engines only: names of the models that it serves")                  \
	O(service, OPTIONAL, "services only: name by which callers address it")                  \
	F(ADDR, address, 0, 0, 0, REQUIRED, "IPv4 or IPv6 address")                              \
	F(U16, port, 1, 65535, 0, REQUIRED, "TCP port")                                          \
	F(NAME, failure_domain, 0, 0, 0, REQUIRED, "failure domain of the upstream")             \
	F(NAME, region, 0, 0, 0, REQUIRED, "region of the upstream")                             \
	F(U32, slots, 1, 65536, 16, OPTIONAL, "number of requests that it runs concurrently")    \
	F(U32, kv_tokens, 0, 2147483647, 262144, OPTIONAL,                                       \
	  "size of an engine's KV cache, in tokens")                                             \
	F(U32, prefill_tokens_per_s, 1, 2147483647, 8000, OPTIONAL,                              \
	  "prompt tokens per second that the whole engine prefills")                             \
	F(U32, decode_tokens_per_s, 1, 1000000, 30, OPTIONAL,                                    \
	  "tokens per second of one stream in a full batch")                                     \
	F(BOOL, checks_fencing, 0, 1, 0, OPTIONAL,                                               \
	  "refuses orders with an outdated fencing token")                                       \
	F(BOOL, checks_sender, 0, 1, 0, OPTIONAL, "authenticates the sender of an order")        \
	F(BOOL, honours_priority, 0, 1, 0, OPTIONAL,                                             \
	  "schedules and preempts by the priority of a request")                                 \
	F(BOOL, resumes, 0, 1, 0, OPTIONAL, "can resume a stream after the tokens already sent") \
	F(NAME, software, 0, 0, 0, OPTIONAL,                                                     \
	  "version of its software; a stream is resumed only at the version that began it")      \
	F(BOOL, leaving, 0, 1, 0, OPTIONAL, "gets no new requests")

#define BCT_ACCOUNT_FIELDS(F, O)                                                              \
	O(token_hashes, REQUIRED, "BLAKE2b-256 of each bearer token, in hex; 1 to 8 of them") \
	O(limits, REQUIRED, "limits of the account, summed over all nodes")                   \
	O(classes, REQUIRED, "classes by name; at least one")

#define BCT_LIMIT_FIELDS(F, O)                                                                  \
	F(U32, requests_per_s, 1, 1000000, 0, REQUIRED, "requests per second")                  \
	F(U32, tokens_per_s, 1, 1000000000, 0, REQUIRED, "prompt and output tokens per second") \
	F(U32, concurrent, 1, 1000000, 0, REQUIRED, "concurrent requests, waiting or running")

#define BCT_CLASS_FIELDS(F, O)                                                                     \
	O(model, OPTIONAL, "model that answers; either this or service")                           \
	O(service, OPTIONAL, "service that answers; either this or model")                         \
	F(U8, tier, 1, BCT_TIERS, 0, REQUIRED, "1 is the most important")                          \
	F(U32, ttft_ms, 1, BCT_CONF_DAY_MS, 0, REQUIRED,                                           \
	  "target time to the first token; for a service, to the complete answer")                 \
	F(U32, itl_ms, 0, 60000, 0, OPTIONAL, "target of the inter-token gap; 0: none")            \
	F(U32, deadline_ms, 0, BCT_CONF_DAY_MS, 0, OPTIONAL,                                       \
	  "time limit for the complete answer; 0: none")                                           \
	F(U32, floor_permille, 0, 500, 0, OPTIONAL,                                                \
	  "guaranteed share of the capacity, in thousandths")                                      \
	F(U32, max_output_tokens, 1, 1048576, 4096, OPTIONAL, "limit on output tokens per answer") \
	F(BOOL, repeatable, 0, 1, 1, OPTIONAL,                                                     \
	  "a request may run twice; required for a class of a service")

#endif
