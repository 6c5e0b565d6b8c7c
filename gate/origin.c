/*
 * origin.c - the software that began a stream, from its first event to its last try.
 */
#include "gate/origin.h"
#include "base/err.h"
#include "base/mem.h"
#include "gate/exchange_int.h"
#include "gate/registry_sync.h"
#include "gate/share.h"

#include <string.h>

#define ASK_MS 60	    /* for the answers of peers in a round of asking */
#define ASK_ROUNDS 2	    /* a datagram may be lost */
#define CONFIRM_CHECK_MS 20 /* between two looks whether the upstreams are confirmed */
#define CONFIRM_MAX_MS 1000 /* that a take-up waits for that; its caller may have 2 s */
#define UNCONFIRMED_RETRY_MS 50
#define GONE_RETRY_MS 400 /* Retry-After while an upstream with the software is only avoided */

struct bct_origins {
	bct_share_topic_t topic;
	bct_gate_t *gate;
	bct_gate_origins_t records;
	bct_list_t asking; /* exchanges */
};

static uint64_t attempt_of(const bct_exchange_t *x, const char *attempt_id)
{
	return bct_gate_origin_attempt(attempt_id, x->account ? x->account->name : "");
}

static share_origin encode_origin(uint64_t attempt, const bct_gate_origin_t *o, uint32_t age_ms)
{
	return (share_origin){
		.attempt = attempt, .release = o->release, .run = o->run, .age_ms = age_ms
	};
}

/* Tells the nodes that keep the record of an attempt. */
static void tell_homes(bct_origins_t *o, uint64_t attempt, const bct_gate_origin_t *origin)
{
	uint64_t live[BCT_SHARE_NODES_MAX], homes[BCT_GATE_ORIGIN_COPIES];
	bct_gate_limit_nodes_t nodes = bct_share_live_nodes(o->topic.share, live);
	/* This node, which keeps it too, is last. */
	uint32_t n =
		bct_gate_origin_homes(attempt, live, nodes.n - 1, homes, BCT_GATE_ORIGIN_COPIES);
	share_origin record = encode_origin(attempt, origin, 0);
	share_update update = { 0 };

	update.origins.origins_val = &record;
	update.origins.origins_len = 1;
	for (uint32_t i = 0; i < n; i++)
		bct_share_send_to(&o->topic, &update, homes[i]);
}

void bct_origin_began(bct_exchange_t *x)
{
	bct_origins_t *o = x->gate->origins;
	bct_time_t now = bct_clock_now();
	uint64_t attempt = attempt_of(x, x->call.id);

	/* A helper has recorded what began it. */
	if (x->call.resumes || x->conn->upstream->is_node)
		return;
	x->origin = bct_gate_origin_of(x->conn->upstream);
	x->query.origin = &x->origin;
	x->began_at = now;
	if (!x->route->resumable)
		return;
	if (bct_gate_origins_put(&o->records, now, attempt, &x->origin, 0))
		BCT_GATE_COUNT(x->gate, ORIGINS_LOST);
	tell_homes(o, attempt, &x->origin);
}

const char *bct_origin_software(const bct_exchange_t *x)
{
	return bct_gate_upstreams_software(&x->gate->upstreams, x->origin.release);
}

void bct_origin_continued(bct_exchange_t *x)
{
	const bct_gate_upstream_t *u = x->choice.upstream;

	BCT_LOG(x->gate->log, BCT_EV_GATE_STREAM_CONTINUED, BCT_STR("request", x->call.id),
		BCT_STR("resumes", x->call.resumes_id), BCT_U64("caller", x->call.resumes),
		BCT_U64("after_event", x->events.has_id ? x->events.last_id : x->call.after_event),
		BCT_HEX("began_run", x->origin.run),
		BCT_STR("began_software", bct_origin_software(x)), BCT_STR("upstream", u->entry.id),
		BCT_HEX("run", bct_gate_upstream_run(u)), BCT_STR("software", u->entry.software));
}

/* source: who knew what began the stream. */
static void log_found(const bct_exchange_t *x, const char *source, uint32_t age_ms)
{
	BCT_LOG(x->gate->log, BCT_EV_GATE_ORIGIN, BCT_STR("request", x->call.id),
		BCT_STR("resumes", x->call.resumes_id), BCT_STR("source", source),
		BCT_U64("age_ms", age_ms), BCT_HEX("began_run", x->origin.run),
		BCT_STR("began_software", bct_origin_software(x)),
		BCT_U64("rounds", x->origin_rounds), BCT_I64("ms", bct_clock_now() - x->arrived));
}

/* What began the stream is known: it goes on. x may be freed on return. */
static void go_on(bct_exchange_t *x, const char *source, uint32_t age_ms)
{
	bct_list_del(&x->asking);
	x->origin_due = 0;
	x->query.origin = &x->origin;
	log_found(x, source, age_ms);
	bct_exchange_dispatch(x);
}

static void observe(bct_origins_t *o)
{
	bct_gate_t *g = o->gate;
	bct_gate_read_t read =
		bct_registry_sync_read(g->registry_sync, BCT_REGISTRY_UPSTREAMS, false);

	bct_gate_origins_observe(&o->records, bct_clock_now(), read.answered_at, &g->upstreams);
}

/* Waits until the registry has confirmed which releases there are. */
static void wait_for_registry(bct_exchange_t *x)
{
	x->origin_confirming = true;
	x->origin_due = bct_clock_now() + CONFIRM_CHECK_MS;
	bct_registry_sync_confirm(x->gate->registry_sync, x->arrived);
	bct_exchange_set_timer(x);
}

static void refuse_unknown(bct_exchange_t *x, bool unconfirmed)
{
	log_found(x, unconfirmed ? "unconfirmed" : "none", 0);
	bct_exchange_refuse(x, BCT_GATE_END_ORIGIN_UNKNOWN,
			    &(bct_answer_opts_t){
				    .status = 503,
				    .retry_after_ms = unconfirmed ? UNCONFIRMED_RETRY_MS : 0,
				    .text = "nobody knows what software began the stream; the "
					    "request was not run, the stream can't be continued" });
}

/*
 * Nobody knows: if the service had only one release for as long as the stream can have lived, that
 * began it; otherwise it can't go on. x may be freed on return.
 */
static void conclude(bct_exchange_t *x)
{
	bct_time_t now = bct_clock_now();
	bct_gate_take_up_t u = {
		.service_key = x->query.service_key,
		.arrived = x->arrived,
		.as_of = bct_registry_sync_as_of(x->gate->registry_sync),
		.limit_ms = x->route->timeout_ms,
		.wait_ms = x->call.wait_ms,
		.named = x->call.resumes_id[0] != '\0',
	};
	bct_gate_conclusion_t c;

	observe(x->gate->origins);
	c = bct_gate_origins_conclude(&x->gate->origins->records, now, &u);
	x->origin.release = c.release;
	if (c.release)
		go_on(x, "sole_release", c.window_ms);
	else if (c.unconfirmed && now - x->arrived < CONFIRM_MAX_MS)
		wait_for_registry(x);
	else
		refuse_unknown(x, c.unconfirmed);
}

/*
 * Asks the nodes that may have the record.
 *
 * asked    receives up to BCT_GATE_ORIGIN_ASK_ALL of them
 * returns  their number
 */
static uint32_t ask(bct_origins_t *o, uint64_t attempt, uint64_t *asked)
{
	uint64_t live[BCT_SHARE_NODES_MAX];
	bct_gate_limit_nodes_t nodes = bct_share_live_nodes(o->topic.share, live);
	uint32_t others = nodes.n - 1;
	uint32_t max = others <= BCT_GATE_ORIGIN_ASK_ALL ? others : BCT_GATE_ORIGIN_ASKED;
	uint32_t n = bct_gate_origin_homes(attempt, live, others, asked, max);
	share_update update = { 0 };

	update.origins_wanted.origins_wanted_val = &attempt;
	update.origins_wanted.origins_wanted_len = 1;
	for (uint32_t i = 0; i < n; i++)
		bct_share_send_to(&o->topic, &update, asked[i]);
	return n;
}

/* Asks and waits, or concludes if there is nobody to ask. x may be freed on return. */
static void ask_or_conclude(bct_exchange_t *x)
{
	uint64_t attempt = attempt_of(x, x->call.resumes_id);

	x->n_origin_asked = 0;
	if (x->call.resumes_id[0])
		x->n_origin_asked = ask(x->gate->origins, attempt, x->origin_asked);
	if (!x->n_origin_asked) {
		conclude(x);
		return;
	}
	x->origin_rounds++;
	x->origin_due = bct_clock_now() + ASK_MS;
	bct_exchange_set_timer(x);
}

void bct_origin_take_up(bct_exchange_t *x)
{
	bct_origins_t *o = x->gate->origins;
	uint32_t age_ms = 0;

	if (x->call.resumes_id[0] &&
	    bct_gate_origins_get(&o->records, bct_clock_now(), attempt_of(x, x->call.resumes_id),
				 &x->origin, &age_ms)) {
		go_on(x, "own", age_ms);
		return;
	}
	bct_list_add_tail(&x->asking, &o->asking);
	ask_or_conclude(x);
}

void bct_origin_overdue(bct_exchange_t *x)
{
	if (!x->origin_confirming && x->origin_rounds < ASK_ROUNDS)
		ask_or_conclude(x);
	else
		conclude(x);
}

bool bct_origin_refuse_gone(bct_exchange_t *x)
{
	bool gone;

	if (!x->call.resumes || !x->query.origin)
		return false;
	gone = !bct_origin_software(x)[0];
	bct_exchange_refuse(
		x, BCT_GATE_END_RELEASE_GONE,
		&(bct_answer_opts_t){ .status = 503,
				      .retry_after_ms = gone ? 0 : GONE_RETRY_MS,
				      .text = "no upstream with the software that began the stream "
					      "takes work; the request was not run" });
	return true;
}

/* A peer does not know what began the stream. returns whether it was the last one asked */
static bool all_lack(bct_exchange_t *x, uint64_t peer)
{
	for (uint32_t i = 0; i < x->n_origin_asked; i++) {
		if (x->origin_asked[i] != peer)
			continue;
		x->origin_asked[i] = x->origin_asked[--x->n_origin_asked];
		return !x->n_origin_asked;
	}
	return false;
}

/* A peer answered about an attempt. Only the first exchange that waits for it is concluded; the
 * list may change then, so the caller looks again. returns whether there was one */
static bool answered_one(bct_origins_t *o, uint64_t peer, const share_origin *a,
			 const bct_gate_origin_t *origin)
{
	bool known = origin->release || origin->run;
	bct_list_t *el;

	bct_list_for_each(el, &o->asking) {
		bct_exchange_t *x = bct_container_of(el, bct_exchange_t, asking);

		if (attempt_of(x, x->call.resumes_id) != a->attempt)
			continue;
		if (known) {
			x->origin = *origin;
			go_on(x, "peer", a->age_ms);
			return true;
		}
		if (all_lack(x, peer)) {
			conclude(x);
			return true;
		}
	}
	return false;
}

static void apply_origin(bct_origins_t *o, bct_time_t now, uint64_t peer, const share_origin *a)
{
	bct_gate_origin_t origin = { .release = a->release, .run = a->run };

	/* The peer has not heard yet that the run has ended. */
	if (bct_gate_origins_doubts(&o->records, now, &origin, a->age_ms))
		origin = (bct_gate_origin_t){ 0 };
	if ((origin.release || origin.run) &&
	    bct_gate_origins_put(&o->records, now, a->attempt, &origin, a->age_ms))
		BCT_GATE_COUNT(o->gate, ORIGINS_LOST);
	while (answered_one(o, peer, a, &origin))
		;
}

/* Answers a node that asked. */
static void answer(bct_origins_t *o, bct_time_t now, const share_update *from)
{
	share_origin list[SHARE_ORIGINS_MAX];
	share_update update = { 0 };
	u_int n = from->origins_wanted.origins_wanted_len;

	for (u_int i = 0; i < n; i++) {
		uint64_t attempt = from->origins_wanted.origins_wanted_val[i];
		bct_gate_origin_t origin = { 0 };
		uint32_t age_ms = 0;

		bct_gate_origins_get(&o->records, now, attempt, &origin, &age_ms);
		list[i] = encode_origin(attempt, &origin, age_ms);
	}
	update.origins.origins_val = list;
	update.origins.origins_len = n;
	if (n)
		bct_share_send_to(&o->topic, &update, from->from);
}

static bool apply(bct_share_topic_t *t, bct_time_t now, const share_update *update,
		  share_update *news)
{
	bct_origins_t *o = (bct_origins_t *)t;

	(void)news;
	for (u_int i = 0; i < update->origins.origins_len; i++)
		apply_origin(o, now, update->from, &update->origins.origins_val[i]);
	answer(o, now, update);
	return false;
}

/* Records are told to a few nodes, and to who asks: no rounds. */
static const bct_share_topic_ops_t ops = { .apply = apply };

/* Streams that seemed to begin at the run that has ended may have begun at the one after it. */
static void on_other_software(void *ctx, const bct_gate_upstream_t *u)
{
	bct_gate_t *g = ctx;
	bct_time_t now = bct_clock_now(), back_at = g->upstreams.registry_back_at;
	bct_gate_origin_t ended = bct_gate_origin_of(u);
	uint32_t doubt_ms = BCT_GATE_ORIGIN_DOUBT_MS;
	bct_list_t *el;

	if (g->upstreams.registry_lost ||
	    (back_at && now - back_at < BCT_GATE_ORIGIN_DOUBT_OUTAGE_MS))
		doubt_ms = BCT_GATE_ORIGIN_DOUBT_OUTAGE_MS;
	/* Since then this node did not know what the registry listed. */
	if (g->origins->records.answered_at)
		doubt_ms += (uint32_t)(now - g->origins->records.answered_at);
	bct_gate_origins_doubt(&g->origins->records, now, &ended, doubt_ms);
	bct_list_for_each(el, &g->clients) {
		bct_exchange_t *x = bct_container_of(el, bct_client_t, link)->x;

		if (x && x->began_at && x->origin.run == ended.run && now - x->began_at <= doubt_ms)
			x->origin = (bct_gate_origin_t){ 0 };
	}
}

void bct_origins_tick(bct_origins_t *o)
{
	bct_time_t now = bct_clock_now();

	bct_gate_origins_sweep(&o->records, now, bct_gate_routes_longest_ms(o->gate->routes));
	observe(o);
}

int bct_origins_new(bct_gate_t *g, bct_origins_t **out)
{
	bct_origins_t *o = bct_alloc(sizeof(*o));

	if (!o)
		return -BCT_ENOMEM;
	o->gate = g;
	o->topic.ops = &ops;
	bct_gate_origins_init(&o->records);
	bct_list_init(&o->asking);
	bct_share_register(g->share, &o->topic, &(bct_share_topic_opts_t){ 0 });
	g->upstreams.on_other_software = on_other_software;
	*out = o;
	return 0;
}

void bct_origins_free(bct_origins_t *o)
{
	if (!o)
		return;
	bct_gate_origins_free(&o->records);
	bct_free(o);
}
