/*
 * event.c - formats events as text or JSON lines and writes each line with one call.
 */
#include "base/event.h"
#include "base/buf.h"
#include "base/clock.h"
#include "base/err.h"
#include "base/mem.h"

#include <ck_pr.h>
#include <fcntl.h>
#include <inttypes.h>
#include <pthread.h>
#include <string.h>
#include <unistd.h>

#define LINE_MAX_BYTES 4096
#define EVENTS_MAX 1000 /* all event numbers are smaller */

/* Rate limit of one event: its lines in the current second. */
typedef struct quota {
	bct_time_t second; /* of bct_clock_now(3), in s */
	uint32_t lines;	   /* written */
	uint32_t suppressed;
} quota_t;

struct bct_log {
	FILE *stream;
	int level;
	bct_log_format_t format;
	char name[64];
	bool lossy;
	uint32_t lines_per_s;
	pthread_mutex_t lock;	     /* guards the members below; no other lock is taken under it */
	bool partial_line;	     /* the last line was written only in part and not ended yet */
	uint64_t dropped;	     /* lines since the start */
	uint64_t dropped_unreported; /* lines not yet reported by a LOG_DROPPED event */
	quota_t quotas[EVENTS_MAX];  /* by event number */
};

static void make_nonblocking(int fd)
{
	int flags = fcntl(fd, F_GETFL);

	if (flags >= 0)
		fcntl(fd, F_SETFL, flags | O_NONBLOCK);
}

int bct_log_new(const bct_log_opts_t *opts, bct_log_t **out)
{
	bct_log_t *log = bct_alloc(sizeof(*log));

	if (!log)
		return -BCT_ENOMEM;
	log->stream = opts->stream ? opts->stream : stderr;
	log->level = (int)opts->level;
	log->format = opts->format;
	snprintf(log->name, sizeof(log->name), "%s", opts->name ? opts->name : "-");
	log->lossy = opts->lossy;
	log->lines_per_s = opts->lines_per_s;
	pthread_mutex_init(&log->lock, NULL);
	if (log->lossy)
		make_nonblocking(fileno(log->stream));
	*out = log;
	return 0;
}

void bct_log_free(bct_log_t *log)
{
	if (log)
		pthread_mutex_destroy(&log->lock);
	bct_free(log);
}

uint64_t bct_log_dropped(bct_log_t *log)
{
	uint64_t n;

	if (!log)
		return 0;
	pthread_mutex_lock(&log->lock);
	n = log->dropped;
	pthread_mutex_unlock(&log->lock);
	return n;
}

void bct_log_set_level(bct_log_t *log, bct_level_t level)
{
	ck_pr_store_int(&log->level, (int)level);
}

const char *bct_event_name(bct_event_t ev)
{
	switch (ev) {
#define DEF(name, number, level, text) \
	case BCT_EV_##name:            \
		return #name;
		BCT_EVENT_LIST(DEF)
#undef DEF
	}
	return "UNKNOWN";
}

const char *bct_event_text(bct_event_t ev)
{
	switch (ev) {
#define DEF(name, number, level, text) \
	case BCT_EV_##name:            \
		return text;
		BCT_EVENT_LIST(DEF)
#undef DEF
	}
	return "unknown event";
}

bct_level_t bct_event_level(bct_event_t ev)
{
	switch (ev) {
#define DEF(name, number, level, text) \
	case BCT_EV_##name:            \
		return BCT_LEVEL_##level;
		BCT_EVENT_LIST(DEF)
#undef DEF
	}
	return BCT_LEVEL_ERROR;
}

static const char *const level_names[] = { "error", "warn", "info", "debug" };

const char *bct_level_name(bct_level_t level)
{
	return level_names[level];
}

int bct_level_parse(const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(level_names) / sizeof(level_names[0]); i++) {
		if (!strcmp(name, level_names[i]))
			return (int)i;
	}
	return -BCT_EINVAL;
}

/*
 * Escapes quotes, backslashes and control characters, so that text from outside cannot forge a
 * second line or field.
 */
static void put_quoted(bct_buf_t *b, const char *s)
{
	bct_buf_puts(b, "\"");
	for (; *s; s++) {
		unsigned char c = (unsigned char)*s;

		if (c == '"' || c == '\\')
			bct_buf_printf(b, "\\%c", c);
		else if (c < 0x20 || c == 0x7f)
			bct_buf_printf(b, "\\u%04x", c);
		else
			bct_buf_put(b, s, 1);
	}
	bct_buf_puts(b, "\"");
}

static void put_value(bct_buf_t *b, const bct_field_t *f)
{
	switch (f->type) {
	case BCT_FIELD_I64:
		bct_buf_printf(b, "%" PRId64, f->v.i64);
		break;
	case BCT_FIELD_U64:
		bct_buf_printf(b, "%" PRIu64, f->v.u64);
		break;
	case BCT_FIELD_HEX:
		bct_buf_printf(b, "\"%016" PRIx64 "\"", f->v.u64);
		break;
	case BCT_FIELD_STR:
		put_quoted(b, f->v.str ? f->v.str : "");
		break;
	case BCT_FIELD_ERR:
		put_quoted(b, bct_err_name((int)f->v.i64));
		break;
	case BCT_FIELD_END:
		break;
	}
}

static void put_line(bct_buf_t *b, const bct_log_t *log, bct_event_t ev, const bct_field_t *f)
{
	const char *level = bct_level_name(bct_event_level(ev));
	bct_time_t now = bct_clock_wall();

	if (log->format == BCT_LOG_JSON)
		bct_buf_printf(b,
			       "{\"time_ms\":%" PRId64
			       ",\"vm\":\"%s\",\"level\":\"%s\",\"event\":%d,\"name\":\"%s\"",
			       now, log->name, level, (int)ev, bct_event_name(ev));
	else
		bct_buf_printf(b, "time_ms=%" PRId64 " vm=%s level=%s event=%d name=%s", now,
			       log->name, level, (int)ev, bct_event_name(ev));
	for (; f->type != BCT_FIELD_END; f++) {
		bct_buf_printf(b, log->format == BCT_LOG_JSON ? ",\"%s\":" : " %s=", f->key);
		put_value(b, f);
	}
	bct_buf_puts(b, log->format == BCT_LOG_JSON ? "}\n" : "\n");
}

/*
 * Writes a line without waiting for the reader, and counts it as dropped unless all of it was
 * written. After a partial write, the next call first ends the partial line with a newline.
 */
static void write_lossy(bct_log_t *log, const bct_buf_t *line)
{
	int fd = fileno(log->stream);
	ssize_t n;

	if (log->partial_line && write(fd, "\n", 1) == 1)
		log->partial_line = false;
	n = log->partial_line ? -1 : write(fd, line->data, line->len_bytes);
	if (n == (ssize_t)line->len_bytes)
		return;
	log->partial_line = log->partial_line || n > 0;
	log->dropped++;
	log->dropped_unreported++;
}

static void write_line(bct_log_t *log, bct_event_t ev, const bct_field_t *fields)
{
	bct_buf_t line;

	bct_buf_init(&line, LINE_MAX_BYTES);
	put_line(&line, log, ev, fields);
	if (!line.err && log->lossy) {
		write_lossy(log, &line);
	} else if (!line.err) {
		fwrite(line.data, 1, line.len_bytes, log->stream);
		fflush(log->stream);
	}
	bct_buf_free(&line);
}

#define ONE_FIELD(...) ((const bct_field_t[]){ __VA_ARGS__, { BCT_FIELD_END, NULL, { 0 } } })

/*
 * Logs how many lines were dropped since the last report. If the report itself is dropped, the
 * next one includes these lines, and the report does not count as a dropped line.
 */
static void report_dropped(bct_log_t *log)
{
	uint64_t n = log->dropped_unreported;

	if (!n)
		return;
	log->dropped_unreported = 0;
	write_line(log, BCT_EV_LOG_DROPPED, ONE_FIELD(BCT_U64("lines", n)));
	if (!log->dropped_unreported)
		return;
	log->dropped--;
	log->dropped_unreported = n;
}

/*
 * Takes a line from the event's quota of this second; false if none remains. The first call of a
 * new second logs how many lines were suppressed in the last second that had this event.
 */
static bool take_quota(bct_log_t *log, bct_event_t ev)
{
	bct_time_t second = bct_clock_now() / BCT_MS_PER_S;
	quota_t *q = &log->quotas[(uint32_t)ev % EVENTS_MAX];
	uint32_t suppressed = q->suppressed;

	if (!log->lines_per_s)
		return true;
	if (q->second != second) {
		*q = (quota_t){ .second = second };
		if (suppressed)
			write_line(
				log, BCT_EV_LOG_LIMITED,
				ONE_FIELD(BCT_I64("of_event", ev), BCT_U64("lines", suppressed)));
	}
	if (q->lines < log->lines_per_s) {
		q->lines++;
		return true;
	}
	q->suppressed++;
	return false;
}

void bct_log_write(bct_log_t *log, bct_event_t ev, const bct_field_t *fields)
{
	if (!log || (int)bct_event_level(ev) > ck_pr_load_int(&log->level))
		return;
	pthread_mutex_lock(&log->lock);
	report_dropped(log);
	if (take_quota(log, ev))
		write_line(log, ev, fields);
	pthread_mutex_unlock(&log->lock);
}
