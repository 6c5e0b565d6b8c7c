/*
 * control_api.c - the rules of the control API. Subjects, callers and reports are few, so that they
 * are found by going through lists.
 */
#include "standin/control_api.h"
#include "standin/control_call.h"

#include "base/buf.h"
#include "base/err.h"
#include "base/mem.h"
#include "base/rng.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#define REFUSED_CALLS 3 /* with a refused token that are allowed later than lease_ms */
#define PRINTED_BYTES 8192
#define OK 200
#define CONFLICT 409
#define TOO_MANY 429

/* A list that grows; its items are of one size. */
typedef struct list {
	char *items;
	uint32_t n;
} list_t;

typedef struct subject {
	char name[BCT_CONTROL_SUBJECT_BYTES];
	uint64_t highest;
} subject_t;

/* A token that a caller used for a subject. */
typedef struct use {
	uint32_t subject;
	uint32_t holder;
	uint64_t fence;
	bct_time_t refused_at; /* because of a higher one; 0: it was not */
	uint32_t calls_after;  /* more than lease_ms later */
} use_t;

typedef struct holder {
	char name[BCT_CONTROL_NAME_BYTES];
	bct_time_t acted_at; /* 0: never */
} holder_t;

typedef struct report {
	uint64_t window;
	json_t *counts;
} report_t;

/* A zone without spot engines. */
typedef struct shortage {
	char zone[BCT_CONTROL_NAME_BYTES];
	bct_time_t until;
} shortage_t;

/* A decoded call, and who made it about what. */
typedef struct parsed {
	bct_control_call_t call;
	uint32_t subject;
	uint32_t holder;
} parsed_t;

typedef struct late {
	parsed_t parsed;
	bct_time_t due;
} late_t;

struct bct_control_api {
	bct_control_api_opts_t opts;
	bct_rng_t rng;
	list_t subjects, uses, holders, reports, orders, shortages, late;
	uint32_t last_holder; /* that acted; index + 1; 0: none */
	double tokens;	      /* of the rate */
	bct_time_t filled_at;
	uint32_t violations[BCT_CONTROL_RULES];
	bct_buf_t texts;
};

static const char *const rule_names[] = { "one report", "one fence", "order", "refused" };

int bct_control_api_new(const bct_control_api_opts_t *opts, bct_control_api_t **out)
{
	bct_control_api_t *a = bct_alloc(sizeof(*a));

	if (!a)
		return -BCT_ENOMEM;
	a->opts = *opts;
	a->tokens = opts->calls_per_s;
	bct_rng_seed(&a->rng, opts->seed);
	bct_buf_init(&a->texts, PRINTED_BYTES);
	*out = a;
	return 0;
}

void bct_control_api_free(bct_control_api_t *a)
{
	if (!a)
		return;
	for (uint32_t i = 0; i < a->reports.n; i++)
		json_decref(((report_t *)a->reports.items)[i].counts);
	for (uint32_t i = 0; i < a->late.n; i++)
		bct_control_call_free(&((late_t *)a->late.items)[i].parsed.call);
	bct_free(a->subjects.items);
	bct_free(a->uses.items);
	bct_free(a->holders.items);
	bct_free(a->reports.items);
	bct_free(a->orders.items);
	bct_free(a->shortages.items);
	bct_free(a->late.items);
	bct_buf_free(&a->texts);
	bct_free(a);
}

/* Appends a zeroed item. Ends the program without memory, as a stand-in can't go on. */
static void *grow(list_t *l, size_t size)
{
	char *grown = bct_realloc(l->items, (l->n + 1) * size);

	if (!grown)
		abort();
	l->items = grown;
	memset(grown + l->n * size, 0, size);
	return grown + l->n++ * size;
}

static void violate(bct_control_api_t *a, bct_control_rule_t rule, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

static void violate(bct_control_api_t *a, bct_control_rule_t rule, const char *fmt, ...)
{
	char text[512];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	a->violations[rule]++;
	bct_buf_printf(&a->texts, "%s: %s\n", rule_names[rule], text);
}

static uint32_t subject_of(bct_control_api_t *a, const char *name)
{
	subject_t *s = (subject_t *)a->subjects.items;

	for (uint32_t i = 0; i < a->subjects.n; i++) {
		if (!strcmp(s[i].name, name))
			return i;
	}
	s = grow(&a->subjects, sizeof(*s));
	snprintf(s->name, sizeof(s->name), "%s", name);
	return a->subjects.n - 1;
}

static uint32_t holder_of(bct_control_api_t *a, const char *name)
{
	holder_t *h = (holder_t *)a->holders.items;

	for (uint32_t i = 0; i < a->holders.n; i++) {
		if (!strcmp(h[i].name, name))
			return i;
	}
	h = grow(&a->holders, sizeof(*h));
	snprintf(h->name, sizeof(h->name), "%s", name);
	return a->holders.n - 1;
}

static const char *holder_name(const bct_control_api_t *a, uint32_t holder)
{
	return ((const holder_t *)a->holders.items)[holder].name;
}

static subject_t *subject_at(bct_control_api_t *a, uint32_t subject)
{
	return &((subject_t *)a->subjects.items)[subject];
}

/* Finds or adds the caller's use of the token. */
static use_t *use_of(bct_control_api_t *a, const parsed_t *p)
{
	use_t *u = (use_t *)a->uses.items, *mine = NULL;

	for (uint32_t i = a->uses.n; i-- > 0;) {
		if (u[i].subject == p->subject && u[i].fence == p->call.fence) {
			if (u[i].holder == p->holder)
				return &u[i];
			mine = &u[i];
		}
	}
	if (mine)
		violate(a, BCT_CONTROL_ONE_FENCE, "%s: %s and %s with token %" PRIu64,
			subject_at(a, p->subject)->name, holder_name(a, mine->holder),
			holder_name(a, p->holder), p->call.fence);
	u = grow(&a->uses, sizeof(*u));
	*u = (use_t){ .subject = p->subject, .holder = p->holder, .fence = p->call.fence };
	return u;
}

/* Counts a call with a token that was refused before. */
static void note_arrival(bct_control_api_t *a, bct_time_t now, const parsed_t *p)
{
	use_t *u = use_of(a, p);

	if (!u->refused_at || now - u->refused_at <= (bct_time_t)a->opts.lease_ms)
		return;
	if (++u->calls_after == REFUSED_CALLS + 1)
		violate(a, BCT_CONTROL_REFUSED, "%s: %s with token %" PRIu64 ", %lld ms after",
			subject_at(a, p->subject)->name, holder_name(a, p->holder), p->call.fence,
			(long long)(now - u->refused_at));
}

/* A holder that has acted recently acts again, and another one has acted since. */
static void note_act(bct_control_api_t *a, bct_time_t now, uint32_t holder)
{
	holder_t *h = &((holder_t *)a->holders.items)[holder];

	if (h->acted_at && a->last_holder != holder + 1 &&
	    now - h->acted_at <= (bct_time_t)a->opts.lease_ms)
		violate(a, BCT_CONTROL_ORDER, "%s, %s and %s within %lld ms", h->name,
			holder_name(a, a->last_holder - 1), h->name,
			(long long)(now - h->acted_at));
	h->acted_at = now;
	a->last_holder = holder + 1;
}

static bool within_rate(bct_control_api_t *a, bct_time_t now)
{
	double per_s = a->opts.calls_per_s;

	a->tokens += (double)(now - a->filled_at) * per_s / BCT_MS_PER_S;
	if (a->tokens > per_s)
		a->tokens = per_s;
	a->filled_at = now;
	if (a->tokens < 1)
		return false;
	a->tokens--;
	return true;
}

static void accept_report(bct_control_api_t *a, const parsed_t *p)
{
	json_t *counts = json_object_get(p->call.doc, "counts");
	report_t *r = (report_t *)a->reports.items;

	for (uint32_t i = 0; i < a->reports.n; i++) {
		if (r[i].window != p->call.window)
			continue;
		if (!json_equal(r[i].counts, counts))
			violate(a, BCT_CONTROL_ONE_REPORT, "window %" PRIu64 ", the later by %s",
				p->call.window, holder_name(a, p->holder));
		return;
	}
	r = grow(&a->reports, sizeof(*r));
	r->window = p->call.window;
	r->counts = json_incref(counts);
}

static bct_control_order_t *find_order(const bct_control_api_t *a, const char *service,
				       const char *zone, bool spot)
{
	bct_control_order_t *o = (bct_control_order_t *)a->orders.items;

	for (uint32_t i = 0; i < a->orders.n; i++) {
		if (!strcmp(o[i].service, service) && !strcmp(o[i].zone, zone) && o[i].spot == spot)
			return &o[i];
	}
	return NULL;
}

static bool spot_available(const bct_control_api_t *a, bct_time_t now, const char *zone)
{
	const shortage_t *s = (const shortage_t *)a->shortages.items;

	for (uint32_t i = 0; i < a->shortages.n; i++) {
		if (!strcmp(s[i].zone, zone) && now < s[i].until)
			return false;
	}
	return true;
}

static int accept_order(bct_control_api_t *a, bct_time_t now, const parsed_t *p)
{
	bct_control_order_t *o =
		find_order(a, p->call.order.service, p->call.order.zone, p->call.order.spot);

	if (p->call.order.spot && p->call.order.engines > (o ? o->engines : 0) &&
	    !spot_available(a, now, p->call.order.zone))
		return CONFLICT;
	if (!o)
		o = grow(&a->orders, sizeof(*o));
	*o = p->call.order;
	return OK;
}

/* Executes a call and frees its document. */
static int execute(bct_control_api_t *a, bct_time_t now, parsed_t *p)
{
	subject_t *s = subject_at(a, p->subject);
	int status = OK;

	if (p->call.fence < s->highest) {
		use_t *u = use_of(a, p);

		if (!u->refused_at)
			u->refused_at = now;
		status = CONFLICT;
	} else {
		s->highest = p->call.fence;
		if (p->call.is_order)
			status = accept_order(a, now, p);
		else
			accept_report(a, p);
	}
	bct_control_call_free(&p->call);
	return status;
}

/* Decodes a call that arrives and checks its rate. returns 0 or the status of the refusal. */
static int admit(bct_control_api_t *a, bct_time_t now, const bct_control_api_call_t *call,
		 parsed_t *out)
{
	int status = bct_control_call_decode(call, &out->call);

	if (status)
		return status;
	out->subject = subject_of(a, out->call.subject);
	out->holder = holder_of(a, call->holder);
	note_arrival(a, now, out);
	if (within_rate(a, now))
		return 0;
	bct_control_call_free(&out->call);
	return TOO_MANY;
}

int bct_control_api_call(bct_control_api_t *a, bct_time_t now, const bct_control_api_call_t *call)
{
	parsed_t p;
	int status;

	bct_control_api_tick(a, now);
	status = admit(a, now, call, &p);
	if (status)
		return status;
	if (p.call.fence >= subject_at(a, p.subject)->highest)
		note_act(a, now, p.holder);
	return execute(a, now, &p);
}

/* It counts as an act of its holder when it arrives, not when it takes effect. */
void bct_control_api_call_late(bct_control_api_t *a, bct_time_t now,
			       const bct_control_api_call_t *call)
{
	uint32_t spread = a->opts.late_max_ms - a->opts.late_min_ms;
	parsed_t p;
	late_t *l;

	bct_control_api_tick(a, now);
	if (admit(a, now, call, &p))
		return;
	if (p.call.fence >= subject_at(a, p.subject)->highest)
		note_act(a, now, p.holder);
	l = grow(&a->late, sizeof(*l));
	l->parsed = p;
	l->due = now + a->opts.late_min_ms + bct_rng_below(&a->rng, spread + 1);
}

/* Executes those that are due in the order in which they are. */
void bct_control_api_tick(bct_control_api_t *a, bct_time_t now)
{
	for (;;) {
		late_t *l = (late_t *)a->late.items, first;
		uint32_t at = 0;

		for (uint32_t i = 1; i < a->late.n; i++)
			at = l[i].due < l[at].due ? i : at;
		if (!a->late.n || l[at].due > now)
			return;
		first = l[at];
		l[at] = l[--a->late.n];
		execute(a, first.due, &first.parsed);
	}
}

void bct_control_api_no_spot(bct_control_api_t *a, const char *zone, bct_time_t until)
{
	shortage_t *s = grow(&a->shortages, sizeof(*s));

	snprintf(s->zone, sizeof(s->zone), "%s", zone);
	s->until = until;
}

bool bct_control_api_reported(const bct_control_api_t *a, uint64_t window, const char *account,
			      uint32_t *requests)
{
	const report_t *r = (const report_t *)a->reports.items;

	for (uint32_t i = 0; i < a->reports.n; i++) {
		if (r[i].window != window)
			continue;
		*requests = (uint32_t)json_integer_value(json_object_get(r[i].counts, account));
		return true;
	}
	return false;
}

uint32_t bct_control_api_windows(const bct_control_api_t *a, uint64_t *first, uint64_t *last)
{
	const report_t *r = (const report_t *)a->reports.items;

	for (uint32_t i = 0; i < a->reports.n; i++) {
		if (!i || r[i].window < *first)
			*first = r[i].window;
		if (!i || r[i].window > *last)
			*last = r[i].window;
	}
	return a->reports.n;
}

bool bct_control_api_ordered(const bct_control_api_t *a, const char *service, const char *zone,
			     bool spot, uint32_t *engines)
{
	const bct_control_order_t *o = find_order(a, service, zone, spot);

	if (o)
		*engines = o->engines;
	return o;
}

uint32_t bct_control_api_violations(const bct_control_api_t *a, bct_control_rule_t rule)
{
	return a->violations[rule];
}

uint32_t bct_control_api_print(const bct_control_api_t *a, FILE *out)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < BCT_CONTROL_RULES; i++)
		sum += a->violations[i];
	if (sum && a->texts.data)
		fputs(a->texts.data, out);
	return sum;
}
