/*
 * answer.h - turns what an upstream sends into what the caller gets.
 */
#ifndef BCT_NODE_ANSWER_H
#define BCT_NODE_ANSWER_H

#include "node/attempt.h"

/*
 * bct_answer_event(3): one SSE event of an engine. Checks that it belongs to the attempt, counts
 * its token and puts it on the request's output.
 *
 * returns  0, -BCT_ECODEC (malformed), -BCT_ECONFLICT (another attempt's answer), -BCT_ENOMEM,
 *          -BCT_ESTATE (the request has moved on)
 */
int bct_answer_event(bct_attempt_t *a, const char *data, size_t len_bytes, bct_time_t now);

/* bct_answer_service(3): put a service's whole answer on the request. returns as above. */
int bct_answer_service(bct_attempt_t *a, const char *content_type);

/* bct_answer_finish(3): the engine's stream is whole: end the stream or make the JSON answer. */
int bct_answer_finish(bct_attempt_t *a);

#endif
