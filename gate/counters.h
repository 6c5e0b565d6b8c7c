/*
 * counters.h - the gateway's counters and latency histograms.
 */
#ifndef BCT_GATE_COUNTERS_H
#define BCT_GATE_COUNTERS_H

#include "base/counter.h"
#include "base/histogram.h"

/* DEF(name, metric, label value or NULL, type, help) */
#define BCT_GATE_COUNTER_LIST(DEF)                                                                \
	DEF(REQUESTS, "bct_gate_requests_total", NULL, "counter", "Requests read whole")          \
	DEF(SENDS, "bct_gate_sends_total", "first", "counter", "Requests sent to an upstream")    \
	DEF(RESENDS, "bct_gate_sends_total", "again", "counter", "Requests sent to an upstream")  \
	DEF(CONNECTS, "bct_gate_connects_total", NULL, "counter", "Connections opened upstream")  \
	DEF(RETRY_CONNECT, "bct_gate_faults_total", "connect", "counter", "Attempts that failed") \
	DEF(RETRY_BROKEN, "bct_gate_faults_total", "broken", "counter", "Attempts that failed")   \
	DEF(RETRY_BAD, "bct_gate_faults_total", "bad_answer", "counter", "Attempts that failed")  \
	DEF(RETRY_SILENT, "bct_gate_faults_total", "silent", "counter", "Attempts that failed")   \
	DEF(RETRY_UNREAD, "bct_gate_faults_total", "unread", "counter", "Attempts that failed")   \
	DEF(RETRY_NOT_RUN, "bct_gate_faults_total", "not_run", "counter", "Attempts that failed") \
	DEF(RETRY_ERROR, "bct_gate_faults_total", "error", "counter", "Attempts that failed")     \
	DEF(BUDGET_SPENT, "bct_gate_budget_spent_total", NULL, "counter",                         \
	    "Retries not made because the budget was spent")                                      \
	DEF(LIMITED, "bct_gate_limited_total", NULL, "counter",                                   \
	    "Requests refused because of limits or pauses that all upstreams named")              \
	DEF(OVER_SHARE, "bct_gate_over_share_total", NULL, "counter",                             \
	    "Requests of accounts that brought much more than usual while others did not")        \
	DEF(PROMISED, "bct_gate_promised_total", NULL, "counter",                                 \
	    "Requests refused with a promise of room when the caller comes back")                 \
	DEF(RETURNED, "bct_gate_returned_total", NULL, "counter",                                 \
	    "Callers that came back to the room that they were promised")                         \
	DEF(RESUMES, "bct_gate_resumes_total", NULL, "counter",                                   \
	    "Streams continued at another upstream")                                              \
	DEF(REGISTRY_CALLS, "bct_gate_registry_calls_total", NULL, "counter", "Registry calls")   \
	DEF(PULLS, "bct_gate_pulls_total", NULL, "counter",                                       \
	    "Times that routes or upstreams were requested from a peer")                          \
	DEF(SHARES_DROPPED, "bct_gate_shares_dropped_total", NULL, "counter",                     \
	    "Load datagrams that could not be sent")                                              \
	DEF(SHARES_REFUSED, "bct_gate_shares_refused_total", NULL, "counter",                     \
	    "Load datagrams that were forged, old or malformed")                                  \
	DEF(PARTS_REFUSED, "bct_gate_parts_refused_total", NULL, "counter",                       \
	    "Parts of prompts that this node found to crash upstreams")                           \
	DEF(RELAYED, "bct_gate_relayed_total", NULL, "counter",                                   \
	    "Requests sent through another node, as no upstream is reached from here")            \
	DEF(TURNED_AWAY, "bct_gate_turned_away_total", NULL, "counter",                           \
	    "Requests for which a brittle upstream had no room")                                  \
	DEF(REACH_LOST, "bct_gate_reach_lost_total", NULL, "counter",                             \
	    "Times that no upstream of a service was reached any more")                           \
	DEF(ORIGINS_LOST, "bct_gate_origins_lost_total", NULL, "counter",                         \
	    "Streams whose beginning could not be recorded for lack of memory")                   \
	DEF(USAGE_COUNTED, "bct_gate_usage_counted_total", NULL, "counter",                       \
	    "Requests of accounts that began to run and arrived at this node")                    \
	DEF(USAGE_SENT, "bct_gate_usage_messages_total", "sent", "counter",                       \
	    "Messages on usage between nodes")                                                    \
	DEF(USAGE_RECEIVED, "bct_gate_usage_messages_total", "received", "counter",               \
	    "Messages on usage between nodes")                                                    \
	DEF(USAGE_MERGED, "bct_gate_usage_merged_total", NULL, "counter",                         \
	    "Counters of other nodes that were news")                                             \
	DEF(UNREAD_CUT, "bct_gate_unread_cut_total", NULL, "counter",                             \
	    "Answers cut to free memory, as their callers did not read them")                     \
	DEF(AHEAD_CUT, "bct_gate_ahead_cut_total", NULL, "counter",                               \
	    "Connections ended to free memory, as their callers sent requests ahead")             \
	DEF(CONNECTIONS_YIELDED, "bct_gate_connections_yielded_total", NULL, "counter",           \
	    "Connections ended for new ones at the limit of connections")                         \
	DEF(CONNECTIONS_REFUSED, "bct_gate_connections_refused_total", NULL, "counter",           \
	    "New connections closed at once at the limit of connections")                         \
	DEF(BODIES_WAITED, "bct_gate_bodies_waited_total", NULL, "counter",                       \
	    "Times that reading from a caller waited for room")                                   \
	DEF(DUTY_ACQUIRED, "bct_duty_acquired_total", NULL, "counter",                            \
	    "Times that this node acquired the duties")                                           \
	DEF(DUTY_LOST, "bct_duty_lost_total", NULL, "counter",                                    \
	    "Times that this node lost or released the duties")                                   \
	DEF(DUTY_REFUSED, "bct_duty_refused_total", NULL, "counter",                              \
	    "Reports refused because of a higher fencing token")                                  \
	DEF(DUTY_APPENDS, "bct_duty_appends_total", NULL, "counter",                              \
	    "Records of the duties written")                                                      \
	DEF(DUTY_REPORTS, "bct_duty_reports_total", "accepted", "counter", "Usage reports")       \
	DEF(DUTY_REPORTS_FAILED, "bct_duty_reports_total", "failed", "counter", "Usage reports")  \
	DEF(DUTY_GIVEN_UP, "bct_duty_given_up_total", NULL, "counter",                            \
	    "Windows whose usage was not reported in time")                                       \
	DEF(DUTY_ORDERS, "bct_duty_orders_total", "accepted", "counter", "Engine orders")         \
	DEF(DUTY_ORDERS_FAILED, "bct_duty_orders_total", "failed", "counter", "Engine orders")    \
	DEF(ANSWERS_SKIPPED, "bct_gate_answers_skipped_total", NULL, "counter",                   \
	    "Answers that belonged to no request")

typedef enum bct_gate_counter {
#define DEF(name, metric, label, type, help) BCT_GATE_##name,
	BCT_GATE_COUNTER_LIST(DEF)
#undef DEF
		BCT_GATE_COUNTER_COUNT
} bct_gate_counter_t;

#define BCT_GATE_ENDS_MAX 32 /* at least BCT_GATE_END_COUNT, which gate_int.h defines */

#define BCT_GATE_KINDS 3 /* of routes: safe, unsafe, stream */

/* Latency of successful requests, from the receipt of their last byte. */
typedef struct bct_gate_latency {
	bct_hist_t first_byte_ms;
	bct_hist_t total_ms;
} bct_gate_latency_t;

typedef struct bct_gate_counters {
	bct_counter_t values[BCT_GATE_COUNTER_COUNT];
	bct_counter_t ends[BCT_GATE_ENDS_MAX];
	bct_gate_latency_t latency[BCT_GATE_KINDS];
} bct_gate_counters_t;

#define BCT_GATE_COUNT(g, which) bct_counter_inc(&(g)->counters.values[BCT_GATE_##which])

/*
 * bct_gate_counters_print(3): append all metrics in the Prometheus text format. returns 0 or the
 * error of out.
 */
int bct_gate_counters_print(const bct_gate_counters_t *c, bct_buf_t *out);

#endif
