/*
 * test_event.c - a lossy log, which never waits for its reader, and a log with a rate limit.
 */
#include "base/clock.h"
#include "base/event.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LINES 20000
#define MS_MAX 5000 /* for all lines; a log that waits for its reader would block forever */

/*
 * Guards against a log that blocks its writers when the reader of the pipe stops reading: lines are
 * dropped and counted instead, and a partly written line does not corrupt another one.
 */
Test(event, stalled_reader_does_not_block_writers)
{
	int fds[2];
	FILE *stream;
	bct_log_t *log;
	bct_time_t started = bct_clock_now();
	static char got[1 << 20];
	ssize_t n, len = 0;
	uint64_t dropped;
	uint32_t complete = 0;

	cr_assert_eq(pipe(fds), 0);
	stream = fdopen(fds[1], "w");
	cr_assert_eq(bct_log_new(&(bct_log_opts_t){ .stream = stream,
						    .level = BCT_LEVEL_INFO,
						    .format = BCT_LOG_JSON,
						    .lossy = true },
				 &log),
		     0);
	for (uint64_t i = 0; i < LINES; i++)
		BCT_LOG(log, BCT_EV_NODE_START, BCT_U64("i", i));
	cr_assert_lt(bct_clock_now() - started, MS_MAX);
	dropped = bct_log_dropped(log);
	cr_assert_gt(dropped, 0);
	/* The reader continues: the log reports how many lines are missing. */
	n = read(fds[0], got, sizeof(got) / 2);
	cr_assert_gt(n, 0);
	len = n;
	BCT_LOG(log, BCT_EV_NODE_STOPPED, BCT_U64("i", 1));
	fclose(stream);
	while ((n = read(fds[0], got + len, sizeof(got) - 1 - (size_t)len)) > 0)
		len += n;
	got[len] = '\0';
	cr_assert_not_null(strstr(got, "LOG_DROPPED"));
	for (char *line = strtok(got, "\n"); line; line = strtok(NULL, "\n"))
		complete += line[0] == '{' && line[strlen(line) - 1] == '}';
	cr_assert_geq(complete, LINES - dropped);
	bct_log_free(log);
}

/* A frequent event is limited to its rate and does not suppress other events. */
Test(event, rate_limit_applies_to_each_event)
{
	char *text = NULL;
	size_t size = 0;
	FILE *stream = open_memstream(&text, &size);
	bct_log_t *log;
	uint32_t starts = 0;

	bct_log_new(
		&(bct_log_opts_t){ .stream = stream, .level = BCT_LEVEL_INFO, .lines_per_s = 10 },
		&log);
	for (int i = 0; i < 1000; i++)
		BCT_LOG(log, BCT_EV_NODE_START, BCT_I64("i", i));
	BCT_LOG(log, BCT_EV_NODE_STOPPED, BCT_I64("i", 1));
	bct_clock_sleep(1100);
	BCT_LOG(log, BCT_EV_NODE_START, BCT_I64("i", 2));
	fclose(stream);
	for (const char *at = text; (at = strstr(at, "name=NODE_START")) != NULL; at++)
		starts++;
	/* 10 in each of the two seconds that the loop may span, and 1 after the pause. */
	cr_assert_leq(starts, 21);
	cr_assert_not_null(strstr(text, "name=NODE_STOPPED"));
	cr_assert_not_null(strstr(text, "name=LOG_LIMITED"));
	bct_log_free(log);
	free(text);
}
