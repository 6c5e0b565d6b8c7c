/*
 * control.h - interface to the platform's control API, which takes reports of usage and orders of
 * engines from one node at a time, and to the record in which that node keeps its state.
 *
 * read and append are called from one thread, report_usage and order_engines from another; cancel
 * from any.
 */
#ifndef BCT_COORD_CONTROL_H
#define BCT_COORD_CONTROL_H

#include "base/buf.h"
#include "policy/gate_position.h"
#include "policy/usage.h"

#include <stdbool.h>
#include <stdint.h>

/* Who makes a call. The control API refuses a fencing token below one that it has seen. */
typedef struct bct_control_caller {
	const char *name; /* of the node */
	uint64_t fence;
} bct_control_caller_t;

typedef struct bct_engine_order {
	const char *service;
	const char *failure_domain;
	uint32_t engines; /* wanted there, of this kind */
	bool spot;	  /* cheaper ones, which may be reclaimed at short notice */
} bct_engine_order_t;

typedef struct bct_control bct_control_t;

typedef struct bct_control_ops {
	void (*destroy)(bct_control_t *c);
	/* Ends the calls in progress, and later ones at once. */
	void (*cancel)(bct_control_t *c);
	/*
	 * Gets the newest record of the state.
	 *
	 * record    cleared first; empty: there is none
	 * position  of the record in its log
	 * end       where the log ends
	 * returns   0, -BCT_EUNAVAILABLE, -BCT_ECODEC or -BCT_ENOMEM
	 */
	int (*read)(bct_control_t *c, uint32_t timeout_ms, bct_buf_t *record,
		    bct_gate_position_t *position, bct_gate_position_t *end);
	/*
	 * Appends a record if the log still ends at `at`.
	 *
	 * returns  0 and the position of the record; -BCT_ESTALE: the log ends elsewhere;
	 *          -BCT_EUNAVAILABLE: certainly not appended; -BCT_EUNKNOWN_OUTCOME
	 */
	int (*append)(bct_control_t *c, bct_gate_position_t at, const void *data,
		      uint32_t len_bytes, uint32_t timeout_ms, bct_gate_position_t *position);
	/*
	 * Report the usage of a window, or order engines.
	 *
	 * returns  0; -BCT_EFENCED: a higher token was seen, or, for an order, no such engines are
	 *          available; -BCT_EBUDGET: too many calls; -BCT_EUNAVAILABLE: certainly not done;
	 *          -BCT_EUNKNOWN_OUTCOME; -BCT_EINVAL: refused for another reason
	 */
	int (*report_usage)(bct_control_t *c, const bct_control_caller_t *by,
			    const bct_usage_report_t *r, uint32_t timeout_ms);
	int (*order_engines)(bct_control_t *c, const bct_control_caller_t *by,
			     const bct_engine_order_t *o, uint32_t timeout_ms);
} bct_control_ops_t;

struct bct_control {
	const bct_control_ops_t *ops;
};

/* bct_control_free(3): NULL is allowed. */
static inline void bct_control_free(bct_control_t *c)
{
	if (c)
		c->ops->destroy(c);
}

#endif
