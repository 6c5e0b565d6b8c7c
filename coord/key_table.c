/*
 * key_table.c - two chained hash tables, one of keys and one of void intents.
 */
#include "coord/key_table.h"
#include "base/err.h"
#include "base/hash.h"
#include "base/mem.h"

#include <sodium.h>
#include <string.h>

#define MIN_BUCKETS 64

typedef struct void_intent {
	struct void_intent *next;
	uint64_t intent;
	bct_time_t wall_ms; /* of the intent; newest_wall_ms if it was not known */
} void_intent_t;

struct bct_key_table {
	bct_key_entry_t **buckets;
	void_intent_t **voids;
	uint32_t n_buckets; /* of each table; a power of two */
	uint32_t n_keys;
	uint32_t n_voids;
	bct_time_t newest_wall_ms; /* of the intents read; used for voids whose own is not known */
};

void bct_key_id(uint64_t account_key, const char *key, bct_key_id_t *out)
{
	crypto_generichash_state st;

	crypto_generichash_init(&st, NULL, 0, sizeof(out->hash));
	crypto_generichash_update(&st, (const unsigned char *)&account_key, sizeof(account_key));
	crypto_generichash_update(&st, (const unsigned char *)key, strlen(key));
	crypto_generichash_final(&st, out->hash, sizeof(out->hash));
}

static uint32_t key_slot(const bct_key_table_t *t, const bct_key_id_t *id)
{
	uint32_t h;

	memcpy(&h, id->hash, sizeof(h));
	return h & (t->n_buckets - 1);
}

static uint32_t void_slot(const bct_key_table_t *t, uint64_t intent)
{
	return (uint32_t)intent & (t->n_buckets - 1);
}

bct_key_table_t *bct_key_table_new(void)
{
	bct_key_table_t *t = bct_alloc(sizeof(*t));

	if (!t)
		return NULL;
	t->n_buckets = MIN_BUCKETS;
	t->buckets = bct_alloc(sizeof(*t->buckets) * MIN_BUCKETS);
	t->voids = bct_alloc(sizeof(*t->voids) * MIN_BUCKETS);
	if (!t->buckets || !t->voids) {
		bct_key_table_free(t);
		return NULL;
	}
	return t;
}

void bct_key_table_free(bct_key_table_t *t)
{
	if (!t)
		return;
	for (uint32_t i = 0; t->buckets && i < t->n_buckets; i++) {
		while (t->buckets[i]) {
			bct_key_entry_t *e = t->buckets[i];

			t->buckets[i] = e->next;
			bct_free(e);
		}
	}
	for (uint32_t i = 0; t->voids && i < t->n_buckets; i++) {
		while (t->voids[i]) {
			void_intent_t *v = t->voids[i];

			t->voids[i] = v->next;
			bct_free(v);
		}
	}
	bct_free(t->buckets);
	bct_free(t->voids);
	bct_free(t);
}

/* Moves all n chains of the old tables to the buckets of t. */
static void rehash(bct_key_table_t *t, bct_key_entry_t **old_keys, void_intent_t **old_voids,
		   uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		while (old_keys[i]) {
			bct_key_entry_t *e = old_keys[i];
			uint32_t to = key_slot(t, &e->id);

			old_keys[i] = e->next;
			e->next = t->buckets[to];
			t->buckets[to] = e;
		}
		while (old_voids[i]) {
			void_intent_t *v = old_voids[i];
			uint32_t to = void_slot(t, v->intent);

			old_voids[i] = v->next;
			v->next = t->voids[to];
			t->voids[to] = v;
		}
	}
}

/* Doubles the buckets at two items per bucket. Without memory, lookups only get slower. */
static void maybe_grow(bct_key_table_t *t)
{
	uint32_t n = t->n_buckets;
	bct_key_entry_t **old_keys = t->buckets, **keys;
	void_intent_t **old_voids = t->voids, **voids;

	if (t->n_keys + t->n_voids < 2 * n)
		return;
	keys = bct_alloc(sizeof(*keys) * 2 * n);
	voids = bct_alloc(sizeof(*voids) * 2 * n);
	if (!keys || !voids) {
		bct_free(keys);
		bct_free(voids);
		return;
	}
	t->buckets = keys;
	t->voids = voids;
	t->n_buckets = 2 * n;
	rehash(t, old_keys, old_voids, n);
	bct_free(old_keys);
	bct_free(old_voids);
}

static bct_key_entry_t *find(const bct_key_table_t *t, const bct_key_id_t *id)
{
	bct_key_entry_t *e = t->buckets[key_slot(t, id)];

	while (e && memcmp(e->id.hash, id->hash, sizeof(id->hash)))
		e = e->next;
	return e;
}

const bct_key_entry_t *bct_key_table_find(const bct_key_table_t *t, const bct_key_id_t *id)
{
	return find(t, id);
}

bool bct_key_table_is_void(const bct_key_table_t *t, uint64_t intent)
{
	const void_intent_t *v = t->voids[void_slot(t, intent)];

	while (v && v->intent != intent)
		v = v->next;
	return v != NULL;
}

/* wall_ms: of the intent; 0: not known */
static int add_void(bct_key_table_t *t, uint64_t intent, bct_time_t wall_ms)
{
	uint32_t slot = void_slot(t, intent);
	void_intent_t *v;

	if (bct_key_table_is_void(t, intent))
		return 0;
	v = bct_alloc(sizeof(*v));
	if (!v)
		return -BCT_ENOMEM;
	v->intent = intent;
	v->wall_ms = wall_ms ? wall_ms : t->newest_wall_ms;
	v->next = t->voids[slot];
	t->voids[slot] = v;
	t->n_voids++;
	return 0;
}

static void remove_key(bct_key_table_t *t, const bct_key_id_t *id)
{
	bct_key_entry_t **at = &t->buckets[key_slot(t, id)];
	bct_key_entry_t *e;

	while (*at && memcmp((*at)->id.hash, id->hash, sizeof(id->hash)))
		at = &(*at)->next;
	e = *at;
	if (!e)
		return;
	*at = e->next;
	bct_free(e);
	t->n_keys--;
}

/* The first intent on a free key owns it. Void intents and those on a taken key have no effect. */
static int apply_intent(bct_key_table_t *t, bct_time_t now, uint64_t offset, const bct_key_id_t *id,
			const bct_xkey_entry *x)
{
	const bct_xkey_intent *in = &x->body.bct_xkey_body_u.intent;
	bct_key_entry_t *e;
	uint32_t slot;

	if (in->wall_ms > t->newest_wall_ms)
		t->newest_wall_ms = in->wall_ms;
	if (find(t, id) || bct_key_table_is_void(t, x->intent))
		return 0;
	e = bct_alloc(sizeof(*e));
	if (!e)
		return -BCT_ENOMEM;
	e->id = *id;
	e->state = BCT_KEY_OWNED;
	e->offset = offset;
	e->body = in->body;
	e->intent = x->intent;
	e->incarnation = in->incarnation;
	e->wall_ms = in->wall_ms;
	e->read_at = now;
	slot = key_slot(t, id);
	e->next = t->buckets[slot];
	t->buckets[slot] = e;
	t->n_keys++;
	maybe_grow(t);
	return 0;
}

/* Only the outcome of the owning intent counts, and only the first. */
static void apply_outcome(bct_key_table_t *t, uint64_t offset, uint32_t index,
			  const bct_key_id_t *id, const bct_xkey_entry *x)
{
	bct_key_entry_t *e = find(t, id);

	if (!e || e->intent != x->intent || e->state == BCT_KEY_DONE)
		return;
	e->state = BCT_KEY_DONE;
	e->answer_kept = x->body.bct_xkey_body_u.outcome.kept;
	e->offset = offset;
	e->index = index;
}

/*
 * The intent will not run: frees its key, and makes later records of the intent ineffective. Has no
 * effect after the intent's outcome.
 */
static int apply_void(bct_key_table_t *t, const bct_key_id_t *id, uint64_t intent)
{
	bct_key_entry_t *e = find(t, id);
	bool owner = e && e->intent == intent;
	int rc;

	if (owner && e->state == BCT_KEY_DONE)
		return 0;
	rc = add_void(t, intent, owner ? e->wall_ms : 0);
	if (!rc && owner)
		remove_key(t, id);
	return rc;
}

static int apply_resolve(bct_key_table_t *t, const bct_key_id_t *id, const bct_xkey_entry *x)
{
	bct_key_entry_t *e = find(t, id);

	if (!x->body.bct_xkey_body_u.resolve.ran)
		return apply_void(t, id, x->intent);
	if (e && e->intent == x->intent && e->state == BCT_KEY_OWNED) {
		e->state = BCT_KEY_DONE;
		e->answer_kept = false;
	}
	return 0;
}

int bct_key_table_apply(bct_key_table_t *t, bct_time_t now, uint64_t offset, uint32_t index,
			const bct_xkey_entry *e)
{
	bct_key_id_t id;

	memcpy(id.hash, e->hash, sizeof(id.hash));
	switch (e->body.type) {
	case BCT_XKEY_INTENT:
		return apply_intent(t, now, offset, &id, e);
	case BCT_XKEY_OUTCOME:
		apply_outcome(t, offset, index, &id, e);
		return 0;
	case BCT_XKEY_WITHDRAW:
		return apply_void(t, &id, e->intent);
	case BCT_XKEY_RESOLVE:
		return apply_resolve(t, &id, e);
	}
	return 0;
}

void bct_key_table_expire(bct_key_table_t *t, bct_time_t oldest_wall_ms)
{
	for (uint32_t i = 0; i < t->n_buckets; i++) {
		bct_key_entry_t **at = &t->buckets[i];
		void_intent_t **vat = &t->voids[i];

		while (*at) {
			bct_key_entry_t *e = *at;

			if (e->wall_ms >= oldest_wall_ms) {
				at = &e->next;
				continue;
			}
			*at = e->next;
			bct_free(e);
			t->n_keys--;
		}
		while (*vat) {
			void_intent_t *v = *vat;

			if (v->wall_ms >= oldest_wall_ms) {
				vat = &v->next;
				continue;
			}
			*vat = v->next;
			bct_free(v);
			t->n_voids--;
		}
	}
}

uint32_t bct_key_table_size(const bct_key_table_t *t)
{
	return t->n_keys;
}

uint64_t bct_key_table_fingerprint(const bct_key_table_t *t)
{
	uint64_t h = 0;

	/* A sum does not depend on the order of the chains. */
	for (uint32_t i = 0; i < t->n_buckets; i++) {
		for (const bct_key_entry_t *e = t->buckets[i]; e; e = e->next)
			h += bct_hash_mix(bct_hash(&e->id, sizeof(e->id)),
					  bct_hash_mix(e->intent, e->state));
		for (const void_intent_t *v = t->voids[i]; v; v = v->next)
			h += bct_hash_mix(v->intent, 1);
	}
	return h;
}

uint32_t bct_key_table_held(const bct_key_table_t *t)
{
	return t->n_keys + t->n_voids;
}
