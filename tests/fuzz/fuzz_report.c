/*
 * fuzz_report.c - the load reports and cache events that a node polls from engines. Checks that the
 * parsers return a documented result and no more events than there is room for.
 */
#include "base/err.h"
#include "node/poller.h"
#include "tests/fuzz/fuzz.h"

#define EVENTS_MAX 4

BCT_FUZZ(report)
{
	bct_cache_event_t events[EVENTS_MAX];
	bct_report_t report;
	uint64_t next = 0;
	int rc = bct_report_parse((const char *)data, size, &report);
	int n = bct_cache_events_parse((const char *)data, size, events, EVENTS_MAX, &next);

	BCT_FUZZ_CHECK(rc == 0 || rc == -BCT_ECODEC);
	BCT_FUZZ_CHECK(n == -BCT_ECODEC || (n >= 0 && n <= EVENTS_MAX));
	return 0;
}
