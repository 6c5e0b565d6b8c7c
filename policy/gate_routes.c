/*
 * gate_routes.c - arrays that grow while a table is built; look-ups by hash of host or API key.
 */
#include "policy/gate_routes.h"
#include "base/err.h"
#include "base/hash.h"
#include "base/mem.h"
#include "base/sync.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

bct_gate_routes_t *bct_gate_routes_new(uint64_t version)
{
	bct_gate_routes_t *t = bct_alloc(sizeof(*t));

	if (!t)
		return NULL;
	t->version = version;
	t->refs = 1;
	return t;
}

bct_gate_routes_t *bct_gate_routes_ref(bct_gate_routes_t *t)
{
	bct_ref_get(&t->refs);
	return t;
}

/* Frees a string that the table owns; the members are const so that users cannot change it. */
static void free_string(const char *s)
{
	bct_free((void *)(uintptr_t)s);
}

void bct_gate_routes_unref(bct_gate_routes_t *t)
{
	if (!t || !bct_ref_put(&t->refs))
		return;
	for (uint32_t i = 0; i < t->n_routes; i++) {
		free_string(t->routes[i].name);
		free_string(t->routes[i].host);
		free_string(t->routes[i].prefix);
	}
	for (uint32_t i = 0; i < t->n_services; i++)
		free_string(t->services[i].name);
	for (uint32_t i = 0; i < t->n_accounts; i++)
		free_string(t->accounts[i].name);
	for (uint32_t i = 0; i < t->n_keys; i++)
		free_string(t->keys[i].secret);
	bct_free(t->routes);
	bct_free(t->services);
	bct_free(t->accounts);
	bct_free(t->keys);
	bct_free(t->record);
	bct_map_free(&t->by_host);
	bct_map_free(&t->by_secret);
	bct_free(t);
}

uint32_t bct_gate_routes_longest_ms(const bct_gate_routes_t *t)
{
	uint32_t longest_ms = 0;

	for (uint32_t i = 0; t && i < t->n_routes; i++) {
		if (t->routes[i].timeout_ms > longest_ms)
			longest_ms = t->routes[i].timeout_ms;
	}
	return longest_ms;
}

int bct_gate_routes_set_record(bct_gate_routes_t *t, const char *text, size_t len_bytes)
{
	t->record = bct_alloc(len_bytes + 1);
	if (!t->record)
		return -BCT_ENOMEM;
	memcpy(t->record, text, len_bytes);
	t->record_bytes = len_bytes;
	return 0;
}

/* Makes room for one more element in an array whose capacity is the next power of two. */
static void *grow(void *array, uint32_t n, size_t size)
{
	if (n & (n - 1))
		return array;
	return bct_realloc(array, size * (n ? (size_t)n * 2 : 1));
}

int bct_gate_routes_add_service(bct_gate_routes_t *t, const bct_gate_service_t *s)
{
	bct_gate_service_t *a = grow(t->services, t->n_services, sizeof(*a));
	char *name = bct_strdup(s->name);

	if (a)
		t->services = a;
	if (!a || !name) {
		bct_free(name);
		return -BCT_ENOMEM;
	}
	a[t->n_services] = *s;
	a[t->n_services].name = name;
	a[t->n_services].key = bct_hash_str(name);
	return (int)t->n_services++;
}

int bct_gate_routes_add_route(bct_gate_routes_t *t, const bct_gate_route_t *r)
{
	bct_gate_route_t *a = grow(t->routes, t->n_routes, sizeof(*a)), *copy;

	if (!a)
		return -BCT_ENOMEM;
	t->routes = a;
	copy = &a[t->n_routes];
	*copy = *r;
	copy->name = bct_strdup(r->name);
	copy->host = bct_strdup(r->host);
	copy->prefix = bct_strdup(r->prefix);
	if (!copy->name || !copy->host || !copy->prefix) {
		free_string(copy->name);
		free_string(copy->host);
		free_string(copy->prefix);
		return -BCT_ENOMEM;
	}
	copy->key = bct_hash_str(copy->name);
	copy->prefix_bytes = strlen(copy->prefix);
	copy->weight_sum = 0;
	for (uint32_t i = 0; i < copy->n_splits; i++)
		copy->weight_sum += copy->splits[i].weight;
	return (int)t->n_routes++;
}

int bct_gate_routes_add_account(bct_gate_routes_t *t, const bct_gate_account_t *acc)
{
	bct_gate_account_t *a = grow(t->accounts, t->n_accounts, sizeof(*a));
	char *name = bct_strdup(acc->name);

	if (a)
		t->accounts = a;
	if (!a || !name) {
		bct_free(name);
		return -BCT_ENOMEM;
	}
	a[t->n_accounts] = *acc;
	a[t->n_accounts].name = name;
	return (int)t->n_accounts++;
}

int bct_gate_routes_add_key(bct_gate_routes_t *t, const char *secret, uint32_t account)
{
	bct_gate_api_key_t *a = grow(t->keys, t->n_keys, sizeof(*a));
	char *copy = bct_strdup(secret);

	if (a)
		t->keys = a;
	if (!a || !copy) {
		bct_free(copy);
		return -BCT_ENOMEM;
	}
	a[t->n_keys] = (bct_gate_api_key_t){ .secret = copy, .account = account };
	return (int)t->n_keys++;
}

int bct_gate_routes_service(const bct_gate_routes_t *t, const char *name)
{
	for (uint32_t i = 0; i < t->n_services; i++) {
		if (!strcmp(t->services[i].name, name))
			return (int)i;
	}
	return -BCT_ENOT_FOUND;
}

static int by_host_then_prefix(const void *a, const void *b)
{
	const bct_gate_route_t *x = a, *y = b;
	int rc = strcasecmp(x->host, y->host);

	if (rc)
		return rc;
	if (x->prefix_bytes != y->prefix_bytes)
		return x->prefix_bytes > y->prefix_bytes ? -1 : 1;
	return strcmp(x->prefix, y->prefix);
}

/* Hash of a host name, which is not case-sensitive; 0 for one that is too long. */
static uint64_t host_key(const char *host, size_t len)
{
	char lower[256];

	if (len > sizeof(lower))
		return 0;
	for (size_t i = 0; i < len; i++)
		lower[i] = (char)(host[i] >= 'A' && host[i] <= 'Z' ? host[i] + 'a' - 'A' : host[i]);
	return bct_hash(lower, len);
}

int bct_gate_routes_seal(bct_gate_routes_t *t)
{
	int rc = 0;

	t->route_levels = t->account_levels = 1;
	for (uint32_t i = 0; i < t->n_routes; i++) {
		if (t->routes[i].priority >= t->route_levels)
			t->route_levels = t->routes[i].priority + 1U;
	}
	for (uint32_t i = 0; i < t->n_accounts; i++) {
		if (t->accounts[i].priority >= (int32_t)t->account_levels)
			t->account_levels = (uint32_t)t->accounts[i].priority + 1;
	}
	if (t->n_routes)
		qsort(t->routes, t->n_routes, sizeof(*t->routes), by_host_then_prefix);
	for (uint32_t i = 0; !rc && i < t->n_routes; i++) {
		bct_gate_route_t *r = &t->routes[i];

		if (!i || strcasecmp(r->host, t->routes[i - 1].host) != 0)
			rc = bct_map_put(&t->by_host, host_key(r->host, strlen(r->host)), r);
	}
	for (uint32_t i = 0; !rc && i < t->n_keys; i++)
		rc = bct_map_put(&t->by_secret, bct_hash_str(t->keys[i].secret), &t->keys[i]);
	return rc;
}

const bct_gate_route_t *bct_gate_routes_match(const bct_gate_routes_t *t, const char *host,
					      size_t host_bytes, const char *path,
					      size_t path_bytes)
{
	const bct_gate_route_t *r = bct_map_get(&t->by_host, host_key(host, host_bytes));
	const bct_gate_route_t *end = t->routes + t->n_routes;

	for (; r && r < end; r++) {
		if (strlen(r->host) != host_bytes || strncasecmp(r->host, host, host_bytes) != 0)
			return NULL;
		if (r->prefix_bytes <= path_bytes && !memcmp(r->prefix, path, r->prefix_bytes))
			return r;
	}
	return NULL;
}

const bct_gate_account_t *bct_gate_routes_account(const bct_gate_routes_t *t, const char *secret)
{
	const bct_gate_api_key_t *k = bct_map_get(&t->by_secret, bct_hash_str(secret));

	if (!k || strcmp(k->secret, secret) != 0)
		return NULL;
	return &t->accounts[k->account];
}

uint32_t bct_gate_routes_rank(const bct_gate_routes_t *t, const bct_gate_route_t *r,
			      const bct_gate_account_t *account, uint32_t *levels)
{
	uint32_t first = account && account->priority > 0 ? (uint32_t)account->priority : 0;

	*levels = t->route_levels * t->account_levels;
	return first * t->route_levels + r->priority;
}

uint32_t bct_gate_route_split(const bct_gate_route_t *r, uint64_t draw)
{
	uint64_t at = r->weight_sum ? draw % r->weight_sum : 0;

	for (uint32_t i = 0; i < r->n_splits; i++) {
		if (at < r->splits[i].weight)
			return r->splits[i].service;
		at -= r->splits[i].weight;
	}
	return r->n_splits ? r->splits[0].service : 0;
}
