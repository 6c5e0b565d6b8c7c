/*
 * platform.h - interface to the services of the platform: the append-only log, the VM list and the
 * weight store. coord/platform_http.h implements it over HTTP as docs/PLATFORM.md describes,
 * coord/platform_embedded.h in the memory of one process.
 *
 * Calls block for up to timeout_ms and may be made from several threads concurrently.
 */
#ifndef BCT_COORD_PLATFORM_H
#define BCT_COORD_PLATFORM_H

#include "base/buf.h"
#include "base/clock.h"
#include "policy/conf.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_STREAM_CONFIG "config"
#define BCT_STREAM_KEYS "keys" /* keys.0, keys.1, ...: intents and outcomes, sharded by hash */
#define BCT_STREAM_LEASES "leases"

typedef struct bct_platform bct_platform_t;

typedef struct bct_record {
	uint64_t offset;
	uint32_t len_bytes;
	const uint8_t *data;
} bct_record_t;

/* Result of one read; to be released with bct_records_free(3). */
typedef struct bct_records {
	bct_record_t *records;
	uint32_t n;
	uint64_t next;	 /* offset to continue reading at */
	uint64_t oldest; /* lowest offset still kept */
	bct_buf_t store; /* memory that the data pointers refer to */
} bct_records_t;

typedef enum bct_vm_role {
	BCT_VM_ENTRY = 1,
	BCT_VM_UPSTREAM,
} bct_vm_role_t;

typedef struct bct_vm {
	char name[BCT_NAME_BYTES];
	char address[BCT_ADDR_BYTES];
	uint16_t peer_port; /* ONC RPC port of an entry VM; 0 for an upstream */
	bct_vm_role_t role;
	bool leaving; /* about to be removed; as an upstream, it gets no new requests */
} bct_vm_t;

/* May be out of date: it may have VMs that no longer exist, and lack new ones. */
typedef struct bct_vm_list {
	uint64_t revision;
	bct_vm_t *vms;
	uint32_t n;
	uint32_t n_unreadable; /* further ones, which can't be read */
} bct_vm_list_t;

/* Implementation of the calls that are documented at the functions below. */
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

/* bct_platform_free(3): release a platform. NULL is allowed. */
static inline void bct_platform_free(bct_platform_t *p)
{
	if (p)
		p->ops->destroy(p);
}

/*
 * bct_platform_append(3): append one record to a stream.
 *
 * offset   set on success
 * returns  0; -BCT_EUNAVAILABLE: certainly not appended; -BCT_EUNKNOWN_OUTCOME: the record may be
 *          in the log, because the connection failed or timed out after the first byte was sent;
 *          -BCT_ETOO_LARGE
 */
static inline int bct_platform_append(bct_platform_t *p, const char *stream, const void *data,
				      uint32_t len_bytes, uint32_t timeout_ms, uint64_t *offset)
{
	return p->ops->append(p, stream, data, len_bytes, timeout_ms, offset);
}

/*
 * bct_platform_read(3): read the records from an offset on, oldest first.
 *
 * max_bytes  limit of the data, but the first record may exceed it
 * wait_ms    how long the platform may delay the answer while there is no record to return
 * returns    0, also without a record; -BCT_EUNAVAILABLE; -BCT_EEXPIRED when from is below the
 *            oldest record (out->oldest is set); -BCT_ECODEC for a malformed answer
 */
static inline int bct_platform_read(bct_platform_t *p, const char *stream, uint64_t from,
				    uint32_t max_bytes, uint32_t wait_ms, uint32_t timeout_ms,
				    bct_records_t *out)
{
	return p->ops->read(p, stream, from, max_bytes, wait_ms, timeout_ms, out);
}

/*
 * bct_platform_vms(3): get the VM list, to be released with bct_vm_list_free(3).
 *
 * returns  0, -BCT_EUNAVAILABLE or -BCT_ECODEC
 */
static inline int bct_platform_vms(bct_platform_t *p, uint32_t timeout_ms, bct_vm_list_t *out)
{
	return p->ops->vms(p, timeout_ms, out);
}

/*
 * bct_platform_weight(3): get the size in bytes of the weights of a model.
 *
 * returns  0; -BCT_EBUDGET when the rate limit of the weight store refuses the request;
 *          -BCT_ENOT_FOUND; -BCT_EUNAVAILABLE; -BCT_ECODEC
 */
static inline int bct_platform_weight(bct_platform_t *p, const char *name, uint32_t timeout_ms,
				      uint64_t *size)
{
	return p->ops->weight(p, name, timeout_ms, size);
}

void bct_records_free(bct_records_t *r);
void bct_vm_list_free(bct_vm_list_t *l);

#endif
