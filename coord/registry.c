/*
 * registry.c - frees batches of registry changes.
 */
#include "coord/registry.h"
#include "base/mem.h"

#include <string.h>

void bct_registry_batch_free(bct_registry_batch_t *b)
{
	for (uint32_t i = 0; i < b->n; i++)
		bct_gate_routes_unref(b->changes[i].table);
	bct_free(b->changes);
	memset(b, 0, sizeof(*b));
}
