/*
 * gate_origin.c - compares the software of upstreams with that which began a stream.
 */
#include "policy/gate_origin.h"
#include "base/hash.h"

#include <string.h>

bool bct_gate_origin_allows(const bct_gate_origin_t *o, const bct_gate_upstream_t *u)
{
	if (o->release && u->release)
		return o->release == u->release;
	return o->run && o->run == bct_gate_upstream_run(u);
}

bool bct_gate_origin_same_software(const bct_gate_upstream_t *a, const bct_gate_upstream_t *b)
{
	return !a->release || !b->release || a->release == b->release;
}

bct_gate_origin_t bct_gate_origin_of(const bct_gate_upstream_t *u)
{
	return (bct_gate_origin_t){ .release = u->release, .run = bct_gate_upstream_run(u) };
}

void bct_gate_entry_set_software(bct_gate_entry_t *e, const char *version)
{
	size_t len = strnlen(version, sizeof(e->software) - 1);

	memset(e->software, 0, sizeof(e->software));
	memcpy(e->software, version, len);
	e->software_key = version[0] ? bct_hash_str(version) : 0;
}

const char *bct_gate_upstreams_software(const bct_gate_upstreams_t *t, uint64_t release)
{
	bct_list_t *el;

	bct_list_for_each(el, &t->all) {
		const bct_gate_upstream_t *u = bct_container_of(el, bct_gate_upstream_t, link);

		if (release && u->release == release)
			return u->entry.software;
	}
	return "";
}
