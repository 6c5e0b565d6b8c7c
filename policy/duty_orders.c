/*
 * duty_orders.c - orders of engines: which number is wanted where, and which is to be sent.
 */
#include "policy/duty_orders.h"
#include "base/err.h"
#include "base/mem.h"

#include <string.h>

#define RETRY_MS 1000
#define RETRY_INVALID_MS 10000 /* an order that the API finds malformed */
#define REFUSED_MS 5000	       /* no engines are available for longer than that */
#define MATCH_MS 10000	       /* for the engines present to come to match an accepted order */

static bct_duty_service_t *find(const bct_duty_plan_t *p, const char *service)
{
	for (uint32_t i = 0; i < p->n_services; i++) {
		if (!strcmp(p->services[i].name, service))
			return &p->services[i];
	}
	return NULL;
}

/* returns the index of a failure domain; n_domains: there is none of this name */
static uint32_t find_domain(const bct_duty_service_t *s, const char *name)
{
	uint32_t i = 0;

	while (i < s->n_domains && strcmp(s->domains[i], name))
		i++;
	return i;
}

int bct_duty_orders_adopt(bct_duty_plan_t *p, bct_time_t now, const bct_duty_state_t *s)
{
	bct_duty_service_t *list = bct_alloc(sizeof(*list) * (s->n_wanted + 1));

	p->services = NULL;
	p->n_services = 0;
	if (!list)
		return -BCT_ENOMEM;
	for (uint32_t i = 0; i < s->n_wanted; i++) {
		const bct_duty_wanted_t *w = &s->wanted[i];

		memcpy(list[i].name, w->service, sizeof(list[i].name));
		list[i].n_domains = w->n_domains;
		for (uint32_t j = 0; j < w->n_domains; j++) {
			memcpy(list[i].domains[j], w->domains[j].name, sizeof(list[i].domains[j]));
			for (uint32_t k = 0; k < BCT_AUTOSCALE_KINDS; k++)
				list[i].targets[j][k] =
					(bct_duty_target_t){ .wanted = w->domains[j].wanted[k],
							     .accepted = BCT_DUTY_UNKNOWN,
							     .revision = s->revision,
							     .matched_at = now };
		}
	}
	p->services = list;
	p->n_services = s->n_wanted;
	return 0;
}

bool bct_duty_orders_unwritten(const bct_duty_plan_t *p, uint64_t revision, uint64_t fence)
{
	for (uint32_t i = 0; i < p->n_services; i++) {
		const bct_duty_service_t *s = &p->services[i];

		for (uint32_t j = 0; j < s->n_domains * BCT_AUTOSCALE_KINDS; j++) {
			const bct_duty_target_t *t =
				&s->targets[j / BCT_AUTOSCALE_KINDS][j % BCT_AUTOSCALE_KINDS];

			if (t->revision > revision || t->min_fence > fence ||
			    (t->refused_fence && t->refused_fence >= fence))
				return true;
		}
	}
	return false;
}

static bct_duty_service_t *add(bct_duty_plan_t *p, const char *name)
{
	bct_duty_service_t *list = bct_realloc(p->services, sizeof(*list) * (p->n_services + 1));

	if (!list)
		return NULL;
	p->services = list;
	list += p->n_services++;
	memset(list, 0, sizeof(*list));
	strncpy(list->name, name, sizeof(list->name) - 1);
	return list;
}

/* Brings the failure domains into the order of the configuration; drops others. */
static void align(bct_duty_service_t *s, bct_time_t now, const bct_autoscale_conf_t *conf)
{
	bct_duty_service_t old = *s;

	s->n_domains = conf->n_domains;
	for (uint32_t i = 0; i < conf->n_domains; i++) {
		uint32_t from = find_domain(&old, conf->domains[i].name);

		memcpy(s->domains[i], conf->domains[i].name, sizeof(s->domains[i]));
		for (uint32_t k = 0; k < BCT_AUTOSCALE_KINDS; k++) {
			if (from < old.n_domains)
				s->targets[i][k] = old.targets[from][k];
			else
				s->targets[i][k] =
					(bct_duty_target_t){ .wanted = BCT_DUTY_UNKNOWN,
							     .accepted = BCT_DUTY_UNKNOWN,
							     .matched_at = now };
		}
	}
}

/* returns whether the number changed */
static bool want(bct_duty_target_t *t, bct_time_t now, uint32_t present, uint32_t wanted,
		 uint64_t revision)
{
	bool more = t->wanted != BCT_DUTY_UNKNOWN && wanted > t->wanted;

	t->present = present;
	if (present == wanted)
		t->matched_at = now;
	if (wanted == t->wanted)
		return false;
	t->wanted = wanted;
	t->revision = revision;
	t->matched_at = now;
	t->due_at = more ? t->refused_until : now;
	return true;
}

int bct_duty_plan_want(bct_duty_plan_t *p, bct_time_t now, const char *service,
		       const bct_autoscale_conf_t *conf, const bct_autoscale_input_t *in,
		       const bct_autoscale_plan_t *wanted)
{
	bct_duty_service_t *s = find(p, service);
	int changed = 0;

	if (!s)
		s = add(p, service);
	if (!s)
		return -BCT_ENOMEM;
	align(s, now, conf);
	s->active = true;
	for (uint32_t i = 0; i < s->n_domains; i++) {
		for (uint32_t k = 0; k < BCT_AUTOSCALE_KINDS; k++)
			changed |= want(&s->targets[i][k], now, in->domains[i].present[k],
					wanted->wanted[i][k], p->revision + 1);
	}
	return changed;
}

void bct_duty_plan_drop(bct_duty_plan_t *p, const char *service)
{
	bct_duty_service_t *s = find(p, service);

	if (s)
		*s = p->services[--p->n_services];
}

bool bct_duty_plan_last(const bct_duty_plan_t *p, const char *service,
			const bct_autoscale_conf_t *conf, bct_autoscale_plan_t *out)
{
	const bct_duty_service_t *s = find(p, service);
	bool known = false;

	memset(out, 0, sizeof(*out));
	for (uint32_t i = 0; s && i < conf->n_domains; i++) {
		uint32_t at = find_domain(s, conf->domains[i].name);

		for (uint32_t k = 0; at < s->n_domains && k < BCT_AUTOSCALE_KINDS; k++) {
			if (s->targets[at][k].wanted == BCT_DUTY_UNKNOWN)
				continue;
			out->wanted[i][k] = s->targets[at][k].wanted;
			known = true;
		}
	}
	return known;
}

void bct_duty_plan_refused(const bct_duty_plan_t *p, bct_time_t now, const char *service,
			   const bct_autoscale_conf_t *conf, bct_autoscale_input_t *in)
{
	const bct_duty_service_t *s = find(p, service);

	for (uint32_t i = 0; s && i < conf->n_domains; i++) {
		uint32_t at = find_domain(s, conf->domains[i].name);

		if (at < s->n_domains && now < s->targets[at][BCT_AUTOSCALE_SPOT].refused_until)
			in->domains[i].spot_refused = true;
	}
}

/* Whether an order has to be sent. */
static bool needed(const bct_duty_target_t *t, bct_time_t now)
{
	if (t->accepted == BCT_DUTY_UNKNOWN)
		return t->tries || t->present != t->wanted;
	if (t->accepted != t->wanted)
		return true;
	return t->present != t->wanted && now >= t->matched_at + MATCH_MS;
}

/* Too few engines cost more than too many, so that increases come first. */
static bool more_urgent(const bct_duty_target_t *a, const bct_duty_target_t *b)
{
	bool a_grows = a->wanted > a->present, b_grows = b->wanted > b->present;

	return a_grows != b_grows ? a_grows : a->due_at < b->due_at;
}

bool bct_duty_orders_next(const bct_duty_plan_t *p, bct_time_t now, uint64_t fence,
			  uint64_t revision, bct_duty_call_t *out)
{
	const bct_duty_target_t *best = NULL;

	for (uint32_t i = 0; i < p->n_services; i++) {
		const bct_duty_service_t *s = &p->services[i];

		for (uint32_t j = 0; s->active && j < s->n_domains * BCT_AUTOSCALE_KINDS; j++) {
			uint32_t domain = j / BCT_AUTOSCALE_KINDS, kind = j % BCT_AUTOSCALE_KINDS;
			const bct_duty_target_t *t = &s->targets[domain][kind];

			if (t->revision > revision || t->min_fence > fence || t->refused_fence ||
			    now < t->due_at || !needed(t, now) || (best && !more_urgent(t, best)))
				continue;
			best = t;
			out->tries = t->tries;
			out->engines = t->wanted;
			out->engine_kind = (bct_autoscale_kind_t)kind;
			memcpy(out->service, s->name, sizeof(out->service));
			memcpy(out->failure_domain, s->domains[domain],
			       sizeof(out->failure_domain));
		}
	}
	out->kind = best ? BCT_DUTY_ORDER : 0;
	return best != NULL;
}

static bct_duty_outcome_t failed(bct_duty_target_t *t, bct_time_t now, const bct_duty_call_t *c,
				 int rc)
{
	t->tries++;
	t->due_at = now + (rc == -BCT_EINVAL ? RETRY_INVALID_MS : RETRY_MS);
	if (rc == -BCT_EFENCED) {
		t->refused_fence = c->fence;
		return BCT_DUTY_IN_DOUBT;
	}
	if (rc == -BCT_EUNKNOWN_OUTCOME) {
		t->accepted = BCT_DUTY_UNKNOWN;
		t->min_fence = c->fence + 1;
	}
	return BCT_DUTY_RETRY;
}

bct_duty_outcome_t bct_duty_orders_done(bct_duty_plan_t *p, bct_time_t now,
					const bct_duty_call_t *c, int rc)
{
	bct_duty_service_t *s = find(p, c->service);
	uint32_t domain = s ? find_domain(s, c->failure_domain) : 0;
	bct_duty_target_t *t;

	if (!s || domain == s->n_domains || rc == -BCT_ESTATE)
		return rc ? BCT_DUTY_RETRY : BCT_DUTY_ACCEPTED;
	t = &s->targets[domain][c->engine_kind];
	if (rc)
		return failed(t, now, c, rc);
	t->accepted = c->engines;
	t->matched_at = now;
	t->tries = 0;
	return BCT_DUTY_ACCEPTED;
}

void bct_duty_plan_renewed(bct_duty_plan_t *p, bct_time_t now, uint64_t fence)
{
	for (uint32_t i = 0; i < p->n_services; i++) {
		bct_duty_service_t *s = &p->services[i];

		for (uint32_t j = 0; j < s->n_domains * BCT_AUTOSCALE_KINDS; j++) {
			bct_duty_target_t *t =
				&s->targets[j / BCT_AUTOSCALE_KINDS][j % BCT_AUTOSCALE_KINDS];

			if (!t->refused_fence || t->refused_fence >= fence)
				continue;
			t->refused_fence = 0;
			t->refused_until = now + REFUSED_MS;
			t->due_at = t->refused_until;
		}
	}
}
