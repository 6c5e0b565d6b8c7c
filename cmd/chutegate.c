/*
 * chutegate.c - main program of the gateway daemon: connects the gateway to the platform adapter.
 */
#include "base/err.h"
#include "cmd/daemon.h"
#include "gate/gate.h"
#include "platform/adapter.h"
#include "platform/control.h"

#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define MALLOC_ARENAS 1 /* one thread does nearly all the work; more arenas only cost memory */

/* The settings file of the command line. */
typedef struct settings_file {
	bct_settings_source_t base;
	const bct_daemon_options_t *options;
	uint64_t digest; /* of its contents at the last load */
} settings_file_t;

/* A file that can't be read just now has not changed. */
static bool file_changed(bct_settings_source_t *base)
{
	const settings_file_t *f = (const settings_file_t *)base;
	uint64_t digest = bct_daemon_file_digest(f->options->config);

	return digest && digest != f->digest;
}

/* The digest is taken first: what is written after it is noticed by the next check. */
static int load_file(bct_settings_source_t *base, bct_settings_t *out)
{
	settings_file_t *f = (settings_file_t *)base;

	f->digest = bct_daemon_file_digest(f->options->config);
	return bct_daemon_reload(f->options, out);
}

static const bct_settings_source_ops_t file_ops = { .changed = file_changed, .load = load_file };

static int serve(const bct_daemon_options_t *o, const bct_settings_t *s)
{
	settings_file_t file = { .base.ops = &file_ops, .options = o, .digest = o->loaded_digest };
	bct_gate_opts_t opts = { .settings = s, .source = &file.base, .wire = bct_adapter_wire() };
	bct_gate_t *g = NULL;
	int rc = bct_daemon_log(o, s, stdout, &opts.log);

	if (rc)
		return BCT_EXIT_SETTINGS;
	rc = bct_adapter_registry(s->platform_url, &opts.registry);
	if (!rc && s->duty_address[0])
		rc = bct_adapter_control(s->duty_address, s->platform_url, &opts.control);
	if (!rc)
		rc = bct_gate_new(&opts, &g);
	if (rc)
		fprintf(stderr, "chutegate: %s: %s\n", bct_err_name(rc), bct_err_text(rc));
	else
		bct_gate_run(g);
	bct_gate_free(g);
	bct_log_free(opts.log);
	return rc ? BCT_EXIT_START : 0;
}

int main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	mallopt(M_ARENA_MAX, MALLOC_ARENAS);
	return bct_daemon_main("chutegate", argc, argv, serve);
}
