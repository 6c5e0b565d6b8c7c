/*
 * gate_poll.c - readers are the nodes of lowest rank that the registry answers; the others pull
 * from peers when their versions and those advertised stay different.
 */
#include "policy/gate_poll.h"

#include <string.h>

#define FRESH_SLACK_MS 400	/* for the registry's answer and the delay between nodes */
#define TAKEOVER_STEP_MS 200	/* pause before the next larger group of nodes takes over */
#define PROPAGATION_MS 400	/* longest delay until a change reaches this node by message */
#define UNEQUAL_MIN_MS 800	/* least wait for a lost change while other changes keep coming */
#define AGE_ERROR_MS 100	/* ages that nodes relay are not exact */
#define CHANGES_MAX_AGE_MS 3000 /* after a longer pause a listing is smaller than the changes */
#define LOST_AFTER_MS 3000	/* all nodes have taken over by then, also in a large fleet */
#define RETRY_MIN_MS 200     /* base of the back-off after failures; least pause of a non-reader */
#define RETRY_MAX_SHIFT 2U   /* the pause after failures doubles up to this shift */
#define PULL_MAX_SHIFT 3U    /* the same after pulls that did not help */
#define PULL_MAX_MS 8000     /* a pull whose end was not reported counts as ended */
#define CONFIRM_PAUSE_MS 100 /* least pause before a call that confirms the upstreams */
#define REFUSED_KEEP_MS 1500 /* how long a failed poll speaks against asking the registry again */

void bct_gate_poll_init(bct_gate_poll_t *p, uint32_t interval_ms)
{
	memset(p, 0, sizeof(*p));
	p->interval_ms = interval_ms;
}

/* An echo of this node's own answer says nothing new. Returns whether the answer is the latest. */
static bool note_read(bct_gate_poll_t *p, bct_registry_topic_t topic, const bct_gate_read_t *r)
{
	bct_gate_read_t *latest = &p->topics[topic].peer_read;

	if (r->reader == p->self || r->answered_at <= latest->answered_at)
		return false;
	*latest = *r;
	return true;
}

void bct_gate_poll_received(bct_gate_poll_t *p, const bct_gate_peer_versions_t *v)
{
	const bct_gate_read_t *seen = &p->topics[BCT_REGISTRY_UPSTREAMS].peer_read;
	const bct_gate_read_t *read = &v->reads[BCT_REGISTRY_UPSTREAMS];

	if (v->routes_version >= p->highest_version) {
		p->highest_version = v->routes_version;
		p->highest_from = v->from;
	}
	if (note_read(p, BCT_REGISTRY_ROUTES, &v->reads[BCT_REGISTRY_ROUTES]))
		p->peer_version = v->routes_version;
	if (!read->answered_at || read->answered_at + AGE_ERROR_MS < seen->answered_at)
		return;
	note_read(p, BCT_REGISTRY_UPSTREAMS, read);
	p->message_gap_ms = (uint32_t)(p->received_at ? v->received_at - p->received_at : 0);
	p->received_at = v->received_at;
	p->received_from = v->from;
	p->received_read = *read;
	p->received_digest = v->upstreams_digest;
}

/*
 * Tracks for how long the local upstreams have differed from the peer's. If they changed since its
 * message, the peer may not know the change yet: only a later message shows a real difference.
 */
static void compare(bct_gate_poll_t *p, bct_time_t now, const bct_gate_local_versions_t *local)
{
	bool changed = local->upstreams_digest != p->local_digest_then;

	if (p->received_at != p->compared_at) {
		p->compared_at = p->received_at;
		p->local_digest_then = local->upstreams_digest;
	}
	if (!p->received_at || local->upstreams_digest == p->received_digest) {
		p->differs_since = 0;
		p->unequal_since = 0;
		return;
	}
	if (!p->unequal_since)
		p->unequal_since = now;
	if (changed)
		p->differs_since = 0;
	else if (!p->differs_since)
		p->differs_since = now;
}

static void hold(bct_gate_topic_poll_t *t, const bct_gate_read_t *r)
{
	if (r->answered_at > t->held.answered_at)
		t->held = *r;
	t->unhelpful_pulls = 0;
}

/* Notes which advertised answers the local data matches. */
static void note_held(bct_gate_poll_t *p, const bct_gate_local_versions_t *local)
{
	bct_gate_topic_poll_t *routes = &p->topics[BCT_REGISTRY_ROUTES];

	if (local->routes_version >= p->peer_version)
		hold(routes, &routes->peer_read);
	if (p->received_at && local->upstreams_digest == p->received_digest)
		hold(&p->topics[BCT_REGISTRY_UPSTREAMS], &p->received_read);
}

static bool has_lasted(bct_time_t since, bct_time_t now, uint32_t ms)
{
	return since && now - since >= (bct_time_t)ms;
}

/* How long the digests may stay unequal; long enough for the peer to have sent a message. */
static uint32_t unequal_limit_ms(const bct_gate_poll_t *p)
{
	uint32_t gap_ms = p->message_gap_ms ? p->message_gap_ms : p->message_interval_ms;

	return 2 * gap_ms > UNEQUAL_MIN_MS ? 2 * gap_ms : UNEQUAL_MIN_MS;
}

/* Whether a peer has newer data on the topic than this node. */
static bool is_behind(const bct_gate_poll_t *p, bct_time_t now, bct_registry_topic_t topic,
		      const bct_gate_local_versions_t *local)
{
	if (topic == BCT_REGISTRY_ROUTES)
		return p->highest_version > local->routes_version;
	return has_lasted(p->differs_since, now, PROPAGATION_MS) ||
	       has_lasted(p->unequal_since, now, unequal_limit_ms(p));
}

/* Age up to which an answer counts as recent. */
static uint32_t fresh_ms(const bct_gate_poll_t *p)
{
	return p->interval_ms + p->message_interval_ms + FRESH_SLACK_MS;
}

/* Readers take over at once, the next ranks in groups that double. */
static uint32_t takeover_delay_ms(uint32_t rank)
{
	uint32_t group = 0;

	for (uint32_t r = rank / BCT_GATE_READERS; r > 1; r /= 2)
		group++;
	return group * TAKEOVER_STEP_MS;
}

static bool is_recent(const bct_gate_poll_t *p, bct_time_t now, bct_time_t answered_at)
{
	return answered_at && now - answered_at < (bct_time_t)fresh_ms(p);
}

bool bct_gate_poll_is_reader(const bct_gate_poll_t *p, bct_time_t now, bct_registry_topic_t topic,
			     uint32_t rank)
{
	const bct_gate_topic_poll_t *t = &p->topics[topic];
	const bct_gate_read_t *peer = &t->peer_read;
	bct_time_t latest = peer->answered_at > t->answered_at ? peer->answered_at : t->answered_at;

	if (rank < BCT_GATE_READERS)
		return true;
	if (is_recent(p, now, t->answered_at))
		return !is_recent(p, now, peer->answered_at) || peer->reader > p->self;
	return !latest || now - latest >= (bct_time_t)fresh_ms(p) + takeover_delay_ms(rank);
}

/* Pause of a reader between two polls: its interval, or the back-off after failures. */
static uint32_t poll_pause_ms(const bct_gate_poll_t *p, const bct_gate_topic_poll_t *t)
{
	uint32_t shift = t->consecutive_failures < RETRY_MAX_SHIFT ? t->consecutive_failures
								   : RETRY_MAX_SHIFT;

	return t->consecutive_failures ? (uint32_t)RETRY_MIN_MS << shift : p->interval_ms;
}

static bct_gate_poll_act_t poll_act(const bct_gate_topic_poll_t *t, bct_time_t now)
{
	return now - t->answered_at > CHANGES_MAX_AGE_MS ? BCT_GATE_POLL_LIST
							 : BCT_GATE_POLL_CHANGES;
}

/* Whether the registry did not answer this node lately. */
static bool is_refused(const bct_gate_topic_poll_t *t, bct_time_t now)
{
	return t->consecutive_failures && now - t->failed_at < REFUSED_KEEP_MS;
}

/* Whether the registry has to be asked now for upstreams that are known well enough otherwise. */
static bool must_confirm(const bct_gate_poll_t *p, bct_time_t now, bct_registry_topic_t topic)
{
	const bct_gate_topic_poll_t *t = &p->topics[topic];
	uint32_t pause_ms = t->consecutive_failures ? poll_pause_ms(p, t) : CONFIRM_PAUSE_MS;

	return topic == BCT_REGISTRY_UPSTREAMS && bct_gate_poll_as_of(p) < p->confirm_at &&
	       now - t->polled_at >= (bct_time_t)pause_ms;
}

/* A node that is behind asks a peer, and the registry every other time, as long as it answers. */
static bct_gate_due_t catch_up(bct_gate_poll_t *p, bct_time_t now, bct_registry_topic_t topic,
			       bool busy)
{
	bct_gate_topic_poll_t *t = &p->topics[topic];
	bct_gate_due_t due = { .act = BCT_GATE_POLL_PULL };

	if (t->ask_registry && !is_refused(t, now) && !busy) {
		t->ask_registry = false;
		t->polled_at = now;
		due.act = BCT_GATE_POLL_LIST;
		return due;
	}
	t->pulled_at = now;
	t->pulling = true;
	due.from = topic == BCT_REGISTRY_ROUTES ? p->highest_from : p->received_from;
	return due;
}

/*
 * Whether no pull is in progress and the pause after the last call or pull is over; longer the more
 * pulls did not help.
 */
static bool may_catch_up(const bct_gate_topic_poll_t *t, bct_time_t now)
{
	uint32_t shift = t->unhelpful_pulls < PULL_MAX_SHIFT ? t->unhelpful_pulls : PULL_MAX_SHIFT;
	bct_time_t last = t->pulled_at > t->polled_at ? t->pulled_at : t->polled_at;

	if (t->pulling && now - t->pulled_at < PULL_MAX_MS)
		return false;
	return !last || now - last >= (bct_time_t)RETRY_MIN_MS << shift;
}

bct_gate_due_t bct_gate_poll_due(bct_gate_poll_t *p, bct_time_t now, bct_registry_topic_t topic,
				 const bct_gate_local_versions_t *local)
{
	bct_gate_topic_poll_t *t = &p->topics[topic];
	bool reader = bct_gate_poll_is_reader(p, now, topic, local->rank);
	bool reads_well = reader && !t->consecutive_failures;
	bct_gate_due_t due = { .act = BCT_GATE_POLL_NONE };

	if (topic == BCT_REGISTRY_UPSTREAMS)
		compare(p, now, local);
	note_held(p, local);
	if (!local->busy &&
	    ((reader && (!t->polled_at || has_lasted(t->polled_at, now, poll_pause_ms(p, t)))) ||
	     must_confirm(p, now, topic))) {
		due.act = poll_act(t, now);
		t->polled_at = now;
	} else if (!reads_well && is_behind(p, now, topic, local) && may_catch_up(t, now)) {
		due = catch_up(p, now, topic, local->busy);
	}
	if (due.act != BCT_GATE_POLL_NONE && topic == BCT_REGISTRY_UPSTREAMS)
		p->differs_since = p->unequal_since = 0;
	return due;
}

void bct_gate_poll_result(bct_gate_poll_t *p, bct_time_t now, bct_registry_topic_t topic,
			  bct_time_t started_at, bool ok)
{
	bct_gate_topic_poll_t *t = &p->topics[topic];

	t->consecutive_failures = ok ? 0 : t->consecutive_failures + 1;
	if (!ok)
		t->failed_at = now;
	if (!ok || !started_at)
		return;
	t->answered_at = now;
	t->answered_as_of = started_at;
}

void bct_gate_poll_confirm(bct_gate_poll_t *p, bct_time_t at)
{
	if (at > p->confirm_at)
		p->confirm_at = at;
}

/* A peer states when it had the registry's answer, not when it had asked. */
bct_time_t bct_gate_poll_as_of(const bct_gate_poll_t *p)
{
	const bct_gate_topic_poll_t *t = &p->topics[BCT_REGISTRY_UPSTREAMS];
	bct_time_t held = t->held.answered_at - p->call_limit_ms - AGE_ERROR_MS;

	return held > t->answered_as_of ? held : t->answered_as_of;
}

void bct_gate_poll_pulled(bct_gate_poll_t *p, bct_registry_topic_t topic, bct_gate_pulled_t r)
{
	bct_gate_topic_poll_t *t = &p->topics[topic];

	t->pulling = false;
	t->ask_registry = r != BCT_GATE_PULL_HELPED;
	t->unhelpful_pulls = r == BCT_GATE_PULL_UNHELPFUL ? t->unhelpful_pulls + 1 : 0;
}

bct_gate_read_t bct_gate_poll_latest(const bct_gate_poll_t *p, bct_registry_topic_t topic,
				     bool own_only)
{
	const bct_gate_topic_poll_t *t = &p->topics[topic];
	bct_gate_read_t own = { .answered_at = t->answered_at, .reader = p->self };

	return own_only || own.answered_at >= t->held.answered_at ? own : t->held;
}

bool bct_gate_poll_advertises(const bct_gate_poll_t *p, bct_time_t now, uint32_t rank)
{
	for (uint32_t i = 0; i < BCT_REGISTRY_TOPICS; i++) {
		if (is_recent(p, now, p->topics[i].answered_at) &&
		    bct_gate_poll_is_reader(p, now, (bct_registry_topic_t)i, rank))
			return true;
	}
	return false;
}

bool bct_gate_poll_lost(const bct_gate_poll_t *p, bct_time_t now, bct_registry_topic_t topic)
{
	const bct_gate_topic_poll_t *t = &p->topics[topic];
	bct_time_t peer = t->peer_read.answered_at;
	bct_time_t latest = peer > t->answered_at ? peer : t->answered_at;

	return latest && now - latest > LOST_AFTER_MS;
}
