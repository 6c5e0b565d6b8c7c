/*
 * platform_embedded.h - the platform in the memory of one process: for trying the system out on one
 * VM, and for tests, which switch faults on.
 */
#ifndef BCT_COORD_PLATFORM_EMBEDDED_H
#define BCT_COORD_PLATFORM_EMBEDDED_H

#include "coord/platform.h"

/* Faults in force; all zero: none. Counts go down as they are used. */
typedef struct bct_embedded_fault {
	bool outage;		 /* every call answers -BCT_EUNAVAILABLE */
	uint32_t lose_answers;	 /* so many appends take effect and answer -BCT_EUNKNOWN_OUTCOME */
	uint32_t lose_requests;	 /* so many appends are lost and answer -BCT_EUNKNOWN_OUTCOME */
	uint32_t double_appends; /* so many appends take effect twice */
	uint32_t hidden_records; /* reads do not show the newest so many records of a stream yet */
	uint32_t delay_ms;	 /* every call takes so long */
} bct_embedded_fault_t;

typedef struct bct_platform_embedded_opts {
	bct_embedded_fault_t fault;
	uint32_t max_records; /* a stream keeps its newest so many; 0: all */
} bct_platform_embedded_opts_t;

/*
 * bct_platform_embedded_new(3): an empty platform. Calls may come from several threads.
 *
 * opts     NULL: no fault, no expiry
 * returns  0 or -BCT_ENOMEM
 */
int bct_platform_embedded_new(const bct_platform_embedded_opts_t *opts, bct_platform_t **out);

/* bct_platform_embedded_set_fault(3), bct_platform_embedded_fault(3): change and read the faults.
 */
void bct_platform_embedded_set_fault(bct_platform_t *p, const bct_embedded_fault_t *fault);
bct_embedded_fault_t bct_platform_embedded_fault(bct_platform_t *p);

/* bct_platform_embedded_expire(3): drop the records of a stream below an offset. */
void bct_platform_embedded_expire(bct_platform_t *p, const char *stream, uint64_t below);

/*
 * bct_platform_embedded_set_vms(3): replace the VM list; its revision grows by one.
 *
 * returns  0 or -BCT_ENOMEM, and then the old list stays
 */
int bct_platform_embedded_set_vms(bct_platform_t *p, const bct_vm_t *vms, uint32_t n);

#endif
