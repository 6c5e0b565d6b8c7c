/*
 * duty_scale.c - stub.
 */
#include "gate/duty_scale.h"
#include "base/err.h"

#include <string.h>

int bct_duty_scale_input(bct_gate_t *g, const bct_gate_service_t *s, bct_time_t now,
			 bct_autoscale_input_t *out)
{
	const bct_list_t *el;

	(void)now;
	memset(out, 0, sizeof(*out));
	if (!s->scaling.n_domains)
		return -BCT_ENOT_FOUND;
	bct_list_for_each(el, &g->upstreams.all) {
		const bct_gate_upstream_t *u = bct_container_of(el, bct_gate_upstream_t, link);

		for (uint32_t i = 0; i < s->scaling.n_domains; i++)
			if (u->service_key == s->key && u->presence == BCT_GATE_READY &&
			    !strcmp(u->entry.zone, s->scaling.domains[i].name))
				out->domains[i].present[u->entry.spot]++;
	}
	return 0;
}
