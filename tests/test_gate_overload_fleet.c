/*
 * test_gate_overload_fleet.c - a fleet of nodes under waves of 1.5 times the capacity, 4 s of each
 * 13 s, with and without promises to the callers that are refused; and one account that brings 7.5
 * times its usual, with and without shares of accounts.
 */
#include "base/rng.h"
#include "policy/gate_account_share.h"
#include "policy/gate_returns.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES_MAX 350
#define CLASSES 3
#define SERVICE 7
#define START 1000000
#define DAY_MS 39000
#define WAVE_MS 13000
#define CREST_MS 4000
#define WORK_MS 50
#define NEWS_MS 300 /* until the other nodes know of a promise or of load */
#define HISTORY 512
#define ACCOUNTS 24
#define LARGE_ACCOUNTS 4 /* that bring as much as LARGE_TIMES small ones each */
#define LARGE_TIMES 8
#define HOT_ACCOUNT 0
#define HOT_TIMES 7.5
#define HOT_FROM_MS 26000
#define SAMPLE_MIN 20 /* requests of an account, below which its share served says nothing */

typedef struct request {
	uint64_t digest;
	bct_time_t at; /* when it comes, or comes back */
	bct_time_t first_at;
	uint32_t rank;
	uint32_t account;
	bool again;
	bool told; /* it was promised room */
	struct request *next;
} request_t;

typedef struct queue {
	request_t *first, **last;
} queue_t;

static const uint32_t target_ms[CLASSES] = { 300, 500, 1200 };
static const uint32_t deadline_ms[CLASSES] = { 12000, 3000, 4000 };

/* A promise on its way to the nodes that did not make it. */
typedef struct news {
	uint64_t digest;
	bct_time_t known_at;
	bct_time_t due;
} news_t;

typedef struct result {
	uint32_t came[CLASSES], served[CLASSES];
	uint32_t refused_twice, refused_first, kept, broken;
	uint32_t came_in[DAY_MS / 1000], served_in[DAY_MS / 1000];
	uint32_t account_came[ACCOUNTS], account_served[ACCOUNTS]; /* while one is hot */
} result_t;

typedef struct load {
	uint32_t trough_percent; /* of the capacity */
	uint32_t crest_percent;
	bool hot; /* HOT_ACCOUNT brings HOT_TIMES its usual in the last third of the day */
} load_t;

typedef struct fleet {
	uint32_t nodes;
	bool promises;
	bool shares;
	load_t load;
	bct_gate_account_shares_t account_shares[NODES_MAX];
	bct_gate_refuse_t refuse[NODES_MAX];
	bct_gate_returns_t returns[NODES_MAX];
	queue_t engines[CLASSES]; /* requests that wait at the engines, by urgency */
	uint32_t head_done_ms[CLASSES];
	queue_t back[8192]; /* requests that come back, by the ms */
	uint64_t work_ms;   /* that waits at the engines */
	uint64_t work_then[HISTORY];
	news_t news[65536];
	uint32_t n_news, news_done;
	uint64_t n_requests;
	bct_rng_t rng;
	result_t r;
} fleet_t;

static void push(queue_t *q, request_t *x)
{
	if (!q->first)
		q->last = &q->first;
	x->next = NULL;
	*q->last = x;
	q->last = &x->next;
}

static request_t *pop(queue_t *q)
{
	request_t *x = q->first;

	if (x)
		q->first = x->next;
	return x;
}

static void served(fleet_t *f, bct_time_t now, request_t *x)
{
	if (now - x->first_at <= deadline_ms[x->rank]) {
		f->r.served[x->rank]++;
		f->r.served_in[(x->first_at - START) / 1000]++;
		if (x->first_at - START >= HOT_FROM_MS)
			f->r.account_served[x->account]++;
	}
	free(x);
}

/* One ms of all engines: they start on the most urgent work first. */
static void run_engines(fleet_t *f, bct_time_t now)
{
	uint32_t left = f->nodes;

	for (uint32_t c = 0; c < CLASSES; c++) {
		while (left && f->engines[c].first) {
			uint32_t need = WORK_MS - f->head_done_ms[c];

			if (need > left) {
				f->head_done_ms[c] += left;
				f->work_ms -= left;
				left = 0;
				break;
			}
			left -= need;
			f->work_ms -= need;
			f->head_done_ms[c] = 0;
			served(f, now, pop(&f->engines[c]));
		}
	}
}

static void tell_news(fleet_t *f, bct_time_t now)
{
	for (; f->news_done < f->n_news && f->news[f->news_done].known_at <= now; f->news_done++) {
		const news_t *n = &f->news[f->news_done];

		for (uint32_t i = 0; n->due >= now && i < f->nodes; i++)
			bct_gate_returns_learn(&f->returns[i], now, n->digest,
					       (uint32_t)(n->due - now));
	}
}

static uint32_t promise(fleet_t *f, bct_time_t now, uint32_t node, const request_t *x,
			const bct_gate_return_input_t *in)
{
	uint32_t ms =
		f->promises ? bct_gate_returns_book(&f->returns[node], now, x->digest, in) : 0;

	if (ms && f->n_news < 65536)
		f->news[f->n_news++] = (news_t){ x->digest, now + NEWS_MS, now + ms };
	return ms;
}

static void refused(fleet_t *f, bct_time_t now, uint32_t node, request_t *x, uint32_t retry_ms)
{
	bct_gate_return_input_t in = {
		.service_key = SERVICE,
		.rank = x->rank,
		.levels = CLASSES,
		.work_ms = WORK_MS,
		.earliest_ms = retry_ms,
		.engines = f->nodes,
		.nodes = f->nodes,
	};
	uint32_t ms;

	if (x->again) {
		f->r.refused_twice++;
		f->r.broken += x->told;
		free(x);
		return;
	}
	f->r.refused_first++;
	in.news_ms = NEWS_MS;
	in.latest_ms = (uint32_t)(x->first_at + deadline_ms[x->rank] - now) / 3;
	ms = promise(f, now, node, x, &in);
	x->told = ms > 0;
	x->again = true;
	x->at = now + (ms ? ms : retry_ms + bct_rng_below(&f->rng, retry_ms / 2 + 1)) + 2;
	push(&f->back[x->at % 8192], x);
}

static void arrive(fleet_t *f, bct_time_t now, request_t *x)
{
	uint32_t node = bct_rng_below(&f->rng, f->nodes);
	bct_time_t remaining = x->first_at + deadline_ms[x->rank] - now;
	bct_gate_return_input_t r = { .service_key = SERVICE, .rank = x->rank, .levels = CLASSES };
	bct_gate_refuse_input_t in = { .service_key = SERVICE,
				       .rank = x->rank,
				       .levels = CLASSES,
				       .target_ms = target_ms[x->rank],
				       .remaining_ms = remaining > 0 ? (uint32_t)remaining : 1,
				       .work_ms = WORK_MS };
	bct_gate_refuse_decision_t d;

	/* What this node sends is known at once, the rest late. */
	in.delay_ms = (uint32_t)(f->work_then[(now + HISTORY - NEWS_MS) % HISTORY] / f->nodes);
	in.first_byte_ms = in.delay_ms + WORK_MS;
	if (f->shares)
		in.over_share = !bct_gate_account_shares_count(&f->account_shares[node], now,
							       SERVICE, x->account + 1, WORK_MS);
	if (f->promises) {
		uint32_t ms;

		r.nodes = f->nodes;
		r.work_ms = WORK_MS;
		if (!x->again)
			bct_gate_returns_offered(&f->returns[node], now, &r);

		in.returning = bct_gate_returns_take(&f->returns[node], now, x->digest);
		f->r.kept += in.returning;
		ms = in.returning ? 0
				  : bct_gate_returns_reserved_ms(&f->returns[node], now, &r,
								 in.first_byte_ms);
		in.delay_ms += ms;
		in.first_byte_ms += ms;
	}
	d = bct_gate_refuse(&f->refuse[node], now, &in);
	if (d.retry_after_ms) {
		refused(f, now, node, x, d.retry_after_ms);
		return;
	}
	f->work_ms += WORK_MS;
	push(&f->engines[x->rank], x);
}

static uint32_t draw_account(fleet_t *f)
{
	uint32_t i =
		bct_rng_below(&f->rng, ACCOUNTS - LARGE_ACCOUNTS + LARGE_ACCOUNTS * LARGE_TIMES);

	return i < LARGE_ACCOUNTS * LARGE_TIMES ? i / LARGE_TIMES
						: i - LARGE_ACCOUNTS * (LARGE_TIMES - 1);
}

static void new_request(fleet_t *f, bct_time_t now, uint32_t account, uint32_t rank)
{
	request_t *x = calloc(1, sizeof(*x));

	cr_assert(x);
	x->digest = ++f->n_requests * UINT64_C(0x9e3779b97f4a7c15);
	x->rank = rank;
	x->account = account;
	x->first_at = now;
	f->r.came[x->rank]++;
	f->r.came_in[(now - START) / 1000]++;
	if (now - START >= HOT_FROM_MS)
		f->r.account_came[account]++;
	arrive(f, now, x);
}

/* Draws how many requests come in this ms when callers bring percent of the capacity. */
static uint32_t draw_number(fleet_t *f, double percent)
{
	double n = f->nodes * percent / 100 / WORK_MS;

	return (uint32_t)n + (bct_rng_unit(&f->rng) < n - (uint32_t)n);
}

static void new_requests(fleet_t *f, bct_time_t now)
{
	bool crest = (now - START) % WAVE_MS >= WAVE_MS - CREST_MS;
	double percent = crest ? f->load.crest_percent : f->load.trough_percent;
	double part =
		(double)LARGE_TIMES / (ACCOUNTS - LARGE_ACCOUNTS + LARGE_ACCOUNTS * LARGE_TIMES);

	for (uint32_t i = draw_number(f, percent); i; i--)
		new_request(f, now, draw_account(f), bct_rng_below(&f->rng, CLASSES));
	if (!f->load.hot || now - START < HOT_FROM_MS)
		return;
	for (uint32_t i = draw_number(f, percent * part * (HOT_TIMES - 1)); i; i--)
		new_request(f, now, HOT_ACCOUNT, CLASSES - 1);
}

static result_t play(uint32_t nodes, bool promises, bool shares, const load_t *load)
{
	fleet_t *f = calloc(1, sizeof(*f));
	result_t r;
	request_t *x;

	cr_assert(f);
	f->nodes = nodes;
	f->promises = promises;
	f->shares = shares;
	f->load = *load;
	bct_rng_seed(&f->rng, 1);
	for (bct_time_t now = START; now < START + DAY_MS + 12000; now++) {
		f->work_then[now % HISTORY] = f->work_ms;
		tell_news(f, now);
		while ((x = pop(&f->back[now % 8192])) != NULL)
			arrive(f, now, x);
		if (now < START + DAY_MS)
			new_requests(f, now);
		run_engines(f, now);
	}
	for (uint32_t i = 0; i < nodes; i++) {
		bct_gate_refuse_free(&f->refuse[i]);
		bct_gate_returns_free(&f->returns[i]);
		bct_gate_account_shares_free(&f->account_shares[i]);
	}
	r = f->r;
	free(f);
	return r;
}

static uint32_t permille_served(const result_t *r)
{
	uint32_t came = 0, n = 0;

	for (uint32_t c = 0; c < CLASSES; c++) {
		came += r->came[c];
		n += r->served[c];
	}
	return (uint32_t)((uint64_t)n * 1000 / came);
}

static uint32_t worst_second(const result_t *r)
{
	uint32_t worst = 1000;

	for (uint32_t i = 0; i < DAY_MS / 1000; i++) {
		uint32_t permille = r->came_in[i] ? r->served_in[i] * 1000 / r->came_in[i] : 1000;

		if (permille < worst)
			worst = permille;
	}
	return worst;
}

static void print(uint32_t nodes, const char *what, const result_t *r)
{
	printf("%3u nodes, %s: served %u (by urgency %u %u %u), worst second %u permille; refused "
	       "%u, again %u, came to their room %u, in vain %u\n",
	       nodes, what, permille_served(r), r->served[0] * 1000 / r->came[0],
	       r->served[1] * 1000 / r->came[1], r->served[2] * 1000 / r->came[2], worst_second(r),
	       r->refused_first, r->refused_twice, r->kept, r->broken);
}

/*
 * A caller that waited as it was told is not refused again in favour of one that has just come, and
 * no class and no second of the wave pays for that.
 */
static void compare(uint32_t nodes)
{
	load_t load = { .trough_percent = 60, .crest_percent = 150 };
	result_t before = play(nodes, false, false, &load), with = play(nodes, true, false, &load);

	print(nodes, "without", &before);
	print(nodes, "with   ", &with);
	cr_assert_leq(with.refused_twice * 2, before.refused_twice);
	cr_assert_leq(with.broken * 20, with.kept, "of 20 promises 19 are kept");
	cr_assert_geq(permille_served(&with) + 10, permille_served(&before));
	cr_assert_geq(worst_second(&with) + 20, worst_second(&before));
	for (uint32_t c = 0; c < CLASSES; c++)
		cr_assert_geq((uint64_t)with.served[c] * 1000 / with.came[c] + 20,
			      (uint64_t)before.served[c] * 1000 / before.came[c], "class %u", c);
}

/* The permille served of the worst tenth of the accounts that are not hot. */
static uint32_t worst_accounts(const result_t *r)
{
	uint32_t worst[2] = { 1000, 1000 };

	for (uint32_t i = 0; i < ACCOUNTS; i++) {
		uint32_t permille;

		if (i == HOT_ACCOUNT || r->account_came[i] < SAMPLE_MIN)
			continue;
		permille = r->account_served[i] * 1000 / r->account_came[i];
		if (permille < worst[0]) {
			worst[1] = worst[0];
			worst[0] = permille;
		} else if (permille < worst[1]) {
			worst[1] = permille;
		}
	}
	return (worst[0] + worst[1]) / 2;
}

/*
 * An account that brings 7.5 times its usual, and so 1.4 times the capacity in all, must not take
 * from the others what they had. Half of what it costs them without shares is the least to win
 * back.
 */
static void compare_accounts(uint32_t nodes)
{
	load_t calm = { 70, 70, false }, load = { 70, 70, true };
	result_t usual = play(nodes, false, false, &calm);
	result_t before = play(nodes, false, false, &load), with = play(nodes, false, true, &load);
	uint32_t had = worst_accounts(&usual), lost = had - worst_accounts(&before);

	print(nodes, "without", &before);
	print(nodes, "with   ", &with);
	printf("%3u nodes: worst tenth of the other accounts: %u permille usually, %u without "
	       "shares, %u with them\n",
	       nodes, had, worst_accounts(&before), worst_accounts(&with));
	cr_assert_gt(lost, 100, "the load is a shortage");
	cr_assert_geq(worst_accounts(&with) + lost / 2, had);
	cr_assert_geq(permille_served(&with) + 20, permille_served(&before));
}

/* Without a hot account, shares change nothing: a wave of all is no reason to hold one back. */
static void waves_of_all(uint32_t nodes)
{
	load_t load = { .trough_percent = 60, .crest_percent = 150 };
	result_t before = play(nodes, false, false, &load), with = play(nodes, false, true, &load);

	print(nodes, "without", &before);
	print(nodes, "with   ", &with);
	cr_assert_geq(permille_served(&with) + 10, permille_served(&before));
	cr_assert_geq(worst_second(&with) + 20, worst_second(&before));
}

Test(gate_overload_fleet, waves_one_node)
{
	compare(1);
}

Test(gate_overload_fleet, waves_nodes_7)
{
	compare(7);
}

Test(gate_overload_fleet, waves_nodes_35)
{
	compare(35);
}

Test(gate_overload_fleet, waves_nodes_89)
{
	compare(89);
}

Test(gate_overload_fleet, waves_nodes_350)
{
	compare(350);
}

Test(gate_overload_fleet, hot_account_one_node)
{
	compare_accounts(1);
}

Test(gate_overload_fleet, hot_account_nodes_7)
{
	compare_accounts(7);
}

Test(gate_overload_fleet, hot_account_nodes_35)
{
	compare_accounts(35);
}

Test(gate_overload_fleet, hot_account_nodes_89)
{
	compare_accounts(89);
}

Test(gate_overload_fleet, hot_account_nodes_350)
{
	compare_accounts(350);
}

Test(gate_overload_fleet, shares_in_waves)
{
	waves_of_all(7);
	waves_of_all(89);
}
