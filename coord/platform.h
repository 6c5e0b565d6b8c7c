/*
 * platform.h - the platform's services behind a vtable: the append-only log, the VM list, the
 * weight store. coord/platform_http.h speaks docs/PLATFORM.md, coord/platform_embedded.h keeps
 * everything in the memory of one process.
 *
 * Calls block up to timeout_ms and may come from several threads at once.
 */
#ifndef BCT_COORD_PLATFORM_H
#define BCT_COORD_PLATFORM_H

#include "base/buf.h"
#include "base/clock.h"
#include "policy/conf.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_STREAM_CONFIG "config"
#define BCT_STREAM_KEYS "keys" /* keys.N, N from 0: intents and outcomes, split by hash */
#define BCT_STREAM_LEASES "leases"

typedef struct bct_platform bct_platform_t;

typedef struct bct_record {
	uint64_t offset;
	uint32_t len_bytes;
	const uint8_t *data;
} bct_record_t;

/* Records of one read; release with bct_records_free(). */
typedef struct bct_records {
	bct_record_t *records;
	uint32_t n;
	uint64_t next;	 /* offset to read from next time */
	uint64_t oldest; /* lowest offset that is still kept */
	bct_buf_t store; /* backs the data pointers */
} bct_records_t;

typedef enum bct_vm_role {
	BCT_VM_ENTRY = 1,
	BCT_VM_UPSTREAM,
} bct_vm_role_t;

typedef struct bct_vm {
	char name[BCT_NAME_BYTES];
	char address[BCT_ADDR_BYTES];
	uint16_t peer_port; /* ONC RPC of an entry VM; 0 for an upstream */
	bct_vm_role_t role;
	bool leaving;
} bct_vm_t;

/* The list lags: it may name the dead and miss the new. */
typedef struct bct_vm_list {
	uint64_t revision;
	bct_vm_t *vms;
	uint32_t n;
} bct_vm_list_t;

typedef struct bct_platform_ops {
	void (*destroy)(bct_platform_t *p);
	int (*append)(bct_platform_t *p, const char *stream, const void *data, uint32_t len_bytes,
		      uint32_t timeout_ms, uint64_t *offset);
	int (*read)(bct_platform_t *p, const char *stream, uint64_t from, uint32_t max_bytes,
		    uint32_t wait_ms, uint32_t timeout_ms, bct_records_t *out);
	int (*vms)(bct_platform_t *p, uint32_t timeout_ms, bct_vm_list_t *out);
	int (*weight)(bct_platform_t *p, const char *name, uint32_t timeout_ms, uint64_t *size);
} bct_platform_ops_t;

struct bct_platform {
	const bct_platform_ops_t *ops;
};

static inline void bct_platform_free(bct_platform_t *p)
{
	if (p)
		p->ops->destroy(p);
}

/*
 * bct_platform_append(3): append one record.
 *
 * offset   set on success
 * returns  0; -BCT_EUNAVAILABLE (surely not appended); -BCT_EUNKNOWN_OUTCOME (it may be in the
 *          log: the connection broke or timed out after the first byte); -BCT_ETOO_LARGE
 */
static inline int bct_platform_append(bct_platform_t *p, const char *stream, const void *data,
				      uint32_t len_bytes, uint32_t timeout_ms, uint64_t *offset)
{
	return p->ops->append(p, stream, data, len_bytes, timeout_ms, offset);
}

/*
 * bct_platform_read(3): read records from an offset on, oldest first.
 *
 * wait_ms  how long the platform may hold the answer when there is nothing new
 * returns  0 (perhaps no record); -BCT_EUNAVAILABLE; -BCT_EEXPIRED when from is below oldest
 *          (out->oldest is set); -BCT_ECODEC
 */
static inline int bct_platform_read(bct_platform_t *p, const char *stream, uint64_t from,
				    uint32_t max_bytes, uint32_t wait_ms, uint32_t timeout_ms,
				    bct_records_t *out)
{
	return p->ops->read(p, stream, from, max_bytes, wait_ms, timeout_ms, out);
}

/* bct_platform_vms(3): the VM list. returns 0, -BCT_EUNAVAILABLE or -BCT_ECODEC. */
static inline int bct_platform_vms(bct_platform_t *p, uint32_t timeout_ms, bct_vm_list_t *out)
{
	return p->ops->vms(p, timeout_ms, out);
}

/* bct_platform_weight(3): size of a weight; -BCT_EBUDGET when the store's rate limit says so. */
static inline int bct_platform_weight(bct_platform_t *p, const char *name, uint32_t timeout_ms,
				      uint64_t *size)
{
	return p->ops->weight(p, name, timeout_ms, size);
}

void bct_records_free(bct_records_t *r);
void bct_vm_list_free(bct_vm_list_t *l);

#endif
