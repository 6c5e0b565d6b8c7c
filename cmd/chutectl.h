/*
 * chutectl.h - declarations shared by the commands of chutectl.
 */
#ifndef BCT_CMD_CHUTECTL_H
#define BCT_CMD_CHUTECTL_H

#include "base/buf.h"
#include "base/json.h"
#include "coord/config.h"

#include <stdbool.h>
#include <stdint.h>

/* Exit codes; man/chutectl.1 lists them. */
typedef enum ctl_exit {
	CTL_OK = 0,
	CTL_USAGE = 1,
	CTL_INVALID = 2,     /* the document, token or an input file is invalid */
	CTL_REJECTED = 3,    /* the change is not in force and never will be */
	CTL_UNKNOWN = 4,     /* the change or order may or may not take effect */
	CTL_UNAVAILABLE = 5, /* the platform or the node cannot be reached; nothing was done */
	CTL_REFUSED = 6,     /* the node refused, or there is no such object */
	CTL_INTERNAL = 7,
} ctl_exit_t;

/* Bits of ctl_command_t.allowed and .required and of ctl_t.given. */
enum {
	CTL_OPT_PLATFORM = 1 << 0,
	CTL_OPT_NODE = 1 << 1,
	CTL_OPT_TOKEN_FILE = 1 << 2,
	CTL_OPT_AUTHOR = 1 << 3,
	CTL_OPT_BASE = 1 << 4,
	CTL_OPT_REVISION = 1 << 5,
	CTL_OPT_FORCE = 1 << 6,
	CTL_OPT_TIMEOUT = 1 << 7,
};

typedef struct ctl {
	int json;
	bool quiet; /* ctl_fail() prints nothing */
	char *platform_url;
	char *node; /* ADDRESS:PORT */
	char *token_file;
	char *author;
	long long base_revision; /* --base */
	long long revision;	 /* --revision */
	int timeout_ms;
	int force;
	int given;	   /* CTL_OPT_ bits of the options on the command line */
	const char **args; /* positional arguments, without the command */
	int n_args;
} ctl_t;

typedef struct ctl_command {
	const char *name;
	const char *args; /* arguments in the usage line */
	int min_args;
	int max_args;
	int allowed;  /* CTL_OPT_ bits */
	int required; /* CTL_OPT_ bits */
	ctl_exit_t (*run)(ctl_t *ctl);
	const char *text; /* description in the usage text */
} ctl_command_t;

/* One function per command; each prints its result or error and returns the exit code. */

ctl_exit_t ctl_validate(ctl_t *ctl);
ctl_exit_t ctl_publish(ctl_t *ctl);
ctl_exit_t ctl_diff(ctl_t *ctl);
ctl_exit_t ctl_history(ctl_t *ctl);
ctl_exit_t ctl_show(ctl_t *ctl);
ctl_exit_t ctl_hash_token(ctl_t *ctl);
ctl_exit_t ctl_status(ctl_t *ctl);
ctl_exit_t ctl_drain(ctl_t *ctl);
ctl_exit_t ctl_leave(ctl_t *ctl);
ctl_exit_t ctl_return(ctl_t *ctl);
ctl_exit_t ctl_key(ctl_t *ctl);
ctl_exit_t ctl_order(ctl_t *ctl);
ctl_exit_t ctl_explain(ctl_t *ctl);
ctl_exit_t ctl_duties(ctl_t *ctl);

/*
 * ctl_fail(): print an error, as one line on standard error or with --json as an object on standard
 * output. returns code.
 */
ctl_exit_t ctl_fail(const ctl_t *ctl, ctl_exit_t code, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* ctl_print_json(): print a document to standard output; takes over the reference. */
void ctl_print_json(json_t *doc);

/*
 * ctl_load_document(): read and validate a configuration document.
 *
 * returns  a new reference, or NULL after printing the error
 */
json_t *ctl_load_document(const ctl_t *ctl, const char *file);

/* ctl_print_diff(), ctl_diff_json(): the changes from one document to another, as text or JSON. */
void ctl_print_diff(const json_t *from, const json_t *to);
json_t *ctl_diff_json(const json_t *from, const json_t *to);

/* ctl_wall_text(): format a wall-clock time as ISO 8601 in UTC, to the second. */
#define CTL_TIME_BYTES 32
void ctl_wall_text(bct_time_t wall_ms, char out[CTL_TIME_BYTES]);

/*
 * ctl_call(): make one request to a node's operator HTTP interface.
 *
 * body     JSON to POST; NULL: GET
 * out      JSON of the response, a new reference; NULL if the response has none or on failure
 * returns  CTL_OK, or after printing the error: CTL_UNAVAILABLE only if the call certainly had no
 *          effect, CTL_UNKNOWN if a POST may have had one, CTL_REFUSED, CTL_INVALID if the token
 *          file has no token, CTL_INTERNAL
 */
ctl_exit_t ctl_call(const ctl_t *ctl, const char *path, const json_t *body, json_t **out);

#define CTL_RESPONSE_MAX_BYTES (4 * 1024 * 1024)

/*
 * ctl_fetch_metrics(): get the metrics page of a node, which needs no token.
 *
 * out      buffer that the page is appended to
 * returns  CTL_OK, or after printing the error: CTL_UNAVAILABLE, CTL_REFUSED, CTL_INTERNAL
 */
ctl_exit_t ctl_fetch_metrics(const ctl_t *ctl, bct_buf_t *out);

#endif
