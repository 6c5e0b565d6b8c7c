/*
 * control_call.h - decodes the calls of the simulated control API.
 */
#ifndef BCT_STANDIN_CONTROL_CALL_H
#define BCT_STANDIN_CONTROL_CALL_H

#include "standin/control_api.h"

#include <jansson.h>

#define BCT_CONTROL_NAME_BYTES 64
#define BCT_CONTROL_SUBJECT_BYTES 192

typedef struct bct_control_order {
	char service[BCT_CONTROL_NAME_BYTES];
	char zone[BCT_CONTROL_NAME_BYTES];
	bool spot;
	uint32_t engines;
} bct_control_order_t;

typedef struct bct_control_call {
	json_t *doc;
	uint64_t fence;
	char subject[BCT_CONTROL_SUBJECT_BYTES]; /* for which tokens are compared */
	bool is_order;
	uint64_t window; /* of a report; its counts are in doc */
	bct_control_order_t order;
} bct_control_call_t;

/*
 * bct_control_call_decode(3): returns 0, or the status of the refusal of a call that is malformed;
 * bct_control_call_free(3) is to be called after 0 only.
 */
int bct_control_call_decode(const bct_control_api_call_t *c, bct_control_call_t *out);
void bct_control_call_free(bct_control_call_t *c);

#endif
