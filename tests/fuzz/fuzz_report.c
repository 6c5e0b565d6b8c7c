/*
 * fuzz_report.c - an engine's load report and cache events, as the node's poller reads them: no
 * more events than there is room for.
 */
#include "base/err.h"
#include "node/poller.h"
#include "tests/fuzz/fuzz.h"

#define EVENTS 4

BCT_FUZZ(report)
{
	bct_cache_event_t events[EVENTS];
	bct_report_t report;
	uint64_t next = 0;
	int rc = bct_report_parse((const char *)data, size, &report);
	int n = bct_cache_events_parse((const char *)data, size, events, EVENTS, &next);

	BCT_FUZZ_CHECK(rc == 0 || rc == -BCT_ECODEC);
	BCT_FUZZ_CHECK(n == -BCT_ECODEC || (n >= 0 && n <= EVENTS));
	return 0;
}
