/*
 * duty_scale.h - stub: the engines present, and no demand.
 */
#ifndef BCT_GATE_DUTY_SCALE_H
#define BCT_GATE_DUTY_SCALE_H

#include "gate/gate_int.h"

int bct_duty_scale_input(bct_gate_t *g, const bct_gate_service_t *s, bct_time_t now,
			 bct_autoscale_input_t *out);

#endif
