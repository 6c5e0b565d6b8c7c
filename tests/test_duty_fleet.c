/*
 * test_duty_fleet.c - lease, plan and record of three nodes in virtual time, under random faults of
 * the store, the API and the nodes. Each node would report other counts, so that a window that is
 * decided twice shows.
 */
#include "base/err.h"
#include "base/rng.h"
#include "gate/duty_record.h"
#include "policy/duty_lease.h"

#include <criterion/criterion.h>
#include <string.h>

#define NODES 3
#define STEP_MS 50
#define RUN_MS 600000
#define SEEDS 200
#define WINDOW_MS 1000
#define LEASE_MS 3000
#define LATE_MAX 64
#define WINDOWS 700
#define FENCES 8192
#define TIMEOUT_MS 1500

struct sim_node;

/* A call that is executed later, and gets no response unless the caller was frozen meanwhile. */
typedef struct late {
	struct sim_node *caller; /* receives the response; NULL: there is none */
	bct_time_t at;		 /* 0: none */
	uint64_t fence;
	uint64_t window;
	uint32_t requests;
	bct_gate_position_t condition;
	bct_buf_t record;
} late_t;

typedef struct sim_node {
	bct_duty_lease_t lease;
	bct_duty_plan_t plan;
	bct_buf_t known;
	bct_time_t frozen_until;
	bct_time_t no_candidate_until;
	bct_duty_act_t act; /* call to the store in progress, which ends at act_done */
	bct_time_t act_done;
	int act_rc;
	bct_buf_t record; /* to append, or read */
	bct_gate_position_t position, end;
	uint64_t revision;
	bct_duty_call_t call; /* to the API */
	bct_time_t call_done; /* 0: none */
	int call_rc;
	bct_time_t sent_at; /* of the last call */
	uint64_t refused_fence;
} sim_node_t;

typedef struct sim {
	bct_rng_t rng;
	bct_time_t now;
	sim_node_t nodes[NODES];
	bct_buf_t record;
	bct_gate_position_t end;
	bct_time_t store_down_until, api_down_until;
	late_t appends[LATE_MAX], calls[LATE_MAX];
	uint64_t seen_fence;
	uint32_t accepted[WINDOWS]; /* requests + 1; 0: none */
	bct_time_t accepted_at[WINDOWS];
	uint32_t sender[FENCES]; /* of each token: node + 1 */
	uint32_t last_sender, handovers, refused;
	uint64_t ids;
} sim_t;

static bool chance(sim_t *s, uint32_t permille)
{
	return bct_rng_below(&s->rng, 1000) < permille;
}

static int append(sim_t *s, bct_gate_position_t at, const bct_buf_t *r, bct_gate_position_t *out)
{
	if (at != s->end)
		return -BCT_ESTALE;
	bct_buf_clear(&s->record);
	bct_buf_put(&s->record, r->data, r->len_bytes);
	*out = s->end++;
	return 0;
}

static late_t *slot(late_t *list)
{
	for (uint32_t i = 0; i < LATE_MAX; i++) {
		if (!list[i].at)
			return &list[i];
	}
	cr_assert_fail("more late calls than LATE_MAX");
	return NULL;
}

/* The API executes a report. */
static int execute(sim_t *s, uint64_t fence, uint64_t window, uint32_t requests)
{
	if (fence < s->seen_fence)
		return -BCT_EFENCED;
	s->seen_fence = fence;
	cr_assert_lt(window, WINDOWS);
	if (s->accepted[window])
		cr_assert_eq(s->accepted[window], requests + 1,
			     "two accepted reports of window %u differ", (unsigned)window);
	else
		s->accepted_at[window] = s->now;
	s->accepted[window] = requests + 1;
	return 0;
}

static void encode(sim_t *s, sim_node_t *n, uint32_t i)
{
	bct_duty_header_t h = {
		.holder = n->act == BCT_DUTY_RELEASE ? 0 : n->lease.opts.incarnation,
		.ttl_ms = LEASE_MS,
		.append_id = bct_duty_lease_append_id(&n->lease),
		.revision = n->revision = bct_duty_plan_next_revision(&n->plan),
	};

	h.name[0] = (char)('A' + i);
	bct_buf_clear(&n->record);
	cr_assert_eq(bct_duty_record_encode(&h, &n->plan, NULL, 0, &n->record), 0);
	(void)s;
}

static void take_over(sim_t *s, sim_node_t *n)
{
	bct_duty_state_t state = { 0 };
	bct_duty_header_t h;

	if (n->known.len_bytes)
		cr_assert_eq(bct_duty_record_decode(n->known.data, n->known.len_bytes, &h, &state),
			     0);
	cr_assert_eq(bct_duty_plan_adopt(&n->plan, s->now, &state), 0);
	if (!n->plan.decided)
		bct_duty_plan_skip(&n->plan, (uint64_t)s->now / WINDOW_MS);
	bct_duty_state_free(&state);
}

static void call_store(sim_t *s, sim_node_t *n, uint32_t i)
{
	bool changed = bct_duty_plan_unwritten(&n->plan, n->lease.head.revision, n->lease.fence);
	late_t *l;

	n->act = bct_duty_lease_next(&n->lease, s->now, changed, ++s->ids);
	if (!n->act)
		return;
	n->act_done = s->now + bct_rng_below(&s->rng, 300);
	if (n->act == BCT_DUTY_CLAIM)
		take_over(s, n);
	if (n->act != BCT_DUTY_READ)
		encode(s, n, i);
	n->act_rc = s->now < s->store_down_until || chance(s, 20) ? -BCT_EUNAVAILABLE : 0;
	if (n->act_rc)
		return;
	if (n->act == BCT_DUTY_READ) {
		bct_buf_clear(&n->record);
		bct_buf_put(&n->record, s->record.data, s->record.len_bytes);
		n->position = s->end - 1;
		n->end = s->end;
		return;
	}
	if (chance(s, 30)) {
		l = slot(s->appends);
		l->at = s->now + 200 + bct_rng_below(&s->rng, 12000);
		l->condition = bct_duty_lease_at(&n->lease);
		bct_buf_clear(&l->record);
		bct_buf_put(&l->record, n->record.data, n->record.len_bytes);
		n->act_rc = -BCT_EUNKNOWN_OUTCOME;
	} else {
		n->act_rc = append(s, bct_duty_lease_at(&n->lease), &n->record, &n->position);
		if (chance(s, 50))
			n->act_rc = -BCT_EUNKNOWN_OUTCOME;
	}
	if (n->act_rc == -BCT_EUNKNOWN_OUTCOME)
		n->act_done = s->now + TIMEOUT_MS;
}

static void store_done(sim_t *s, sim_node_t *n)
{
	bct_duty_act_t act = n->act;
	bct_duty_header_t h;
	bct_duty_state_t state;
	bct_duty_head_t head = { .position = n->position };
	bool some = n->record.len_bytes && !n->act_rc;

	n->act = BCT_DUTY_IDLE;
	if (act != BCT_DUTY_READ) {
		bct_duty_lease_appended(&n->lease, s->now, n->act_rc, n->position, n->revision);
	} else if (some) {
		cr_assert_eq(
			bct_duty_record_decode(n->record.data, n->record.len_bytes, &h, &state), 0);
		bct_duty_state_free(&state);
		head.holder = h.holder;
		head.ttl_ms = h.ttl_ms;
		head.append_id = h.append_id;
		head.revision = h.revision;
		bct_duty_lease_read(&n->lease, s->now, 0, &head, n->end);
	} else {
		bct_duty_lease_read(&n->lease, s->now, n->act_rc, NULL, n->end);
	}
	if (!some)
		return;
	bct_buf_clear(&n->known);
	bct_buf_put(&n->known, n->record.data, n->record.len_bytes);
}

/* Checks who sends, when, and with which token. */
static void check_send(sim_t *s, sim_node_t *n, uint32_t i)
{
	uint64_t fence = bct_gate_position_offset(n->call.fence);

	cr_assert_lt(fence, FENCES);
	cr_assert(!s->sender[fence] || s->sender[fence] == i + 1, "a token of two nodes");
	s->sender[fence] = i + 1;
	cr_assert_neq(n->call.fence, n->refused_fence, "goes on after a refusal");
	if (s->last_sender && s->last_sender != i + 1) {
		s->handovers++;
		cr_assert(!n->sent_at || s->now - n->sent_at >= LEASE_MS, "A, B, A");
	}
	s->last_sender = i + 1;
	n->sent_at = s->now;
}

static void call_api(sim_t *s, sim_node_t *n, uint32_t i)
{
	bct_time_t rest = n->lease.valid_until - s->now;
	uint32_t requests;
	late_t *l;

	if (rest < 500 ||
	    !bct_duty_plan_next(&n->plan, s->now, n->lease.fence, n->lease.head.revision, &n->call))
		return;
	check_send(s, n, i);
	requests = n->call.report->counts[0].requests;
	n->call_done = s->now + 10 + bct_rng_below(&s->rng, 200);
	if (chance(s, 10)) {
		/* Frozen after the check of the lease and before the call is sent. */
		l = slot(s->calls);
		n->frozen_until = s->now + 1000 + bct_rng_below(&s->rng, 7000);
		n->call_done = l->at = n->frozen_until;
		*l = (late_t){ n, l->at, n->call.fence, n->call.window, requests, 0, { 0 } };
	} else if (s->now < s->api_down_until || chance(s, 30)) {
		n->call_rc = -BCT_EUNAVAILABLE;
	} else if (chance(s, 100)) {
		l = slot(s->calls);
		l->at = s->now + 2000 + bct_rng_below(&s->rng, 10000);
		*l = (late_t){ NULL, l->at, n->call.fence, n->call.window, requests, 0, { 0 } };
		n->call_rc = -BCT_EUNKNOWN_OUTCOME;
		n->call_done = s->now + (rest < TIMEOUT_MS ? rest : TIMEOUT_MS);
	} else {
		n->call_rc = execute(s, n->call.fence, n->call.window, requests);
	}
}

static void api_done(sim_t *s, sim_node_t *n)
{
	n->call_done = 0;
	if (bct_duty_plan_done(&n->plan, s->now, &n->call, n->call_rc) != BCT_DUTY_REFUSED)
		return;
	n->refused_fence = n->call.fence;
	bct_duty_lease_refused(&n->lease, s->now, n->call.fence);
}

/* The counts depend on the node and on when it decides. */
static void decide(sim_t *s, sim_node_t *n, uint32_t i)
{
	bct_usage_count_t count = { "A", (uint32_t)s->now * NODES + i };
	bct_usage_report_t r = { 0, &count, 1 };
	uint32_t tries;
	uint64_t w;

	while (bct_duty_plan_give_up(&n->plan, s->now, &w, &tries))
		;
	while (bct_duty_plan_window(&n->plan, s->now, &r.window))
		cr_assert_eq(bct_duty_plan_decide(&n->plan, &r), 0);
}

static void step_node(sim_t *s, sim_node_t *n, uint32_t i)
{
	if (s->now < n->frozen_until)
		return;
	if (n->act && s->now >= n->act_done)
		store_done(s, n);
	if (n->call_done && s->now >= n->call_done)
		api_done(s, n);
	if (chance(s, 1))
		n->frozen_until = s->now + 500 + bct_rng_below(&s->rng, 8000);
	if (chance(s, 1))
		n->no_candidate_until = s->now + bct_rng_below(&s->rng, 4000);
	bct_duty_lease_set_candidate(&n->lease, s->now >= n->no_candidate_until, i);
	if (bct_duty_lease_valid(&n->lease, s->now))
		decide(s, n, i);
	if (!n->act)
		call_store(s, n, i);
	if (bct_duty_lease_valid(&n->lease, s->now) && !n->call_done)
		call_api(s, n, i);
}

static void execute_late(sim_t *s)
{
	bct_gate_position_t position;

	for (uint32_t i = 0; i < LATE_MAX; i++) {
		late_t *a = &s->appends[i], *c = &s->calls[i];

		if (a->at && s->now >= a->at) {
			a->at = 0;
			append(s, a->condition, &a->record, &position);
		}
		if (c->at && s->now >= c->at) {
			int rc = execute(s, c->fence, c->window, c->requests);

			c->at = 0;
			s->refused += c->caller && rc;
			if (c->caller)
				c->caller->call_rc = rc;
		}
	}
	if (chance(s, 1))
		s->store_down_until = s->now + bct_rng_below(&s->rng, 6000);
	if (chance(s, 1))
		s->api_down_until = s->now + bct_rng_below(&s->rng, 6000);
}

static void start(sim_t *s, uint64_t seed)
{
	bct_duty_plan_opts_t p = { .window_ms = WINDOW_MS, .calls_per_s = 50 };

	memset(s, 0, sizeof(*s));
	bct_rng_seed(&s->rng, seed);
	s->now = 100000;
	s->end = bct_gate_position(2, 3);
	for (uint32_t i = 0; i < NODES; i++) {
		bct_duty_lease_opts_t o = { .incarnation = i + 1,
					    .ttl_ms = LEASE_MS,
					    .margin_ms = 500,
					    .renew_ms = 1000,
					    .read_ms = 1000,
					    .rank_ms = 500,
					    .again_ms = LEASE_MS };

		bct_duty_lease_init(&s->nodes[i].lease, &o);
		bct_duty_plan_init(&s->nodes[i].plan, &p);
	}
}

static void end(sim_t *s)
{
	for (uint32_t i = 0; i < NODES; i++) {
		bct_duty_plan_free(&s->nodes[i].plan);
		bct_buf_free(&s->nodes[i].known);
		bct_buf_free(&s->nodes[i].record);
	}
	for (uint32_t i = 0; i < LATE_MAX; i++)
		bct_buf_free(&s->appends[i].record);
	bct_buf_free(&s->record);
}

/*
 * No window is reported with two counts, no token is used by two nodes, none returns within the
 * time of a lease, and none goes on after a refusal. Nearly all windows are reported, most in time.
 */
Test(duty_fleet, random_faults, .timeout = 120)
{
	static sim_t s;
	uint32_t windows = 0, missing = 0, late = 0, handovers = 0;
	uint32_t refused = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		start(&s, seed);
		for (; s.now < RUN_MS; s.now += STEP_MS) {
			execute_late(&s);
			for (uint32_t i = 0; i < NODES; i++)
				step_node(&s, &s.nodes[i], i);
		}
		for (uint64_t w = 125; w < RUN_MS / WINDOW_MS - 30; w++, windows++) {
			missing += !s.accepted[w];
			late += s.accepted[w] &&
				s.accepted_at[w] > (bct_time_t)(w + 1) * WINDOW_MS + 10000;
		}
		handovers += s.handovers;
		refused += s.refused;
		end(&s);
	}
	cr_log_info("%u windows, %u missing, %u late, %u handovers, %u refused", windows, missing,
		    late, handovers, refused);
	cr_assert_gt(refused, 0);
	cr_assert_gt(handovers, SEEDS);
	cr_assert_lt(missing * 100, windows, "less than 1 in 100");
	cr_assert_lt(late * 4, windows, "less than 1 in 4");
}
