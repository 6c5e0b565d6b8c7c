/*
 * conf.c - reference counting and look-ups of the typed configuration.
 */
#include "policy/conf.h"
#include "base/mem.h"
#include "base/sync.h"
#include "base/tsan.h"

bct_conf_t *bct_conf_new(void)
{
	bct_conf_t *c = bct_alloc(sizeof(*c));

	if (c)
		c->refs = 1;
	return c;
}

bct_conf_t *bct_conf_ref(bct_conf_t *c)
{
	if (c)
		bct_ref_get(&c->refs);
	return c;
}

void bct_conf_unref(bct_conf_t *c)
{
	uint32_t i;

	if (!c)
		return;
	BCT_TSAN_RELEASE(&c->refs);
	if (!bct_ref_put(&c->refs))
		return;
	BCT_TSAN_ACQUIRE(&c->refs);
	for (i = 0; i < c->n_accounts; i++)
		bct_free(c->accounts[i].classes);
	bct_free(c->accounts);
	bct_free(c->upstreams);
	bct_free(c->models);
	bct_free(c);
}

const bct_account_conf_t *bct_conf_account(const bct_conf_t *c, uint64_t key)
{
	for (uint32_t i = 0; i < c->n_accounts; i++) {
		if (c->accounts[i].key == key)
			return &c->accounts[i];
	}
	return NULL;
}

const bct_class_conf_t *bct_account_class(const bct_account_conf_t *a, uint64_t key)
{
	for (uint32_t i = 0; i < a->n_classes; i++) {
		if (a->classes[i].key == key)
			return &a->classes[i];
	}
	return NULL;
}

const bct_upstream_conf_t *bct_conf_upstream(const bct_conf_t *c, uint64_t key)
{
	for (uint32_t i = 0; i < c->n_upstreams; i++) {
		if (c->upstreams[i].key == key)
			return &c->upstreams[i];
	}
	return NULL;
}

const bct_model_conf_t *bct_conf_model(const bct_conf_t *c, uint64_t key)
{
	for (uint32_t i = 0; i < c->n_models; i++) {
		if (c->models[i].key == key)
			return &c->models[i];
	}
	return NULL;
}

bool bct_upstream_serves(const bct_upstream_conf_t *u, uint64_t target_key)
{
	if (u->kind == BCT_UPSTREAM_SERVICE)
		return u->service_key == target_key;
	for (uint32_t i = 0; i < u->n_models; i++) {
		if (u->model_keys[i] == target_key)
			return true;
	}
	return false;
}
