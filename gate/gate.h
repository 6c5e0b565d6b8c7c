/*
 * gate.h - the gateway: routes requests by host and path prefix to the upstreams of a service and
 * retries them as far as the kind of the route permits.
 *
 * The main thread runs an event loop that owns all connections and makes all decisions. A second
 * thread polls the registry and a third one runs the peer protocol. Apart from state that the peer
 * module guards itself, they share only the queues between them, the settings, the log and the
 * counters.
 */
#ifndef BCT_GATE_GATE_H
#define BCT_GATE_GATE_H

#include "base/event.h"
#include "coord/control.h"
#include "coord/registry.h"
#include "gate/wire.h"
#include "gen/settings.h"

typedef struct bct_gate bct_gate_t;

/* Where the settings come from, which may change while the gateway runs. */
typedef struct bct_settings_source bct_settings_source_t;

typedef struct bct_settings_source_ops {
	/* Whether they are others than at the last load. */
	bool (*changed)(bct_settings_source_t *s);
	/* Loads and validates them. Returns 0 or a negative error. */
	int (*load)(bct_settings_source_t *s, bct_settings_t *out);
} bct_settings_source_ops_t;

struct bct_settings_source {
	const bct_settings_source_ops_t *ops;
};

typedef struct bct_gate_opts {
	const bct_settings_t *settings; /* must outlive the gateway */
	bct_settings_source_t *source;	/* must outlive the gateway; NULL: none to reload from */
	const bct_wire_ops_t *wire;
	bct_registry_t *registry; /* the gateway takes ownership */
	bct_control_t *control;	  /* the gateway takes ownership; NULL: the fleet has no duties */
	bct_log_t *log;
} bct_gate_opts_t;

/*
 * bct_gate_new(3): create a gateway that listens for callers. returns 0, -BCT_EINVAL, -BCT_EIO or
 * -BCT_ENOMEM; a failure to listen has been logged.
 */
int bct_gate_new(const bct_gate_opts_t *opts, bct_gate_t **out);

/* bct_gate_run(3): serve until a graceful shutdown has completed. */
void bct_gate_run(bct_gate_t *g);

void bct_gate_free(bct_gate_t *g);

#endif
