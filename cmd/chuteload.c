/*
 * chuteload.c - load and experiment tool: main(), options and subcommands.
 */
#include "cmd/chuteload.h"

#include "base/err.h"
#include "base/mem.h"

#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EXIT_AUDIT 1
#define EXIT_USAGE 2
#define MAX_HEADERS 8
#define USAGE                                                                              \
	"run SCENARIO | check SCENARIO | report RESULT... | get ADDRESS:PORT PATH | post " \
	"ADDRESS:PORT PATH BODY"

typedef struct options {
	const char *json_path;
	const char *label;
	const char *output;
	const char *seed;
	int duration_ms;
	int direct;
	int node_dies;
	int version;
	load_addresses_t entries, nodes, engines, services;
	const char *headers[MAX_HEADERS + 1]; /* ends with NULL */
	uint32_t n_headers;
} options_t;

enum { OPT_ENTRY = 1, OPT_NODE, OPT_ENGINE, OPT_SERVICE, OPT_HEADER };

static int set_option(options_t *o, int which, const char *text)
{
	load_addresses_t *lists[] = { [OPT_ENTRY] = &o->entries,
				      [OPT_NODE] = &o->nodes,
				      [OPT_ENGINE] = &o->engines,
				      [OPT_SERVICE] = &o->services };

	if (which != OPT_HEADER)
		return load_address_add(lists[which], text);
	if (o->n_headers == MAX_HEADERS)
		return -BCT_EFULL;
	o->headers[o->n_headers++] = text;
	return 0;
}

/*
 * Options override the scenario. --node also drops the scenario's entries, which would be
 * preferred; in direct mode requests go to the engines unless --node is given.
 */
static void apply_options(load_scenario_t *sc, const options_t *o)
{
	if (o->entries.n)
		sc->entries = o->entries;
	if (o->nodes.n) {
		sc->nodes = o->nodes;
		sc->entries.n = 0;
	}
	if (o->engines.n)
		sc->engines = o->engines;
	if (o->services.n)
		sc->services = o->services;
	if (o->seed)
		sc->seed = strtoull(o->seed, NULL, 10);
	if (o->duration_ms > 0)
		sc->duration_ms = (uint32_t)o->duration_ms;
	if (o->label)
		snprintf(sc->label, sizeof(sc->label), "%s", o->label);
	sc->node_dies = sc->node_dies || o->node_dies;
	sc->direct = sc->direct || o->direct;
	if (!sc->direct)
		return;
	sc->entries.n = 0;
	if (o->nodes.n == 0)
		sc->nodes = sc->engines;
}

static int scenario_load(const char *path, load_scenario_t *sc)
{
	bct_json_err_t err = { 0 };
	char text[512];

	if (load_scenario_read(path, sc, &err) == 0)
		return 0;
	bct_json_err_print(&err, path, text, sizeof(text));
	fprintf(stderr, "chuteload: %s\n", text);
	return -err.err;
}

static int write_json(const load_run_t *run, const char *path)
{
	json_t *doc = load_result_json(run);
	int rc = doc ? json_dump_file(doc, path, JSON_INDENT(1)) : -1;

	json_decref(doc);
	if (rc < 0)
		fprintf(stderr, "chuteload: %s: cannot write file\n", path);
	return rc;
}

static int cmd_run(const char *path, const options_t *o)
{
	load_scenario_t *sc = bct_alloc(sizeof(*sc));
	load_run_t run = { .sc = sc, .run_id = (uint32_t)bct_random_id() };
	int rc = EXIT_USAGE;

	if (!sc || scenario_load(path, sc) != 0)
		goto out;
	apply_options(sc, o);
	fprintf(stderr, "chuteload: seed %llu, arrivals for %u ms\n", (unsigned long long)sc->seed,
		sc->duration_ms);
	rc = load_run(&run);
	if (rc < 0) {
		fprintf(stderr, "chuteload: %s: %s\n", bct_err_name(rc), bct_err_text(rc));
		rc = EXIT_USAGE;
		goto out;
	}
	load_audit(&run);
	load_print_table(&run, stdout);
	rc = load_passed(&run) ? 0 : EXIT_AUDIT;
	if (o->json_path && write_json(&run, o->json_path) < 0)
		rc = EXIT_USAGE;
out:
	json_decref(run.engine_stats);
	bct_free(run.outcomes);
	if (sc)
		load_scenario_free(sc);
	bct_free(sc);
	return rc;
}

static int cmd_check(const char *path)
{
	load_scenario_t *sc = bct_alloc(sizeof(*sc));
	int rc = sc && scenario_load(path, sc) == 0 ? 0 : EXIT_USAGE;

	if (sc)
		load_scenario_free(sc);
	bct_free(sc);
	return rc;
}

static int cmd_report(const char **paths, const options_t *o)
{
	FILE *out = o->output ? fopen(o->output, "w") : stdout;
	int rc;

	if (!out) {
		fprintf(stderr, "chuteload: %s: cannot write file\n", o->output);
		return EXIT_USAGE;
	}
	rc = load_report_html(paths, out);
	if (out != stdout && fclose(out) != 0)
		rc = -BCT_EIO;
	if (rc < 0)
		fprintf(stderr, "chuteload: %s: %s\n", bct_err_name(rc), bct_err_text(rc));
	return rc < 0 ? EXIT_USAGE : 0;
}

/* The subcommands get and post; body is NULL for get. The exit status is 0 for HTTP status 2xx. */
static int cmd_http(const char *address, const char *path, const char *body, const options_t *o)
{
	int status = load_http_call(address, path, body, o->headers, stdout);

	if (status < 0)
		fprintf(stderr, "chuteload: %s: %s\n", address, bct_err_text(status));
	else if (status / 100 != 2)
		fprintf(stderr, "chuteload: %s: HTTP status %d\n", address, status);
	return status / 100 == 2 ? 0 : EXIT_AUDIT;
}

static int dispatch(const char **args, const options_t *o)
{
	if (o->version) {
		printf("chuteload %s\n", BCT_VERSION);
		return 0;
	}
	if (args && args[0] && args[1]) {
		if (strcmp(args[0], "run") == 0 && !args[2])
			return cmd_run(args[1], o);
		if (strcmp(args[0], "check") == 0 && !args[2])
			return cmd_check(args[1]);
		if (strcmp(args[0], "report") == 0)
			return cmd_report(args + 1, o);
		if (strcmp(args[0], "get") == 0 && args[2] && !args[3])
			return cmd_http(args[1], args[2], NULL, o);
		if (strcmp(args[0], "post") == 0 && args[2] && args[3] && !args[4])
			return cmd_http(args[1], args[2], args[3], o);
	}
	fprintf(stderr, "usage: chuteload " USAGE "\n");
	return EXIT_USAGE;
}

int main(int argc, const char **argv)
{
	static options_t o;
	const struct poptOption table[] = {
		{ "entry", 0, POPT_ARG_STRING, NULL, OPT_ENTRY,
		  "node to query for addresses (GET /v1/entry)", "ADDRESS:PORT" },
		{ "node", 0, POPT_ARG_STRING, NULL, OPT_NODE,
		  "node to send requests to, without GET /v1/entry", "ADDRESS:PORT" },
		{ "engine", 0, POPT_ARG_STRING, NULL, OPT_ENGINE, "stand-in engine to audit",
		  "ADDRESS:PORT" },
		{ "service", 0, POPT_ARG_STRING, NULL, OPT_SERVICE, "stand-in service to audit",
		  "ADDRESS:PORT" },
		{ "header", 0, POPT_ARG_STRING, NULL, OPT_HEADER, "header line for get and post",
		  "LINE" },
		{ "seed", 0, POPT_ARG_STRING, &o.seed, 0, "seed of arrivals and lengths", "N" },
		{ "duration-ms", 0, POPT_ARG_INT, &o.duration_ms, 0,
		  "time in which requests arrive", "MS" },
		{ "label", 0, POPT_ARG_STRING, &o.label, 0, "name of the run in reports", "NAME" },
		{ "direct", 0, POPT_ARG_NONE, &o.direct, 0, "send to the engines, without a node",
		  NULL },
		{ "node-dies", 0, POPT_ARG_NONE, &o.node_dies, 0,
		  "a node is killed during the run: resend broken streams", NULL },
		{ "json", 0, POPT_ARG_STRING, &o.json_path, 0, "write the result as JSON", "FILE" },
		{ "output", 'o', POPT_ARG_STRING, &o.output, 0,
		  "write the report there, not to standard output", "FILE" },
		{ "version", 0, POPT_ARG_NONE, &o.version, 0, "print the version", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext ctx = poptGetContext("chuteload", argc, argv, table, 0);
	int opt, rc = 0;

	poptSetOtherOptionHelp(ctx, USAGE);
	while (rc == 0 && (opt = poptGetNextOpt(ctx)) > 0) {
		char *text = poptGetOptArg(ctx);

		rc = set_option(&o, opt, text);
		if (opt != OPT_HEADER) /* headers are kept, addresses copied */
			free(text);
	}
	if (rc < 0 || opt < -1) {
		fprintf(stderr, "chuteload: %s: %s\n", poptBadOption(ctx, 0),
			rc < 0 ? bct_err_text(rc) : poptStrerror(opt));
		rc = EXIT_USAGE;
	} else {
		signal(SIGPIPE, SIG_IGN);
		curl_global_init(CURL_GLOBAL_DEFAULT);
		rc = dispatch(poptGetArgs(ctx), &o);
		curl_global_cleanup();
	}
	poptFreeContext(ctx);
	return rc;
}
