/*
 * chuted.c - main program of the node daemon: settings, signals and shutdown. The node is in node/.
 */
#define _GNU_SOURCE
#include "base/err.h"
#include "base/event.h"
#include "cmd/daemon.h"
#include "gen/settings.h"
#include "node/node.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define TICK_NS 50000000L /* interval of the check whether the drain is complete */

/* Handles SIGHUP: validates the settings file and applies what can change safely at run time. */
static void reload(const bct_daemon_options_t *o, bct_node_t *n, bct_log_t *log)
{
	bct_settings_t *fresh = malloc(sizeof(*fresh));
	int rc = fresh ? bct_daemon_reload(o, fresh) : -BCT_ENOMEM;

	if (!rc)
		rc = bct_node_reload(n, fresh);
	if (rc)
		BCT_LOG(log, BCT_EV_SETTINGS_KEPT, BCT_STR("file", o->config),
			BCT_ERR("error", rc));
	else
		BCT_LOG(log, BCT_EV_SETTINGS_RELOADED, BCT_STR("file", o->config),
			BCT_U64("seeds", fresh->n_peer_seeds));
	free(fresh);
}

static void block_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	sigaddset(set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

/*
 * Handles signals until the node has drained. The first SIGTERM or SIGINT starts the drain, a
 * second one stops at once.
 */
static void run(const bct_daemon_options_t *o, bct_node_t *n, bct_log_t *log, const sigset_t *set)
{
	const struct timespec tick = { .tv_nsec = TICK_NS };
	bool stopping = false;

	while (!bct_node_drained(n)) {
		int sig = sigtimedwait(set, NULL, &tick);

		if (sig == SIGHUP)
			reload(o, n, log);
		if (sig != SIGTERM && sig != SIGINT)
			continue;
		if (stopping)
			return;
		stopping = true;
		bct_node_drain(n);
	}
}

static int serve(const bct_daemon_options_t *o, const bct_settings_t *s)
{
	bct_node_opts_t opts = { .settings = s };
	bct_node_t *n = NULL;
	sigset_t set;
	int rc;

	rc = bct_daemon_log(o, s, NULL, &opts.log);
	if (rc)
		return BCT_EXIT_SETTINGS;
	block_signals(&set);
	rc = bct_node_new(&opts, &n);
	if (!rc) {
		printf("listening caller=%u admin=%u peer=%u\n", bct_node_caller_port(n),
		       bct_node_admin_port(n), bct_node_peer_port(n));
		fflush(stdout);
		run(o, n, opts.log, &set);
		bct_node_free(n);
		BCT_LOG(opts.log, BCT_EV_NODE_STOPPED, BCT_STR("version", BCT_VERSION));
	} else {
		fprintf(stderr, "chuted: %s: %s\n", bct_err_name(rc), bct_err_text(rc));
	}
	bct_log_free(opts.log);
	return rc ? BCT_EXIT_START : 0;
}

int main(int argc, char **argv)
{
	return bct_daemon_main("chuted", argc, argv, serve);
}
