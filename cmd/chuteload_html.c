/*
 * chuteload_html.c - writes result files as one static HTML page: tables, and plots in inline SVG,
 * runs side by side in the order given.
 */
#include "cmd/chuteload.h"

#include "base/err.h"

#include <stdio.h>
#include <string.h>

#define MAX_RESULTS 8
#define RESULT_MAX_BYTES (64u << 20)
/* Sizes in CSS pixels. */
#define PLOT_W 460
#define PLOT_H 180
#define PLOT_LEFT 52
#define PLOT_BOTTOM 24
#define PLOT_TOP 10
#define BAR_H 18
#define BAR_LABEL_W 150
#define BAR_VALUE_W 60

typedef struct page {
	FILE *out;
	json_t *results[MAX_RESULTS];
	uint32_t n;
} page_t;

static const char *const colours[] = { "#1b6ca8", "#c8553d", "#2a9d5c", "#8e5aa8",
				       "#b8860b", "#4f6d7a", "#d1495b", "#3d5a80" };
#define N_COLOURS (sizeof(colours) / sizeof(colours[0]))

static const char *const style =
	"body{font:14px/1.45 system-ui,sans-serif;margin:24px auto;max-width:1040px;color:#222}"
	"h1{font-size:22px}h2{font-size:17px;margin:28px 0 8px}h3{font-size:14px;margin:8px 0}"
	"table{border-collapse:collapse;font-variant-numeric:tabular-nums}"
	"th,td{padding:3px 9px;text-align:right;border-bottom:1px solid #ddd}"
	"th:first-child,td:first-child{text-align:left}"
	".runs{display:flex;flex-wrap:wrap;gap:24px}.run{flex:0 0 auto}"
	".key{display:inline-block;margin-right:14px}.key i{display:inline-block;width:10px;"
	"height:10px;margin-right:5px}.bad{color:#b00020;font-weight:600}"
	"svg text{font:11px system-ui,sans-serif;fill:#444}";

static void put_escaped(FILE *out, const char *s)
{
	for (; s && *s; s++) {
		if (*s == '<')
			fputs("&lt;", out);
		else if (*s == '>')
			fputs("&gt;", out);
		else if (*s == '&')
			fputs("&amp;", out);
		else if (*s == '"')
			fputs("&quot;", out);
		else
			fputc(*s, out);
	}
}

/* The number at key; 0 when absent. */
static double number(const json_t *o, const char *key)
{
	return json_number_value(json_object_get(o, key));
}

/* The string at key; "" when absent. */
static const char *text(const json_t *o, const char *key)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s ? s : "";
}

static json_t *class_at(const json_t *result, size_t i)
{
	return json_array_get(json_object_get(result, "classes"), i);
}

static size_t class_count(const json_t *result)
{
	return json_array_size(json_object_get(result, "classes"));
}

/* A class without eligible requests counts as met. */
static double percent_met(const json_t *cls)
{
	double eligible = number(cls, "judged");

	return eligible > 0 ? 100.0 * number(cls, "met") / eligible : 100.0;
}

/* The sum of all audit counters. */
static double faults(const json_t *cls)
{
	const json_t *a = json_object_get(cls, "audit");

	return number(a, "lost") + number(a, "doubled") + number(a, "misreported") +
	       number(a, "crossed") + number(a, "disordered") + number(a, "cut");
}

static void run_title(const page_t *p, const json_t *result)
{
	fputs("<h3>", p->out);
	put_escaped(p->out, *text(result, "label") ? text(result, "label") : "run");
	fprintf(p->out, " <small>seed %.0f, %.1f s, audit %s</small></h3>\n",
		number(result, "seed"), number(result, "duration_ms") / 1000.0,
		json_is_true(json_object_get(result, "passed")) ? "passed"
								: "<span class=bad>FAILED</span>");
}

static void table_row(const page_t *p, const json_t *c)
{
	const json_t *ttft = json_object_get(c, "ttft"), *gap = json_object_get(c, "gap");

	fputs("<tr><td>", p->out);
	put_escaped(p->out, text(c, "name"));
	fprintf(p->out,
		"<td>%.0f<td>%.0f<td>%.0f<td>%.1f<td>%.0f<td>%.0f<td>%.0f<td>%.1f<td>%.1f<td>%.1f"
		"<td%s>%.0f\n",
		number(c, "tier"), number(c, "requests"), number(c, "whole"), percent_met(c),
		number(c, "refused"), number(c, "unknown"), number(c, "goodput_tokens"),
		number(ttft, "p50_ms"), number(ttft, "p95_ms"), number(gap, "p95_ms"),
		faults(c) > 0 ? " class=bad" : "", faults(c));
}

static void section_tables(const page_t *p)
{
	fputs("<h2>Classes</h2>\n", p->out);
	for (uint32_t r = 0; r < p->n; r++) {
		run_title(p, p->results[r]);
		fputs("<table><tr><th>class<th>tier<th>requests<th>whole<th>in target %<th>refused"
		      "<th>in doubt<th>goodput tokens<th>TTFT p50 ms<th>p95 ms<th>gap p95 ms"
		      "<th>audit faults\n",
		      p->out);
		for (size_t i = 0; i < class_count(p->results[r]); i++)
			table_row(p, class_at(p->results[r], i));
		fputs("</table>\n", p->out);
	}
}

static void legend(const page_t *p, const json_t *result)
{
	fputs("<div>", p->out);
	for (size_t i = 0; i < class_count(result); i++) {
		fprintf(p->out, "<span class=key><i style=\"background:%s\"></i>",
			colours[i % N_COLOURS]);
		put_escaped(p->out, text(class_at(result, i), "name"));
		fputs("</span>", p->out);
	}
	fputs("</div>\n", p->out);
}

/* Opens an SVG with a grid of 0 to 100 % over the seconds of the run. */
static void plot_begin(const page_t *p, double seconds)
{
	fprintf(p->out, "<svg width=%d height=%d role=img>\n", PLOT_W, PLOT_H);
	for (int pct = 0; pct <= 100; pct += 25) {
		double y = PLOT_TOP + (PLOT_H - PLOT_TOP - PLOT_BOTTOM) * (100 - pct) / 100.0;

		fprintf(p->out,
			"<line x1=%d x2=%d y1=%.1f y2=%.1f stroke=\"#e2e2e2\"/>"
			"<text x=%d y=%.1f text-anchor=end>%d%%</text>\n",
			PLOT_LEFT, PLOT_W, y, y, PLOT_LEFT - 6, y + 4, pct);
	}
	fprintf(p->out, "<text x=%d y=%d>0 s</text><text x=%d y=%d text-anchor=end>%.0f s</text>\n",
		PLOT_LEFT, PLOT_H - 6, PLOT_W - 2, PLOT_H - 6, seconds);
}

/* Attainment by second. A second without requests has none, so it interrupts the line. */
static void plot_line(const page_t *p, const json_t *cls, const char *colour)
{
	const json_t *seconds = json_object_get(cls, "seconds");
	size_t n = json_array_size(seconds);
	double w = n > 1 ? (double)(PLOT_W - PLOT_LEFT - 4) / (double)(n - 1) : 0;
	bool open = false; /* the line continues from the previous second */

	fprintf(p->out, "<path fill=none stroke-width=2 stroke=\"%s\" d=\"", colour);
	for (size_t s = 0; s < n; s++) {
		const json_t *one = json_array_get(seconds, s);
		double requests = json_number_value(json_array_get(one, 0));
		double met = json_number_value(json_array_get(one, 1));
		double share = requests > 0 ? met / requests : 0;

		if (requests > 0)
			fprintf(p->out, "%c%.1f %.1f", open ? 'L' : 'M', PLOT_LEFT + w * (double)s,
				PLOT_TOP + (PLOT_H - PLOT_TOP - PLOT_BOTTOM) * (1.0 - share));
		open = requests > 0;
	}
	fputs("\"/>\n", p->out);
}

static void section_attainment(const page_t *p)
{
	fputs("<h2>In target, by second of arrival</h2>\n<div class=runs>\n", p->out);
	for (uint32_t r = 0; r < p->n; r++) {
		const json_t *res = p->results[r];

		fputs("<div class=run>", p->out);
		run_title(p, res);
		plot_begin(p, number(res, "duration_ms") / 1000.0);
		for (size_t i = 0; i < class_count(res); i++)
			plot_line(p, class_at(res, i), colours[i % N_COLOURS]);
		fputs("</svg>\n", p->out);
		legend(p, res);
		fputs("</div>\n", p->out);
	}
	fputs("</div>\n", p->out);
}

/* One row of a bar chart: a label, a bar scaled to max, and the value. */
static void bar(const page_t *p, uint32_t row, const char *label, double value, double max,
		const char *colour)
{
	double max_width = PLOT_W - BAR_LABEL_W - BAR_VALUE_W;
	double w = max > 0 ? max_width * value / max : 0;
	uint32_t y = row * BAR_H;

	fprintf(p->out, "<text x=%d y=%u text-anchor=end>", BAR_LABEL_W - 6, y + 13);
	put_escaped(p->out, label);
	fprintf(p->out,
		"</text><rect x=%d y=%u width=%.1f height=%d fill=\"%s\"/>"
		"<text x=%.1f y=%u>%.0f</text>\n",
		BAR_LABEL_W, y + 2, w, BAR_H - 5, colour, BAR_LABEL_W + w + 5, y + 13, value);
}

static void bars_begin(const page_t *p, size_t rows)
{
	fprintf(p->out, "<svg width=%d height=%zu role=img>\n", PLOT_W,
		(rows ? rows : 1) * BAR_H + 2);
}

static const char *const percentiles[] = { "p50_ms", "p90_ms", "p95_ms", "p99_ms" };
#define N_PERCENTILES (sizeof(percentiles) / sizeof(percentiles[0]))

/* The largest p99 of all runs: one scale for all charts makes runs comparable by eye. */
static double ttft_max(const page_t *p)
{
	double max = 0;

	for (uint32_t r = 0; r < p->n; r++) {
		for (size_t i = 0; i < class_count(p->results[r]); i++) {
			double v = number(json_object_get(class_at(p->results[r], i), "ttft"),
					  "p99_ms");

			max = v > max ? v : max;
		}
	}
	return max;
}

static void section_ttft(const page_t *p)
{
	double max = ttft_max(p);
	char label[LOAD_NAME_BYTES + 16];

	fputs("<h2>Time to first token, ms</h2>\n<div class=runs>\n", p->out);
	for (uint32_t r = 0; r < p->n; r++) {
		size_t n = class_count(p->results[r]);
		uint32_t row = 0;

		fputs("<div class=run>", p->out);
		run_title(p, p->results[r]);
		bars_begin(p, n * N_PERCENTILES);
		for (size_t i = 0; i < n * N_PERCENTILES; i++) {
			const json_t *c = class_at(p->results[r], i / N_PERCENTILES);
			const char *which = percentiles[i % N_PERCENTILES];

			snprintf(label, sizeof(label), "%s %.3s", text(c, "name"), which);
			bar(p, row++, label, number(json_object_get(c, "ttft"), which), max,
			    colours[i / N_PERCENTILES % N_COLOURS]);
		}
		fputs("</svg></div>\n", p->out);
	}
	fputs("</div>\n", p->out);
}

/* Rows of the chart of reasons: one for each reason of each class. */
static size_t reason_count(const json_t *result)
{
	size_t rows = 0;

	for (size_t i = 0; i < class_count(result); i++)
		rows += json_object_size(json_object_get(class_at(result, i), "reasons"));
	return rows;
}

/* The largest count of a reason, over all runs: the common scale. */
static double reason_max(const page_t *p)
{
	double max = 0;

	for (uint32_t r = 0; r < p->n; r++) {
		for (size_t i = 0; i < class_count(p->results[r]); i++) {
			json_t *o = json_object_get(class_at(p->results[r], i), "reasons");

			for (void *it = json_object_iter(o); it;
			     it = json_object_iter_next(o, it)) {
				double v = json_number_value(json_object_iter_value(it));

				max = v > max ? v : max;
			}
		}
	}
	return max;
}

static void reason_bars(const page_t *p, const json_t *result, double max)
{
	char label[2 * LOAD_NAME_BYTES];
	uint32_t row = 0;

	bars_begin(p, reason_count(result));
	for (size_t i = 0; i < class_count(result); i++) {
		const json_t *c = class_at(result, i);
		json_t *o = json_object_get(c, "reasons");

		for (void *it = json_object_iter(o); it; it = json_object_iter_next(o, it)) {
			snprintf(label, sizeof(label), "%s %s", text(c, "name"),
				 json_object_iter_key(it));
			bar(p, row++, label, json_number_value(json_object_iter_value(it)), max,
			    colours[i % N_COLOURS]);
		}
	}
	fputs("</svg>\n", p->out);
	if (row == 0)
		fputs("<p>none</p>\n", p->out);
}

static void section_reasons(const page_t *p)
{
	double max = reason_max(p);

	fputs("<h2>Refused or in doubt, by reason</h2>\n<div class=runs>\n", p->out);
	for (uint32_t r = 0; r < p->n; r++) {
		fputs("<div class=run>", p->out);
		run_title(p, p->results[r]);
		reason_bars(p, p->results[r], max);
		fputs("</div>\n", p->out);
	}
	fputs("</div>\n", p->out);
}

/* An array with an element for each tier; NULL when the run has no engine counters. */
static const json_t *waste(const json_t *result)
{
	return json_object_get(json_object_get(result, "engines"), "abandoned_tokens_by_tier");
}

static void section_waste(const page_t *p)
{
	char label[32];
	double max = 0;

	for (uint32_t r = 0; r < p->n; r++) {
		for (size_t t = 0; t < json_array_size(waste(p->results[r])); t++) {
			double v = json_number_value(json_array_get(waste(p->results[r]), t));

			max = v > max ? v : max;
		}
	}
	fputs("<h2>Wasted tokens: generated, then abandoned</h2>\n<div class=runs>\n", p->out);
	for (uint32_t r = 0; r < p->n; r++) {
		const json_t *w = waste(p->results[r]);

		fputs("<div class=run>", p->out);
		run_title(p, p->results[r]);
		bars_begin(p, json_array_size(w));
		for (size_t t = 0; t < json_array_size(w); t++) {
			snprintf(label, sizeof(label), "tier %zu", t + 1);
			bar(p, (uint32_t)t, label, json_number_value(json_array_get(w, t)), max,
			    colours[t % N_COLOURS]);
		}
		fprintf(p->out, "</svg><p>%.0f of %.0f tokens generated</p></div>\n",
			number(json_object_get(p->results[r], "engines"), "abandoned_tokens"),
			number(json_object_get(p->results[r], "engines"), "tokens"));
	}
	fputs("</div>\n", p->out);
}

/* Loads all files or reports the first that fails on standard error. */
static int results_load(page_t *p, const char **paths)
{
	bct_json_err_t err = { 0 };
	char line[512];

	for (; *paths; paths++) {
		if (p->n == MAX_RESULTS)
			return -BCT_EFULL;
		p->results[p->n] = bct_json_load(*paths, RESULT_MAX_BYTES, &err);
		if (!p->results[p->n]) {
			bct_json_err_print(&err, *paths, line, sizeof(line));
			fprintf(stderr, "chuteload: %s\n", line);
			return err.err;
		}
		p->n++;
	}
	return 0;
}

int load_report_html(const char **result_paths, FILE *out)
{
	page_t p = { .out = out };
	int rc = results_load(&p, result_paths);

	if (rc < 0)
		goto out;
	fprintf(out,
		"<!doctype html>\n<html lang=en><meta charset=utf-8><title>chuteload "
		"report</title>\n"
		"<style>%s</style>\n<h1>Load report</h1>\n",
		style);
	section_tables(&p);
	section_attainment(&p);
	section_ttft(&p);
	section_reasons(&p);
	section_waste(&p);
	fputs("</html>\n", out);
	if (ferror(out))
		rc = -BCT_EIO;
out:
	for (uint32_t i = 0; i < p.n; i++)
		json_decref(p.results[i]);
	return rc;
}
