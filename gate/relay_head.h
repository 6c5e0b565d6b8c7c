/*
 * relay_head.h - the headers that nodes add to requests which they relay, and to the answers. An
 * older node ignores those that it does not know.
 */
#ifndef BCT_GATE_RELAY_HEAD_H
#define BCT_GATE_RELAY_HEAD_H

#include "gate/gate_int.h"

#define BCT_RELAY_AUTH_HEADER "Chute-Relay"	     /* "INCARNATION MAC", in hexadecimal */
#define BCT_RELAY_ORIGIN_HEADER "Chute-Relay-Origin" /* "RELEASE RUN" that began the stream */
#define BCT_RELAY_ATTEMPTS_HEADER                                                               \
	"Chute-Relay-Attempts"			       /* upstreams to which it was sent before \
							*/
#define BCT_RELAY_OUTCOME_HEADER "Chute-Relay-Outcome" /* of a helper's own answer */

/* bct_relay_is_own_header(3): whether only nodes may send this header; callers' ones are dropped.
 */
bool bct_relay_is_own_header(const char *name);

/* bct_relay_put_outcome(3): append the header that tells what became of a request answered here. */
void bct_relay_put_outcome(const bct_answer_opts_t *o, struct evbuffer *out);

#endif
