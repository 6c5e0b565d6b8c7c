/*
 * test_gate_brittle.c - brittle upstreams that fall over when they have to turn away too many
 * requests in a second, without network: what one node may send, and a model of fleets under more
 * load than there is room for.
 */
#include "base/rng.h"
#include "policy/gate_brittle.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define SLOTS 6
#define MODEL_NODES 195
#define MODEL_UPSTREAMS 6
#define MODEL_STEP_MS 5
#define MODEL_SECONDS 8
#define SEEN_LATE_MS 100
#define SERVICE_MS 60
#define HELPERS 3
#define QUEUE 2 /* that may wait at a brittle upstream */
#define RESTART_MS 3000
#define HISTORY (SEEN_LATE_MS / MODEL_STEP_MS + 1)

static bct_gate_brittle_t b;

#define UPSTREAM_KEY 77

static uint64_t incarnations[MODEL_NODES];

/* A fleet as its i-th node sees it. */
static bct_gate_limit_nodes_t fleet(uint32_t n, uint32_t i)
{
	for (uint32_t k = 0; k < n; k++)
		incarnations[k] = 0x9e3779b97f4a7c15ULL * (k + 1);
	return (bct_gate_limit_nodes_t){ .incarnations = incarnations,
					 .n = n,
					 .self = incarnations[i] };
}

/* A fleet of one node learns that the upstream is brittle. */
static void name(bct_time_t now, uint32_t bears)
{
	bct_gate_limit_nodes_t alone = fleet(1, 0);

	memset(&b, 0, sizeof(b));
	bct_gate_brittle_answered(&b, now, now - 1, true, bears);
	bct_gate_brittle_assign(&b, now, UPSTREAM_KEY, SLOTS, &alone);
}

Test(gate_brittle, others_are_not_held_back)
{
	memset(&b, 0, sizeof(b));
	cr_expect_eq(bct_gate_brittle_wait_ms(&b, 1000, SLOTS, 100), 0);
	bct_gate_brittle_turned_away(&b, 1000);
	cr_expect_eq(bct_gate_brittle_wait_ms(&b, 1000, SLOTS, 100), 0);
}

/* It bears none: half of its places are used. It bears many: all of them. */
Test(gate_brittle, no_more_run_than_fit_with_what_is_not_seen)
{
	name(1000, 0);
	cr_expect_eq(bct_gate_brittle_wait_ms(&b, 2000, SLOTS, 2), 0);
	cr_expect_gt(bct_gate_brittle_wait_ms(&b, 2000, SLOTS, 3), 0);
	name(1000, 20);
	cr_expect_eq(bct_gate_brittle_wait_ms(&b, 2000, SLOTS, 5), 0);
	cr_expect_gt(bct_gate_brittle_wait_ms(&b, 2000, SLOTS, 6), 0);
}

/* All nodes together send no more in the time in which they don't see each other. */
Test(gate_brittle, what_is_sent_unseen_is_in_equal_parts)
{
	static const uint32_t sizes[] = { 1, 2, 7, 75, 195 };

	for (uint32_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		uint32_t sent = 0;

		for (uint32_t node = 0; node < sizes[i]; node++) {
			bct_gate_limit_nodes_t nodes = fleet(sizes[i], node);

			memset(&b, 0, sizeof(b));
			bct_gate_brittle_answered(&b, 1000, 999, true, 0);
			for (bct_time_t now = 1000; now < 11000; now += 10) {
				bct_gate_brittle_assign(&b, now, UPSTREAM_KEY, SLOTS, &nodes);
				if (bct_gate_brittle_wait_ms(&b, now, SLOTS, 0))
					continue;
				bct_gate_brittle_sent(&b, now);
				sent++;
			}
		}
		/* Three in 100 ms, for 10 s. */
		cr_expect_leq(sent, 300, "%u nodes: %u", sizes[i], sent);
		cr_expect_geq(sent, 300 * 8 / 10, "%u nodes: %u", sizes[i], sent);
	}
}

Test(gate_brittle, one_turned_away_stops_its_node_for_a_second)
{
	name(1000, 40);
	bct_gate_brittle_turned_away(&b, 2000);
	cr_expect_eq(bct_gate_brittle_wait_ms(&b, 2100, SLOTS, 0), 900);
	cr_expect_eq(bct_gate_brittle_wait_ms(&b, 3000, SLOTS, 0), 0);
}

/* Several, told by peers, stop all; a few do not. */
Test(gate_brittle, reports_of_peers_add_up)
{
	bct_gate_brittle_report_t r = { .named = true, .bears = 40, .turned_away = 5 };

	name(1000, 40);
	bct_gate_brittle_reported(&b, 2000, &r);
	cr_expect_eq(bct_gate_brittle_wait_ms(&b, 2000, SLOTS, 0), 0);
	bct_gate_brittle_reported(&b, 2100, &r);
	cr_expect_gt(bct_gate_brittle_wait_ms(&b, 2100, SLOTS, 0), 0);
}

/* An answer without the statement lifts it, but not one to a request from before it. */
Test(gate_brittle, it_is_lifted_by_a_later_request)
{
	bct_gate_limit_nodes_t nodes;

	name(1000, 3);
	cr_expect_not(bct_gate_brittle_answered(&b, 1100, 900, false, 0));
	cr_expect(b.named);
	cr_expect(bct_gate_brittle_answered(&b, 1200, 1050, false, 0));
	cr_expect_not(b.named);
	name(1000, 3);
	nodes = fleet(1, 0);
	bct_gate_brittle_assign(&b, 1000 + BCT_GATE_BRITTLE_FORGET_MS, UPSTREAM_KEY, SLOTS, &nodes);
	cr_expect_not(b.named);
}

/* A report that is older than what is known changes nothing. */
Test(gate_brittle, late_reports_change_nothing)
{
	bct_gate_brittle_report_t r = { .named = false, .age_ms = 5000 };

	name(10000, 3);
	cr_expect_not(bct_gate_brittle_reported(&b, 10100, &r));
	cr_expect(b.named);
}

/*
 * The model: nodes that each see the load of the others SEEN_LATE_MS late, upstreams with a few
 * places and a short queue, callers that want more than fits.
 */

typedef struct upstream {
	bct_time_t ends[SLOTS + QUEUE]; /* of requests there; 0: free */
	uint32_t running;
	uint32_t seen[HISTORY]; /* running, in the last steps */
	bct_time_t away[64];	/* times at which it turned one away; a ring */
	uint32_t n_away;
	bct_time_t down_until;
	uint32_t falls;
} upstream_t;

typedef struct outcome {
	uint32_t falls, served, refused, turned_away;
} outcome_t;

static upstream_t ups[MODEL_UPSTREAMS];
static bct_gate_brittle_t beliefs[MODEL_NODES][MODEL_UPSTREAMS];
static bct_rng_t rng;

static void step_upstream(upstream_t *u, bct_time_t now)
{
	u->running = 0;
	for (uint32_t i = 0; i < SLOTS + QUEUE; i++) {
		if (u->ends[i] && now >= u->ends[i])
			u->ends[i] = 0;
		u->running += u->ends[i] != 0;
	}
	memmove(&u->seen[1], &u->seen[0], sizeof(u->seen) - sizeof(u->seen[0]));
	u->seen[0] = u->running;
}

/* returns whether there was room */
static bool arrive(upstream_t *u, bct_time_t now, uint32_t bears)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < SLOTS + QUEUE; i++) {
		if (u->ends[i])
			continue;
		u->ends[i] = now + SERVICE_MS * (u->running >= SLOTS ? 2 : 1);
		u->running++;
		return true;
	}
	u->away[u->n_away++ % 64] = now;
	for (uint32_t i = 0; i < 64 && i < u->n_away; i++)
		n += now - u->away[i] < 1000;
	if (n <= bears)
		return false;
	u->falls++;
	u->down_until = now + RESTART_MS;
	u->n_away = 0;
	memset(u->ends, 0, sizeof(u->ends));
	return false;
}

static void tell_others(uint32_t node, uint32_t up, uint32_t nodes, bct_time_t now, uint32_t bears)
{
	bct_gate_brittle_report_t r = { .named = true, .bears = bears, .turned_away = 1 };

	for (uint32_t i = 0; i < nodes; i++) {
		if (i != node)
			bct_gate_brittle_reported(&beliefs[i][up], now, &r);
	}
}

/* Tries the upstreams that a node may send to now. returns whether one had room */
static bool try_at(uint32_t node, uint32_t nodes, bct_time_t now, uint32_t bears, bool heeds,
		   outcome_t *out)
{
	uint32_t first = bct_rng_below(&rng, MODEL_UPSTREAMS);

	for (uint32_t i = 0; i < MODEL_UPSTREAMS; i++) {
		uint32_t up = (first + i) % MODEL_UPSTREAMS;
		upstream_t *u = &ups[up];
		bct_gate_brittle_t *belief = &beliefs[node][up];

		if (now < u->down_until)
			continue;
		if (heeds && bct_gate_brittle_wait_ms(belief, now, SLOTS, u->seen[HISTORY - 1]))
			continue;
		bct_gate_brittle_sent(belief, now);
		if (arrive(u, now, bears)) {
			out->served++;
			return true;
		}
		out->turned_away++;
		bct_gate_brittle_turned_away(belief, now);
		tell_others(node, up, nodes, now, bears);
		return false;
	}
	return false;
}

/* A random owner of a random upstream. */
static uint32_t draw_owner(uint32_t nodes)
{
	uint32_t up = bct_rng_below(&rng, MODEL_UPSTREAMS), node;

	for (int i = 0; i < 1000; i++) {
		node = bct_rng_below(&rng, nodes);
		if (beliefs[node][up].owner)
			return node;
	}
	return node;
}

/* A request that its node can't send goes through owners, up to three one after the other. */
static void request(uint32_t nodes, bct_time_t now, uint32_t bears, bool heeds, outcome_t *out)
{
	uint32_t away = out->turned_away, node = bct_rng_below(&rng, nodes);

	for (int tries = 0; tries <= HELPERS && out->turned_away == away; tries++) {
		if (try_at(node, nodes, now, bears, heeds, out))
			return;
		if (!heeds || nodes == 1)
			break;
		node = draw_owner(nodes);
	}
	out->refused++;
}

static void assign_all(uint32_t n_nodes, uint32_t node, bct_time_t now)
{
	bct_gate_limit_nodes_t nodes = fleet(n_nodes, node);

	for (uint32_t u = 0; u < MODEL_UPSTREAMS; u++)
		bct_gate_brittle_assign(&beliefs[node][u], now, UPSTREAM_KEY + u, SLOTS, &nodes);
}

/* per_s: requests of all callers. heeds: whether nodes heed what upstreams say. */
static outcome_t play(uint32_t nodes, uint32_t bears, uint32_t per_s, bool heeds)
{
	outcome_t out = { 0 };

	memset(ups, 0, sizeof(ups));
	memset(beliefs, 0, sizeof(beliefs));
	bct_rng_seed(&rng, nodes + bears);
	for (uint32_t n = 0; n < nodes; n++) {
		for (uint32_t u = 0; u < MODEL_UPSTREAMS; u++)
			bct_gate_brittle_answered(&beliefs[n][u], 1000, 999, true, bears);
	}
	for (bct_time_t now = 1000; now < 1000 + MODEL_SECONDS * 1000; now += MODEL_STEP_MS) {
		uint32_t many = per_s * MODEL_STEP_MS;

		for (uint32_t u = 0; u < MODEL_UPSTREAMS; u++)
			step_upstream(&ups[u], now);
		if (now % 100 == 0) {
			for (uint32_t n = 0; n < nodes; n++)
				assign_all(nodes, n, now);
		}
		for (uint32_t i = 0; i < many / 1000 + (bct_rng_below(&rng, 1000) < many % 1000);
		     i++)
			request(nodes, now, bears, heeds, &out);
	}
	for (uint32_t u = 0; u < MODEL_UPSTREAMS; u++)
		out.falls += ups[u].falls;
	return out;
}

/* At half of what the upstreams can do, at all of it, and at three times as much. */
Test(gate_brittle, fleets_make_no_upstream_fall)
{
	static const uint32_t sizes[] = { 1, 7, 75, 195 };
	static const uint32_t bears[] = { 0, 1, 5, 20 };
	static const uint32_t rates[] = { 150, 300, 600, 1800 };

	for (uint32_t i = 0; i < 4; i++) {
		for (uint32_t j = 0; j < 4; j++) {
			for (uint32_t k = 0; k < 4; k++) {
				outcome_t with = play(sizes[i], bears[j], rates[k], true);
				outcome_t without = play(sizes[i], bears[j], rates[k], false);

				fprintf(stderr,
					"%3u nodes, bears %2u, %4u/s: falls %u (unheeded %u), "
					"served %u (%u), turned away %u\n",
					sizes[i], bears[j], rates[k], with.falls, without.falls,
					with.served, without.served, with.turned_away);
				/* Two and a tenth of their number, in one brittle time. */
				cr_expect_leq(with.falls, 2);
			}
		}
	}
}
