/*
 * chuted.c - the node daemon: options, settings, signals. Everything else is in node/.
 */
#define _GNU_SOURCE
#include "base/err.h"
#include "base/event.h"
#include "gen/settings.h"
#include "node/node.h"

#include <curl/curl.h>
#include <popt.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define EXIT_SETTINGS 2
#define EXIT_START 1
#define MAX_SETTINGS_BYTES (1 << 20)
#define TICK_NS 50000000L

typedef struct options {
	char *config;
	char *log_level;
	char *log_format;
	int check;
	int version;
} options_t;

static int parse_options(int argc, const char **argv, options_t *o)
{
	struct poptOption table[] = {
		{ "config", 'c', POPT_ARG_STRING, &o->config, 0, "settings file", "FILE" },
		{ "check", 0, POPT_ARG_NONE, &o->check, 0, "check the settings and exit", NULL },
		{ "log-level", 0, POPT_ARG_STRING, &o->log_level, 0,
		  "error, warn, info or debug; overrides the settings", "LEVEL" },
		{ "log-format", 0, POPT_ARG_STRING, &o->log_format, 0,
		  "text or json; overrides the settings", "FORMAT" },
		{ "version", 0, POPT_ARG_NONE, &o->version, 0, "print the version and exit", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext ctx = poptGetContext("chuted", argc, argv, table, 0);
	int rc = poptGetNextOpt(ctx);

	if (rc < -1)
		fprintf(stderr, "chuted: %s: %s\n", poptBadOption(ctx, 0), poptStrerror(rc));
	else if (poptPeekArg(ctx))
		fprintf(stderr, "chuted: unexpected argument: %s\n", poptPeekArg(ctx));
	else
		rc = 0;
	poptFreeContext(ctx);
	return rc ? -BCT_EINVAL : 0;
}

/* Rules that a table of types and ranges cannot state. */
static int check_meaning(const bct_settings_t *s, bct_json_err_t *err)
{
	if (!s->vm_name[0])
		return bct_json_fail(err, BCT_ERANGE, "vm.name", "must not be empty");
	if (bct_level_parse(s->log_level) < 0)
		return bct_json_fail(err, BCT_ERANGE, "log.level",
				     "must be error, warn, info or debug");
	if (strcmp(s->log_format, "text") && strcmp(s->log_format, "json"))
		return bct_json_fail(err, BCT_ERANGE, "log.format", "must be text or json");
	if (s->admin_token_hash[0] && strlen(s->admin_token_hash) != 64)
		return bct_json_fail(err, BCT_ERANGE, "admin.token_hash",
				     "must be empty or 64 hexadecimal digits");
	return 0;
}

static int load_settings(const char *path, bct_settings_t *out)
{
	bct_json_err_t err;
	char line[1024];
	json_t *doc = bct_json_load(path, MAX_SETTINGS_BYTES, &err);
	int rc = doc ? 0 : err.err;

	memset(out, 0, sizeof(*out));
	if (!rc)
		rc = bct_settings_fill(bct_settings_table, BCT_SETTINGS_COUNT, doc, out, &err);
	if (!rc)
		rc = check_meaning(out, &err);
	json_decref(doc);
	if (rc) {
		bct_json_err_print(&err, path, line, sizeof(line));
		fprintf(stderr, "event=%d %s\n", BCT_EV_SETTINGS_BAD, line);
	}
	return rc;
}

static int make_log(const options_t *o, const bct_settings_t *s, bct_log_t **out)
{
	const char *format = o->log_format ? o->log_format : s->log_format;
	int level = bct_level_parse(o->log_level ? o->log_level : s->log_level);
	bct_log_opts_t opts = {
		.format = strcmp(format, "json") ? BCT_LOG_TEXT : BCT_LOG_JSON,
		.name = s->vm_name,
	};

	if (level < 0 || (strcmp(format, "json") && strcmp(format, "text"))) {
		fprintf(stderr, "chuted: --log-level or --log-format has an unknown value\n");
		return -BCT_EINVAL;
	}
	opts.level = (bct_level_t)level;
	return bct_log_new(&opts, out);
}

/* SIGHUP: only what is safe to change while running is taken over, today the log level. */
static void reload(const options_t *o, bct_log_t *log)
{
	bct_settings_t *fresh = malloc(sizeof(*fresh));

	if (!fresh || load_settings(o->config, fresh)) {
		BCT_LOG(log, BCT_EV_SETTINGS_KEPT, BCT_STR("file", o->config));
	} else {
		if (!o->log_level)
			bct_log_set_level(log, (bct_level_t)bct_level_parse(fresh->log_level));
		BCT_LOG(log, BCT_EV_SETTINGS_RELOADED, BCT_STR("file", o->config));
	}
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

/* A first SIGTERM or SIGINT drains; a second one stops at once. */
static void run(const options_t *o, bct_node_t *n, bct_log_t *log, const sigset_t *set)
{
	const struct timespec tick = { .tv_nsec = TICK_NS };
	bool stopping = false;

	while (!bct_node_drained(n)) {
		int sig = sigtimedwait(set, NULL, &tick);

		if (sig == SIGHUP)
			reload(o, log);
		if (sig != SIGTERM && sig != SIGINT)
			continue;
		if (stopping)
			return;
		stopping = true;
		bct_node_drain(n);
	}
}

static int serve(const options_t *o, const bct_settings_t *s)
{
	bct_node_opts_t opts = { .settings = s };
	bct_node_t *n = NULL;
	sigset_t set;
	int rc;

	rc = make_log(o, s, &opts.log);
	if (rc)
		return EXIT_SETTINGS;
	block_signals(&set);
	rc = bct_node_new(&opts, &n);
	if (!rc) {
		printf("listening caller=%u admin=%u peer=%u\n", bct_node_caller_port(n),
		       bct_node_admin_port(n), bct_node_peer_port(n));
		fflush(stdout);
		run(o, n, opts.log, &set);
		bct_node_free(n);
		BCT_LOG(opts.log, BCT_EV_NODE_STOPPED, BCT_STR("vm", s->vm_name));
	} else {
		fprintf(stderr, "chuted: %s: %s\n", bct_err_name(rc), bct_err_text(rc));
	}
	bct_log_free(opts.log);
	return rc ? EXIT_START : 0;
}

static void free_options(options_t *o)
{
	free(o->config);
	free(o->log_level);
	free(o->log_format);
}

int main(int argc, char **argv)
{
	options_t o = { 0 };
	bct_settings_t *s;
	int rc = EXIT_SETTINGS;

	if (parse_options(argc, (const char **)argv, &o))
		return EXIT_SETTINGS;
	if (o.version) {
		printf("chuted %s\n", BCT_VERSION);
		free_options(&o);
		return 0;
	}
	if (!o.config) {
		fprintf(stderr, "chuted: --config FILE is required\n");
		return EXIT_SETTINGS;
	}
	s = malloc(sizeof(*s));
	if (!s || sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT))
		rc = EXIT_START;
	else if (!load_settings(o.config, s))
		rc = o.check ? 0 : serve(&o, s);
	free(s);
	free_options(&o);
	return rc;
}
