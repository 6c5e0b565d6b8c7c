/*
 * daemon.h - what the daemons' main programs share: options, settings and the log.
 */
#ifndef BCT_CMD_DAEMON_H
#define BCT_CMD_DAEMON_H

#include "base/event.h"
#include "gen/settings.h"

typedef struct bct_daemon_options {
	char *config;
	char *log_level;
	char *log_format;
	int check;
	int version;
} bct_daemon_options_t;

#define BCT_EXIT_START 1    /* the daemon could not start */
#define BCT_EXIT_SETTINGS 2 /* its options or settings are wrong */

/* Runs the daemon; returns its exit code. */
typedef int (*bct_daemon_serve_fn)(const bct_daemon_options_t *o, const bct_settings_t *s);

/* bct_daemon_main(3): the command line, then the settings, then serve. returns the exit code. */
int bct_daemon_main(const char *name, int argc, char **argv, bct_daemon_serve_fn serve);

/* bct_daemon_settings(3): load and check a settings file; faults are printed. */
int bct_daemon_settings(const char *path, bct_settings_t *out);

/* bct_daemon_log(3): the log as options and settings want it. stream NULL: standard error; any
 * other is never waited for. */
int bct_daemon_log(const bct_daemon_options_t *o, const bct_settings_t *s, FILE *stream,
		   bct_log_t **out);

#endif
