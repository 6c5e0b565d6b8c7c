/*
 * gate_account_share.c - a token bucket per account and service. It is filled at a multiple of what
 * the account usually brings, and only requests within it count for what is usual, so an account
 * that floods the service doesn't become used to that.
 */
#include "policy/gate_account_share.h"
#include "base/hash.h"

#include <math.h>
#include <string.h>

#define USUAL_MS 60000	 /* span of the average that is usual */
#define RECENT_MS 2000	 /* span of the average that is recent */
#define LEARN_MS 10000	 /* after its first request an account is within its share */
#define ALLOWED 1.5	 /* times the usual */
#define BURST_REQUESTS 8 /* that a node may see of a small account by chance */
#define BURST_MS 1000	 /* of the allowed rate, for a large one */
#define ACTIVE_MIN 1e-3	 /* usual work, in ms per s, of an account that counts as active */

/* An average of work in ms per s that is right from its first value on. */
typedef struct average {
	double sum;
	double weight; /* 1: it covers its whole span */
	bct_time_t at;
} average_t;

typedef struct service {
	average_t usual; /* of all accounts */
	average_t recent;
	double request_ms; /* work of a request; moving average */
	uint32_t accounts; /* that were seen */
} service_t;

typedef struct account {
	average_t usual;
	average_t recent;
	double tokens_ms;
	bct_time_t filled_at;
	bct_time_t since;
} account_t;

static void average_to(average_t *a, bct_time_t now, double span_ms)
{
	double keep = a->at ? exp(-(double)(now - a->at) / span_ms) : 0;

	a->sum *= keep;
	a->weight = a->weight * keep + 1 - keep;
	if (!a->at)
		a->weight = 0;
	a->at = now;
}

static void average_add(average_t *a, bct_time_t now, double span_ms, double work_ms)
{
	average_to(a, now, span_ms);
	a->sum += work_ms * BCT_MS_PER_S / span_ms;
}

static double average_value(const average_t *a)
{
	return a->weight > 0 ? a->sum / a->weight : 0;
}

void bct_gate_account_shares_init(bct_gate_account_shares_t *s)
{
	memset(s, 0, sizeof(*s));
}

void bct_gate_account_shares_free(bct_gate_account_shares_t *s)
{
	bct_map_free_values(&s->services);
	bct_map_free_values(&s->accounts);
}

static service_t *service_of(bct_gate_account_shares_t *s, uint64_t key)
{
	return bct_map_get_new(&s->services, key, sizeof(service_t));
}

static account_t *account_of(bct_gate_account_shares_t *s, bct_time_t now, service_t *service,
			     uint64_t key)
{
	account_t *v = bct_map_get(&s->accounts, key);

	if (v || s->accounts.n >= BCT_GATE_ACCOUNT_SHARES_MAX)
		return v;
	v = bct_map_get_new(&s->accounts, key, sizeof(account_t));
	if (v) {
		v->since = v->filled_at = now;
		service->accounts++;
	}
	return v;
}

/* How much more all other accounts bring than usual; 1 at least. */
static double growth_of_others(const service_t *s, const account_t *a)
{
	double usual = average_value(&s->usual) - average_value(&a->usual);
	double recent = average_value(&s->recent) - average_value(&a->recent);

	return usual > ACTIVE_MIN && recent > usual ? recent / usual : 1;
}

/* What the account may bring, in ms per s. */
static double allowed(const service_t *s, const account_t *a)
{
	double usual = average_value(&a->usual);
	double mean = average_value(&s->usual) / s->accounts;

	return ALLOWED * (usual > mean ? usual : mean) * growth_of_others(s, a);
}

static bool take(const service_t *s, account_t *a, bct_time_t now, uint32_t work_ms)
{
	double rate = allowed(s, a);
	double most = fmax(BURST_REQUESTS * s->request_ms, rate * BURST_MS / BCT_MS_PER_S);

	a->tokens_ms += rate * (double)(now - a->filled_at) / BCT_MS_PER_S;
	a->filled_at = now;
	if (a->tokens_ms > most || now - a->since < LEARN_MS)
		a->tokens_ms = most;
	if (a->tokens_ms < work_ms)
		return false;
	a->tokens_ms -= work_ms;
	return true;
}

bool bct_gate_account_shares_count(bct_gate_account_shares_t *s, bct_time_t now,
				   uint64_t service_key, uint64_t account_key, uint32_t work_ms)
{
	service_t *service = account_key ? service_of(s, service_key) : NULL;
	account_t *a = NULL;
	bool within;

	if (service)
		a = account_of(s, now, service, bct_hash_mix(service_key, account_key));
	if (!a)
		return true;
	service->request_ms += (work_ms - service->request_ms) / BURST_REQUESTS;
	average_add(&service->recent, now, RECENT_MS, work_ms);
	average_add(&a->recent, now, RECENT_MS, work_ms);
	average_to(&service->usual, now, USUAL_MS);
	average_to(&a->usual, now, USUAL_MS);
	within = take(service, a, now, work_ms);
	if (within) {
		average_add(&service->usual, now, USUAL_MS, work_ms);
		average_add(&a->usual, now, USUAL_MS, work_ms);
	}
	return within;
}
