/*
 * util_control.h - a scripted record and control API of the duties, for several gateways.
 */
#ifndef BCT_TESTS_UTIL_CONTROL_H
#define BCT_TESTS_UTIL_CONTROL_H

#include "coord/control.h"
#include "policy/duty_plan.h"

#include <pthread.h>

#define CALLS_MAX 256
#define ACCOUNT "counted" /* by the tests; the fixture sends requests of others */
#define NODES 2

typedef struct api_call {
	bct_duty_call_kind_t kind;
	uint32_t node;
	uint64_t fence;
	uint64_t window;
	uint32_t requests;
	uint32_t engines;
	bct_time_t at;
	int rc;
} api_call_t;

typedef enum api_mode { API_OK, API_FENCED, API_SILENT, API_DOWN } api_mode_t;

/* What one gateway calls. */
typedef struct script_control {
	bct_control_t base;
	struct script *script;
	uint32_t node;
	bool cancelled; /* guarded by the script's lock */
} script_control_t;

typedef struct script {
	script_control_t controls[NODES];
	pthread_mutex_t lock; /* guards all below */
	bct_buf_t record;     /* newest; empty: none */
	bct_gate_position_t end;
	bool store_down;
	bool lose_response; /* of the next append */
	api_mode_t mode;
	api_call_t calls[CALLS_MAX];
	uint32_t n_calls;
	uint32_t appends;
} script_t;

/* script_init(3): an empty record, and an API that accepts all calls. */
void script_init(script_t *s);

#endif
