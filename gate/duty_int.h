/*
 * duty_int.h - shared by the files of the duties; see duty.h.
 */
#ifndef BCT_GATE_DUTY_INT_H
#define BCT_GATE_DUTY_INT_H

#include "gate/duty.h"
#include "gate/duty_calls.h"
#include "gate/usage.h"
#include "policy/duty_plan.h"

/* Scaling of one service. */
typedef struct bct_duty_scaler {
	char service[BCT_AUTOSCALE_NAME_BYTES];
	bct_autoscale_conf_t conf;
	bct_autoscale_t *scale; /* NULL: the configuration is invalid */
	bool resumed;		/* from the numbers in the record, since this node has the lease */
	int input_error;	/* of the last attempt to get inputs */
	bct_autoscale_input_t in;
	bct_autoscale_plan_t plan;
} bct_duty_scaler_t;

/* The newest body of the record that is known, encoded. */
typedef struct bct_duty_known {
	bct_buf_t record;
	uint64_t revision;
	bct_gate_position_t position; /* of the record that was read last, which may be older */
} bct_duty_known_t;

struct bct_duty {
	bct_gate_t *gate;
	bool usage; /* the duties of this fleet; usage: the gate counts it */
	bool scaling;
	uint64_t incarnation;
	uint64_t first_window;	  /* of this process */
	bct_time_t ready_since;	  /* 0: not ready */
	bct_time_t cut_off_until; /* not a candidate before, as the API is not reached from here */
	bct_duty_lease_t lease;
	bct_duty_plan_t plan;
	bct_duty_calls_t *calls;
	bct_duty_act_t store_act; /* call in progress */
	bool api_busy;
	uint64_t append_revision; /* of the append in progress */
	bct_duty_known_t known;
	uint64_t open_until; /* last window of the checkpoints that were taken over */
	bool held;	     /* as of the last log line */
	bool store_down;
	bct_gate_position_t bad_record; /* position of one that can't be decoded; 0: none */
	char holder_name[BCT_DUTY_NAME_BYTES];
	bct_time_t scaled_at;
	bct_duty_scaler_t *scalers;
	uint32_t n_scalers;
};

/* duty_body.c: what the record contains. */

/* bct_duty_encode(3): the record that the append in progress is to write. returns 0 or an error. */
int bct_duty_encode(bct_duty_t *d, bct_time_t now, bct_duty_act_t act, bct_buf_t *out);
/* bct_duty_take_over(3): continues from the newest body, before a claim. returns 0 or an error. */
int bct_duty_take_over(bct_duty_t *d, bct_time_t now);
/*
 * bct_duty_remember(3): a record that was read or written.
 *
 * record  its contents are moved
 */
void bct_duty_remember(bct_duty_t *d, bct_buf_t *record, uint64_t revision,
		       bct_gate_position_t position);

/* duty_work.c: what a holder does. */

/* bct_duty_decide(3): decides the windows that are due, and the numbers of engines. */
void bct_duty_decide(bct_duty_t *d, bct_time_t now);
/* bct_duty_call_api(3): starts the next call to the API, if one is due. */
void bct_duty_call_api(bct_duty_t *d, bct_time_t now);
void bct_duty_api_done(bct_duty_t *d, bct_time_t now, const bct_duty_api_call_t *a);
void bct_duty_scalers_free(bct_duty_t *d);

/* bct_duty_note_lease(3): logs when this node came to hold the lease, or ceased to. */
void bct_duty_note_lease(bct_duty_t *d, const char *why);

#endif
