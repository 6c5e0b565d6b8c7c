/*
 * explain_cause.h - says in a sentence why a request ended as it did, from its log lines.
 */
#ifndef BCT_CMD_EXPLAIN_CAUSE_H
#define BCT_CMD_EXPLAIN_CAUSE_H

#include "base/buf.h"
#include "base/json.h"

/* explain_number(3), explain_text(3): a field of a log line; 0 or "" without it. */
json_int_t explain_number(const json_t *line, const char *key);
const char *explain_text(const json_t *line, const char *key);

/*
 * explain_cause(3): the cause, and where to look next.
 *
 * lines    array of the request's log lines in order of time
 * context  array of the lines about nodes, routes and upstreams around it
 * out      the sentences are put here
 */
void explain_cause(const json_t *lines, const json_t *context, bct_buf_t *out);

#endif
