/*
 * explain_cause.h - explains in a few sentences why a request ended as it did, from its log lines.
 */
#ifndef BCT_CMD_EXPLAIN_CAUSE_H
#define BCT_CMD_EXPLAIN_CAUSE_H

#include "base/buf.h"
#include "base/json.h"

/* explain_number(3), explain_text(3): value of a field of a log line; 0 or "" if it is missing. */
json_int_t explain_number(const json_t *line, const char *key);
const char *explain_text(const json_t *line, const char *key);

/*
 * explain_cause(3): explain the outcome of a request, with the numbers of events to look at next.
 *
 * lines    array of the request's log lines in order of time
 * context  array of the lines about its nodes, routes, registry and upstreams around that time
 * out      buffer that the sentences are appended to; must be empty
 */
void explain_cause(const json_t *lines, const json_t *context, bct_buf_t *out);

#endif
