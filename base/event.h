/*
 * event.h - structured logging: each log line is a numbered event with typed fields.
 *
 * A new event is added as a line of BCT_EVENT_LIST, from which docs/EVENTS.md is generated. Numbers
 * are never reused: 1xx process, 2xx configuration, 3xx membership, 4xx callers, 5xx upstreams, 6xx
 * platform log, 7xx non-repeatable requests, 8xx leases and orders to engines, 9xx policy.
 */
#ifndef BCT_BASE_EVENT_H
#define BCT_BASE_EVENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

typedef enum bct_level {
	BCT_LEVEL_ERROR = 0,
	BCT_LEVEL_WARN,
	BCT_LEVEL_INFO,
	BCT_LEVEL_DEBUG,
} bct_level_t;

#include "base/event_list.h"

typedef enum bct_event {
#define DEF(name, number, level, text) BCT_EV_##name = (number),
	BCT_EVENT_LIST(DEF)
#undef DEF
} bct_event_t;

typedef enum bct_field_type {
	BCT_FIELD_END = 0, /* ends a list of fields */
	BCT_FIELD_I64,
	BCT_FIELD_U64,
	BCT_FIELD_HEX, /* v.u64, printed as 16 hexadecimal digits */
	BCT_FIELD_STR,
	BCT_FIELD_ERR, /* error number in v.i64, printed as its name */
} bct_field_type_t;

typedef struct bct_field {
	bct_field_type_t type;
	const char *key;
	union {
		int64_t i64;
		uint64_t u64;
		const char *str;
	} v;
} bct_field_t;

#define BCT_I64(k, x)               \
	{                           \
		BCT_FIELD_I64, (k), \
		{                   \
			.i64 = (x)  \
		}                   \
	}
#define BCT_U64(k, x)               \
	{                           \
		BCT_FIELD_U64, (k), \
		{                   \
			.u64 = (x)  \
		}                   \
	}
#define BCT_HEX(k, x)               \
	{                           \
		BCT_FIELD_HEX, (k), \
		{                   \
			.u64 = (x)  \
		}                   \
	}
#define BCT_STR(k, x)               \
	{                           \
		BCT_FIELD_STR, (k), \
		{                   \
			.str = (x)  \
		}                   \
	}
#define BCT_ERR(k, x)               \
	{                           \
		BCT_FIELD_ERR, (k), \
		{                   \
			.i64 = (x)  \
		}                   \
	}

typedef enum bct_log_format {
	BCT_LOG_TEXT = 0,
	BCT_LOG_JSON,
} bct_log_format_t;

typedef struct bct_log bct_log_t;

typedef struct bct_log_opts {
	FILE *stream;	   /* NULL: standard error */
	bct_level_t level; /* less severe events are not written */
	bct_log_format_t format;
	const char *name; /* VM name, printed in each line; NULL: "-" */
	/* Never wait for the reader: lines that the stream cannot take immediately are dropped and
	 * counted. The stream's descriptor is made non-blocking. */
	bool lossy;
	uint32_t lines_per_s; /* limit of each event; further lines are only counted; 0: none */
} bct_log_opts_t;

/*
 * bct_log_new(3): create a logger. Any thread may use it; lines of several threads are not mixed.
 *
 * returns  0 or -BCT_ENOMEM
 */
int bct_log_new(const bct_log_opts_t *opts, bct_log_t **out);
void bct_log_free(bct_log_t *log);

/* bct_log_dropped(3): lines dropped since the start by a lossy log; 0 for a NULL log. */
uint64_t bct_log_dropped(bct_log_t *log);

void bct_log_set_level(bct_log_t *log, bct_level_t level);

/* bct_log_write(3): write one event; does nothing for a NULL log. BCT_FIELD_END ends the fields. */
void bct_log_write(bct_log_t *log, bct_event_t ev, const bct_field_t *fields);

/* Use: BCT_LOG(log, BCT_EV_X, BCT_U64("revision", 3), BCT_STR("vm", name)); */
#define BCT_LOG(log, ev, ...)      \
	bct_log_write((log), (ev), \
		      (const bct_field_t[]){ __VA_ARGS__, { BCT_FIELD_END, NULL, { 0 } } })

const char *bct_event_name(bct_event_t ev);
const char *bct_event_text(bct_event_t ev);
bct_level_t bct_event_level(bct_event_t ev);
const char *bct_level_name(bct_level_t level);

/*
 * bct_level_parse(3): the level of a name: "error", "warn", "info" or "debug".
 *
 * returns  a bct_level_t or -BCT_EINVAL
 */
int bct_level_parse(const char *name);

#endif
