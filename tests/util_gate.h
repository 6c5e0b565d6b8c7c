/*
 * util_gate.h - a gateway inside the test process, a registry in memory, and upstreams that do what
 * the request's X-Script header says.
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

/* One run of a request at an upstream. */
typedef struct gate_run {
	char call_id[64];
	char upstream_id[32];
	char head[2048];
	char body[1024];
	bool gone; /* the connection was closed by the gateway before the answer was whole */
} gate_run_t;

/*
 * An upstream with its own listening socket. For the n-th arrival of a call id it does the n-th
 * word of X-Script (the last word goes on): ok, error, notrun, wrong, reset, silent, noseal,
 * foreign (another call's answer first), extra (a second answer behind), cut (half of the body),
 * stream, streamcut (two events and a reset), streamhalf (an event and a half), streamquiet,
 * streamslow (whole, over two seconds).
 */
typedef struct gate_upstream {
	char id[32];
	const char *service;
	int fd;
	uint16_t port;
	struct test_gate *gate;
	pthread_t thread;
} gate_upstream_t;

typedef struct test_gate {
	bct_settings_t settings;
	bct_gate_t *gate;
	pthread_t thread;
	gate_upstream_t engines[GATE_UPSTREAMS];
	gate_upstream_t desk;
	char ip[16];	      /* that it listens on */
	pthread_mutex_t lock; /* guards all below */
	gate_run_t runs[GATE_RUNS_MAX];
	uint32_t n_runs;
	uint32_t connections;
	char config[8192]; /* what the registry holds */
	bool down;	   /* the registry does not answer this gateway */
	bool desk_listed;
	bool desk_drains;
	bool stop;
} test_gate_t;

/* Starts with a configuration of four routes on host h.example: /safe/, /unsafe/, /stream/ (not
 * resumable), /resume/; key k1 of account acme. */
void test_gate_start(test_gate_t *t);
/* Starts with a registry that does not answer. */
void test_gate_start_down(test_gate_t *t);
/*
 * Starts n gateways that know each other. All use the registry and the upstreams of t[0]; down is
 * each one's own. They run until the test's process ends.
 */
void test_gate_start_fleet(test_gate_t *t, uint32_t n);
void test_gate_stop(test_gate_t *t);

/* Sends raw bytes on a connection of its own and reads until it ends or wait_ms passed. */
void test_gate_raw(test_gate_t *t, const char *bytes, size_t len, uint32_t wait_ms, bct_buf_t *out);

/* One request on a closing connection. returns the status, 0 for a connection closed unanswered. */
int test_gate_call(test_gate_t *t, const char *method, const char *path, const char *call_id,
		   const char *script, bct_buf_t *out);

/* How often a call id was run, and how often it arrived at all. */
uint32_t test_gate_runs(test_gate_t *t, const char *call_id);
const gate_run_t *test_gate_run(test_gate_t *t, const char *call_id, uint32_t i);

/* Replaces the configuration in the registry and waits until it is in force. */
void test_gate_publish(test_gate_t *t, const char *config);
const char *test_gate_config(uint64_t version, const char *safe_service);

#endif
