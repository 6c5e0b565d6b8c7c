/*
 * autoscale.c - each decision has three steps: order what the demand lacks, order cheaper engines
 * for present ones, and remove engines that the others make superfluous. Orders count on engines
 * that are still to come; removals count only on engines that are present.
 */
#include "policy/autoscale.h"
#include "base/err.h"
#include "base/mem.h"
#include "policy/autoscale_int.h"

#include <string.h>

#define STALE_MS 5000	      /* an older demand counts as unknown */
#define DEMAND_MAX 1000000000 /* keeps the sums within 32 bits */
#define DEMAND_WINDOW_S 20    /* its highest value in this time counts */
#define REMOVE_AFTER_S 10     /* of lower demand, in addition */
#define ARRIVE_SLACK_MS 6000  /* after boot_ms an order that brought nothing doesn't count */
#define REFUSED_MIN_PERMILLE 5
#define REFUSED_STEP_PERMILLE 100 /* more engines at least, while requests are refused */
#define REFUSED_FACTOR_MAX 2 /* of a known demand, as a bound to engines ordered for refusals */
#define RECLAIM_BAN_MS 10000 /* spot engines are not available for about as long */
#define REFUSED_BAN_MS 5000

int bct_autoscale_new(const bct_autoscale_conf_t *conf, bct_autoscale_t **out)
{
	bct_autoscale_t *a;

	if (conf->minimum > conf->maximum || conf->n_domains > BCT_AUTOSCALE_DOMAINS)
		return -BCT_EINVAL;
	a = bct_alloc(sizeof(*a));
	if (!a)
		return -BCT_ENOMEM;
	memset(a, 0, sizeof(*a));
	a->conf = *conf;
	a->known_since = BCT_TIME_NEVER;
	*out = a;
	return 0;
}

void bct_autoscale_free(bct_autoscale_t *a)
{
	bct_free(a);
}

void bct_autoscale_resume(bct_autoscale_t *a, bct_time_t now, const bct_autoscale_plan_t *last)
{
	uint32_t total = 0;

	memset(a->domains, 0, sizeof(a->domains));
	a->known_since = BCT_TIME_NEVER;
	a->begun = false;
	a->resumed = false;
	if (!last)
		return;
	memcpy(a->wanted.n, last->wanted, sizeof(a->wanted.n));
	for (uint32_t d = a->conf.n_domains; d < BCT_AUTOSCALE_DOMAINS; d++)
		memset(a->wanted.n[d], 0, sizeof(a->wanted.n[d]));
	total = bct_autoscale_set_total(&a->wanted);
	/* A record without numbers is no wish for no engines. */
	a->begun = a->resumed = total > 0;
	for (uint32_t d = 0; d < a->conf.n_domains; d++)
		for (uint32_t k = 0; k < BCT_AUTOSCALE_KINDS; k++)
			a->domains[d].pending_until[k] = now + a->conf.boot_ms + ARRIVE_SLACK_MS;
}

/* The first decision takes what is present for wanted, or what is missing for ordered. */
static void begin(bct_autoscale_t *a, const bct_autoscale_input_t *in)
{
	for (uint32_t d = 0; d < a->conf.n_domains; d++) {
		for (uint32_t k = 0; k < BCT_AUTOSCALE_KINDS; k++) {
			uint32_t present = in->domains[d].present[k];

			bool lost = k == BCT_AUTOSCALE_SPOT && in->domains[d].spot_reclaimed;

			if (!a->begun)
				a->wanted.n[d][k] = present;
			if (a->resumed && a->wanted.n[d][k] > present && !lost)
				a->domains[d].pending[k] = a->wanted.n[d][k] - present;
			a->domains[d].seen[k] = present;
		}
	}
	a->begun = true;
	a->resumed = false;
}

/*
 * Spot engines also leave when fewer are wanted; a reclaim is the loss of wanted ones. Those that
 * are still listed while the others leave will leave too.
 */
static void note_spot(bct_autoscale_t *a, bct_time_t now, uint32_t d,
		      const bct_autoscale_domain_t *in, bct_autoscale_view_t *v)
{
	bct_autoscale_known_t *t = &a->domains[d];
	uint32_t *wanted = &a->wanted.n[d][BCT_AUTOSCALE_SPOT];
	uint32_t *pending = &t->pending[BCT_AUTOSCALE_SPOT];
	uint32_t present = in->present[BCT_AUTOSCALE_SPOT];
	bct_time_t *until = &t->unavailable_until[BCT_AUTOSCALE_SPOT];
	bool reclaimed = in->spot_reclaimed && present + *pending < *wanted;

	if (!in->spot_reclaimed)
		t->lost_spot = 0;
	if (reclaimed) {
		*until = t->reclaimed_until = now + RECLAIM_BAN_MS;
		t->lost_spot = present;
	}
	if (in->spot_refused && !t->refused && *until < now + REFUSED_BAN_MS)
		*until = now + REFUSED_BAN_MS;
	if (reclaimed || (in->spot_refused && !t->refused)) {
		v->lost = true;
		*pending = 0;
		if (*wanted > present)
			*wanted = present;
	}
	t->refused = in->spot_refused;
}

/* An order that brought no engines in time is withdrawn, to be made elsewhere or once more: the
 * numbers must not grow while the control API is down. */
static void note_present(bct_autoscale_t *a, bct_time_t now, uint32_t d, uint32_t k,
			 uint32_t present)
{
	bct_autoscale_known_t *t = &a->domains[d];

	if (present > t->seen[k]) {
		uint32_t arrived = present - t->seen[k];

		t->pending[k] -= arrived < t->pending[k] ? arrived : t->pending[k];
	}
	t->seen[k] = present;
	if (t->pending[k] && now >= t->pending_until[k]) {
		uint32_t *wanted = &a->wanted.n[d][k];

		*wanted -= t->pending[k] < *wanted ? t->pending[k] : *wanted;
		t->pending[k] = 0;
		if (t->unavailable_until[k] < now + REFUSED_BAN_MS)
			t->unavailable_until[k] = now + REFUSED_BAN_MS;
	}
}

static void note_engines(bct_autoscale_t *a, bct_time_t now, const bct_autoscale_input_t *in,
			 bct_autoscale_view_t *v)
{
	for (uint32_t d = 0; d < a->conf.n_domains; d++) {
		for (uint32_t k = 0; k < BCT_AUTOSCALE_KINDS; k++)
			note_present(a, now, d, k, in->domains[d].present[k]);
		note_spot(a, now, d, &in->domains[d], v);
		for (uint32_t k = 0; k < BCT_AUTOSCALE_KINDS; k++) {
			uint32_t present = in->domains[d].present[k], wanted = a->wanted.n[d][k];

			if (k == BCT_AUTOSCALE_SPOT && a->domains[d].lost_spot)
				present = 0;
			v->present.n[d][k] = present < wanted ? present : wanted;
			v->counted.n[d][k] = v->present.n[d][k] + a->domains[d].pending[k];
		}
	}
}

/*
 * While requests are refused, the demand is taken to be more than what the engines serve, whatever
 * was measured. Orders on their way are waited for.
 */
static uint32_t refused_demand(const bct_autoscale_view_t *v, const bct_autoscale_input_t *in,
			       uint32_t demand)
{
	uint32_t present = bct_autoscale_set_total(&v->present);
	uint32_t more = in->refused_permille > REFUSED_STEP_PERMILLE ? in->refused_permille
								     : REFUSED_STEP_PERMILLE;
	uint64_t needed =
		(uint64_t)present * (1000 + more) * 1000 / BCT_AUTOSCALE_MARGIN_PERMILLE + 1;

	if (in->refused_permille < REFUSED_MIN_PERMILLE ||
	    bct_autoscale_set_total(&v->counted) > present)
		return 0;
	if (v->known && needed > (uint64_t)demand * REFUSED_FACTOR_MAX)
		needed = (uint64_t)demand * REFUSED_FACTOR_MAX;
	return needed > DEMAND_MAX ? DEMAND_MAX : (uint32_t)needed;
}

/* The average with the demands of the decisions before. */
static uint32_t steady_demand(bct_autoscale_t *a, uint32_t demand)
{
	uint64_t sum = 0;
	uint32_t n;

	a->recent[a->n_recent++ % BCT_AUTOSCALE_STEADY_S] = demand;
	n = a->n_recent < BCT_AUTOSCALE_STEADY_S ? a->n_recent : BCT_AUTOSCALE_STEADY_S;
	for (uint32_t i = 0; i < n; i++)
		sum += a->recent[i];
	return (uint32_t)(sum / n);
}

static void note_demand(bct_autoscale_t *a, bct_time_t now, const bct_autoscale_input_t *in,
			bct_autoscale_view_t *v)
{
	uint32_t demand = in->demand_permille ? in->demand_permille : 1, refused;

	if (demand > DEMAND_MAX)
		demand = DEMAND_MAX;
	/* Before the first request it isn't known what callers will bring. */
	v->known = in->demand_age_ms <= STALE_MS && (in->demand_permille || a->last_demand);
	if (!v->known) {
		a->known_since = BCT_TIME_NEVER;
		demand = a->last_demand;
	} else if (a->known_since == BCT_TIME_NEVER) {
		a->known_since = now;
	}
	refused = refused_demand(v, in, demand);
	if (refused > demand) {
		demand = refused;
		v->reason = BCT_AUTOSCALE_REFUSED;
	}
	bct_autoscale_window_raise(&a->demand, now, demand);
	v->demand = bct_autoscale_window_highest(&a->demand, now, DEMAND_WINDOW_S);
	bct_autoscale_window_raise(&a->steady, now, steady_demand(a, demand));
	v->floor = bct_autoscale_window_highest(&a->steady, now, DEMAND_WINDOW_S + REMOVE_AFTER_S);
	/* Nothing is removed while the demand is rising. */
	if (v->floor < demand)
		v->floor = demand;
	if (v->known)
		a->last_demand = v->demand;
}

static bool standard_elsewhere(const bct_autoscale_t *a, bct_time_t now)
{
	for (uint32_t d = 0; d < a->conf.n_domains; d++)
		if (now >= a->domains[d].unavailable_until[BCT_AUTOSCALE_STANDARD])
			return true;
	return false;
}

static void fit(const bct_autoscale_t *a, bct_time_t now, const bct_autoscale_view_t *v,
		uint32_t demand, uint32_t total_min, const bct_autoscale_set_t *least,
		bct_autoscale_set_t *out)
{
	bct_autoscale_fit_input_t in = {
		.total = bct_autoscale_scaled(demand, BCT_AUTOSCALE_MARGIN_PERMILLE),
		.survive = bct_autoscale_scaled(demand, BCT_AUTOSCALE_SURVIVE_PERMILLE),
		.now = v->counted,
	};

	if (in.total < total_min)
		in.total = total_min;
	if (least)
		in.least = *least;
	for (uint32_t d = 0; d < a->conf.n_domains; d++) {
		uint32_t wanted = bct_autoscale_set_domain(&a->wanted, d);
		uint32_t counted = bct_autoscale_set_domain(&v->counted, d);
		uint32_t missing = wanted > counted ? wanted - counted : 0;
		const bct_time_t *until = a->domains[d].unavailable_until;
		bool spot = a->conf.spot_price > 0 && now >= until[BCT_AUTOSCALE_SPOT];
		bool standard = now >= until[BCT_AUTOSCALE_STANDARD] || !standard_elsewhere(a, now);

		/* The order for missing engines is in force. */
		in.maximum[d] = a->conf.maximum > missing ? a->conf.maximum - missing : 0;
		in.available.n[d][BCT_AUTOSCALE_SPOT] =
			spot ? a->conf.maximum : v->counted.n[d][BCT_AUTOSCALE_SPOT];
		in.available.n[d][BCT_AUTOSCALE_STANDARD] =
			standard ? a->conf.maximum : v->counted.n[d][BCT_AUTOSCALE_STANDARD];
	}
	bct_autoscale_fit(&a->conf, &in, out);
}

/* Orders what a set has more than is counted; returns whether that is any. */
static bool order(bct_autoscale_t *a, bct_time_t now, bct_autoscale_view_t *v,
		  const bct_autoscale_set_t *to)
{
	bool any = false;

	for (uint32_t d = 0; d < a->conf.n_domains; d++) {
		for (uint32_t k = 0; k < BCT_AUTOSCALE_KINDS; k++) {
			uint32_t wanted = bct_autoscale_set_domain(&a->wanted, d);
			uint32_t room = a->conf.maximum > wanted ? a->conf.maximum - wanted : 0;
			uint32_t more = to->n[d][k] > v->counted.n[d][k]
						? to->n[d][k] - v->counted.n[d][k]
						: 0;

			if (more > room)
				more = room;
			if (!more)
				continue;
			a->wanted.n[d][k] += more;
			v->counted.n[d][k] += more;
			a->domains[d].pending[k] += more;
			a->domains[d].pending_until[k] = now + a->conf.boot_ms + ARRIVE_SLACK_MS;
			any = true;
		}
	}
	return any;
}

/* The numbers never exceed the maximum, also if engines beyond it are present. */
static bool bound(bct_autoscale_t *a)
{
	bool changed = false;

	for (uint32_t d = 0; d < a->conf.n_domains; d++) {
		uint32_t *n = a->wanted.n[d];

		if (bct_autoscale_set_domain(&a->wanted, d) <= a->conf.maximum)
			continue;
		changed = true;
		if (n[BCT_AUTOSCALE_SPOT] > a->conf.maximum)
			n[BCT_AUTOSCALE_SPOT] = a->conf.maximum;
		n[BCT_AUTOSCALE_STANDARD] = a->conf.maximum - n[BCT_AUTOSCALE_SPOT];
	}
	return changed;
}

/* Orders what is lacking at once. While the demand is unknown, the number of engines is kept. */
static void cover(bct_autoscale_t *a, bct_time_t now, bct_autoscale_view_t *v,
		  uint32_t total_before)
{
	bct_autoscale_set_t to;
	bool below = false;

	for (uint32_t d = 0; d < a->conf.n_domains; d++)
		below = below || bct_autoscale_set_domain(&a->wanted, d) < a->conf.minimum;
	fit(a, now, v, v->demand, v->known ? 0 : total_before, &v->counted, &to);
	if (!order(a, now, v, &to))
		return;
	if (v->lost)
		v->reason = BCT_AUTOSCALE_RECLAIMED;
	else if (below)
		v->reason = BCT_AUTOSCALE_BOUNDS;
	else if (v->reason != BCT_AUTOSCALE_REFUSED)
		v->reason = BCT_AUTOSCALE_DEMAND;
}

/* Orders cheaper engines, and removes those that they replace once they are present. */
static void improve(bct_autoscale_t *a, bct_time_t now, bct_autoscale_view_t *v)
{
	bct_autoscale_set_t ideal;
	bool cheaper, fewer;

	fit(a, now, v, v->floor, 0, NULL, &ideal);
	fewer = bct_autoscale_set_total(&v->counted) > bct_autoscale_set_total(&ideal);
	cheaper = order(a, now, v, &ideal);
	if (bct_autoscale_remove(a, now, v, &ideal) || cheaper) {
		if (v->reason == BCT_AUTOSCALE_UNCHANGED)
			v->reason = cheaper || !fewer ? BCT_AUTOSCALE_CHEAPER : BCT_AUTOSCALE_IDLE;
	}
}

void bct_autoscale_plan(bct_autoscale_t *a, bct_time_t now, const bct_autoscale_input_t *in,
			bct_autoscale_plan_t *out)
{
	bct_autoscale_view_t v = { .reason = BCT_AUTOSCALE_UNCHANGED };
	bct_autoscale_set_t before;
	bool bounded;

	if (!a->begun || a->resumed)
		begin(a, in);
	before = a->wanted;
	bounded = bound(a);
	note_engines(a, now, in, &v);
	note_demand(a, now, in, &v);
	cover(a, now, &v, bct_autoscale_set_total(&before));
	if (bct_autoscale_may_remove(a, now))
		improve(a, now, &v);
	if (v.lost && v.reason != BCT_AUTOSCALE_REFUSED)
		v.reason = BCT_AUTOSCALE_RECLAIMED;
	if (bounded)
		v.reason = BCT_AUTOSCALE_BOUNDS;
	if (!memcmp(&before, &a->wanted, sizeof(before)))
		v.reason = BCT_AUTOSCALE_UNCHANGED;
	memcpy(out->wanted, a->wanted.n, sizeof(out->wanted));
	out->reason = v.reason;
}

const char *bct_autoscale_reason_name(bct_autoscale_reason_t r)
{
	static const char *const names[] = { "unchanged", "demand",    "refused", "idle",
					     "cheaper",	  "reclaimed", "bounds" };

	return (unsigned)r < sizeof(names) / sizeof(names[0]) ? names[r] : "unknown";
}
