/*
 * node_config.c - the configuration of a node.
 */
#include "node/node_config.h"
#include "base/err.h"
#include "base/json.h"
#include "base/mem.h"
#include "coord/conf_json.h"

struct bct_node_config {
	bct_node_config_opts_t opts;
};

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
	rc = bct_core_configure(c->opts.core, conf);
	bct_conf_unref(conf);
	return rc;
}

int bct_node_config_new(const bct_node_config_opts_t *opts, bct_node_config_t **out)
{
	const char *path = opts->settings->platform_config_file;
	bct_node_config_t *c = bct_alloc(sizeof(*c));
	int rc = 0;

	if (!c)
		return -BCT_ENOMEM;
	c->opts = *opts;
	if (path[0])
		rc = adopt_file(c, path);
	if (rc) {
		bct_free(c);
		return rc;
	}
	*out = c;
	return 0;
}

void bct_node_config_free(bct_node_config_t *c)
{
	bct_free(c);
}
