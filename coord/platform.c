/*
 * platform.c - frees the results of platform calls.
 */
#include "coord/platform.h"
#include "base/mem.h"

#include <string.h>

void bct_records_free(bct_records_t *r)
{
	bct_free(r->records);
	bct_buf_free(&r->store);
	memset(r, 0, sizeof(*r));
}

void bct_vm_list_free(bct_vm_list_t *l)
{
	bct_free(l->vms);
	memset(l, 0, sizeof(*l));
}
