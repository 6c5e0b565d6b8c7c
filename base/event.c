/*
 * event.c - formats events as text or JSON lines and writes each with one call.
 */
#include "base/event.h"
#include "base/buf.h"
#include "base/clock.h"
#include "base/err.h"
#include "base/mem.h"

#include <ck_pr.h>
#include <inttypes.h>
#include <string.h>

#define LINE_MAX_BYTES 4096

struct bct_log {
	FILE *stream;
	int level;
	bct_log_format_t format;
	char name[64];
};

int bct_log_new(const bct_log_opts_t *opts, bct_log_t **out)
{
	bct_log_t *log = bct_alloc(sizeof(*log));

	if (!log)
		return -BCT_ENOMEM;
	log->stream = opts->stream ? opts->stream : stderr;
	log->level = (int)opts->level;
	log->format = opts->format;
	snprintf(log->name, sizeof(log->name), "%s", opts->name ? opts->name : "-");
	*out = log;
	return 0;
}

void bct_log_free(bct_log_t *log)
{
	bct_free(log);
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

/* Text that came from outside must not be able to forge a second line or field. */
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

void bct_log_write(bct_log_t *log, bct_event_t ev, const bct_field_t *fields)
{
	bct_buf_t line;

	if (!log || (int)bct_event_level(ev) > ck_pr_load_int(&log->level))
		return;
	bct_buf_init(&line, LINE_MAX_BYTES);
	put_line(&line, log, ev, fields);
	if (!line.err)
		fwrite(line.data, 1, line.len_bytes, log->stream);
	fflush(log->stream);
	bct_buf_free(&line);
}
