/*
 * model_deploy.h - the deployments of the brief and the configuration built from one.
 */
#ifndef BCT_BENCH_MODEL_DEPLOY_H
#define BCT_BENCH_MODEL_DEPLOY_H

#include "bench/model.h"

#define BCT_MODEL_ENGINE_SLOTS 16
#define BCT_MODEL_ENGINE_KV_TOKENS 96000
#define BCT_MODEL_PREFILL_TOKENS_PER_S 8000
#define BCT_MODEL_DECODE_TOKENS_PER_S 30 /* one stream in a full batch */

extern const bct_model_deployment_t bct_model_nyaymitra;
extern const bct_model_deployment_t bct_model_harrowgate;

/*
 * bct_model_conf(3): the configuration of a scenario. Engines stand in the order of the pools.
 *
 * returns  a configuration with one reference, or NULL without memory
 */
bct_conf_t *bct_model_conf(const bct_model_opts_t *o);

/* bct_model_account_share_permille(3): permille of the requests that an account sends; few are
 * large. */
uint32_t bct_model_account_share_permille(const bct_model_deployment_t *d, uint32_t account_idx);

/* bct_model_pool_name(3): the name of the model that a pool serves. */
const char *bct_model_pool_name(bct_model_pool_t pool);

uint32_t bct_model_engine_count(const bct_model_deployment_t *d);
bct_model_pool_t bct_model_engine_pool(const bct_model_deployment_t *d, uint32_t engine_idx);

/* bct_model_capacity_tokens_per_s(3): output tokens per second of a pool with every batch full. */
uint32_t bct_model_capacity_tokens_per_s(const bct_model_deployment_t *d, bct_model_pool_t pool);

#endif
