/*
 * platform_embedded.h - implements the platform in the memory of one process, for trying the system
 * out on one VM and for tests, which can inject faults.
 */
#ifndef BCT_COORD_PLATFORM_EMBEDDED_H
#define BCT_COORD_PLATFORM_EMBEDDED_H

#include "coord/platform.h"

/* Injected faults; all zero: none. Each append that uses a counter of appends decrements it. */
typedef struct bct_embedded_fault {
	bool outage;		/* every call fails with -BCT_EUNAVAILABLE */
	uint32_t lose_answers;	/* next N appends take effect but return -BCT_EUNKNOWN_OUTCOME */
	uint32_t lose_requests; /* next N appends have no effect and return -BCT_EUNKNOWN_OUTCOME */
	uint32_t double_appends; /* next N appends store the record twice */
	uint32_t hidden_records; /* reads do not return the newest N records of a stream yet */
	uint32_t delay_ms;	 /* delay of every call */
} bct_embedded_fault_t;

typedef struct bct_platform_embedded_opts {
	bct_embedded_fault_t fault;
	uint32_t max_records; /* a stream keeps its newest N records; 0: all */
} bct_platform_embedded_opts_t;

/*
 * bct_platform_embedded_new(3): create an empty platform, for use by several threads.
 *
 * opts     NULL: no faults, and records do not expire
 * returns  0 or -BCT_ENOMEM
 */
int bct_platform_embedded_new(const bct_platform_embedded_opts_t *opts, bct_platform_t **out);

/*
 * bct_platform_embedded_set_fault(3), bct_platform_embedded_fault(3): set and get the injected
 * faults.
 */
void bct_platform_embedded_set_fault(bct_platform_t *p, const bct_embedded_fault_t *fault);
bct_embedded_fault_t bct_platform_embedded_fault(bct_platform_t *p);

/* bct_platform_embedded_expire(3): expire the records of a stream below an offset. */
void bct_platform_embedded_expire(bct_platform_t *p, const char *stream, uint64_t below);

/*
 * bct_platform_embedded_set_vms(3): replace the VM list and increment its revision.
 *
 * returns  0, or -BCT_ENOMEM and the old list is kept
 */
int bct_platform_embedded_set_vms(bct_platform_t *p, const bct_vm_t *vms, uint32_t n);

#endif
