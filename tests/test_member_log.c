/*
 * test_member_log.c - a fleet that starts at once is logged in few lines, and no change is lost.
 */
#include "coord/member_log.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FLEET 195

static char *text;
static size_t text_bytes;
static FILE *stream;
static bct_member_log_t member_log;

static void start(void)
{
	bct_log_opts_t o = { .level = BCT_LEVEL_INFO };

	stream = open_memstream(&text, &text_bytes);
	o.stream = stream;
	memset(&member_log, 0, sizeof(member_log));
	cr_assert_eq(bct_log_new(&o, &member_log.log), 0);
}

static void stop(void)
{
	bct_log_free(member_log.log);
	fclose(stream);
	free(text);
}

static void change(bct_time_t now, bct_member_event_type_t type, uint32_t i)
{
	bct_member_t m = { .incarnation = i };

	snprintf(m.name, sizeof(m.name), "front-gj-west-a-%u", i);
	bct_member_log_change(&member_log, now, type, &m);
}

static uint32_t count(const char *pattern)
{
	uint32_t n = 0;

	fflush(stream);
	for (const char *at = text; (at = strstr(at, pattern)) != NULL; at++)
		n++;
	return n;
}

/* 195 nodes start within 0.3 s: each of them logged 194 lines. */
Test(member_log, a_start_of_the_fleet, .init = start, .fini = stop)
{
	for (uint32_t i = 0; i < FLEET; i++) {
		change(1000 + i, BCT_MEMBER_JOINED, i);
		bct_member_log_flush(&member_log, 1000 + i, false);
	}
	cr_assert_eq(bct_member_log_flush(&member_log, 3000, false), BCT_TIME_NEVER);
	cr_assert_leq(count("name=MEMBERS_ALIVE"), 10);
	for (uint32_t i = 0; i < FLEET; i++) {
		char name[40];

		snprintf(name, sizeof(name), "front-gj-west-a-%u", i);
		cr_assert_geq(count(name), 1, "%s", name);
	}
}

Test(member_log, one_that_joins_has_its_own_line, .init = start, .fini = stop)
{
	change(1000, BCT_MEMBER_JOINED, 7);
	cr_assert_eq(count("MEMBER"), 0);
	cr_assert_gt(bct_member_log_flush(&member_log, 1100, false), 1100);
	bct_member_log_flush(&member_log, 2000, false);
	cr_assert_eq(count("name=MEMBER_ALIVE member=\"front-gj-west-a-7\""), 1);
}

/* Lines stand in the order of what happened; the end of the process loses none. */
Test(member_log, order_is_kept, .init = start, .fini = stop)
{
	change(1000, BCT_MEMBER_JOINED, 1);
	change(1010, BCT_MEMBER_DIED, 1);
	change(1020, BCT_MEMBER_RETURNED, 1);
	bct_member_log_flush(&member_log, 1030, true);
	cr_assert_eq(count("name=MEMBER_ALIVE"), 2);
	cr_assert_lt(strstr(text, "MEMBER_ALIVE"), strstr(text, "MEMBER_DEAD"));
}
