/*
 * origin.h - binds streams to the software that began them, also those that callers take up at
 * another node than before: nodes tell and ask each other what began a stream.
 */
#ifndef BCT_GATE_ORIGIN_H
#define BCT_GATE_ORIGIN_H

#include "gate/gate_int.h"

/* bct_origins_new(3): returns 0 or -BCT_ENOMEM. */
int bct_origins_new(bct_gate_t *g, bct_origins_t **out);
void bct_origins_free(bct_origins_t *o);

/* bct_origins_tick(3): drop what is too old, note the releases; to be called periodically. */
void bct_origins_tick(bct_origins_t *o);

/* bct_origin_began(3): the first event of x's answer is about to be delivered. */
void bct_origin_began(bct_exchange_t *x);

/*
 * bct_origin_take_up(3): x goes on with a stream of an earlier attempt: dispatch it once it is
 * known what began it, which peers may have to be asked, or refuse it. x may be freed on return.
 * bct_origin_overdue(3): peers have not answered in time; x may be freed on return.
 */
void bct_origin_take_up(bct_exchange_t *x);
void bct_origin_overdue(bct_exchange_t *x);

/*
 * bct_origin_refuse_gone(3): refuse a stream that is taken up if no upstream has the software that
 * began it. returns whether it was refused; x is freed then.
 */
bool bct_origin_refuse_gone(bct_exchange_t *x);

/* bct_origin_continued(3): a stream that began elsewhere was sent to the chosen upstream; logs it.
 */
void bct_origin_continued(bct_exchange_t *x);

/*
 * bct_origin_software(3): the version with which x's stream began, for logs; "" if it is unknown or
 * if no upstream that is known here has it.
 */
const char *bct_origin_software(const bct_exchange_t *x);

#endif
