/*
 * node_config.c - puts new revisions in force in the core and advertises them to the peers.
 */
#include "node/node_config.h"
#include "base/err.h"
#include "base/json.h"
#include "base/mem.h"
#include "coord/conf_json.h"

struct bct_node_config {
	bct_node_config_opts_t opts;
	bct_config_store_t *store;
};

static int on_adopted(void *ctx, bct_conf_t *conf)
{
	bct_node_config_t *c = ctx;
	int rc = bct_core_configure(c->opts.core, conf);

	/* Without memory the old revision stays in force, and the store calls again later. */
	if (!rc && c->opts.peer)
		bct_node_peer_adopted(c->opts.peer, conf);
	return rc;
}

/* Loads the configuration from a file, as revision 1. */
static int adopt_file(bct_node_config_t *c, const char *path)
{
	bct_conf_t *conf = NULL;
	bct_json_err_t err;
	char line[1024];
	json_t *doc = bct_json_load(path, BCT_CONF_MAX_BYTES, &err);
	int rc = doc ? bct_conf_from_json(doc, 1, &err, &conf) : err.err;

	json_decref(doc);
	if (rc) {
		bct_json_err_print(&err, path, line, sizeof(line));
		BCT_LOG(c->opts.log, BCT_EV_CONFIG_BAD_RECORD, BCT_STR("error", line));
		return rc;
	}
	rc = on_adopted(c, conf);
	if (!rc)
		BCT_LOG(c->opts.log, BCT_EV_CONFIG_ADOPTED, BCT_U64("revision", conf->revision),
			BCT_STR("file", path));
	bct_conf_unref(conf);
	return rc;
}

int bct_node_config_new(const bct_node_config_opts_t *opts, bct_node_config_t **out)
{
	bct_node_config_t *c = bct_alloc(sizeof(*c));
	bct_config_store_opts_t so = {
		.platform = opts->platform,
		.vm_name = opts->settings->vm_name,
		.seed = opts->seed,
		.poll_ms = opts->settings->platform_poll_ms,
		.timeout_ms = opts->settings->platform_timeout_ms,
		.adopted = on_adopted,
		.ctx = c,
		.log = opts->log,
	};
	int rc;

	if (!c)
		return -BCT_ENOMEM;
	c->opts = *opts;
	rc = bct_config_store_new(&so, &c->store);
	if (rc) {
		bct_free(c);
		return rc;
	}
	*out = c;
	return 0;
}

int bct_node_config_start(bct_node_config_t *c)
{
	const char *path = c->opts.settings->platform_config_file;

	if (path[0])
		return adopt_file(c, path);
	return bct_config_store_start(c->store);
}

void bct_node_config_free(bct_node_config_t *c)
{
	if (!c)
		return;
	bct_config_store_free(c->store);
	bct_free(c);
}

bct_config_store_t *bct_node_config_store(bct_node_config_t *c)
{
	return c->store;
}

json_t *bct_node_config_status(bct_node_config_t *c)
{
	bct_conf_t *conf = bct_core_conf(c->opts.core);
	char digest[BCT_DIGEST_HEX_BYTES] = "";
	bct_config_status_t st;
	json_int_t stale;
	json_t *doc;

	bct_config_store_status(c->store, &st);
	if (conf)
		bct_digest_hex(&conf->digest, digest);
	stale = st.stale_ms == UINT32_MAX ? -1 : (json_int_t)st.stale_ms;
	doc = json_pack("{s:I, s:s, s:I, s:s, s:I, s:I, s:b}", "revision",
			(json_int_t)(conf ? conf->revision : 0), "digest", digest, "since_ms",
			(json_int_t)bct_core_conf_since(c->opts.core), "source",
			bct_config_source_wire(st.source), "log_revision",
			(json_int_t)st.log_revision, "log_stale_ms", stale, "diverged",
			(int)st.diverged);
	bct_conf_unref(conf);
	return doc;
}
