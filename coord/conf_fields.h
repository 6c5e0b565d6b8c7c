/*
 * conf_fields.h - the fields of the configuration document as tables: coord/conf_json.c parses by
 * them and docs/CONFIGURATION.md is generated from them.
 *
 * F(type, member, min, max, default, need, text): the key is the member's name in policy/conf.h.
 * O(key, need, text): a field that conf_json.c reads by code of its own.
 * A field that is REQUIRED has no default.
 */
#ifndef BCT_COORD_CONF_FIELDS_H
#define BCT_COORD_CONF_FIELDS_H

#include "policy/conf.h"

#define BCT_CONF_MAX_MODELS 64
#define BCT_CONF_MAX_UPSTREAMS 4096
#define BCT_CONF_MAX_ACCOUNTS 4096
#define BCT_CONF_MAX_CLASSES 32 /* of one account */
#define BCT_CONF_DAY_MS 86400000

#define BCT_DOCUMENT_FIELDS(F, O)                                 \
	O(timeouts, OPTIONAL, "times that hold for all requests") \
	O(models, OPTIONAL, "name of a model -> model")           \
	O(upstreams, OPTIONAL, "name of an upstream -> upstream") \
	O(contracts, OPTIONAL, "name of a client account -> its contract")

#define BCT_TIMEOUT_FIELDS(F, O)                                                                  \
	F(U32, connect_ms, 10, 60000, 1000, OPTIONAL, "making a connection to an upstream")       \
	F(U32, first_token_ms, 10, 600000, 30000, OPTIONAL, "from sending to the first token")    \
	F(U32, stall_ms, 10, 600000, 10000, OPTIONAL, "longest silence inside a stream")          \
	F(U32, service_ms, 10, 600000, 30000, OPTIONAL, "whole answer of a plain service")        \
	F(U32, order_ms, 10, 3600000, 60000, OPTIONAL, "an order to an engine, until it is done") \
	F(U32, idempotency_window_ms, 1000, 7 * BCT_CONF_DAY_MS, BCT_CONF_DAY_MS, OPTIONAL,       \
	  "how long an idempotency key is remembered")

#define BCT_MODEL_FIELDS(F, O) \
	F(U32, context_tokens, 1, 16777216, 32768, OPTIONAL, "longest prompt and answer together")

#define BCT_UPSTREAM_FIELDS(F, O)                                                              \
	O(kind, REQUIRED, "\"engine\" or \"service\"")                                         \
	O(models, OPTIONAL, "an engine: names of the models that it serves")                   \
	O(service, OPTIONAL, "a service: name under which callers reach it")                   \
	F(ADDR, address, 0, 0, 0, REQUIRED, "IPv4 or IPv6 number")                             \
	F(U16, port, 1, 65535, 0, REQUIRED, "TCP port")                                        \
	F(NAME, failure_domain, 0, 0, 0, REQUIRED, "failure domain it stands in")              \
	F(NAME, region, 0, 0, 0, REQUIRED, "region it stands in")                              \
	F(U32, slots, 1, 65536, 16, OPTIONAL, "requests that it runs at once")                 \
	F(U32, kv_tokens, 0, 2147483647, 262144, OPTIONAL, "size of an engine's KV cache")     \
	F(U32, prefill_tokens_per_s, 1, 2147483647, 8000, OPTIONAL,                            \
	  "prompt tokens read, whole engine")                                                  \
	F(U32, decode_tokens_per_s, 1, 1000000, 30, OPTIONAL,                                  \
	  "tokens generated for one stream in a full batch")                                   \
	F(BOOL, checks_fencing, 0, 1, 0, OPTIONAL, "refuses orders with an old fencing token") \
	F(BOOL, checks_sender, 0, 1, 0, OPTIONAL, "verifies who gives it an order")            \
	F(BOOL, honours_priority, 0, 1, 0, OPTIONAL, "runs and preempts by the priority sent") \
	F(BOOL, resumes, 0, 1, 0, OPTIONAL, "continues a stream from tokens already sent")     \
	F(BOOL, leaving, 0, 1, 0, OPTIONAL, "gets no new work")

#define BCT_ACCOUNT_FIELDS(F, O)                                                              \
	O(token_hashes, REQUIRED, "BLAKE2b-256 of each bearer token, in hex; 1 to 8 of them") \
	O(limits, REQUIRED, "what the account may use, over all nodes")                       \
	O(classes, REQUIRED, "name of a class -> class; at least one")

#define BCT_LIMIT_FIELDS(F, O)                                                                \
	F(U32, requests_per_s, 1, 1000000, 0, REQUIRED, "requests a second")                  \
	F(U32, tokens_per_s, 1, 1000000000, 0, REQUIRED, "prompt and output tokens a second") \
	F(U32, concurrent, 1, 1000000, 0, REQUIRED, "requests at once, waiting or running")

#define BCT_CLASS_FIELDS(F, O)                                                               \
	O(model, OPTIONAL, "model that answers; one of model and service")                   \
	O(service, OPTIONAL, "service that answers; one of model and service")               \
	F(U8, tier, 1, BCT_TIERS, 0, REQUIRED, "1 is the most important")                    \
	F(U32, ttft_ms, 1, BCT_CONF_DAY_MS, 0, REQUIRED,                                     \
	  "target for the first token; of a service, for the whole answer")                  \
	F(U32, itl_ms, 0, 60000, 0, OPTIONAL, "target between tokens; 0: none")              \
	F(U32, deadline_ms, 0, BCT_CONF_DAY_MS, 0, OPTIONAL, "whole answer; 0: none")        \
	F(U32, floor_permille, 0, 500, 0, OPTIONAL, "share of capacity that it always gets") \
	F(U32, max_output_tokens, 1, 1048576, 4096, OPTIONAL, "longest answer")              \
	F(BOOL, repeatable, 0, 1, 1, OPTIONAL, "may run twice; a service's class must say it")

#endif
