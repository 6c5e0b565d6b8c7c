/*
 * duty_state.c - copies of reports, and the memory of a record's body.
 */
#include "policy/duty_state.h"
#include "base/err.h"
#include "base/mem.h"

#include <string.h>

int bct_duty_report_copy(const bct_usage_report_t *r, bct_duty_report_t *out)
{
	size_t bytes = 1;
	char *to;

	memset(out, 0, sizeof(*out));
	for (uint32_t i = 0; i < r->n; i++)
		bytes += strlen(r->counts[i].account) + 1;
	out->names = bct_alloc(bytes);
	out->usage.counts = bct_alloc(sizeof(*out->usage.counts) * (r->n + 1));
	if (!out->names || !out->usage.counts) {
		bct_duty_report_free(out);
		return -BCT_ENOMEM;
	}
	out->usage.window = r->window;
	out->usage.n = r->n;
	to = out->names;
	for (uint32_t i = 0; i < r->n; i++) {
		size_t len = strlen(r->counts[i].account) + 1;

		memcpy(to, r->counts[i].account, len);
		out->usage.counts[i].account = to;
		out->usage.counts[i].requests = r->counts[i].requests;
		to += len;
	}
	return 0;
}

void bct_duty_report_free(bct_duty_report_t *r)
{
	bct_free(r->usage.counts);
	bct_free(r->names);
	memset(r, 0, sizeof(*r));
}

void bct_duty_state_free(bct_duty_state_t *s)
{
	for (uint32_t i = 0; i < s->n_reports; i++)
		bct_duty_report_free(&s->reports[i]);
	for (uint32_t i = 0; i < s->n_opens; i++) {
		bct_duty_report_free(&s->opens[i].sums);
		bct_free(s->opens[i].shares);
	}
	bct_free(s->reports);
	bct_free(s->opens);
	bct_free(s->wanted);
	memset(s, 0, sizeof(*s));
}

int bct_duty_state_restore(const bct_duty_state_t *s, bct_usage_t *u)
{
	for (uint32_t i = 0; i < s->n_opens; i++) {
		bct_usage_open_t o = { .sums = s->opens[i].sums.usage,
				       .shares = s->opens[i].shares,
				       .n_shares = s->opens[i].n_shares };
		int rc = bct_usage_restore(u, &o);

		if (rc)
			return rc;
	}
	return 0;
}
