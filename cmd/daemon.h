/*
 * daemon.h - command line, settings and log, shared by the main programs of the daemons.
 */
#ifndef BCT_CMD_DAEMON_H
#define BCT_CMD_DAEMON_H

#include "base/event.h"
#include "gen/settings.h"

typedef struct bct_daemon_options {
	char *config;	  /* path of the settings file */
	char *log_level;  /* overrides the settings; NULL: not given */
	char *log_format; /* overrides the settings; NULL: not given */
	int check;	  /* validate the settings and exit */
	int version;	  /* print the version and exit */
	/* Digest of the settings file before it was loaded, or 0; see bct_daemon_file_digest(3). */
	uint64_t loaded_digest;
} bct_daemon_options_t;

#define BCT_EXIT_START 1    /* the daemon could not start */
#define BCT_EXIT_SETTINGS 2 /* invalid options or settings */

/* Runs the daemon with validated settings; returns its exit code. */
typedef int (*bct_daemon_serve_fn)(const bct_daemon_options_t *o, const bct_settings_t *s);

/*
 * bct_daemon_main(3): parse the command line, load the settings and call serve. returns the exit
 * code of the process.
 */
int bct_daemon_main(const char *name, int argc, char **argv, bct_daemon_serve_fn serve);

/*
 * bct_daemon_settings(3): load and validate a settings file. An error is printed to standard error.
 *
 * returns  0 or a negative error
 */
int bct_daemon_settings(const char *path, bct_settings_t *out);

/*
 * bct_daemon_reload(3): load the settings file again. The log level of the command line overrides
 * that of the file.
 *
 * returns  0 or a negative error
 */
int bct_daemon_reload(const bct_daemon_options_t *o, bct_settings_t *out);

/*
 * bct_daemon_file_digest(3): digest of a file's contents, to notice that they changed.
 *
 * returns  0 if it cannot be read
 */
uint64_t bct_daemon_file_digest(const char *path);

/*
 * bct_daemon_log(3): open the log with the level and format of the options, else of the settings.
 *
 * stream   NULL: standard error, written blocking; any other stream is written without waiting, and
 *          lines that it does not accept at once are dropped
 * returns  0, -BCT_EINVAL for an unknown level or format, or -BCT_ENOMEM
 */
int bct_daemon_log(const bct_daemon_options_t *o, const bct_settings_t *s, FILE *stream,
		   bct_log_t **out);

#endif
