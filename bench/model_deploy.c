/*
 * model_deploy.c - the two reference deployments, and the configuration built from a deployment.
 */
#include "bench/model_deploy.h"
#include "base/mem.h"

#include <stdio.h>

#define LIMIT_NONE 1000000000 /* no account reaches it */

static const char *const pool_names[BCT_MODEL_POOLS] = { "draft", "desk" };

const bct_model_deployment_t bct_model_nyaymitra = {
	.name = "nyaymitra",
	.failure_domains = 4,
	.engines = { 10, 4 },
	.accounts = 10,
	.n_classes = 7,
	.classes = {
		{ "explain", BCT_MODEL_DRAFT, 1, 100, 800, 39, 0, 10, 400, 2, 150, 600, true },
		{ "question", BCT_MODEL_DRAFT, 2, 100, 1500, 39, 0, 10, 500, 2, 120, 500, true },
		{ "draft", BCT_MODEL_DRAFT, 3, 450, 5000, 39, 120000, 20, 3000, 8, 700, 2000, true },
		{ "summary", BCT_MODEL_DRAFT, 4, 200, 10000, 60, 120000, 20, 2000, 4, 300, 1000, true },
		{ "bulk", BCT_MODEL_DRAFT, 5, 150, 30000, 60, 180000, 20, 1500, 4, 400, 1200, true },
		{ "submit", BCT_MODEL_DESK, 1, 300, 2000, 39, 30000, 10, 600, 2, 60, 200, false },
		{ "status", BCT_MODEL_DESK, 4, 700, 5000, 60, 60000, 20, 300, 2, 100, 300, true },
	},
};

const bct_model_deployment_t bct_model_harrowgate = {
	.name = "harrowgate",
	.failure_domains = 3,
	.engines = { 12, 3 },
	.accounts = 10,
	.n_classes = 6,
	.classes = {
		{ "call", BCT_MODEL_DRAFT, 1, 150, 800, 39, 0, 10, 600, 2, 100, 400, true },
		{ "report", BCT_MODEL_DRAFT, 2, 150, 1500, 39, 60000, 10, 800, 2, 150, 500, true },
		{ "notes", BCT_MODEL_DRAFT, 3, 400, 5000, 60, 120000, 20, 2000, 6, 500, 1500, true },
		{ "history", BCT_MODEL_DRAFT, 5, 300, 20000, 60, 180000, 20, 4000, 4, 400, 1200, true },
		{ "booking", BCT_MODEL_DESK, 1, 300, 2000, 39, 30000, 10, 500, 2, 50, 200, false },
		{ "lookup", BCT_MODEL_DESK, 4, 700, 5000, 60, 60000, 20, 300, 2, 80, 300, true },
	},
};

const char *bct_model_pool_name(bct_model_pool_t pool)
{
	return pool_names[pool];
}

uint32_t bct_model_engine_count(const bct_model_deployment_t *d)
{
	return d->engines[BCT_MODEL_DRAFT] + d->engines[BCT_MODEL_DESK];
}

bct_model_pool_t bct_model_engine_pool(const bct_model_deployment_t *d, uint32_t engine_idx)
{
	return engine_idx < d->engines[BCT_MODEL_DRAFT] ? BCT_MODEL_DRAFT : BCT_MODEL_DESK;
}

uint32_t bct_model_capacity_tokens_per_s(const bct_model_deployment_t *d, bct_model_pool_t pool)
{
	return d->engines[pool] * BCT_MODEL_ENGINE_SLOTS * BCT_MODEL_DECODE_TOKENS_PER_S;
}

uint32_t bct_model_account_share_permille(const bct_model_deployment_t *d, uint32_t account_idx)
{
	static const uint32_t large[] = { 300, 200, 150 };
	const uint32_t n_large = sizeof(large) / sizeof(large[0]);

	if (d->accounts <= n_large)
		return BCT_MS_PER_S / d->accounts;
	if (account_idx < n_large)
		return large[account_idx];
	return 350 / (d->accounts - n_large);
}

static void conf_models(bct_conf_t *c)
{
	for (uint32_t p = 0; p < BCT_MODEL_POOLS; p++) {
		snprintf(c->models[p].name, BCT_NAME_BYTES, "%s", pool_names[p]);
		c->models[p].key = bct_hash_str(pool_names[p]);
		c->models[p].context_tokens = 32768;
	}
	c->n_models = BCT_MODEL_POOLS;
}

static void conf_upstream(const bct_model_deployment_t *d, uint32_t i, bct_upstream_conf_t *u)
{
	bct_model_pool_t pool = bct_model_engine_pool(d, i);

	snprintf(u->name, BCT_NAME_BYTES, "%s-%u", pool_names[pool], i);
	u->key = bct_hash_str(u->name);
	u->kind = BCT_UPSTREAM_ENGINE;
	snprintf(u->failure_domain, BCT_NAME_BYTES, "fd-%u", i % d->failure_domains);
	u->failure_domain_key = bct_hash_str(u->failure_domain);
	snprintf(u->region, BCT_NAME_BYTES, "region");
	u->region_key = bct_hash_str(u->region);
	u->model_keys[0] = bct_hash_str(pool_names[pool]);
	u->n_models = 1;
	u->slots = BCT_MODEL_ENGINE_SLOTS;
	u->kv_tokens = BCT_MODEL_ENGINE_KV_TOKENS;
	u->prefill_tokens_per_s = BCT_MODEL_PREFILL_TOKENS_PER_S;
	u->decode_tokens_per_s = BCT_MODEL_DECODE_TOKENS_PER_S;
	u->honours_priority = true;
	u->resumes = true;
}

static void conf_class(const bct_model_class_t *m, bct_class_conf_t *k)
{
	snprintf(k->name, BCT_NAME_BYTES, "%s", m->name);
	k->key = bct_hash_str(m->name);
	k->tier = m->tier;
	k->target_kind = BCT_UPSTREAM_ENGINE;
	snprintf(k->target, BCT_NAME_BYTES, "%s", pool_names[m->pool]);
	k->target_key = bct_hash_str(k->target);
	k->ttft_ms = m->ttft_ms;
	k->itl_ms = m->itl_ms;
	k->deadline_ms = m->deadline_ms;
	k->floor_permille = m->floor_permille;
	k->max_output_tokens = m->max_output_tokens;
	k->repeatable = m->repeatable;
}

static int conf_account(const bct_model_opts_t *o, uint32_t i, bct_account_conf_t *a)
{
	const bct_model_deployment_t *d = o->deployment;

	snprintf(a->name, BCT_NAME_BYTES, "account-%u", i);
	a->key = bct_hash_str(a->name);
	a->requests_per_s = o->account_requests_per_s ? o->account_requests_per_s : LIMIT_NONE;
	a->tokens_per_s = LIMIT_NONE;
	a->concurrent = o->account_concurrent ? o->account_concurrent : LIMIT_NONE;
	a->classes = bct_alloc(d->n_classes * sizeof(*a->classes));
	if (!a->classes)
		return -1;
	a->n_classes = d->n_classes;
	for (uint32_t k = 0; k < d->n_classes; k++)
		conf_class(&d->classes[k], &a->classes[k]);
	return 0;
}

bct_conf_t *bct_model_conf(const bct_model_opts_t *o)
{
	const bct_model_deployment_t *d = o->deployment;
	bct_conf_t *c = bct_conf_new();

	if (!c)
		return NULL;
	c->revision = 1;
	c->timeouts = (bct_timeouts_conf_t){
		.connect_ms = 500,
		.first_token_ms = 30000,
		.stall_ms = 10000,
		.service_ms = 10000,
		.order_ms = 10000,
		.idempotency_window_ms = 600000,
	};
	c->models = bct_alloc(BCT_MODEL_POOLS * sizeof(*c->models));
	c->upstreams = bct_alloc(bct_model_engine_count(d) * sizeof(*c->upstreams));
	c->accounts = bct_alloc(d->accounts * sizeof(*c->accounts));
	if (!c->models || !c->upstreams || !c->accounts)
		goto fail;
	conf_models(c);
	for (; c->n_upstreams < bct_model_engine_count(d); c->n_upstreams++)
		conf_upstream(d, c->n_upstreams, &c->upstreams[c->n_upstreams]);
	for (; c->n_accounts < d->accounts; c->n_accounts++) {
		if (conf_account(o, c->n_accounts, &c->accounts[c->n_accounts]))
			goto fail;
	}
	return c;
fail:
	bct_conf_unref(c);
	return NULL;
}
