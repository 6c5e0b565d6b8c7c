/*
 * usage.c - counts requests that begin to run, and exchanges the counters with the keepers.
 *
 * Keepers hear the time of all nodes. The other nodes hear it from the nodes before them in the
 * order of incarnations, as a node hears of few others otherwise.
 */
#include "gate/usage.h"
#include "base/err.h"
#include "base/mem.h"
#include "gate/share.h"
#include "gate/usage_pack.h"
#include "policy/true_time.h"
#include "policy/usage_round.h"

#include <string.h>

#define TIME_MS 1000	 /* between two messages on the time */
#define TIME_RECEIVERS 4 /* one more than correct a node, as one may be missing */

struct bct_gate_usage {
	bct_share_topic_t topic;
	bct_gate_t *gate;
	bct_usage_t *counters;
	bct_true_time_t time;
	bct_usage_rounds_t rounds;
	uint64_t holder;
	bct_time_t round_at; /* of the last round */
	bct_time_t time_sent_at;
	bct_usage_pack_t pack;
};

bct_usage_t *bct_gate_usage_counters(bct_gate_usage_t *s)
{
	return s->counters;
}

bct_time_t bct_gate_usage_true_time(const bct_gate_usage_t *s, bct_time_t now)
{
	return bct_true_time_at(&s->time, now);
}

uint64_t bct_gate_usage_window(const bct_gate_usage_t *s, bct_time_t now)
{
	return (uint64_t)bct_true_time_at(&s->time, now) / s->gate->settings->duty_window_ms;
}

void bct_gate_usage_set_holder(bct_gate_usage_t *s, uint64_t incarnation)
{
	s->holder = incarnation;
}

void bct_gate_usage_began(bct_gate_t *g, const char *account)
{
	if (!g->usage || !account)
		return;
	BCT_GATE_COUNT(g, USAGE_COUNTED);
	bct_usage_began(g->usage->counters, bct_gate_usage_window(g->usage, bct_clock_now()),
			account);
}

static void begin_message(bct_gate_usage_t *s, bct_time_t now)
{
	bool settled = bct_true_time_is_settled(&s->time, now);

	bct_usage_pack_init(&s->pack, settled ? bct_true_time_at(&s->time, now) : 0);
}

static void send_message(bct_gate_usage_t *s, uint64_t to)
{
	share_update update = { 0 };

	update.usage.usage_val = &s->pack.message;
	update.usage.usage_len = 1;
	BCT_GATE_COUNT(s->gate, USAGE_SENT);
	bct_share_send_to(&s->topic, &update, to);
}

/* Sends a keeper what is due in this round, in as many messages as needed. */
static void send_counters(bct_gate_usage_t *s, bct_time_t now, uint32_t keeper)
{
	uint64_t to = s->rounds.keepers[keeper].incarnation;
	bct_usage_round_pos_t pos = { 0 };
	bct_usage_item_t item;

	begin_message(s, now);
	while (bct_usage_round_next(&s->rounds, s->counters, keeper, &pos, &item)) {
		if (bct_usage_pack_add(&s->pack, &item))
			continue;
		send_message(s, to);
		begin_message(s, now);
		bct_usage_pack_add(&s->pack, &item);
	}
	if (s->pack.n_counts)
		send_message(s, to);
}

/* The incarnation that follows the given one among the live nodes; the lowest follows the highest.
 */
static uint64_t next_node(const bct_gate_limit_nodes_t *nodes, uint64_t incarnation)
{
	uint64_t next = 0, lowest = UINT64_MAX;

	for (uint32_t i = 0; i < nodes->n; i++) {
		uint64_t id = nodes->incarnations[i];

		lowest = id < lowest ? id : lowest;
		if (id > incarnation && (!next || id < next))
			next = id;
	}
	return next ? next : lowest;
}

static void send_time(bct_gate_usage_t *s, bct_time_t now, const bct_gate_limit_nodes_t *nodes)
{
	uint64_t to = nodes->self;

	if (now - s->time_sent_at < TIME_MS || !bct_true_time_is_settled(&s->time, now))
		return;
	s->time_sent_at = now;
	begin_message(s, now);
	for (uint32_t i = 0; i < TIME_RECEIVERS && i < nodes->n; i++) {
		to = next_node(nodes, to);
		if (to == nodes->self)
			return;
		send_message(s, to);
	}
}

static void log_keepers(const bct_gate_usage_t *s, const bct_usage_rounds_t *before)
{
	const bct_usage_rounds_t *r = &s->rounds;
	bool same = before->n_keepers == r->n_keepers;
	uint64_t ids[BCT_USAGE_KEEPERS_MAX] = { 0 };

	for (uint32_t i = 0; i < r->n_keepers; i++) {
		ids[i] = r->keepers[i].incarnation;
		same = same && ids[i] == before->keepers[i].incarnation;
	}
	if (same)
		return;
	BCT_LOG(s->gate->log, BCT_EV_USAGE_KEEPERS, BCT_U64("nodes", r->fleet.n),
		BCT_U64("is_keeper", r->is_keeper), BCT_HEX("holder", s->holder),
		BCT_HEX("first", ids[0]), BCT_HEX("second", ids[1]), BCT_HEX("third", ids[2]),
		BCT_HEX("fourth", ids[3]));
}

static void run_round(bct_gate_usage_t *s, bct_time_t now, const bct_gate_limit_nodes_t *nodes)
{
	bct_usage_rounds_t before = s->rounds;
	bct_usage_fleet_t fleet = {
		.live = nodes->incarnations, .n = nodes->n, .self = nodes->self, .holder = s->holder
	};

	if (now - s->round_at < bct_usage_round_ms(nodes->n))
		return;
	s->round_at = now;
	bct_usage_round_begin(&s->rounds, now, s->counters, &fleet, bct_gate_usage_window(s, now));
	log_keepers(s, &before);
	for (uint32_t i = 0; i < s->rounds.n_keepers; i++) {
		if (s->rounds.keepers[i].incarnation != nodes->self)
			send_counters(s, now, i);
	}
}

void bct_gate_usage_tick(bct_gate_usage_t *s)
{
	uint64_t live[BCT_SHARE_NODES_MAX];
	bct_time_t now = bct_clock_now(), wall = bct_clock_wall(), correction;
	bct_gate_limit_nodes_t nodes;

	if (!s)
		return;
	correction = bct_true_time_advance(&s->time, now, wall);
	if (correction)
		BCT_LOG(s->gate->log, BCT_EV_TRUE_TIME_CORRECTED,
			BCT_I64("correction_ms", correction),
			BCT_I64("wall_clock_off_ms", wall - bct_true_time_at(&s->time, now)));
	bct_usage_expire(s->counters, bct_gate_usage_window(s, now));
	if (!s->gate->share)
		return;
	nodes = bct_share_live_nodes(s->gate->share, live);
	/* The others do not count on a node that leaves; it is the last in the list. */
	if (s->gate->draining)
		nodes.n--;
	run_round(s, now, &nodes);
	send_time(s, now, &nodes);
}

static bool apply(bct_share_topic_t *t, bct_time_t now, const share_update *update,
		  share_update *news)
{
	bct_gate_usage_t *s = (bct_gate_usage_t *)t;

	(void)news;
	for (u_int i = 0; i < update->usage.usage_len; i++) {
		const share_usage *message = &update->usage.usage_val[i];
		uint32_t n = bct_usage_pack_merge(s->counters, message);

		BCT_GATE_COUNT(s->gate, USAGE_RECEIVED);
		bct_counter_add(&s->gate->counters.values[BCT_GATE_USAGE_MERGED], n);
		if (message->true_time_ms)
			bct_true_time_heard(&s->time, now, update->from, message->true_time_ms);
	}
	return false;
}

/* The topic sends its messages itself, as they have few receivers. */
static const bct_share_topic_ops_t ops = { .apply = apply };

int bct_gate_usage_new(bct_gate_t *g, bct_gate_usage_t **out)
{
	uint64_t self = g->peer ? bct_peer_incarnation(g->peer) : bct_random_id();
	bct_share_topic_opts_t o = { .relayed = false };
	bct_gate_usage_t *s;
	int rc;

	if (!g->settings->duty_window_ms)
		return -BCT_EINVAL;
	s = bct_alloc(sizeof(*s));
	if (!s)
		return -BCT_ENOMEM;
	rc = bct_usage_new(self, &s->counters);
	if (rc) {
		bct_free(s);
		return rc;
	}
	s->gate = g;
	s->topic.ops = &ops;
	bct_true_time_advance(&s->time, bct_clock_now(), bct_clock_wall());
	bct_share_register(g->share, &s->topic, &o);
	*out = s;
	return 0;
}

void bct_gate_usage_free(bct_gate_usage_t *s)
{
	if (!s)
		return;
	bct_usage_free(s->counters);
	bct_free(s);
}
