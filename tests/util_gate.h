/*
 * util_gate.h - fixture for gateway tests: a gateway inside the test process, a registry in memory,
 * and scripted upstreams that act as the request's X-Script header says.
 */
#ifndef BCT_TESTS_UTIL_GATE_H
#define BCT_TESTS_UTIL_GATE_H

#include "base/buf.h"
#include "gate/gate.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#define GATE_UPSTREAMS 3
#define GATE_RUNS_MAX 256
#define GATE_CONNS_MAX 64 /* of one upstream */

/* One arrival of a request at an upstream. */
typedef struct gate_run {
	char call_id[64];
	char upstream_id[32];
	char head[2048];
	char body[1024];
	bool aborted; /* "silent" only: the gateway closed the connection while it waited */
} gate_run_t;

/*
 * An upstream with its own listening socket. On the n-th arrival of a call id it takes the n-th
 * action listed in X-Script, and the last one from then on:
 *
 *   ok           complete, sealed response
 *   error        500
 *   notrun       503 with the header that states that the request was not run
 *   limit        as ok, and names a limit of one request per second
 *   claims       as error, with the header in which gateways tell each other that it was not run
 *   brittle, brittlebad  as ok, and states that it bears to turn away two requests in a second,
 *                or states that in a way that can't be read
 *   brittlefull  as notrun, and states that it bears two
 *   leaving, leaving500, leaving503
 *                as ok, error and notrun, and states that the upstream is leaving
 *   leavingbad   as ok, and states it in a way that can't be read
 *   pause, pauseshort, pausebad
 *                as notrun, and asks for a pause of 600.5 s, of 0.5 s, or of none that can be read
 *   wrong        421: the request was meant for another process
 *   reset        connection reset without a response
 *   silent       no response
 *   die          no response; after DIE_MS the whole upstream ends, with all its connections
 *   noseal       200 without the upstream's seal
 *   foreign      a response with another request's attempt id, then the right one
 *   head, headstream
 *                as ok, or the head of an event stream, to HEAD: without a body
 *   strayrefusal, straywrong, strayok
 *                an earlier refusal, 421 or answer without an attempt id, then the right one
 *   barerefusal, barewrong, bareok
 *                a refusal, 421 or answer without an attempt id
 *   latecopy     another answer to the request before on the connection, then the right one
 *   slow         as ok, after more than half a second
 *   extra        a second response behind the first
 *   cut          half of the body, then the end of the connection
 *   unframed     complete, sealed response without a length that ends with the connection
 *   unframedreset  half of its body, then a reset
 *   endlesshead, endlessline, endlessinterim, endlesschunk, endlessbody, endlessforeign
 *                headers, one header line, 100 Continue, digits of a chunk size, a body, or the
 * body of another request's response, until the gateway closes the connection stream       five
 * events streamunframed, streamunframedhalf five events, or one and a half, without a length or
 * chunks, then the end streamendless  an event that does not end streamcut    two events, then a
 * reset streamdie    one event; after DIE_MS the whole upstream ends, with all its connections
 *   streamhalf   one event and a half, then a proper end of the body
 *   streamquiet  two events, then silence
 *   streamleaving  five events; the head states that the upstream is leaving
 *   streamslow   five events over more than two seconds
 *   streamtrickle  two events, then a byte now and then that completes none
 *   streamspoilt  three events in one chunk; the id of the last one is no number
 *   raw0, raw1, ...  the gateway's raw answer of this number, see util_raw.h
 *   early0, ...  the same, without reading the request's body
 *   streamflood  16 MB of events as fast as the gateway reads them
 *   streamfloodcut  the same, but resets the connection when the gateway reads nothing for CUT_MS
 *
 * A body of 16 KB or more is read and forgotten; with "slowbody" 64 KB at a time, SLOW_BODY_MS
 * apart, after a first pause of SLOW_BODY_FIRST_MS.
 */
typedef struct gate_upstream {
	char id[32];
	const char *service;
	const char *software; /* version; "v1" unless a test sets another */
	int fd;
	uint16_t port;
	struct test_gate *gate;
	pthread_t thread;
	int conns[GATE_CONNS_MAX]; /* open connections; guarded by the gate's lock */
	uint32_t n_conns;
	bool dead;	 /* it has ended; listed in the registry until it is started again */
	uint32_t starts; /* after the first one */
	uint32_t writes; /* of its registry entry, after the first one */
} gate_upstream_t;

typedef struct test_gate {
	bct_settings_t settings;
	bct_control_t *control; /* of the gateway, which takes ownership; NULL: none */
	bct_gate_t *gate;
	pthread_t thread;
	gate_upstream_t engines[GATE_UPSTREAMS];
	gate_upstream_t desk;
	char ip[16];	      /* address that the gateway listens on */
	pthread_mutex_t lock; /* guards all members below */
	gate_run_t runs[GATE_RUNS_MAX];
	uint32_t n_runs;
	uint32_t connections; /* accepted by the upstreams */
	char config[8192];    /* configuration in the registry, JSON */
	bool down;	      /* the registry does not answer this gateway */
	bool desk_listed;
	const char *const *odd; /* further entries, of other writers, up to a NULL; NULL: none */
	bool behind; /* an answer to changes holds none of them, and states that there are more */
	bct_time_t behind_at; /* first such answer on upstreams; 0: none yet */
	bool routes_hang;     /* calls on routes do not return until it is cleared or cancelled */
	bool cancelled;
	pthread_cond_t routes_resume;
	bool desk_drains;
	bool desk_spot; /* it may be reclaimed; states when it leaves if it drains */
	bool keep_ids;	/* engines that start again keep their ids */
	bool stop;
	const struct raw_answer *raw; /* for the actions "raw0" and "early0", ... */
} test_gate_t;

/*
 * Starts a gateway and its upstreams and waits until it serves requests. The configuration has four
 * routes on host h.example: /safe/, /unsafe/, /stream/ (not resumable) and /resume/, and the API
 * key k1 of account acme.
 */
void test_gate_start(test_gate_t *t);
/* Gateways that are started later have a control API, which is unavailable, and report usage. */
void test_gate_set_usage(void);
/* Starts with the setting gate.memory_bytes. */
void test_gate_start_bounded(test_gate_t *t, uint32_t memory_bytes);
/* Starts with further entries in the registry, up to a NULL, by another writer. */
void test_gate_start_odd(test_gate_t *t, const char *const *entries);
/* Starts with a registry that does not answer, and does not wait. */
void test_gate_start_down(test_gate_t *t);
/*
 * Starts gateway i of a process, with the duty of scaling and, if usage is set, that of reporting
 * usage in windows of one second. The gateways are no peers; each has its own upstreams. Only the
 * last one that was started can be stopped.
 */
void test_gate_start_duty(test_gate_t *t, uint32_t i, bct_control_t *duties, bool usage);
/*
 * Starts n gateways that are peers of each other. All use the registry and the upstreams of t[0],
 * but each has its own down flag. They run until the test process ends.
 */
void test_gate_start_fleet(test_gate_t *t, uint32_t n);
/* Waits until each of n gateways has all others as live members, and has exchanged messages. */
void test_gate_wait_joined(test_gate_t *t, uint32_t n);
/* Starts gateway i of a fleet whose gateway 0 runs already, and waits until it serves requests. */
void test_gate_join_fleet(test_gate_t *t, uint32_t i);
/* The same, with a registry that does not answer it. */
void test_gate_join_fleet_down(test_gate_t *t, uint32_t i);
/* The same, but does not wait. */
void test_gate_start_lone(test_gate_t *t, uint32_t i);
void test_gate_stop(test_gate_t *t);

/* Sends raw bytes on a new connection and reads until it ends or wait_ms have passed. */
void test_gate_raw(test_gate_t *t, const char *bytes, size_t len, uint32_t wait_ms, bct_buf_t *out);

#define TEST_GATE_ADMIN_PORT 18003U
#define TEST_GATE_RELAY_PORT 18004U /* for requests of other gateways */

/* Sends bytes to a port of the gateway, as test_gate_raw() does to that for callers. */
void test_gate_at(test_gate_t *t, uint16_t port, const char *bytes, uint32_t wait_ms,
		  bct_buf_t *out);

/* Sends bytes to the administration address, as test_gate_raw() does to that for callers. */
void test_gate_admin(test_gate_t *t, const char *bytes, uint32_t wait_ms, bct_buf_t *out);

/* Sets the software versions of the engines in the registry; n of them, in order. */
void test_gate_set_software(test_gate_t *t, const char *const *versions, uint32_t n);

/* Sends one request with "Connection: close". Returns the status, or 0 without a response. */
int test_gate_call(test_gate_t *t, const char *method, const char *path, const char *call_id,
		   const char *script, bct_buf_t *out);

/* As test_gate_call(), a POST whose prompt consists of the parts listed, as ID:TOKENS pairs. */
int test_gate_prompt(test_gate_t *t, const char *path, const char *call_id, const char *script,
		     const char *parts, bct_buf_t *out);

/*
 * As test_gate_call(), a POST that takes up a stream after an event; resumes: the call id that
 * brought its first event, or NULL to name none.
 */
int test_gate_take_up(test_gate_t *t, const char *path, const char *call_id, const char *script,
		      const char *resumes, uint32_t after_event, bct_buf_t *out);

/* Returns how often a call id arrived at upstreams; and its i-th arrival, from 0, or NULL. */
uint32_t test_gate_runs(test_gate_t *t, const char *call_id);
const gate_run_t *test_gate_run(test_gate_t *t, const char *call_id, uint32_t i);

/* Starts each engine that has ended again, at another address, and waits until the
 * gateway has read that. Returns how many there were. */
uint32_t test_gate_restart_engines(test_gate_t *t);
/* The same for the upstream of the plain service. */
uint32_t test_gate_restart_desk(test_gate_t *t);

/* Replaces the configuration in the registry and waits until the gateway has read it. */
void test_gate_publish(test_gate_t *t, const char *config);
/* Returns a configuration as JSON in a buffer of the calling thread; safe_service serves /safe/. */
const char *test_gate_config(uint64_t version, const char *safe_service);

#endif
