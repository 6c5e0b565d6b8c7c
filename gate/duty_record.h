/*
 * duty_record.h - encodes and decodes the record of the duties, see schema/duty.x.
 */
#ifndef BCT_GATE_DUTY_RECORD_H
#define BCT_GATE_DUTY_RECORD_H

#include "base/buf.h"
#include "policy/duty_plan.h"

#define BCT_DUTY_NAME_BYTES 64

/* The part that the lease looks into. */
typedef struct bct_duty_header {
	uint64_t holder; /* incarnation; 0: released */
	char name[BCT_DUTY_NAME_BYTES];
	uint32_t ttl_ms;
	uint64_t append_id;
	uint64_t revision;
} bct_duty_header_t;

/*
 * bct_duty_record_encode(3): appends a record to out.
 *
 * opens    checkpoints of windows that are not decided
 * returns  0, -BCT_ENOMEM or -BCT_ECODEC: a name or a list is too long
 */
int bct_duty_record_encode(const bct_duty_header_t *h, const bct_duty_plan_t *p,
			   const bct_usage_open_t *opens, uint32_t n_opens, bct_buf_t *out);

/*
 * bct_duty_record_decode(3): out is to be freed with bct_duty_state_free(3).
 *
 * returns  0, -BCT_ECODEC or -BCT_ENOMEM; out is empty then
 */
int bct_duty_record_decode(const void *data, size_t len_bytes, bct_duty_header_t *h,
			   bct_duty_state_t *out);

#endif
