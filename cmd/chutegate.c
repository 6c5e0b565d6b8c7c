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

static int serve(const bct_daemon_options_t *o, const bct_settings_t *s)
{
	bct_gate_opts_t opts = { .settings = s, .wire = bct_adapter_wire() };
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
