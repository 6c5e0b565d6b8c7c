/*
 * test_duty_record.c - the record of the duties: what is written is read back, at the size to
 * design for; damaged records are refused.
 */
#include "base/err.h"
#include "base/mem.h"
#include "gate/duty_record.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define ACCOUNTS 350
#define NODES 350
#define REPORTS 12 /* windows of 5 s until a report is given up */
#define W 353445120
#define MAX_BYTES (32 * 1024)

typedef struct body {
	char names[ACCOUNTS][BCT_USAGE_ACCOUNT_BYTES];
	bct_usage_count_t counts[ACCOUNTS];
	bct_usage_share_t shares[NODES];
	bct_usage_open_t open;
	bct_duty_plan_t plan;
} body_t;

static const bct_duty_header_t header = { .holder = UINT64_MAX - 1,
					  .name = "gate-17",
					  .ttl_ms = 3000,
					  .append_id = 77,
					  .revision = 1234567890123 };

/* The plan has the counts of b as decided reports, and one service. */
static void fill_plan(body_t *b, uint32_t accounts, uint32_t reports)
{
	bct_duty_plan_opts_t o = { .window_ms = 5000, .calls_per_s = 50 };
	bct_autoscale_conf_t conf = { .domains = { { .name = "Z1" } }, .n_domains = 1 };
	bct_autoscale_plan_t wanted = { .wanted = { { 3, 4 } } };
	bct_autoscale_input_t in = { 0 };

	bct_duty_plan_init(&b->plan, &o);
	for (uint32_t i = 0; i < reports; i++) {
		bct_usage_report_t r = { W + i, b->counts, accounts };

		cr_assert_eq(bct_duty_plan_decide(&b->plan, &r), 0);
	}
	cr_assert_eq(bct_duty_plan_want(&b->plan, 1, "S", &conf, &in, &wanted), 1);
}

static void fill(body_t *b, uint32_t accounts, uint32_t nodes, uint32_t reports)
{
	for (uint32_t i = 0; i < accounts; i++) {
		/* Lengths of all residues, up to the longest name. */
		snprintf(b->names[i], sizeof(b->names[i]), "%.*s%u", (int)(i % 60),
			 "account-account-account-account-account-account-account-account", i);
		b->counts[i] = (bct_usage_count_t){ b->names[i], i * 3 };
	}
	for (uint32_t i = 0; i < nodes; i++)
		b->shares[i] = (bct_usage_share_t){ i + 1, i };
	b->open = (bct_usage_open_t){ { W + reports, b->counts, accounts }, b->shares, nodes };
	fill_plan(b, accounts, reports);
}

Test(duty_record, round_trip)
{
	static body_t b;
	bct_duty_header_t h;
	bct_duty_state_t s;
	bct_buf_t out;

	fill(&b, ACCOUNTS, NODES, REPORTS);
	bct_buf_init(&out, 0);
	cr_assert_eq(bct_duty_record_encode(&header, &b.plan, &b.open, 1, &out), 0);
	cr_log_info("%zu bytes", out.len_bytes);
	cr_assert_eq(bct_duty_record_decode(out.data, out.len_bytes, &h, &s), 0);
	cr_assert_eq(memcmp(&h, &header, sizeof(h)), 0);
	cr_assert_eq(s.revision, header.revision);
	cr_assert_eq(s.decided, W + REPORTS - 1);
	cr_assert_eq(s.n_reports, REPORTS);
	for (uint32_t i = 0; i < ACCOUNTS; i++) {
		cr_assert_str_eq(s.reports[3].usage.counts[i].account, b.names[i]);
		cr_assert_eq(s.reports[3].usage.counts[i].requests, i * 3);
	}
	cr_assert_eq(s.opens[0].sums.usage.window, W + REPORTS);
	cr_assert_eq(s.opens[0].n_shares, NODES);
	cr_assert_eq(memcmp(s.opens[0].shares, b.shares, sizeof(b.shares)), 0);
	cr_assert_eq(s.n_wanted, 1);
	cr_assert_str_eq(s.wanted[0].domains[0].name, "Z1");
	cr_assert_eq(s.wanted[0].domains[0].wanted[BCT_AUTOSCALE_SPOT], 4);
	bct_duty_state_free(&s);
	bct_buf_free(&out);
	bct_duty_plan_free(&b.plan);
}

/* returns the bytes of a record with the windows of a quiet time: one decided, two open */
static size_t record_bytes(uint32_t nodes, uint32_t accounts)
{
	static body_t b;
	bct_usage_open_t opens[2];
	bct_buf_t out;
	size_t bytes;

	fill(&b, accounts, nodes, 1);
	for (uint32_t i = 0; i < accounts; i++)
		snprintf(b.names[i], sizeof(b.names[i]), "account-%03u", i);
	bct_duty_plan_free(&b.plan);
	fill_plan(&b, accounts, 1);
	opens[0] = b.open;
	opens[1] = b.open;
	bct_buf_init(&out, 0);
	cr_assert_eq(bct_duty_record_encode(&header, &b.plan, opens, 2, &out), 0);
	bytes = out.len_bytes;
	bct_buf_free(&out);
	bct_duty_plan_free(&b.plan);
	return bytes;
}

/* The record is appended once a second and read twice: its growth would be paid for all day. */
Test(duty_record, size_is_bounded)
{
	static const uint32_t nodes[] = { 7, 89, 195, 350 }, accounts[] = { 24, 24, 24, 350 };

	for (size_t i = 0; i < sizeof(nodes) / sizeof(nodes[0]); i++) {
		size_t bytes = record_bytes(nodes[i], accounts[i]);

		printf("%u nodes, %u accounts: %zu bytes\n", nodes[i], accounts[i], bytes);
		cr_assert_leq(bytes, MAX_BYTES);
	}
}

/* A record that is cut or altered is refused, or decoded; it does no other harm. */
Test(duty_record, damaged)
{
	static body_t b;
	bct_duty_header_t h;
	bct_duty_state_t s;
	bct_buf_t out;
	uint32_t refused = 0;

	fill(&b, 5, 3, 2);
	bct_buf_init(&out, 0);
	cr_assert_eq(bct_duty_record_encode(&header, &b.plan, &b.open, 1, &out), 0);
	for (size_t len = 0; len < out.len_bytes; len++)
		cr_assert_eq(bct_duty_record_decode(out.data, len, &h, &s), -BCT_ECODEC);
	for (size_t i = 0; i < out.len_bytes * 8; i++) {
		out.data[i / 8] ^= (char)(1 << i % 8);
		if (bct_duty_record_decode(out.data, out.len_bytes, &h, &s))
			refused++;
		bct_duty_state_free(&s);
		out.data[i / 8] ^= (char)(1 << i % 8);
	}
	cr_assert_gt(refused, 0);
	bct_buf_free(&out);
	bct_duty_plan_free(&b.plan);
}

/* Memory runs short at each allocation of encoding and decoding: an error, and no leak. */
Test(duty_record, memory_is_short)
{
	static body_t b;
	bct_duty_header_t h;
	bct_duty_state_t s;
	bct_buf_t out;
	int rc = -1;

	fill(&b, 3, 2, 2);
	bct_buf_init(&out, 0);
	for (int64_t n = 0; rc; n++) {
		bct_buf_clear(&out);
		bct_mem_fail_after(n);
		rc = bct_duty_record_encode(&header, &b.plan, &b.open, 1, &out);
		bct_mem_fail_after(-1);
		cr_assert(!rc || rc == -BCT_ENOMEM);
	}
	rc = -1;
	for (int64_t n = 0; rc; n++) {
		bct_mem_fail_after(n);
		rc = bct_duty_record_decode(out.data, out.len_bytes, &h, &s);
		bct_mem_fail_after(-1);
		cr_assert(!rc || rc == -BCT_ENOMEM);
		bct_duty_state_free(&s);
	}
	bct_buf_free(&out);
	bct_duty_plan_free(&b.plan);
}
