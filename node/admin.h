/*
 * admin.h - HTTP interface for operators: health, metrics, status, drain, upstreams and
 * idempotency keys.
 */
#ifndef BCT_NODE_ADMIN_H
#define BCT_NODE_ADMIN_H

#include "node/node.h"

typedef struct bct_admin bct_admin_t;

/*
 * bct_admin_new(3): listen on admin.address and admin.port and serve in a thread of its own.
 *
 * returns  0, -BCT_EINVAL (not an IP address), -BCT_EIO (cannot listen) or -BCT_ENOMEM
 */
int bct_admin_new(bct_node_t *node, bct_admin_t **out);

/* bct_admin_free(3): stop serving and close every connection. */
void bct_admin_free(bct_admin_t *a);

/* bct_admin_port(3): the port that it listens on. */
uint16_t bct_admin_port(const bct_admin_t *a);

#endif
