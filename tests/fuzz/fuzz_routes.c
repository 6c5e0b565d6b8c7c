/*
 * fuzz_routes.c - the configuration as the registry holds it. Checks that one that is accepted can
 * be searched, and that one that is not is released whole.
 */
#include "base/err.h"
#include "platform/decode.h"
#include "tests/fuzz/fuzz.h"

BCT_FUZZ(routes)
{
	bct_gate_routes_t *t = NULL;
	const bct_gate_route_t *r;

	if (bct_decode_routes((const char *)data, size, &t))
		return 0;
	r = bct_gate_routes_match(t, "h.example", 9, "/safe/x", 7);
	BCT_FUZZ_CHECK(!r || bct_gate_route_split(r, 12345) < t->n_services);
	bct_gate_routes_unref(t);
	return 0;
}
