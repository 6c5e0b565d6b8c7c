/*
 * test_log_follower.c - the read loop with a scripted platform: gaps, a log that lags or was
 * recreated, a callback that fails for lack of memory, outages.
 */
#include "base/err.h"
#include "base/mem.h"
#include "coord/log_follower.h"

#include <criterion/criterion.h>
#include <string.h>

/* A platform whose reads return the records of [first, end), or rc when that is not 0. */
typedef struct script {
	bct_platform_t base;
	uint64_t first;
	uint64_t end;
	int rc;
} script_t;

/* Counts the callbacks. */
typedef struct calls {
	bct_log_follower_t *f;
	uint32_t records;
	uint32_t lost;
	uint32_t caught_up;
	int refuse; /* number of records still to be refused with -BCT_ENOMEM */
} calls_t;

static int script_read(bct_platform_t *base, const char *stream, uint64_t from, uint32_t max_bytes,
		       uint32_t wait_ms, uint32_t timeout_ms, bct_records_t *out)
{
	const script_t *s = (const script_t *)base;
	uint64_t at;

	(void)stream;
	(void)max_bytes;
	(void)wait_ms;
	(void)timeout_ms;
	memset(out, 0, sizeof(*out));
	out->next = s->end;
	out->oldest = s->first;
	if (s->rc || from >= s->end)
		return s->rc;
	out->records = bct_alloc((s->end - s->first) * sizeof(*out->records));
	for (at = from > s->first ? from : s->first; at < s->end; at++)
		out->records[out->n++] = (bct_record_t){ at, 0, NULL };
	return 0;
}

static const bct_platform_ops_t script_ops = { .read = script_read };

static int on_record(void *ctx, const bct_record_t *rec)
{
	calls_t *s = ctx;

	(void)rec;
	if (s->refuse-- > 0)
		return -BCT_ENOMEM;
	s->records++;
	return 0;
}

static uint64_t on_lost(void *ctx, uint64_t position, uint64_t oldest)
{
	calls_t *s = ctx;

	(void)position;
	s->lost++;
	return oldest;
}

static void on_caught_up(void *ctx, uint64_t end, uint64_t oldest)
{
	calls_t *s = ctx;

	(void)end;
	(void)oldest;
	s->caught_up++;
}

static const bct_log_follower_ops_t counting_ops = { on_record, on_lost, on_caught_up };

static void start(script_t *p, calls_t *s, uint64_t end)
{
	*p = (script_t){ .base.ops = &script_ops, .end = end };
	memset(s, 0, sizeof(*s));
	cr_assert_eq(bct_log_follower_new(&(bct_log_follower_opts_t){ .platform = &p->base,
								      .stream = "s",
								      .ops = &counting_ops,
								      .ctx = s },
					  &s->f),
		     0);
}

Test(log_follower, skipped_records_are_reported_lost)
{
	script_t p;
	calls_t s;

	start(&p, &s, 3);
	cr_assert_eq(bct_log_follower_step(s.f, 0), 3);
	cr_assert_eq(s.caught_up, 1);
	p.first = 5;
	p.end = 7;
	cr_assert_eq(bct_log_follower_step(s.f, 0), 0);
	cr_assert_eq(s.lost, 1);
	cr_assert_eq(s.caught_up, 1);
	cr_assert_eq(bct_log_follower_step(s.f, 0), 2);
	cr_assert_eq(s.records, 5);
	cr_assert_eq(s.caught_up, 2);
	bct_log_follower_free(s.f);
}

Test(log_follower, lagging_log_is_no_loss_but_recreated_log_is)
{
	script_t p;
	calls_t s;
	int reads;

	start(&p, &s, 10);
	bct_log_follower_step(s.f, 0);
	p.end = 8;
	bct_log_follower_step(s.f, 0);
	cr_assert_eq(s.lost, 0);
	p.end = 11;
	cr_assert_eq(bct_log_follower_step(s.f, 0), 1);
	p.end = 1;
	for (reads = 0; s.lost == 0 && reads < 100; reads++)
		bct_log_follower_step(s.f, 0);
	cr_assert_eq(reads, 30);
	cr_assert_eq(bct_log_follower_step(s.f, 0), 1);
	bct_log_follower_free(s.f);
}

Test(log_follower, record_refused_without_memory_is_delivered_again)
{
	script_t p;
	calls_t s;

	start(&p, &s, 3);
	s.refuse = 2;
	cr_assert_eq(bct_log_follower_step(s.f, 0), -BCT_ENOMEM);
	cr_assert_eq(bct_log_follower_step(s.f, 0), -BCT_ENOMEM);
	cr_assert_eq(bct_log_follower_step(s.f, 0), 3);
	cr_assert_eq(s.records, 3);
	bct_log_follower_free(s.f);
}

Test(log_follower, outage_is_in_health_and_backs_off)
{
	bct_log_health_t h;
	script_t p;
	calls_t s;
	int i;

	start(&p, &s, 1);
	p.rc = -BCT_EUNAVAILABLE;
	for (i = 0; i < 20; i++)
		cr_assert_eq(bct_log_follower_step(s.f, 0), -BCT_EUNAVAILABLE);
	bct_log_follower_health(s.f, &h);
	cr_assert_not(h.up);
	cr_assert_eq(h.failures, 20);
	cr_assert_geq(bct_log_follower_backoff_ms(s.f), 2500);
	cr_assert_leq(bct_log_follower_backoff_ms(s.f), 5000);
	p.rc = 0;
	bct_log_follower_step(s.f, 0);
	bct_log_follower_health(s.f, &h);
	cr_assert(h.up);
	cr_assert(h.caught_up);
	cr_assert_eq(h.next, 1);
	bct_log_follower_free(s.f);
}
