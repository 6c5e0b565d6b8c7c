/*
 * setup.c - puts a configuration in force. The first pass allocates all memory, so that a failure
 * leaves the old configuration in force; the second pass cannot fail.
 */
#include "base/err.h"
#include "base/hash.h"
#include "base/mem.h"
#include "policy/sched_int.h"

#include <math.h>

#define SETUP_SLOTS_DEFAULT 16		 /* if the configuration gives none */
#define SETUP_PREFILL_DEFAULT_PER_S 4000 /* tokens/s, whole engine */
#define SETUP_DECODE_DEFAULT_PER_S 30	 /* tokens/s of one stream */
#define SETUP_SUBSET_MIN 16		 /* upstreams of a target that each node uses at least */
#define SETUP_NODES_PER_UPSTREAM 8	 /* nodes that use one upstream, in a large fleet */
#define SETUP_URGENT_TTFT_MS 2000	 /* targets up to this leave no time to wait for a slot */
#define SETUP_FIRST_TOKEN_INITIAL_MS 50	 /* initial estimate of an engine's time to first token */
#define SETUP_FLOOR_MIN_PERMILLE 10	 /* every tier has a floor */
#define SETUP_FLOOR_MAX_PERMILLE 200
#define SETUP_LENGTH_INITIAL_DIVISOR 4	/* initial estimate: max_output_tokens divided by this */
#define SETUP_LENGTH_INITIAL_TOKENS 256 /* initial estimate of a tier, and where that is 0 */
#define SETUP_DOMAIN_WEIGHT 4.0 /* of upstreams in the node's failure domain; others have 1 */
#define SETUP_REGION_WEIGHT 2.0 /* of upstreams in the node's region */

/* Returns the object of a key, made and zeroed if there is none yet; NULL if out of memory. */
static void *ensure(bct_map_t *map, uint64_t key, size_t size_bytes, bool *created)
{
	void *obj = bct_map_get(map, key);

	*created = !obj;
	if (obj)
		return obj;
	obj = bct_alloc(size_bytes);
	if (!obj)
		return NULL;
	if (!bct_map_put(map, key, obj))
		return obj;
	bct_free(obj);
	return NULL;
}

static bct_target_t *ensure_target(bct_core_t *c, const bct_class_conf_t *cc)
{
	bool created;
	bct_target_t *t = ensure(&c->targets, cc->target_key, sizeof(*t), &created);

	if (!t || !created)
		return t;
	t->key = cc->target_key;
	t->kind = cc->target_kind;
	t->unusable_at = BCT_TIME_NEVER;
	t->shed_level = BCT_TIERS;
	t->share = 1.0 / (c->fleet.nodes ? c->fleet.nodes : 1);
	bct_list_init(&t->granted);
	bct_list_init(&t->held);
	bct_list_init(&t->ready);
	for (uint32_t i = 0; i < BCT_TIERS; i++) {
		bct_queue_init(&t->tiers[i].queue);
		bct_length_init(&t->tiers[i].length, SETUP_LENGTH_INITIAL_TOKENS);
		bct_length_init(&t->tiers[i].first_token_ms, SETUP_FIRST_TOKEN_INITIAL_MS);
		bct_list_init(&t->tiers[i].preemptible);
		t->tiers[i].overloaded_since = BCT_TIME_NEVER;
		t->tiers[i].total.at = BCT_TIME_NEVER;
	}
	return t;
}

static int ensure_class(bct_core_t *c, uint64_t account_key, const bct_class_conf_t *cc)
{
	uint64_t key = bct_hash_mix(account_key, cc->key);
	uint32_t initial_tokens = cc->max_output_tokens / SETUP_LENGTH_INITIAL_DIVISOR;
	bool created;
	bct_terms_t *terms = ensure(&c->terms, key, sizeof(*terms), &created);

	if (!terms || !ensure_target(c, cc))
		return -BCT_ENOMEM;
	if (created)
		bct_length_init(&terms->length,
				initial_tokens ? initial_tokens : SETUP_LENGTH_INITIAL_TOKENS);
	terms->key = key;
	return 0;
}

static int ensure_account(bct_core_t *c, bct_time_t now, const bct_account_conf_t *ac)
{
	bct_limit_fleet_t f = bct_core_limit_fleet(c);
	bool created;
	bct_acct_t *a = ensure(&c->accounts, ac->key, sizeof(*a), &created);

	if (!a)
		return -BCT_ENOMEM;
	if (created) {
		a->key = ac->key;
		bct_limit_init(&a->limit, now, &f);
	}
	for (uint32_t i = 0; i < ac->n_classes; i++) {
		if (ensure_class(c, ac->key, &ac->classes[i]))
			return -BCT_ENOMEM;
	}
	return 0;
}

static int index_grow(bct_core_t *c)
{
	uint32_t cap = c->cap_index ? 2 * c->cap_index : 32;
	bct_up_t **new_index;

	if (c->n_index < c->cap_index)
		return 0;
	new_index = bct_realloc(c->by_index, cap * sizeof(*new_index));
	if (!new_index)
		return -BCT_ENOMEM;
	c->by_index = new_index;
	c->cap_index = cap;
	return 0;
}

static int ensure_upstream(bct_core_t *c, const bct_upstream_conf_t *uc)
{
	bool created;
	bct_up_t *u;

	if (index_grow(c))
		return -BCT_ENOMEM;
	u = ensure(&c->ups, uc->key, sizeof(*u), &created);
	if (!u)
		return -BCT_ENOMEM;
	if (!created)
		return 0;
	u->key = uc->key;
	u->index = (uint16_t)c->n_index;
	c->by_index[c->n_index++] = u;
	u->speed = 1;
	bct_list_init(&u->attempts);
	bct_prefix_feed_init(&u->feed);
	bct_load_init(&u->load, uc->slots);
	return 0;
}

/* Stores those targets of an upstream that some class uses, and returns their number. */
static uint32_t targets_of(const bct_core_t *c, const bct_upstream_conf_t *uc,
			   bct_target_t *out[BCT_MODELS_PER_UPSTREAM])
{
	uint32_t n = 0;

	if (uc->kind == BCT_UPSTREAM_SERVICE) {
		out[0] = bct_map_get(&c->targets, uc->service_key);
		return out[0] != NULL;
	}
	for (uint32_t i = 0; i < uc->n_models && i < BCT_MODELS_PER_UPSTREAM; i++) {
		out[n] = bct_map_get(&c->targets, uc->model_keys[i]);
		n += out[n] != NULL;
	}
	return n;
}

/* Makes room for required_ups upstreams in the arrays of a target. */
static int reserve_target(bct_target_t *t)
{
	bct_up_t **ups;

	if (t->required_ups <= t->cap_ups)
		return 0;
	ups = bct_realloc(t->ups, t->required_ups * sizeof(*ups));
	if (!ups)
		return -BCT_ENOMEM;
	t->ups = ups;
	for (uint32_t i = 0; i < BCT_SETS; i++) {
		ups = bct_realloc(t->sets[i].ups, t->required_ups * sizeof(*ups));
		if (!ups)
			return -BCT_ENOMEM;
		t->sets[i].ups = ups;
	}
	t->cap_ups = t->required_ups;
	return 0;
}

static int setup_reserve(bct_core_t *c, bct_time_t now, const bct_conf_t *conf)
{
	bct_target_t *t, *served[BCT_MODELS_PER_UPSTREAM];
	uint32_t i, k, n, pos = 0;

	for (i = 0; i < conf->n_accounts; i++) {
		if (ensure_account(c, now, &conf->accounts[i]))
			return -BCT_ENOMEM;
	}
	while ((t = bct_map_next(&c->targets, &pos)))
		t->required_ups = 0;
	for (i = 0; i < conf->n_upstreams; i++) {
		if (ensure_upstream(c, &conf->upstreams[i]))
			return -BCT_ENOMEM;
		n = targets_of(c, &conf->upstreams[i], served);
		for (k = 0; k < n; k++)
			served[k]->required_ups++;
	}
	pos = 0;
	while ((t = bct_map_next(&c->targets, &pos))) {
		if (reserve_target(t))
			return -BCT_ENOMEM;
	}
	return 0;
}

static void apply_class(bct_core_t *c, bct_acct_t *a, const bct_class_conf_t *cc)
{
	bct_terms_t *terms = bct_map_get(&c->terms, bct_hash_mix(a->key, cc->key));
	uint32_t floor = cc->floor_permille;
	bct_tier_t *tier;

	terms->account = a;
	terms->target = bct_map_get(&c->targets, cc->target_key);
	terms->tier = cc->tier;
	terms->ttft_ms = cc->ttft_ms;
	terms->deadline_ms = cc->deadline_ms;
	terms->max_output_tokens = cc->max_output_tokens;
	terms->repeatable = cc->repeatable;
	terms->seen = true;
	tier = &terms->target->tiers[cc->tier - 1];
	if (cc->tier > terms->target->lowest_tier)
		terms->target->lowest_tier = cc->tier;
	if (cc->ttft_ms &&
	    (!terms->target->urgent_ttft_ms || cc->ttft_ms < terms->target->urgent_ttft_ms))
		terms->target->urgent_ttft_ms = cc->ttft_ms;
	if (cc->ttft_ms && cc->ttft_ms <= SETUP_URGENT_TTFT_MS &&
	    cc->tier > terms->target->urgent_tier)
		terms->target->urgent_tier = cc->tier;
	if (floor > SETUP_FLOOR_MAX_PERMILLE)
		floor = SETUP_FLOOR_MAX_PERMILLE;
	if (floor > tier->floor_permille)
		tier->floor_permille = floor;
}

static void apply_upstream(bct_core_t *c, const bct_upstream_conf_t *uc)
{
	bct_up_t *u = bct_map_get(&c->ups, uc->key);
	uint32_t prefill = uc->prefill_tokens_per_s;
	uint32_t decode = uc->decode_tokens_per_s;

	u->seen = true;
	u->kind = uc->kind;
	u->region_key = uc->region_key;
	u->failure_domain_key = uc->failure_domain_key;
	u->prefill_tokens_per_ms =
		(prefill ? prefill : SETUP_PREFILL_DEFAULT_PER_S) / (double)BCT_MS_PER_S;
	u->decode_tokens_per_ms =
		(decode ? decode : SETUP_DECODE_DEFAULT_PER_S) / (double)BCT_MS_PER_S;
	u->honours_priority = uc->honours_priority;
	u->resumes = uc->resumes;
	u->software_key = uc->software_key;
	u->configured_leaving = uc->leaving;
	u->load.slots = uc->slots ? uc->slots : SETUP_SLOTS_DEFAULT;
	u->n_targets = targets_of(c, uc, u->targets);
}

/* Resets what is derived from the configuration, before a new one is applied. */
static void setup_reset(bct_core_t *c)
{
	uint32_t pos = 0, i;
	bct_terms_t *terms;
	bct_target_t *t;
	bct_up_t *u;

	while ((terms = bct_map_next(&c->terms, &pos)))
		terms->seen = false;
	pos = 0;
	while ((u = bct_map_next(&c->ups, &pos))) {
		u->seen = false;
		u->n_targets = 0;
	}
	pos = 0;
	while ((t = bct_map_next(&c->targets, &pos))) {
		t->urgent_tier = t->lowest_tier = 0;
		t->urgent_ttft_ms = 0;
		for (i = 0; i < BCT_TIERS; i++)
			t->tiers[i].floor_permille = SETUP_FLOOR_MIN_PERMILLE;
	}
}

/* If every tier of a target is urgent, only the upper half of the tiers is treated as urgent. */
static void setup_urgent(bct_core_t *c)
{
	uint32_t pos = 0;
	bct_target_t *t;

	while ((t = bct_map_next(&c->targets, &pos))) {
		if (t->urgent_tier == t->lowest_tier)
			t->urgent_tier = t->lowest_tier / 2;
	}
}

int bct_setup_configure(bct_core_t *c, bct_time_t now, bct_conf_t *conf)
{
	uint32_t i, k;

	if (setup_reserve(c, now, conf))
		return -BCT_ENOMEM;
	setup_reset(c);
	for (i = 0; i < conf->n_accounts; i++) {
		const bct_account_conf_t *ac = &conf->accounts[i];
		bct_acct_t *a = bct_map_get(&c->accounts, ac->key);

		a->index = i;
		bct_limit_set(&a->limit, ac->requests_per_s, ac->tokens_per_s, ac->concurrent);
		for (k = 0; k < ac->n_classes; k++)
			apply_class(c, a, &ac->classes[k]);
	}
	for (i = 0; i < conf->n_upstreams; i++)
		apply_upstream(c, &conf->upstreams[i]);
	setup_urgent(c);
	bct_conf_ref(conf);
	bct_conf_unref(c->conf);
	c->conf = conf;
	bct_setup_subsets(c, now);
	return 0;
}

/* Weighted rendezvous hashing: upstreams with low ranks are used; near ones tend to rank low. */
static double subset_rank(const bct_core_t *c, const bct_up_t *u)
{
	uint64_t h = bct_hash_mix(c->fleet.node_key, u->key);
	double unit = ((double)(h >> 11) + 1) / ((double)(1ULL << 53) + 1);
	double weight = 1;

	if (u->failure_domain_key == c->fleet.failure_domain_key)
		weight = SETUP_DOMAIN_WEIGHT;
	else if (u->region_key == c->fleet.region_key)
		weight = SETUP_REGION_WEIGHT;
	return -log(unit) / weight;
}

static uint32_t subset_size(const bct_core_t *c, uint32_t n_ups)
{
	uint32_t nodes = c->fleet.nodes ? c->fleet.nodes : 1;
	uint32_t size = (n_ups * SETUP_NODES_PER_UPSTREAM + nodes - 1) / nodes;

	if (size < SETUP_SUBSET_MIN)
		size = SETUP_SUBSET_MIN;
	return size < n_ups ? size : n_ups;
}

/* Inserts u into t->ups, which is sorted by rank and has at most size elements. */
static void subset_insert(bct_core_t *c, bct_target_t *t, bct_up_t *u, uint32_t size)
{
	double rank = subset_rank(c, u);
	uint32_t i = t->n_ups;

	while (i > 0 && subset_rank(c, t->ups[i - 1]) > rank) {
		if (i < size)
			t->ups[i] = t->ups[i - 1];
		i--;
	}
	if (i >= size)
		return;
	t->ups[i] = u;
	if (t->n_ups < size)
		t->n_ups++;
}

static bool subset_has(const bct_target_t *t, const bct_up_t *u)
{
	for (uint32_t i = 0; i < t->n_ups; i++) {
		if (t->ups[i] == u)
			return true;
	}
	return false;
}

/* Adds u to t->ups. A node that uses all upstreams of the target needs no ranking. */
static void subset_fill(bct_core_t *c, bct_target_t *t, bct_up_t *u, uint32_t n_usable)
{
	uint32_t size = subset_size(c, n_usable);

	if (size == n_usable)
		t->ups[t->n_ups++] = u;
	else
		subset_insert(c, t, u, size);
}

static void subsets_clear(bct_core_t *c)
{
	uint32_t pos = 0;
	bct_target_t *t;

	while ((t = bct_map_next(&c->targets, &pos))) {
		t->n_ups = t->n_all = t->n_usable = t->slots = 0;
		for (uint32_t i = 0; i < BCT_SETS; i++)
			t->sets[i].n = 0;
	}
}

/* Chooses the upstreams that this node uses for each target. */
void bct_setup_subsets(bct_core_t *c, bct_time_t now)
{
	uint32_t pos, i, k;
	bct_target_t *t;
	bct_up_t *u;

	subsets_clear(c);
	for (i = 0; i < c->n_index; i++) {
		u = c->by_index[i];
		for (k = 0; k < u->n_targets; k++) {
			for (pos = 0; pos < BCT_SETS; pos++)
				u->pos[pos][k] = 0;
			u->targets[k]->n_all++;
			if (bct_up_usable(u)) {
				u->targets[k]->n_usable++;
				u->targets[k]->slots += u->load.slots;
			}
		}
	}
	for (i = 0; i < c->n_index; i++) {
		u = c->by_index[i];
		for (k = 0; k < u->n_targets && bct_up_usable(u); k++)
			subset_fill(c, u->targets[k], u, u->targets[k]->n_usable);
	}
	for (i = 0; i < c->n_index; i++) {
		u = c->by_index[i];
		for (k = 0; k < u->n_targets; k++)
			u->in_subset[k] = subset_has(u->targets[k], u);
		bct_up_update_quota(c, u);
		bct_up_refresh(c, now, u);
	}
	pos = 0;
	while ((t = bct_map_next(&c->targets, &pos)))
		bct_up_count_usable(c, now, t);
}

static void free_values(bct_map_t *map)
{
	uint32_t pos = 0;
	void *obj;

	while ((obj = bct_map_next(map, &pos)))
		bct_free(obj);
	bct_map_free(map);
}

void bct_setup_free(bct_core_t *c)
{
	uint32_t pos = 0;
	bct_target_t *t;

	while ((t = bct_map_next(&c->targets, &pos))) {
		bct_free(t->ups);
		for (uint32_t i = 0; i < BCT_SETS; i++)
			bct_free(t->sets[i].ups);
	}
	bct_map_free(&c->attempts);
	free_values(&c->reqs);
	free_values(&c->flows);
	free_values(&c->terms);
	free_values(&c->accounts);
	free_values(&c->targets);
	free_values(&c->ups);
	bct_free(c->by_index);
}
