/*
 * lease.c - replay of lease records, and the choice of this node's next record.
 */
#include "coord/lease.h"
#include "base/err.h"

#include <stdio.h>
#include <string.h>

void bct_lease_init(bct_lease_t *l, const bct_lease_opts_t *opts, bct_time_t now)
{
	memset(l, 0, sizeof(*l));
	l->opts = *opts;
	snprintf(l->name, sizeof(l->name), "%s", opts->name);
	l->opts.name = l->name;
	l->read_at = now;
	l->valid_until = now - 1;
	l->wanted = true;
}

void bct_lease_want(bct_lease_t *l, bool wanted)
{
	l->wanted = wanted;
	if (!wanted)
		l->releasing = true;
}

static bool is_local_holder(const bct_lease_t *l)
{
	return l->held && l->holder == l->opts.incarnation;
}

/*
 * A released or never claimed lease may be claimed after delay_ms; a held one must have expired for
 * its holder before that.
 */
static bool may_claim(const bct_lease_t *l, bct_time_t now)
{
	bct_time_t wait = (bct_time_t)l->opts.delay_ms;

	if (l->held)
		wait += l->opts.ttl_ms + l->opts.margin_ms;
	return now - l->read_at >= wait;
}

/* Chooses the kind of the next record. returns whether it is due now. */
static bool choose_kind(const bct_lease_t *l, bct_time_t now, bct_xlease_kind *kind)
{
	if (is_local_holder(l) && l->releasing) {
		*kind = BCT_XLEASE_RELEASE;
		return true;
	}
	if (!l->wanted)
		return false;
	if (is_local_holder(l)) {
		*kind = BCT_XLEASE_RENEW;
		return now - l->read_at >= (bct_time_t)l->opts.renew_ms;
	}
	*kind = BCT_XLEASE_CLAIM;
	return may_claim(l, now);
}

bool bct_lease_next(bct_lease_t *l, bct_time_t now, uint64_t id, bct_xlease_record *out)
{
	bct_xlease_kind kind;

	/* A record that was not read back within ttl_ms is treated as lost. */
	if (l->in_flight_id && now - l->in_flight_since < (bct_time_t)l->opts.ttl_ms)
		return false;
	if (!choose_kind(l, now, &kind))
		return false;
	memset(out, 0, sizeof(*out));
	out->kind = kind;
	memcpy(out->name, l->name, sizeof(out->name));
	out->id = id;
	out->holder = l->opts.incarnation;
	out->seen = l->last;
	out->token = l->token;
	out->ttl_ms = l->opts.ttl_ms;
	l->in_flight_id = id;
	l->in_flight_since = now;
	return true;
}

void bct_lease_append_failed(bct_lease_t *l, uint64_t id)
{
	if (l->in_flight_id == id)
		l->in_flight_id = 0;
}

/* Whether a record of this lease takes effect; see lease.h. */
static bool is_effective(const bct_lease_t *l, const bct_xlease_record *r)
{
	if (r->kind == BCT_XLEASE_CLAIM)
		return r->seen == l->last;
	return l->held && r->holder == l->holder && r->token == l->token;
}

static void apply_effective(bct_lease_t *l, bct_time_t now, uint64_t offset,
			    const bct_xlease_record *r)
{
	l->last = offset + 1;
	l->read_at = now;
	switch (r->kind) {
	case BCT_XLEASE_CLAIM:
		l->held = true;
		l->holder = r->holder;
		l->token = offset + 1;
		break;
	case BCT_XLEASE_RENEW:
		break;
	case BCT_XLEASE_RELEASE:
		l->held = false;
		break;
	}
}

/*
 * Updates the local state for a replayed record. When it is this node's record in flight, the lease
 * is valid for ttl_ms from before the record was sent.
 */
static void update_local(bct_lease_t *l, bct_time_t now, const bct_xlease_record *r, bool effective)
{
	bool in_flight = l->in_flight_id && r->id == l->in_flight_id;

	if (in_flight)
		l->in_flight_id = 0;
	if (!effective)
		return;
	if (!is_local_holder(l)) {
		l->valid_until = now - 1;
		l->releasing = false;
		return;
	}
	if (r->kind == BCT_XLEASE_CLAIM)
		l->acquired_at = now;
	/*
	 * For a record that was treated as lost the time of sending is no longer known: a late
	 * claim gives no validity, and a late renewal does not extend it.
	 */
	if (in_flight)
		l->valid_until = l->in_flight_since + l->opts.ttl_ms;
	else if (r->kind == BCT_XLEASE_CLAIM)
		l->valid_until = now - 1;
}

void bct_lease_apply(bct_lease_t *l, bct_time_t now, uint64_t offset, const bct_xlease_record *r)
{
	bool effective;

	if (strncmp(r->name, l->name, sizeof(r->name)))
		return;
	effective = is_effective(l, r);
	if (effective)
		apply_effective(l, now, offset, r);
	update_local(l, now, r, effective);
}

bool bct_lease_valid(const bct_lease_t *l, bct_time_t now)
{
	return is_local_holder(l) && !l->releasing && now < l->valid_until;
}

int bct_lease_encode(const bct_xlease_record *r, void *out, uint32_t max_bytes, uint32_t *len_bytes)
{
	bct_xlease_record copy = *r;
	XDR xdrs;
	bool ok;

	xdrmem_create(&xdrs, out, max_bytes, XDR_ENCODE);
	ok = xdr_bct_xlease_record(&xdrs, &copy);
	*len_bytes = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	return ok ? 0 : -BCT_ETOO_LARGE;
}

int bct_lease_decode(const void *data, uint32_t len_bytes, bct_xlease_record *out)
{
	XDR xdrs;
	bool ok;

	memset(out, 0, sizeof(*out));
	xdrmem_create(&xdrs, (char *)(uintptr_t)data, len_bytes, XDR_DECODE);
	ok = xdr_bct_xlease_record(&xdrs, out);
	ok = ok && xdr_getpos(&xdrs) == len_bytes;
	xdr_destroy(&xdrs);
	if (ok)
		return 0;
	bct_lease_record_free(out);
	return -BCT_ECODEC;
}

void bct_lease_record_free(bct_xlease_record *r)
{
	xdr_free((xdrproc_t)xdr_bct_xlease_record, r);
	memset(r, 0, sizeof(*r));
}
