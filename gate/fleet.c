/*
 * fleet.c - joins the fleet of gateways. Callers are offered the members' addresses, and each
 * member uses an equal share of the fleet's retry allowance.
 */
#include "base/err.h"
#include "coord/peer_settings.h"
#include "gate/gate_int.h"

#include <stdlib.h>
#include <string.h>

/* The port of a configured seed is ignored, as the peer port is the same on all nodes. */
static int parse_seeds(const bct_settings_t *s, uint32_t peer_port, bct_addr_t *out)
{
	for (uint32_t i = 0; i < s->n_peer_seeds; i++) {
		char ip[BCT_ADDR_BYTES] = "";
		size_t len = strcspn(s->peer_seeds[i], ":");

		if (len >= sizeof(ip))
			return -BCT_EINVAL;
		memcpy(ip, s->peer_seeds[i], len);
		if (bct_addr_parse(ip, (uint16_t)peer_port, &out[i]))
			return -BCT_EINVAL;
	}
	return 0;
}

static const bct_peer_ops_t peer_ops = { 0 };

int bct_fleet_join(bct_gate_t *g)
{
	const bct_settings_t *s = g->settings;
	bct_addr_t seeds[BCT_SEEDS_MAX];
	bct_peer_opts_t o = {
		.ops = &peer_ops,
		.ctx = g,
		.caller_port = g->listen.port,
		.admin_address = s->admin_port ? s->admin_address : NULL,
		.admin_port = (uint16_t)s->admin_port,
		.seeds = seeds,
		.log = g->log,
	};
	int rc;

	g->nodes = 1;
	if (!s->peer_secret[0])
		return 0;
	bct_peer_opts_fill(s, &o);
	rc = parse_seeds(s, s->peer_port, seeds);
	if (!rc)
		rc = bct_peer_new(&o, &g->peer);
	return rc ? rc : bct_peer_start(g->peer);
}

int bct_fleet_set_seeds(bct_gate_t *g, const bct_settings_t *s)
{
	bct_addr_t seeds[BCT_SEEDS_MAX];
	int rc = parse_seeds(s, g->settings->peer_port, seeds);

	if (rc || !g->peer)
		return rc;
	return bct_peer_set_seeds(g->peer, seeds, s->n_peer_seeds);
}
