/*
 * explain_duty.h - explains from the events of the duties why the usage of a window was late or
 * missed, and which orders of engines a service or an engine was affected by.
 */
#ifndef BCT_CMD_EXPLAIN_DUTY_H
#define BCT_CMD_EXPLAIN_DUTY_H

#include "base/buf.h"
#include "base/json.h"

/* explain_duty_needs(3): whether lines with this event are used. */
bool explain_duty_needs(json_int_t event);

/*
 * explain_duty(3): explain a window, a service or an engine.
 *
 * id       number of a window, or name of a service or an engine
 * all      array of the lines that explain_duty_needs(3), in order of time
 * lines    array that the lines about it are appended to
 * context  array that what happened to the duties meanwhile is appended to
 * out      buffer that the sentences are appended to; must be empty
 * returns  false if the lines say nothing about it
 */
bool explain_duty(const char *id, const json_t *all, json_t *lines, json_t *context,
		  bct_buf_t *out);

#endif
