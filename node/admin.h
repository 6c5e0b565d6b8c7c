/*
 * admin.h - the operators' HTTP side: health, metrics, status, drain, upstreams.
 */
#ifndef BCT_NODE_ADMIN_H
#define BCT_NODE_ADMIN_H

#include "node/node.h"

typedef struct bct_admin bct_admin_t;

/* bct_admin_new(3): listen and serve. returns 0, -BCT_EINVAL, -BCT_EIO or -BCT_ENOMEM. */
int bct_admin_new(bct_node_t *node, bct_admin_t **out);
void bct_admin_free(bct_admin_t *a);
uint16_t bct_admin_port(const bct_admin_t *a);

#endif
