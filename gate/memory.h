/*
 * memory.h - counts what the node buffers for callers that read slowly and requests that upstreams
 * read slowly, and keeps it within the bound of policy/gate_memory.h. Without a bound
 * (gate.memory_bytes is 0) nothing is counted, and all functions do nothing.
 *
 * A request's body counts once, as what waits for the upstream refers to the exchange's copy.
 */
#ifndef BCT_GATE_MEMORY_H
#define BCT_GATE_MEMORY_H

#include "gate/gate_int.h"

#define BCT_MEMORY_REFUSED "this node has no room now; the request was not run"

/* bct_memory_new(3): *out is NULL without a bound. returns 0 or -BCT_ENOMEM. */
int bct_memory_new(bct_gate_t *g, const bct_client_flow_ops_t *flow, bct_memory_t **out);
void bct_memory_free(bct_memory_t *m);

/* bct_memory_opened(3), bct_memory_closed(3): a connection begins to count, or ends. */
void bct_memory_opened(bct_client_t *c);
void bct_memory_closed(bct_client_t *c);

/* bct_memory_watch(3): the bytes in a buffer count for the connection from now on; it is empty. */
void bct_memory_watch(bct_client_t *c, struct evbuffer *buffer, bct_gate_memory_kind_t kind);

/* bct_memory_unwatch(3): what is in a buffer that is watched counts no more. */
void bct_memory_unwatch(bct_client_t *c, struct evbuffer *buffer, bct_gate_memory_kind_t kind);

/* bct_memory_kept(3): bytes of its answer, in no buffer that is watched, that the node keeps for
 * the connection now, and kept at the call before. */
void bct_memory_kept(bct_client_t *c, size_t before_bytes, size_t now_bytes);

/* bct_memory_ahead(3): bytes that the kernel has received behind what is being handled, and that
 * this node does not read yet. */
void bct_memory_ahead(bct_client_t *c, size_t bytes);

/* bct_memory_drain(3), bct_memory_release(3): empty a buffer that is watched, as freeing it alone
 * would leave it counted; release also frees it, without a bound, too. buffer may be NULL. */
void bct_memory_drain(const bct_gate_t *g, struct evbuffer *buffer);
void bct_memory_release(const bct_gate_t *g, struct evbuffer *buffer);

/* bct_memory_may_read_body(3): whether to read on, see bct_gate_memory_may_read_body(3). */
bool bct_memory_may_read_body(bct_client_t *c, size_t expected_bytes);
void bct_memory_body_ended(bct_client_t *c);

/* bct_memory_wait(3): the connection is resumed with bct_client_resume(3) when there is room. */
void bct_memory_wait(bct_client_t *c);

/* bct_memory_is_short(3), bct_memory_refuses(3): whether bodies wait, or new requests are refused,
 * now. */
bool bct_memory_is_short(const bct_gate_t *g);
bool bct_memory_refuses(const bct_gate_t *g);
/* bct_memory_retry_ms(3): Retry-After of a request that is refused. */
uint32_t bct_memory_retry_ms(bct_gate_t *g);

/* bct_memory_print(3): append the bytes held in the Prometheus text format. */
void bct_memory_print(const bct_gate_t *g, bct_buf_t *out);

#endif
