/*
 * answer.h - converts an upstream's answer into the answer for the caller.
 */
#ifndef BCT_NODE_ANSWER_H
#define BCT_NODE_ANSWER_H

#include "node/attempt.h"

/*
 * bct_answer_event(3): process the data of one SSE event from an engine. Checks that the event
 * carries the attempt's id, counts its token and appends it to the request's output. The event
 * [DONE] marks the attempt as finished.
 *
 * returns  0, -BCT_ECODEC (malformed), -BCT_ECONFLICT (mismatched attempt id), -BCT_ENOMEM,
 *          -BCT_ESTATE (the request has ended or has another current attempt)
 */
int bct_answer_event(bct_attempt_t *a, const char *data, size_t len_bytes, bct_time_t now);

/*
 * bct_answer_service(3): copy a service's complete answer to the request.
 *
 * content_type  its content type; NULL: application/octet-stream
 * returns       0, -BCT_ENOMEM, -BCT_ESTATE as above
 */
int bct_answer_service(bct_attempt_t *a, const char *content_type);

/*
 * bct_answer_finish(3): the engine's stream is complete. Ends the caller's stream with [DONE], or
 * builds the JSON answer for a caller that asked for no stream.
 *
 * returns  0, -BCT_ENOMEM, -BCT_ESTATE as above
 */
int bct_answer_finish(bct_attempt_t *a);

#endif
