/*
 * soak.h - a randomized run of real gateway processes against stand-ins of our own, with faults
 * from outside, and checks of what callers and upstreams see.
 *
 * Every node has an address of its own in 127.0.0.0/8, as nodes use the same ports. One lock guards
 * all shared state; threads hold it for short steps only.
 */
#ifndef BCT_SOAK_SOAK_H
#define BCT_SOAK_SOAK_H

#include "base/clock.h"
#include "base/rng.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define SOAK_NODES_MAX 200
#define SOAK_UPSTREAMS 5 /* the last two serve the plain service */
#define SOAK_CALLERS 12
#define SOAK_CALLS_MAX 200000
#define SOAK_ID_BYTES 24
#define SOAK_DRAIN_MS 2000   /* a leaving upstream gets nothing later than this */
#define SOAK_CONFIG_MS 2000  /* a change is in force by then */
#define SOAK_SETTLE_MS 3000  /* without faults, before bounds in time hold */
#define SOAK_TIMEOUT_MS 1500 /* of every route */

/* What a loopback proxy does to the connections of one upstream or one node's way to the store. */
typedef enum soak_link {
	SOAK_LINK_OK = 0,
	SOAK_LINK_DELAY,
	SOAK_LINK_RESET,
	SOAK_LINK_SILENT,
	SOAK_LINK_ONE_WAY, /* requests arrive, answers do not */
	SOAK_LINK_KINDS
} soak_link_t;

typedef struct soak_proxy {
	int listen_fd;
	uint16_t port;
	uint16_t target_port;
	soak_link_t link;
	struct soak *soak;
} soak_proxy_t;

/* One request of a caller, by number. */
typedef struct soak_call {
	uint16_t runs;
	uint8_t kind;
	bool refused; /* the caller was told that it did not run */
} soak_call_t;

typedef struct soak_upstream {
	char id[32];
	const char *service;
	uint16_t port; /* of the process itself; the registry names its proxy */
	int64_t born;
	uint64_t sequence;
	bool draining;
	bool deregistered;
	bool crashed;		  /* crashed: resets whatever comes */
	bct_time_t leaving_since; /* draining or gone since; 0: neither */
	soak_proxy_t proxy;
	struct soak *soak;
} soak_upstream_t;

typedef struct soak_node {
	char ip[40];
	char settings_path[128];
	char log_path[128];
	pid_t pid; /* 0: not running */
	bool stopping;
	bool paused;
	bct_time_t restart_at;
	bct_time_t last_fault_at; /* last fault of this node */
	soak_proxy_t store;
} soak_node_t;

typedef struct soak {
	uint64_t seed;
	uint32_t seconds;
	int n_nodes;
	const char *program;
	char dir[64];
	char net[32]; /* first three numbers of the nodes' addresses */
	uint16_t port_base;
	uint16_t store_port;
	bct_time_t started_at;
	pthread_mutex_t lock; /* guards all below */
	bct_rng_t rng;
	bool stop_callers; /* callers stop */
	bool faults_ended; /* no more faults */
	soak_node_t nodes[SOAK_NODES_MAX];
	soak_upstream_t upstreams[SOAK_UPSTREAMS];
	uint64_t version;
	bool safe_route_swapped; /* the safe route goes to the other service */
	bct_time_t route_changed_at;
	bct_time_t store_bad_at; /* last fault of the store */
	uint64_t history;	 /* records before this offset are gone */
	uint64_t offset;
	bct_time_t last_fault_at; /* last fault of any kind */
	soak_call_t *calls;
	uint32_t n_calls;
	uint32_t ok, refused, failed;
	uint32_t settled_ok, settled_failed; /* in the last part */
	uint32_t violations;
} soak_t;

/* soak_violation(3): a promise was broken; prints what was seen. Call without the lock. */
void soak_violation(soak_t *s, const char *invariant, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* store.c: the store as nodes see it. */
void soak_store_start(soak_t *s);
/* proxy.c */
void soak_proxy_start(soak_proxy_t *p, const char *ip);
/* upstream.c */
void soak_upstream_start(soak_upstream_t *u);
/* caller.c: the thread of one caller. */
void *soak_caller(void *arg);
/* faults.c: chooses and applies one fault; restarts what is due. */
void soak_inject_fault(soak_t *s);
void soak_clear_faults(soak_t *s);
/* Moves a route to the other service. Call with the lock held. */
void soak_change_route(soak_t *s);
void soak_nodes_supervise(soak_t *s);
void soak_node_start(soak_t *s, soak_node_t *n);
int soak_listen(const char *ip, uint16_t port, uint16_t *out);

#endif
