/*
 * chutectl.c - entry point of the operators' command-line tool: command table, option parsing and
 * error output.
 */
#include "cmd/chutectl.h"
#include "base/clock.h"

#include <popt.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define DEFAULT_TIMEOUT_MS 10000
#define ERROR_TEXT_BYTES 1024
#define EXPLAIN_ARGS_MAX 1024 /* ID and the log files that follow it */

/* Options of the commands that use the log, and of those that call a node. */
#define LOG_OPTIONS (CTL_OPT_PLATFORM | CTL_OPT_TIMEOUT)
#define NODE_OPTIONS (CTL_OPT_NODE | CTL_OPT_TOKEN_FILE | CTL_OPT_TIMEOUT)
#define NODE_REQUIRED (CTL_OPT_NODE | CTL_OPT_TOKEN_FILE)

static const ctl_command_t commands[] = {
	{ "validate", "FILE", 1, 1, 0, 0, ctl_validate, "validate a configuration document" },
	{ "publish", "FILE", 1, 1, LOG_OPTIONS | CTL_OPT_AUTHOR | CTL_OPT_BASE, CTL_OPT_PLATFORM,
	  ctl_publish, "publish a document as the new configuration" },
	{ "diff", "FILE", 1, 1, LOG_OPTIONS, CTL_OPT_PLATFORM, ctl_diff,
	  "show what publishing a document would change" },
	{ "history", "", 0, 0, LOG_OPTIONS, CTL_OPT_PLATFORM, ctl_history,
	  "list the changes in the log with the status of each" },
	{ "show", "", 0, 0, LOG_OPTIONS | CTL_OPT_REVISION, CTL_OPT_PLATFORM, ctl_show,
	  "print the document of a revision" },
	{ "hash-token", "", 0, 0, 0, 0, ctl_hash_token,
	  "read a bearer token from standard input, print its hash" },
	{ "status", "", 0, 0, NODE_OPTIONS, NODE_REQUIRED, ctl_status,
	  "show targets, shedding, nodes, unhealthy upstreams, revisions" },
	{ "duties", "", 0, 0, CTL_OPT_NODE | CTL_OPT_TIMEOUT, CTL_OPT_NODE, ctl_duties,
	  "show who holds the duties of gateways, usage reports, engines" },
	{ "drain", "", 0, 0, NODE_OPTIONS, NODE_REQUIRED, ctl_drain,
	  "finish the requests in flight, then stop the node" },
	{ "leave", "UPSTREAM", 1, 1, NODE_OPTIONS, NODE_REQUIRED, ctl_leave,
	  "stop sending new work to an upstream" },
	{ "return", "UPSTREAM", 1, 1, NODE_OPTIONS, NODE_REQUIRED, ctl_return,
	  "resume sending new work to an upstream" },
	{ "key", "show|resolve ACCOUNT KEY [ran|not-run]", 3, 4, NODE_OPTIONS | CTL_OPT_FORCE,
	  NODE_REQUIRED, ctl_key, "show or resolve an idempotency key" },
	{ "order", "UPSTREAM TYPE [ARG]", 2, 3, NODE_OPTIONS, NODE_REQUIRED, ctl_order,
	  "send an order: load-model, load-adapter, load-version, set-role" },
	{ "explain", "ID [LOG...]", 1, EXPLAIN_ARGS_MAX, 0, 0, ctl_explain,
	  "explain a request, window, service or engine from logs" },
};
#define N_COMMANDS (sizeof(commands) / sizeof(commands[0]))

static void print_usage(FILE *f)
{
	fprintf(f, "usage: chutectl COMMAND [ARGUMENTS] [OPTIONS]\n\n");
	for (size_t i = 0; i < N_COMMANDS; i++)
		fprintf(f, "  %-10s %-22s %s\n", commands[i].name, commands[i].args,
			commands[i].text);
	fprintf(f, "\noptions: --json --platform URL --node ADDRESS:PORT --token-file FILE\n"
		   "  --author NAME --base N --revision N --timeout-ms N --force --version --help\n"
		   "exit codes: see chutectl(1)\n");
}

ctl_exit_t ctl_fail(const ctl_t *ctl, ctl_exit_t code, const char *fmt, ...)
{
	char text[ERROR_TEXT_BYTES];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	if (ctl->quiet)
		return code;
	if (ctl->json)
		ctl_print_json(json_pack("{s:s, s:i}", "error", text, "exit", (int)code));
	else
		fprintf(stderr, "chutectl: %s\n", text);
	return code;
}

void ctl_print_json(json_t *doc)
{
	if (doc)
		json_dumpf(doc, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);
	putchar('\n');
	json_decref(doc);
}

void ctl_wall_text(bct_time_t wall_ms, char out[CTL_TIME_BYTES])
{
	time_t s = (time_t)(wall_ms / BCT_MS_PER_S);
	struct tm tm;

	gmtime_r(&s, &tm);
	strftime(out, CTL_TIME_BYTES, "%Y-%m-%dT%H:%M:%SZ", &tm);
}

static const ctl_command_t *find_command(const char *name)
{
	for (size_t i = 0; i < N_COMMANDS; i++) {
		if (!strcmp(commands[i].name, name))
			return &commands[i];
	}
	return NULL;
}

static ctl_exit_t check_usage(const ctl_t *ctl, const ctl_command_t *c)
{
	if (ctl->n_args < c->min_args || ctl->n_args > c->max_args)
		return ctl_fail(ctl, CTL_USAGE, "usage: chutectl %s %s", c->name, c->args);
	if (ctl->given & ~c->allowed)
		return ctl_fail(ctl, CTL_USAGE, "%s: an option does not apply to this command",
				c->name);
	if (c->required & ~ctl->given)
		return ctl_fail(ctl, CTL_USAGE, "%s: %s required", c->name,
				c->required & CTL_OPT_PLATFORM	   ? "--platform"
				: c->required & CTL_OPT_TOKEN_FILE ? "--node and --token-file"
								   : "--node");
	if (ctl->timeout_ms <= 0 || ctl->base_revision < 0 || ctl->revision < 0)
		return ctl_fail(ctl, CTL_USAGE,
				"%s: --timeout-ms must be positive, "
				"--base and --revision not negative",
				c->name);
	return CTL_OK;
}

static ctl_exit_t run_command(ctl_t *ctl, const ctl_command_t *c)
{
	ctl_exit_t code = check_usage(ctl, c);

	return code == CTL_OK ? c->run(ctl) : code;
}

static ctl_exit_t parse_and_run(ctl_t *ctl, const ctl_command_t *c, int argc, const char **argv)
{
	const struct poptOption options[] = {
		{ "json", 'j', POPT_ARG_VAL, &ctl->json, 1, "print JSON", NULL },
		{ "platform", 'p', POPT_ARG_STRING, &ctl->platform_url, CTL_OPT_PLATFORM,
		  "base URL of the platform", "URL" },
		{ "node", 'n', POPT_ARG_STRING, &ctl->node, CTL_OPT_NODE,
		  "operator address of a node", "ADDRESS:PORT" },
		{ "token-file", 't', POPT_ARG_STRING, &ctl->token_file, CTL_OPT_TOKEN_FILE,
		  "file with the operators' token", "FILE" },
		{ "author", 'a', POPT_ARG_STRING, &ctl->author, CTL_OPT_AUTHOR,
		  "recorded with a change", "NAME" },
		{ "base", 'b', POPT_ARG_LONGLONG, &ctl->base_revision, CTL_OPT_BASE,
		  "publish only if this revision is the newest", "N" },
		{ "revision", 'r', POPT_ARG_LONGLONG, &ctl->revision, CTL_OPT_REVISION,
		  "revision to show", "N" },
		{ "timeout-ms", 0, POPT_ARG_INT, &ctl->timeout_ms, CTL_OPT_TIMEOUT,
		  "time limit of the command", "N" },
		{ "force", 0, POPT_ARG_NONE, &ctl->force, CTL_OPT_FORCE,
		  "resolve a key even if its owner may still run the request", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext pc = poptGetContext("chutectl", argc, argv, options, 0);
	ctl_exit_t code;
	int bit;

	while ((bit = poptGetNextOpt(pc)) > 0)
		ctl->given |= bit;
	if (bit < -1) {
		code = ctl_fail(ctl, CTL_USAGE, "%s: %s", poptBadOption(pc, 0), poptStrerror(bit));
	} else {
		ctl->args = poptGetArgs(pc);
		while (ctl->args && ctl->args[ctl->n_args])
			ctl->n_args++;
		code = run_command(ctl, c);
	}
	poptFreeContext(pc);
	return code;
}

int main(int argc, const char **argv)
{
	ctl_t ctl = { .timeout_ms = DEFAULT_TIMEOUT_MS };
	const ctl_command_t *c = argc > 1 ? find_command(argv[1]) : NULL;
	ctl_exit_t code;

	if (argc > 1 && !strcmp(argv[1], "--version")) {
		printf("chutectl %s\n", BCT_VERSION);
		return CTL_OK;
	}
	if (!c) {
		bool help = argc > 1 && (!strcmp(argv[1], "--help") || !strcmp(argv[1], "help"));

		print_usage(help ? stdout : stderr);
		return help ? CTL_OK : CTL_USAGE;
	}
	/* popt skips the first element as the program name; here it is the command. */
	code = parse_and_run(&ctl, c, argc - 1, argv + 1);
	free(ctl.platform_url);
	free(ctl.node);
	free(ctl.token_file);
	free(ctl.author);
	return (int)code;
}
