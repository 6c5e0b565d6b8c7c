/*
 * duty_record.c - all parts of a record that is encoded are allocated, so that xdr_free() frees
 * them as it does those of one that was decoded.
 */
#include "gate/duty_record.h"
#include "base/err.h"
#include "base/mem.h"
#include "gen/duty.h"

#include <string.h>

#define XDR_UNIT_BYTES 4

/* Copies a name, padded with at least one NUL to a multiple of XDR_UNIT_BYTES. */
static bool put_name(const char *name, u_int *len, char **val)
{
	size_t bytes = (strlen(name) / XDR_UNIT_BYTES + 1) * XDR_UNIT_BYTES;

	*val = bct_alloc(bytes);
	if (!*val)
		return false;
	memcpy(*val, name, strlen(name));
	*len = (u_int)bytes;
	return true;
}

/* Allocates n elements; a list without elements needs none. */
static bool put_list(void *list, u_int *len, uint32_t n, size_t element_bytes)
{
	void **val = list;

	*val = bct_alloc(element_bytes * (n + 1));
	if (*val)
		*len = n;
	return *val != NULL;
}

static bool put_report(const bct_usage_report_t *r, duty_report *out)
{
	bool ok = put_list(&out->counts.counts_val, &out->counts.counts_len, r->n,
			   sizeof(duty_count));

	out->window = r->window;
	for (uint32_t i = 0; i < r->n && ok; i++) {
		duty_count *c = &out->counts.counts_val[i];

		c->requests = r->counts[i].requests;
		ok = put_name(r->counts[i].account, &c->account.account_len,
			      &c->account.account_val);
	}
	return ok;
}

static bool put_open(const bct_usage_open_t *o, duty_open *out)
{
	if (!put_report(&o->sums, &out->sums) ||
	    !put_list(&out->shares.shares_val, &out->shares.shares_len, o->n_shares,
		      sizeof(duty_share)))
		return false;
	for (uint32_t i = 0; i < o->n_shares; i++)
		out->shares.shares_val[i] =
			(duty_share){ o->shares[i].incarnation, o->shares[i].requests };
	return true;
}

static bool put_service(const bct_duty_service_t *s, duty_service *out)
{
	bool ok = put_name(s->name, &out->name.name_len, &out->name.name_val) &&
		  put_list(&out->domains.domains_val, &out->domains.domains_len, s->n_domains,
			   sizeof(duty_domain));

	for (uint32_t i = 0; i < s->n_domains && ok; i++) {
		duty_domain *d = &out->domains.domains_val[i];

		ok = put_name(s->domains[i], &d->name.name_len, &d->name.name_val);
		for (uint32_t k = 0; k < BCT_AUTOSCALE_KINDS; k++)
			d->wanted[k] = s->targets[i][k].wanted;
	}
	return ok;
}

static bool put_body(const bct_duty_plan_t *p, const bct_usage_open_t *opens, uint32_t n_opens,
		     duty_record *r)
{
	bool ok = put_list(&r->reports.reports_val, &r->reports.reports_len, p->n_reports,
			   sizeof(duty_report)) &&
		  put_list(&r->opens.opens_val, &r->opens.opens_len, n_opens, sizeof(duty_open)) &&
		  put_list(&r->services.services_val, &r->services.services_len, p->n_services,
			   sizeof(duty_service));

	r->decided = p->decided;
	for (uint32_t i = 0; i < p->n_reports && ok; i++)
		ok = put_report(&p->reports[i].report.usage, &r->reports.reports_val[i]);
	for (uint32_t i = 0; i < n_opens && ok; i++)
		ok = put_open(&opens[i], &r->opens.opens_val[i]);
	for (uint32_t i = 0; i < p->n_services && ok; i++)
		ok = put_service(&p->services[i], &r->services.services_val[i]);
	return ok;
}

static int put_xdr(duty_record *r, bct_buf_t *out)
{
	u_int len = (u_int)xdr_sizeof((xdrproc_t)xdr_duty_record, r);
	char *bytes = len ? bct_alloc(len) : NULL;
	int rc = -BCT_ECODEC;
	XDR x;

	if (!len)
		return rc;
	if (!bytes)
		return -BCT_ENOMEM;
	xdrmem_create(&x, bytes, len, XDR_ENCODE);
	if (xdr_duty_record(&x, r))
		rc = bct_buf_put(out, bytes, len);
	xdr_destroy(&x);
	bct_free(bytes);
	return rc;
}

int bct_duty_record_encode(const bct_duty_header_t *h, const bct_duty_plan_t *p,
			   const bct_usage_open_t *opens, uint32_t n_opens, bct_buf_t *out)
{
	duty_record r = { .format = DUTY_FORMAT,
			  .holder = h->holder,
			  .ttl_ms = h->ttl_ms,
			  .append_id = h->append_id,
			  .revision = h->revision };
	int rc = -BCT_ENOMEM;

	if (put_name(h->name, &r.name.name_len, &r.name.name_val) &&
	    put_body(p, opens, n_opens, &r))
		rc = put_xdr(&r, out);
	xdr_free((xdrproc_t)xdr_duty_record, (char *)&r);
	return rc;
}

static bool name_ok(const char *val, u_int len)
{
	return len > 0 && val[len - 1] == '\0';
}

/* counts has room for all accounts of r. */
static int get_report(const duty_report *r, bct_usage_count_t *counts, bct_duty_report_t *out)
{
	bct_usage_report_t view = { r->window, counts, r->counts.counts_len };

	for (u_int i = 0; i < r->counts.counts_len; i++) {
		const duty_count *c = &r->counts.counts_val[i];

		if (!name_ok(c->account.account_val, c->account.account_len))
			return -BCT_ECODEC;
		counts[i].account = c->account.account_val;
		counts[i].requests = c->requests;
	}
	return bct_duty_report_copy(&view, out);
}

static int get_open(const duty_open *o, bct_usage_count_t *counts, struct bct_duty_open *out)
{
	int rc = get_report(&o->sums, counts, &out->sums);

	if (rc)
		return rc;
	out->shares = bct_alloc(sizeof(*out->shares) * (o->shares.shares_len + 1));
	if (!out->shares)
		return -BCT_ENOMEM;
	out->n_shares = o->shares.shares_len;
	for (u_int i = 0; i < o->shares.shares_len; i++) {
		out->shares[i].incarnation = o->shares.shares_val[i].incarnation;
		out->shares[i].requests = o->shares.shares_val[i].requests;
	}
	return 0;
}

static int get_service(const duty_service *s, bct_duty_wanted_t *out)
{
	if (!name_ok(s->name.name_val, s->name.name_len) ||
	    s->domains.domains_len > BCT_AUTOSCALE_DOMAINS)
		return -BCT_ECODEC;
	memcpy(out->service, s->name.name_val, s->name.name_len);
	out->n_domains = s->domains.domains_len;
	for (u_int i = 0; i < s->domains.domains_len; i++) {
		const duty_domain *d = &s->domains.domains_val[i];

		if (!name_ok(d->name.name_val, d->name.name_len))
			return -BCT_ECODEC;
		memcpy(out->domains[i].name, d->name.name_val, d->name.name_len);
		for (uint32_t k = 0; k < BCT_AUTOSCALE_KINDS; k++)
			out->domains[i].wanted[k] = d->wanted[k];
	}
	return 0;
}

static int get_body(const duty_record *r, bct_usage_count_t *counts, bct_duty_state_t *out)
{
	int rc = 0;

	out->revision = r->revision;
	out->decided = r->decided;
	out->reports = bct_alloc(sizeof(*out->reports) * (r->reports.reports_len + 1));
	out->opens = bct_alloc(sizeof(*out->opens) * (r->opens.opens_len + 1));
	out->wanted = bct_alloc(sizeof(*out->wanted) * (r->services.services_len + 1));
	if (!out->reports || !out->opens || !out->wanted)
		return -BCT_ENOMEM;
	for (; out->n_reports < r->reports.reports_len && !rc; out->n_reports++)
		rc = get_report(&r->reports.reports_val[out->n_reports], counts,
				&out->reports[out->n_reports]);
	for (; out->n_opens < r->opens.opens_len && !rc; out->n_opens++)
		rc = get_open(&r->opens.opens_val[out->n_opens], counts, &out->opens[out->n_opens]);
	for (; out->n_wanted < r->services.services_len && !rc; out->n_wanted++)
		rc = get_service(&r->services.services_val[out->n_wanted],
				 &out->wanted[out->n_wanted]);
	return rc;
}

static int get_record(const duty_record *r, bct_duty_header_t *h, bct_duty_state_t *out)
{
	bct_usage_count_t *counts;
	int rc;

	if (r->format != DUTY_FORMAT || !name_ok(r->name.name_val, r->name.name_len))
		return -BCT_ECODEC;
	counts = bct_alloc(sizeof(*counts) * DUTY_ACCOUNTS_MAX);
	if (!counts)
		return -BCT_ENOMEM;
	h->holder = r->holder;
	memcpy(h->name, r->name.name_val, r->name.name_len);
	h->ttl_ms = r->ttl_ms;
	h->append_id = r->append_id;
	h->revision = r->revision;
	rc = get_body(r, counts, out);
	bct_free(counts);
	return rc;
}

int bct_duty_record_decode(const void *data, size_t len_bytes, bct_duty_header_t *h,
			   bct_duty_state_t *out)
{
	duty_record r = { 0 };
	int rc = -BCT_ECODEC;
	XDR x;

	memset(h, 0, sizeof(*h));
	memset(out, 0, sizeof(*out));
	xdrmem_create(&x, (char *)(uintptr_t)data, (u_int)len_bytes, XDR_DECODE);
	if (xdr_duty_record(&x, &r) && xdr_getpos(&x) == len_bytes)
		rc = get_record(&r, h, out);
	xdr_destroy(&x);
	xdr_free((xdrproc_t)xdr_duty_record, (char *)&r);
	if (rc)
		bct_duty_state_free(out);
	return rc;
}
