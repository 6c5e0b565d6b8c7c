/*
 * gate.h - the gateway: forwards requests by host and path prefix to the upstreams of a service,
 * each at most as often as its kind allows.
 *
 * One thread runs an event loop with all connections and all decisions; one thread follows the
 * registry; one runs the peer protocol. Only the queues between them are shared.
 */
#ifndef BCT_GATE_GATE_H
#define BCT_GATE_GATE_H

#include "base/event.h"
#include "coord/registry.h"
#include "gate/wire.h"
#include "gen/settings.h"

typedef struct bct_gate bct_gate_t;

typedef struct bct_gate_opts {
	const bct_settings_t *settings; /* must outlive the gateway */
	const bct_wire_ops_t *wire;
	bct_registry_t *registry; /* owned by the gateway from then on */
	bct_log_t *log;
} bct_gate_opts_t;

/* bct_gate_new(3): listen. returns 0, -BCT_EINVAL, -BCT_EIO or -BCT_ENOMEM, which was logged. */
int bct_gate_new(const bct_gate_opts_t *opts, bct_gate_t **out);

/* bct_gate_run(3): serve until a planned stop has finished. */
void bct_gate_run(bct_gate_t *g);

void bct_gate_free(bct_gate_t *g);

#endif
