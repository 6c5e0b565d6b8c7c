/*
 * soak.h - a randomized run of real gateway processes against a simulated store and simulated
 * upstreams. Injects process, network and upstream faults and checks what callers and upstreams
 * see.
 *
 * All nodes use the same ports, so each has its own address in 127.0.0.0/8. One lock guards all
 * shared state; threads hold it for short steps only.
 */
#ifndef BCT_SOAK_SOAK_H
#define BCT_SOAK_SOAK_H

#include "base/clock.h"
#include "base/rng.h"
#include "soak/duties.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define SOAK_NODES_MAX 200
#define SOAK_UPSTREAMS 5 /* the last two serve the plain service, the others the engine */
#define SOAK_CALLERS 12
#define SOAK_VERSIONS 2 /* of upstreams' software, side by side in each service */
#define SOAK_CALLS_MAX 200000
#define SOAK_ID_BYTES 24
#define SOAK_DRAIN_MS 2000   /* a leaving upstream receives no request after this time */
#define SOAK_CONFIG_MS 2000  /* a configuration change is in force within this time */
#define SOAK_SETTLE_MS 3000  /* time bounds are checked only this long after the last fault */
#define SOAK_TIMEOUT_MS 1500 /* timeout_ms of every route */
#define SOAK_ARRIVALS 64     /* more than a limited upstream may get in SOAK_LIMIT_WINDOW_MS */
#define SOAK_LIMIT_WINDOW_MS 4000
#define SOAK_LIMIT_RPS 2
#define SOAK_CONNS 256	      /* of one upstream */
#define SOAK_PART_CRASHES 5   /* by one part of prompts, after which requests with it are counted */
#define SOAK_PART_AFTER_MAX 3 /* that may reach upstreams SOAK_SETTLE_MS after those */
#define SOAK_PART_RESTART_MS 300 /* from such a crash to the upstream's next run */
#define SOAK_PART_OUTAGE_MS 1300 /* until that run is in use: failures in that time are allowed */
#define SOAK_WINDOW_MS 5000	 /* of a usage report */
#define SOAK_WINDOWS_MAX 1024	 /* of a run */
#define SOAK_USAGE_LATE_MS 12000 /* after the end of a window its report has arrived */

/* State of a loopback proxy, which leads to one upstream, or from one node to the store. */
typedef enum soak_link {
	SOAK_LINK_OK = 0,
	SOAK_LINK_DELAY,
	SOAK_LINK_RESET,   /* connections are reset */
	SOAK_LINK_SILENT,  /* connections stay open, nothing is forwarded */
	SOAK_LINK_ONE_WAY, /* requests are forwarded, answers are discarded */
	SOAK_LINK_KINDS
} soak_link_t;

typedef struct soak_proxy {
	int listen_fd;
	uint16_t port;
	uint16_t target_port;
	soak_link_t link;
	struct soak *soak;
} soak_proxy_t;

/* One request of a caller; its index in soak_t.calls is the number in its attempt id. */
typedef struct soak_call {
	uint16_t runs; /* times that an upstream ran it */
	uint8_t kind;  /* 's' safe, 'u' unsafe, 't' stream, 'r' resumable stream */
	bool refused;  /* answered 503, which means that it did not run; 'u' and 't' only */
	bool bad;      /* its prompt has the part that crashes upstreams */
	uint8_t node;  /* that it was sent to */
} soak_call_t;

typedef struct soak_upstream {
	char id[32];
	const char *service; /* "model" (engine) or "desk" (plain service) */
	uint32_t software;   /* version, below SOAK_VERSIONS */
	uint16_t port;	     /* of the upstream itself; its registry entry names the proxy's port */
	int64_t born; /* start time in the registry entry; grows with each restart under this id */
	uint64_t sequence;	/* of the registry entry, within one start */
	uint64_t offset;	/* of the registry entry in the store's log */
	bct_time_t stale_until; /* until then the store shows the entry as before it was draining */
	uint32_t limit_rps;	/* rate that its answers name; 0: none */
	bct_time_t limit_since; /* the first of them */
	bct_time_t arrivals[SOAK_ARRIVALS]; /* times of the latest requests; a ring */
	uint32_t n_arrivals;
	bool states_leaving;	 /* its answers state that it is leaving */
	bct_time_t stated_since; /* the first of them */
	bool draining;
	bool deregistered;
	bool crashed;	       /* closes each connection when a request arrives */
	bct_time_t restart_at; /* after a crash by a part of a prompt; 0: none */
	int conns[SOAK_CONNS]; /* open connections */
	uint32_t n_conns;
	bct_time_t leaving_since; /* draining or deregistered since; 0: neither */
	soak_proxy_t proxy;
	struct soak *soak;
} soak_upstream_t;

typedef struct soak_node {
	char ip[40];
	char settings_path[128];
	char log_path[128];
	pid_t pid;		  /* 0: not running */
	bool stopping;		  /* never read */
	bool paused;		  /* by SIGSTOP */
	bct_time_t restart_at;	  /* earliest restart while it is not running */
	bct_time_t last_fault_at; /* last signal to this node, or its last exit */
	soak_proxy_t store;	  /* the node's proxy to the store */
	soak_proxy_t control;	  /* the node's proxy to the control API */
} soak_node_t;

typedef struct soak {
	uint64_t seed;
	uint32_t seconds; /* duration of the fault phase */
	int n_nodes;
	const char *program; /* path of the gateway */
	int parts; /* whether a part of prompts crashes upstreams once the faults have ended */
	int with_duties;      /* whether the fleet has duties */
	soak_duties_t duties; /* has its own lock, taken after the soak's */
	uint16_t control_port;
	uint64_t first_window; /* number of the window in which the run began */
	char dir[64];	       /* settings and logs of the nodes */
	char net[32];	       /* first three octets of the nodes' addresses */
	uint16_t port_base;    /* ports of a node start here */
	uint16_t store_port;
	bct_time_t started_at;
	pthread_mutex_t lock; /* guards all members below */
	bct_rng_t rng;
	bool stop_callers;
	bool faults_ended; /* no faults are injected, upstreams answer without faults */
	bool bad_part;	   /* callers send requests with a part that crashes upstreams */
	uint32_t bad_crashes;
	bct_time_t bad_crash_at; /* the last one */
	uint32_t bad_after;	 /* requests with it that came later than the bound */
	bct_time_t bad_bound_at; /* SOAK_SETTLE_MS after the fifth crash; 0: not yet */
	soak_node_t nodes[SOAK_NODES_MAX];
	soak_upstream_t upstreams[SOAK_UPSTREAMS];
	uint64_t version;	 /* of the configuration */
	bool safe_route_swapped; /* the safe route leads to "desk", not "model" */
	bct_time_t route_changed_at;
	bct_time_t store_bad_at; /* unused */
	uint64_t history;	 /* unused */
	uint64_t offset; /* end offset of the store's log; raised by changes and upstream faults */
	uint64_t era;	 /* of the store; raised when it returns from a copy */
	bct_time_t last_fault_at; /* last fault of any kind */
	soak_call_t *calls;
	uint32_t n_calls;
	uint32_t ok, refused, failed;	     /* answered calls: 200 and complete, 503, all others */
	uint32_t settled_ok, settled_failed; /* the same, SOAK_SETTLE_MS after any fault */
	uint32_t began[SOAK_WINDOWS_MAX];    /* answers that began, by window of the run */
	uint32_t violations;
} soak_t;

/*
 * soak_violation(3): count a violated invariant and print what was seen, for the first 20 only.
 * Call without the lock.
 *
 * invariant  its name
 */
void soak_violation(soak_t *s, const char *invariant, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* soak_store_start(3): start the simulated store on a free port of 127.0.0.1. */
void soak_store_start(soak_t *s);
/* soak_proxy_start(3): start a proxy on a free port of ip; set target_port and soak first. */
void soak_proxy_start(soak_proxy_t *p, const char *ip);
/* soak_upstream_start(3): start an upstream and its proxy. */
void soak_upstream_start(soak_upstream_t *u);
/* soak_upstreams_supervise(3): restart those that a request crashed. Call with the lock held. */
void soak_upstreams_supervise(soak_t *s);
/* soak_duties_start(3): start the control API on the event loop of the store, if there are duties.
 * Call before the nodes start. */
void soak_duties_start(soak_t *s, struct event_base *base);
/* soak_duties_fault(3): choose and apply a fault of the duties. Call with the lock held. */
void soak_duties_fault(soak_t *s);
/* soak_duties_clear(3): end all faults of the duties. Call with the lock held. */
void soak_duties_clear(soak_t *s);
/* soak_duties_began(3): an answer began at that wall-clock time. Call with the lock held. */
void soak_duties_began(soak_t *s, bct_time_t wall_ms);
/*
 * soak_duties_check(3): check the rules of the control API, and the reports of the windows that lie
 * between two wall-clock times.
 */
void soak_duties_check(soak_t *s, bct_time_t from_ms, bct_time_t to_ms);
/* soak_caller(3): thread of one caller; arg is the soak_t. Ends once stop_callers is set. */
void *soak_caller(void *arg);
/* soak_inject_fault(3): choose and apply one fault. Call with the lock held. */
void soak_inject_fault(soak_t *s);
/* soak_clear_faults(3): end all faults. Call with the lock held. */
void soak_clear_faults(soak_t *s);
/* soak_write_entry(3): an upstream writes its registry entry. Call with the lock held. */
void soak_write_entry(soak_upstream_t *u);
/* soak_change_route(3): move the safe route to the other service. Call with the lock held. */
void soak_change_route(soak_t *s);
/* soak_nodes_supervise(3): reap ended nodes, restart due ones. Call with the lock held. */
void soak_nodes_supervise(soak_t *s);
/* soak_node_start(3): start a node's process. Call with the lock held once callers run. */
void soak_node_start(soak_t *s, soak_node_t *n);
/*
 * soak_listen(3): listen on ip; port 0 picks a free one.
 *
 * out      set to the port
 * returns  the socket, or -1
 */
int soak_listen(const char *ip, uint16_t port, uint16_t *out);

#endif
