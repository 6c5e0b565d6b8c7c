/*
 * bench_config.c - cost of the configuration on a node: bytes of a snapshot and of one change
 * record, time to apply a change and to start from a snapshot, heap memory of the state. The size
 * doubles with each step, from an eighth of the design size to the design size. Prints one JSON
 * object per line.
 */
#include "base/err.h"
#include "coord/conf_json.h"
#include "coord/config.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define STEPS 4
#define ENGINES 770 /* design size, as ACCOUNTS */
#define ACCOUNTS 350
#define MODELS 7
#define CLASSES 8
#define REPEATS 20 /* changes that are timed */
#define US_PER_S 1000000.0
#define NS_PER_US 1000.0
#define NAME_BYTES 32

/* Ends the program if rc is an error. */
static void check(int rc)
{
	if (!rc)
		return;
	fprintf(stderr, "bench_config: %s\n", bct_err_name(rc));
	exit(1);
}

static double now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec * US_PER_S + (double)ts.tv_nsec / NS_PER_US;
}

static json_t *make_engine(uint32_t i)
{
	char address[NAME_BYTES], domain[NAME_BYTES], model[NAME_BYTES];

	snprintf(address, sizeof(address), "10.%u.%u.%u", i % 7, i / 250, i % 250);
	snprintf(domain, sizeof(domain), "domain-%u", i % 7);
	snprintf(model, sizeof(model), "model-%u", i % MODELS);
	return json_pack("{s:s, s:[s], s:s, s:i, s:s, s:s, s:i, s:i, s:b, s:b, s:b}", "kind",
			 "engine", "models", model, "address", address, "port", 8000,
			 "failure_domain", domain, "region", i % 2 ? "north" : "south", "slots", 32,
			 "kv_tokens", 400000, "honours_priority", 1, "resumes", 1, "checks_fencing",
			 1);
}

static json_t *make_classes(void)
{
	json_t *classes = json_object();
	char name[NAME_BYTES], model[NAME_BYTES];

	for (uint32_t i = 0; i < CLASSES; i++) {
		snprintf(name, sizeof(name), "class-%u", i);
		snprintf(model, sizeof(model), "model-%u", i % MODELS);
		json_object_set_new(classes, name,
				    json_pack("{s:s, s:i, s:i, s:i, s:i, s:i, s:i}", "model", model,
					      "tier", (int)(i % BCT_TIERS + 1), "ttft_ms", 770,
					      "itl_ms", 39, "deadline_ms", 60000, "floor_permille",
					      10, "max_output_tokens", 4096));
	}
	return classes;
}

static json_t *make_account(uint32_t i)
{
	char hex[BCT_DIGEST_HEX_BYTES];
	bct_digest_t digest;

	bct_digest(&i, sizeof(i), &digest);
	bct_digest_hex(&digest, hex);
	return json_pack("{s:[s], s:{s:i, s:i, s:i}, s:o}", "token_hashes", hex, "limits",
			 "requests_per_s", 100, "tokens_per_s", 30000, "concurrent", 400, "classes",
			 make_classes());
}

static json_t *make_document(uint32_t engines, uint32_t accounts)
{
	json_t *models = json_object(), *ups = json_object(), *contracts = json_object();
	char name[NAME_BYTES];
	uint32_t i;

	for (i = 0; i < MODELS; i++) {
		snprintf(name, sizeof(name), "model-%u", i);
		json_object_set_new(models, name, json_object());
	}
	for (i = 0; i < engines; i++) {
		snprintf(name, sizeof(name), "engine-%u", i);
		json_object_set_new(ups, name, make_engine(i));
	}
	for (i = 0; i < accounts; i++) {
		snprintf(name, sizeof(name), "account-%u", i);
		json_object_set_new(contracts, name, make_account(i));
	}
	return json_pack("{s:o, s:o, s:o}", "models", models, "upstreams", ups, "contracts",
			 contracts);
}

/*
 * Publishes the document in two changes, because all of it does not fit into one record: first
 * without the accounts, then with them, as an operator publishes file by file.
 */
static void fill_state(bct_config_state_t *s, uint32_t engines, uint32_t accounts)
{
	for (uint32_t change = 1; change <= 2; change++) {
		json_t *doc = make_document(engines, change == 1 ? 0 : accounts);
		bct_config_result_t res;
		bct_buf_t rec;

		bct_buf_init(&rec, 0);
		check(bct_config_change_encode(s, doc, change, "bench", 0, &rec));
		check(bct_config_replay(s, rec.data, (uint32_t)rec.len_bytes, &res));
		check(res.status == BCT_CHANGE_STATUS_ACCEPTED ? 0 : -BCT_EINVAL);
		bct_buf_free(&rec);
		json_decref(doc);
	}
}

/*
 * Mean time in us to apply a typical change: one limit of one account. Sets the bytes of the last
 * change record.
 */
static double time_changes_us(bct_config_state_t *s, uint32_t *change_bytes)
{
	double total_us = 0;

	for (int i = 0; i < REPEATS; i++) {
		json_t *doc = json_deep_copy(s->doc);
		json_t *account = json_object_get(json_object_get(doc, "contracts"), "account-0");
		bct_config_result_t res;
		bct_buf_t rec;
		double start;

		json_object_set_new(json_object_get(account, "limits"), "concurrent",
				    json_integer(i + 1));
		bct_buf_init(&rec, 0);
		check(bct_config_change_encode(s, doc, 100 + (uint64_t)i, "bench", 0, &rec));
		start = now_us();
		check(bct_config_replay(s, rec.data, (uint32_t)rec.len_bytes, &res));
		total_us += now_us() - start;
		*change_bytes = (uint32_t)rec.len_bytes;
		bct_buf_free(&rec);
		json_decref(doc);
	}
	return total_us / REPEATS;
}

/* Time in us to decode a snapshot record and to make the state from it. */
static double time_start_us(const bct_buf_t *snapshot)
{
	bct_config_state_t s;
	bct_xconfig_record rec;
	double start = now_us();

	check(bct_config_decode(snapshot->data, (uint32_t)snapshot->len_bytes, &rec));
	check(bct_config_from_snapshot(&rec.bct_xconfig_record_u.snapshot, &s));
	start = now_us() - start;
	bct_config_record_free(&rec);
	bct_config_free(&s);
	return start;
}

static void run(uint32_t engines, uint32_t accounts)
{
	size_t heap_bytes = mallinfo2().uordblks;
	uint32_t change_bytes = 0;
	bct_config_state_t s;
	bct_buf_t snapshot;
	double change_us;

	check(bct_config_init(&s));
	fill_state(&s, engines, accounts);
	heap_bytes = mallinfo2().uordblks - heap_bytes;
	change_us = time_changes_us(&s, &change_bytes);
	bct_buf_init(&snapshot, 0);
	check(bct_config_snapshot_encode(&s, "bench", 0, &snapshot));
	printf("{\"bench\": \"config\", \"engines\": %u, \"accounts\": %u, \"snapshot_bytes\": "
	       "%zu, "
	       "\"change_bytes\": %u, \"apply_us\": %.0f, \"start_us\": %.0f, "
	       "\"state_bytes\": %zu}\n",
	       engines, accounts, snapshot.len_bytes, change_bytes, change_us,
	       time_start_us(&snapshot), heap_bytes);
	bct_buf_free(&snapshot);
	bct_config_free(&s);
}

int main(void)
{
	for (uint32_t i = 0; i < STEPS; i++)
		run(ENGINES >> (STEPS - 1 - i), ACCOUNTS >> (STEPS - 1 - i));
	return 0;
}
