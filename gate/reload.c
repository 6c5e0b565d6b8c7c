/*
 * reload.c - applies settings that change while the gateway runs: the log level and the seeds.
 *
 * A node may start with seeds that are gone, if the machines that they name were replaced, and get
 * others later, with or without a signal. So the settings are also checked without one.
 */
#include "base/err.h"
#include "base/mem.h"
#include "gate/gate_int.h"

#define CHECK_MS 1000 /* between two checks whether the settings have changed */

/* returns 0 or a negative error; nothing has changed then. */
static int apply(bct_gate_t *g, const bct_settings_t *s)
{
	int rc = bct_fleet_set_seeds(g, s);

	if (!rc)
		bct_log_set_level(g->log, (bct_level_t)bct_level_parse(s->log_level));
	return rc;
}

void bct_gate_reload(bct_gate_t *g)
{
	bct_settings_source_t *source = g->opts.source;
	bct_settings_t *fresh = bct_alloc(sizeof(*fresh));
	int rc = fresh ? -BCT_EINVAL : -BCT_ENOMEM;

	if (fresh && source)
		rc = source->ops->load(source, fresh);
	if (!rc)
		rc = apply(g, fresh);
	if (rc)
		BCT_LOG(g->log, BCT_EV_SETTINGS_KEPT, BCT_ERR("error", rc));
	else
		BCT_LOG(g->log, BCT_EV_SETTINGS_RELOADED, BCT_U64("seeds", fresh->n_peer_seeds),
			BCT_U64("nodes", g->nodes));
	bct_free(fresh);
}

void bct_gate_reload_tick(bct_gate_t *g, bct_time_t now)
{
	bct_settings_source_t *source = g->opts.source;

	if (!source || now - g->settings_checked_at < CHECK_MS)
		return;
	g->settings_checked_at = now;
	if (source->ops->changed(source))
		bct_gate_reload(g);
}
