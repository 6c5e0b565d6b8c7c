/*
 * model_deploy.h - the two reference deployments, and the configuration built from a deployment.
 */
#ifndef BCT_BENCH_MODEL_DEPLOY_H
#define BCT_BENCH_MODEL_DEPLOY_H

#include "bench/model.h"

/* Every engine is of this size. */
#define BCT_MODEL_ENGINE_SLOTS 16
#define BCT_MODEL_ENGINE_KV_TOKENS 96000
#define BCT_MODEL_PREFILL_TOKENS_PER_S 8000
#define BCT_MODEL_DECODE_TOKENS_PER_S 30 /* of each stream in a full batch */

extern const bct_model_deployment_t bct_model_nyaymitra;
extern const bct_model_deployment_t bct_model_harrowgate;

/*
 * bct_model_conf(3): build the configuration of a scenario. Its upstreams are the engines, in the
 * order of their pools.
 *
 * returns  a configuration with one reference, or NULL when out of memory
 */
bct_conf_t *bct_model_conf(const bct_model_opts_t *o);

/*
 * bct_model_account_share_permille(3): return an account's share of all requests; a few accounts
 * send most of them.
 */
uint32_t bct_model_account_share_permille(const bct_model_deployment_t *d, uint32_t account_idx);

/* bct_model_pool_name(3): return the name of the model that a pool serves. */
const char *bct_model_pool_name(bct_model_pool_t pool);

/* bct_model_engine_count(3): return the number of engines in all pools. */
uint32_t bct_model_engine_count(const bct_model_deployment_t *d);

/* bct_model_engine_pool(3): return the pool of an engine. */
bct_model_pool_t bct_model_engine_pool(const bct_model_deployment_t *d, uint32_t engine_idx);

/* bct_model_capacity_tokens_per_s(3): the output rate of a pool with full batches. */
uint32_t bct_model_capacity_tokens_per_s(const bct_model_deployment_t *d, bct_model_pool_t pool);

#endif
