/*
 * daemon.c - command line, settings and log of the daemons.
 */
#include "cmd/daemon.h"
#include "base/err.h"
#include "base/hash.h"

#include <curl/curl.h>
#include <popt.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_SETTINGS_BYTES (1 << 20)

static int parse_options(const char *name, int argc, const char **argv, bct_daemon_options_t *o)
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
	poptContext ctx = poptGetContext(name, argc, argv, table, 0);
	int rc = poptGetNextOpt(ctx);

	if (rc < -1)
		fprintf(stderr, "%s: %s: %s\n", name, poptBadOption(ctx, 0), poptStrerror(rc));
	else if (poptPeekArg(ctx))
		fprintf(stderr, "%s: unexpected argument: %s\n", name, poptPeekArg(ctx));
	else
		rc = 0;
	poptFreeContext(ctx);
	return rc ? -BCT_EINVAL : 0;
}

/* Checks rules that the settings table, which has types and ranges, cannot express. */
static int check_values(const bct_settings_t *s, bct_json_err_t *err)
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

int bct_daemon_settings(const char *path, bct_settings_t *out)
{
	bct_json_err_t err;
	char line[1024];
	json_t *doc = bct_json_load(path, MAX_SETTINGS_BYTES, &err);
	int rc = doc ? 0 : err.err;

	memset(out, 0, sizeof(*out));
	if (!rc)
		rc = bct_settings_fill(bct_settings_table, BCT_SETTINGS_COUNT, doc, out, &err);
	if (!rc)
		rc = check_values(out, &err);
	json_decref(doc);
	if (rc) {
		bct_json_err_print(&err, path, line, sizeof(line));
		fprintf(stderr, "event=%d %s\n", BCT_EV_SETTINGS_BAD, line);
	}
	return rc;
}

int bct_daemon_reload(const bct_daemon_options_t *o, bct_settings_t *out)
{
	int rc = bct_daemon_settings(o->config, out);

	if (!rc && o->log_level)
		snprintf(out->log_level, sizeof(out->log_level), "%s", o->log_level);
	return rc;
}

uint64_t bct_daemon_file_digest(const char *path)
{
	FILE *f = fopen(path, "rbe");
	uint64_t digest = 1;
	char chunk[4096];
	size_t n;

	if (!f)
		return 0;
	while ((n = fread(chunk, 1, sizeof(chunk), f)) > 0)
		digest = bct_hash_mix(digest, bct_hash(chunk, n));
	if (ferror(f))
		digest = 0;
	fclose(f);
	return digest;
}

int bct_daemon_log(const bct_daemon_options_t *o, const bct_settings_t *s, FILE *stream,
		   bct_log_t **out)
{
	const char *format = o->log_format ? o->log_format : s->log_format;
	int level = bct_level_parse(o->log_level ? o->log_level : s->log_level);
	bct_log_opts_t opts = {
		.format = strcmp(format, "json") ? BCT_LOG_TEXT : BCT_LOG_JSON,
		.name = s->vm_name,
		.stream = stream,
		.lossy = stream != NULL,
		.lines_per_s = s->log_lines_per_s,
	};

	if (level < 0 || (strcmp(format, "json") && strcmp(format, "text"))) {
		fprintf(stderr, "unknown value of --log-level or --log-format\n");
		return -BCT_EINVAL;
	}
	opts.level = (bct_level_t)level;
	return bct_log_new(&opts, out);
}

static void options_free(bct_daemon_options_t *o)
{
	free(o->config);
	free(o->log_level);
	free(o->log_format);
}

/* Settings are large, so they are on the heap, for as long as the daemon runs. */
static int load_and_serve(bct_daemon_options_t *o, bct_daemon_serve_fn serve)
{
	bct_settings_t *s = malloc(sizeof(*s));
	int rc = BCT_EXIT_SETTINGS;

	o->loaded_digest = bct_daemon_file_digest(o->config);

	if (!s || sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT))
		rc = BCT_EXIT_START;
	else if (!bct_daemon_settings(o->config, s))
		rc = o->check ? 0 : serve(o, s);
	free(s);
	return rc;
}

int bct_daemon_main(const char *name, int argc, char **argv, bct_daemon_serve_fn serve)
{
	bct_daemon_options_t o = { 0 };
	int rc = BCT_EXIT_SETTINGS;

	if (parse_options(name, argc, (const char **)argv, &o))
		return rc;
	if (o.version) {
		printf("%s %s\n", name, BCT_VERSION);
		rc = 0;
	} else if (!o.config) {
		fprintf(stderr, "%s: --config FILE is required\n", name);
	} else {
		rc = load_and_serve(&o, serve);
	}
	options_free(&o);
	return rc;
}
