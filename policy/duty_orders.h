/*
 * duty_orders.h - the part of the plan of duties that is about orders of engines; used by
 * duty_plan.c only. The functions are as those of duty_plan.h with the same names.
 */
#ifndef BCT_POLICY_DUTY_ORDERS_H
#define BCT_POLICY_DUTY_ORDERS_H

#include "policy/duty_plan.h"

/* bct_duty_orders_adopt(3): replaces the services, without freeing those of before. */
int bct_duty_orders_adopt(bct_duty_plan_t *p, bct_time_t now, const bct_duty_state_t *s);
bool bct_duty_orders_unwritten(const bct_duty_plan_t *p, uint64_t revision, uint64_t fence);
bool bct_duty_orders_next(const bct_duty_plan_t *p, bct_time_t now, uint64_t fence,
			  uint64_t revision, bct_duty_call_t *out);
bct_duty_outcome_t bct_duty_orders_done(bct_duty_plan_t *p, bct_time_t now,
					const bct_duty_call_t *c, int rc);

#endif
