/*
 * pull.h - fetches the routes or the upstreams from another gateway over HTTP, and serves them to
 * the others, on the administration address.
 */
#ifndef BCT_GATE_PULL_H
#define BCT_GATE_PULL_H

#include "gate/gate_int.h"
#include "policy/gate_poll.h"

#include <event2/http.h>

/* What a node serves in answers to pulls; two fifths of the slowest links, 10 Mbit/s. */
#define BCT_PULL_SERVED_BYTES_PER_S (512 * 1024)

typedef struct bct_pull bct_pull_t;

/*
 * bct_pull_new(3): prepare pulls.
 *
 * on_result  called once for each started pull, from the event loop. batch holds the changes, as
 *            a full listing; the callee may take tables from it. rc is 0, -BCT_EUNAVAILABLE or
 *            -BCT_ECODEC.
 * returns    0 or -BCT_ENOMEM
 */
typedef void (*bct_pull_fn)(void *ctx, bct_registry_topic_t topic, bct_registry_batch_t *batch,
			    int rc);
int bct_pull_new(bct_gate_t *g, bct_pull_fn on_result, void *ctx, bct_pull_t **out);
void bct_pull_free(bct_pull_t *p);

/*
 * bct_pull_start(3): request a topic from a live peer.
 *
 * returns  0, -BCT_ENOT_FOUND (no such peer), -BCT_ESTATE (the last pull of the topic has not
 * ended) or -BCT_ENOMEM
 */
int bct_pull_start(bct_pull_t *p, bct_registry_topic_t topic, uint64_t peer);

/*
 * bct_pull_serve(3): answer a pull that another gateway sent.
 *
 * out      receives the answer; its body is empty
 * returns  false if the path is not that of a pull
 */
bool bct_pull_serve(bct_gate_t *g, const bct_http_msg_t *m, const char *path, bct_page_t *out);

#endif
