/*
 * chuteload_entry.c - the addresses that requests go to, from GET /v1/entry or the scenario.
 */
#include "cmd/chuteload.h"

#include "base/err.h"
#include "base/mem.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define GET_TIMEOUT_MS 2000L
#define RETRY_INTERVAL_MS 100 /* after a failed renewal; also the shortest time between two */
#define MAX_BODY_BYTES (64u << 20)

typedef struct load_entry {
	const load_scenario_t *sc;
	pthread_mutex_t lock;	  /* guards the members below */
	pthread_cond_t stop_cond; /* signalled when stop is set */
	pthread_t thread;
	bool has_thread;
	bool stop;
	load_addresses_t addresses;
	uint32_t next;	      /* index of the next pick, modulo addresses.n */
	uint32_t lifetime_ms; /* of addresses, as sent by the node */
} load_entry_t;

static size_t on_body(char *data, size_t size, size_t n, void *arg)
{
	return bct_buf_put(arg, data, size * n) == 0 ? size * n : 0;
}

json_t *load_get_json(const char *address, const char *path)
{
	char url[LOAD_ADDRESS_BYTES + 64];
	CURL *easy = curl_easy_init();
	json_t *doc = NULL;
	long status = 0;
	bct_buf_t in;

	if (!easy)
		return NULL;
	bct_buf_init(&in, MAX_BODY_BYTES);
	snprintf(url, sizeof(url), "http://%s%s", address, path);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, GET_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &in);
	if (curl_easy_perform(easy) == CURLE_OK &&
	    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status) == CURLE_OK && status == 200)
		doc = json_loadb(in.data, in.len_bytes, 0, NULL);
	bct_buf_free(&in);
	curl_easy_cleanup(easy);
	return doc;
}

/* Gets the addresses from one node. Returns false, and keeps the old ones, if it sent none. */
static bool query_node(load_entry_t *e, const char *node)
{
	json_t *doc = load_get_json(node, "/v1/entry");
	const json_t *list = json_object_get(doc, "addresses");
	load_addresses_t *found = bct_alloc(sizeof(*found));

	for (size_t i = 0; found && i < json_array_size(list); i++) {
		const json_t *a = json_array_get(list, i);
		char text[LOAD_ADDRESS_BYTES];

		snprintf(text, sizeof(text), "%s:%d",
			 json_string_value(json_object_get(a, "address")) ?: "",
			 (int)json_integer_value(json_object_get(a, "port")));
		load_address_add(found, text);
	}
	pthread_mutex_lock(&e->lock);
	if (found && found->n > 0) {
		e->addresses = *found;
		e->lifetime_ms = (uint32_t)json_integer_value(json_object_get(doc, "lifetime_ms"));
	}
	pthread_mutex_unlock(&e->lock);
	json_decref(doc);
	if (found && found->n > 0) {
		bct_free(found);
		return true;
	}
	bct_free(found);
	return false;
}

/*
 * Queries nodes until one answers. The current addresses are tried first, since the scenario's
 * entries may have left the fleet since the start of the run.
 */
static bool refresh_addresses(load_entry_t *e)
{
	char at[LOAD_ADDRESS_BYTES];
	uint32_t known = e->addresses.n;

	for (uint32_t i = 0; i < known; i++) {
		load_entry_pick(e, at);
		if (query_node(e, at))
			return true;
	}
	for (uint32_t i = 0; i < e->sc->entries.n; i++) {
		if (query_node(e, e->sc->entries.at[i]))
			return true;
	}
	return false;
}

/* Sleeps; returns early when stop is set. */
static void sleep_ms(load_entry_t *e, uint32_t ms)
{
	struct timespec deadline;

	clock_gettime(CLOCK_REALTIME, &deadline);
	deadline.tv_sec += ms / 1000;
	deadline.tv_nsec += (long)(ms % 1000) * 1000000;
	if (deadline.tv_nsec >= 1000000000) {
		deadline.tv_sec++;
		deadline.tv_nsec -= 1000000000;
	}
	pthread_mutex_lock(&e->lock);
	if (!e->stop)
		pthread_cond_timedwait(&e->stop_cond, &e->lock, &deadline);
	pthread_mutex_unlock(&e->lock);
}

/* The renewal thread. */
static void *renew_main(void *arg)
{
	load_entry_t *e = arg;
	bool ok = true, stop = false;

	while (!stop) {
		sleep_ms(e, ok && e->lifetime_ms / 2 > RETRY_INTERVAL_MS ? e->lifetime_ms / 2
									 : RETRY_INTERVAL_MS);
		pthread_mutex_lock(&e->lock);
		stop = e->stop;
		pthread_mutex_unlock(&e->lock);
		if (!stop)
			ok = refresh_addresses(e);
	}
	return NULL;
}

int load_entry_new(const load_scenario_t *sc, struct load_entry **out)
{
	load_entry_t *e = bct_alloc(sizeof(*e));

	if (!e)
		return -BCT_ENOMEM;
	e->sc = sc;
	pthread_mutex_init(&e->lock, NULL);
	pthread_cond_init(&e->stop_cond, NULL);
	*out = e;
	if (sc->entries.n == 0) {
		e->addresses = sc->nodes;
		return e->addresses.n > 0 ? 0 : -BCT_EUNAVAILABLE;
	}
	if (!refresh_addresses(e))
		return -BCT_EUNAVAILABLE;
	if (pthread_create(&e->thread, NULL, renew_main, e) != 0)
		return -BCT_ENOMEM;
	e->has_thread = true;
	return 0;
}

void load_entry_free(struct load_entry *e)
{
	if (!e)
		return;
	pthread_mutex_lock(&e->lock);
	e->stop = true;
	pthread_cond_signal(&e->stop_cond);
	pthread_mutex_unlock(&e->lock);
	if (e->has_thread)
		pthread_join(e->thread, NULL);
	pthread_cond_destroy(&e->stop_cond);
	pthread_mutex_destroy(&e->lock);
	bct_free(e);
}

void load_entry_pick(struct load_entry *e, char out[LOAD_ADDRESS_BYTES])
{
	pthread_mutex_lock(&e->lock);
	memcpy(out, e->addresses.at[e->next++ % e->addresses.n], LOAD_ADDRESS_BYTES);
	pthread_mutex_unlock(&e->lock);
}
