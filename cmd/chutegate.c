/*
 * chutegate.c - the gateway daemon: options, settings, and the adapter of the platform it runs on.
 */
#include "base/err.h"
#include "cmd/daemon.h"
#include "gate/gate.h"
#include "platform/adapter.h"

#include <curl/curl.h>
#include <malloc.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#define EXIT_SETTINGS 2
#define EXIT_START 1
#define MALLOC_ARENAS 1 /* one thread does nearly all the work; further arenas only cost memory */

static int serve(const bct_daemon_options_t *o, const bct_settings_t *s)
{
	bct_gate_opts_t opts = { .settings = s, .wire = bct_adapter_wire() };
	bct_gate_t *g = NULL;
	int rc = bct_daemon_log(o, s, stdout, &opts.log);

	if (rc)
		return EXIT_SETTINGS;
	rc = bct_adapter_registry(s->platform_url, &opts.registry);
	if (!rc)
		rc = bct_gate_new(&opts, &g);
	if (rc)
		fprintf(stderr, "chutegate: %s: %s\n", bct_err_name(rc), bct_err_text(rc));
	else
		bct_gate_run(g);
	bct_gate_free(g);
	bct_log_free(opts.log);
	return rc ? EXIT_START : 0;
}

int main(int argc, char **argv)
{
	bct_daemon_options_t o = { 0 };
	bct_settings_t *s;
	int rc = EXIT_SETTINGS;

	if (bct_daemon_options("chutegate", argc, (const char **)argv, &o))
		return EXIT_SETTINGS;
	if (o.version) {
		printf("chutegate %s\n", BCT_VERSION);
		bct_daemon_options_free(&o);
		return 0;
	}
	if (!o.config) {
		fprintf(stderr, "chutegate: --config FILE is required\n");
		return EXIT_SETTINGS;
	}
	signal(SIGPIPE, SIG_IGN);
	mallopt(M_ARENA_MAX, MALLOC_ARENAS);
	s = malloc(sizeof(*s));
	if (!s || sodium_init() < 0 || curl_global_init(CURL_GLOBAL_NOTHING))
		rc = EXIT_START;
	else if (!bct_daemon_settings(o.config, s))
		rc = o.check ? 0 : serve(&o, s);
	free(s);
	bct_daemon_options_free(&o);
	return rc;
}
