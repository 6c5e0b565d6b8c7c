/*
 * one_report.c - the store returns from a copy some seconds old while all gateways are killed: is a
 * window of usage that was reported before reported again with other counts?
 *
 * usage: one_report FOLDER
 *
 * TROUBLE=0 leaves the disruption out. To see what each half does alone: TROUBLE=drill kills
 * nothing, TROUBLE=kill lets the store return with all that it had.
 */
#include "stand.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define GATEWAYS 3
#define CALL_GAP_MS 20	    /* between two requests of clients */
#define WINDOW_MS 5000	    /* report_window_s */
#define COPY_BEFORE_MS 1200 /* before a window's end the copy is made */
#define DRILL_AFTER_MS 4800 /* after it the store goes away: the copy is 6 s old then */
#define AWAY_MS 300
#define REPORTS_FIRST 2	    /* accepted before the disruption */
#define WATCH_MS 30000	    /* after it */
#define REPORTS_MAX 64

typedef struct report {
	uint64_t window;
	json_t *counts;
} report_t;

static struct {
	report_t reports[REPORTS_MAX];
	int n;
	uint64_t fence;
	int broken;
	bool scheduled;
	uint32_t sent, served;
} run;

static void config(st_t *s, char *out, size_t size)
{
	snprintf(out, size,
		 "{\"version\":%" PRIu64
		 ",\"routes\":[{\"name\":\"look\",\"host\":\"h.example\",\"path_prefix\":\"/look/\","
		 "\"kind\":\"safe\",\"timeout_ms\":2000,\"target_latency_ms\":300,\"priority\":1,"
		 "\"service\":\"desk\",\"attempts\":2}],\"services\":[{\"name\":\"desk\"}],"
		 "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1000000,"
		 "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
		 "\"tenants\":[{\"name\":\"acme\",\"api_keys\":[\"key-acme\"]},"
		 "{\"name\":\"bolt\",\"api_keys\":[\"key-bolt\"]}]}",
		 s->version);
}

static void serve(st_req_t *r)
{
	st_answer(r, 200, "", "roster");
	st_req_free(r);
}

static void done(st_call_t *c)
{
	run.served += c->status == 200 && c->complete;
	st_call_free(c);
}

static void send_next(void *ctx)
{
	st_t *s = ctx;

	st_call(s, (int)(run.sent % GATEWAYS), "GET", "/look/1",
		run.sent % 4 ? "key-acme" : "key-bolt", NULL, NULL, 1500, done);
	run.sent++;
	st_after(s, CALL_GAP_MS, send_next, s);
}

static void watch_ends(void *ctx)
{
	st_stop(ctx);
}

static void come_back(void *ctx)
{
	st_t *s = ctx;

	if (strcmp(s->mode, "kill") != 0)
		st_restore(s);
	s->store_down = false;
	st_note(s, "the store is back, era %" PRIu64, s->era);
	st_after(s, WATCH_MS, watch_ends, s);
}

static void drill(void *ctx)
{
	st_t *s = ctx;

	if (!s->trouble) {
		st_after(s, WATCH_MS + AWAY_MS, watch_ends, s);
		return;
	}
	st_note(s, "the store goes away%s",
		strcmp(s->mode, "drill") ? "; all gateways are killed" : "");
	s->store_down = true;
	if (strcmp(s->mode, "drill") != 0)
		st_nodes_kill(s);
	st_after(s, AWAY_MS, come_back, s);
}

static void copy(void *ctx)
{
	st_t *s = ctx;

	st_copy(s);
	st_note(s, "the store's copy is made");
	st_after(s, COPY_BEFORE_MS + DRILL_AFTER_MS, drill, s);
}

/* Schedules the disruption around the next end of a window. */
static void schedule(st_t *s)
{
	int64_t wall = st_wall(), end = (wall / WINDOW_MS + 1) * WINDOW_MS;

	if (end - wall < COPY_BEFORE_MS)
		end += WINDOW_MS;
	run.scheduled = true;
	st_note(s, "the disruption is around the end of window %" PRId64, end / WINDOW_MS - 1);
	st_after(s, end - wall - COPY_BEFORE_MS, copy, s);
}

static void take_report(st_t *s, uint64_t window, json_t *counts, const char *holder)
{
	char *text = json_dumps(counts, JSON_COMPACT | JSON_SORT_KEYS);

	st_note(s, "usage of window %" PRIu64 " accepted from %s: %s", window, holder, text);
	free(text);
	for (int i = 0; i < run.n; i++) {
		report_t *r = &run.reports[i];

		if (r->window != window)
			continue;
		if (!json_equal(r->counts, counts)) {
			run.broken++;
			st_note(s, "ONE is broken: window %" PRIu64
				   " was reported with other counts before",
				window);
		}
		return;
	}
	if (run.n < REPORTS_MAX)
		run.reports[run.n++] = (report_t){ window, json_incref(counts) };
}

static int on_control(st_t *s, const char *path, const char *holder, uint64_t fence,
		      const char *body)
{
	json_t *doc = json_loads(body, 0, NULL);
	json_t *window = json_object_get(doc, "window_number");
	json_t *counts = json_object_get(doc, "counts");
	int status = 400;

	if (!strcmp(path, "/usage") && json_is_integer(window) && json_is_object(counts)) {
		status = fence < run.fence ? 409 : 200;
		if (status == 200) {
			run.fence = fence;
			take_report(s, (uint64_t)json_integer_value(window), counts, holder);
		} else {
			st_note(s, "usage from %s refused: its fence number is lower", holder);
		}
	}
	json_decref(doc);
	if (run.n == REPORTS_FIRST && !run.scheduled)
		schedule(s);
	return status;
}

static void too_long(void *ctx)
{
	st_note(ctx, "too long");
	st_stop(ctx);
}

int main(int argc, char **argv)
{
	static st_t s;
	int code;

	if (argc < 2)
		return 2;
	st_init(&s, argv[1]);
	s.era = 1;
	s.write_config = config;
	s.on_control = on_control;
	s.window_ms = WINDOW_MS;
	st_store_start(&s);
	st_control_start(&s);
	st_write_config(&s);
	st_engine_new(&s, "i-desk-1", "desk", "v1", serve);
	st_engine_new(&s, "i-desk-2", "desk", "v1", serve);
	for (int i = 0; i < GATEWAYS; i++)
		st_node_add(&s);
	st_after(&s, 2500, send_next, &s);
	st_after(&s, 110000, too_long, &s);
	event_base_dispatch(s.base);
	st_note(&s, "%u requests sent, %u served, %d windows reported, ONE broken %d times", run.sent,
		run.served, run.n, run.broken);
	code = run.broken ? 1 : run.n > REPORTS_FIRST && run.served > run.sent / 2 ? 0 : 2;
	return st_end(&s, code);
}
