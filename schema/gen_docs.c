/*
 * gen_docs.c - generates docs/EVENTS.md and docs/ERRORS.md from the tables in base/ and policy/.
 */
#include "base/err.h"
#include "base/event.h"
#include "policy/reason.h"

#include <stdio.h>

static void write_events(FILE *f)
{
	fputs("# Log events\n\nGenerated from `base/event_list.h` by `make gen`. Numbers are never "
	      "reused.\n\n| number | name | level | meaning |\n|---|---|---|---|\n",
	      f);
#define DEF(name, number, level, text)                                                          \
	fprintf(f, "| %d | %s | %s | %s |\n", number, #name, bct_level_name(BCT_LEVEL_##level), \
		text);
	BCT_EVENT_LIST(DEF)
#undef DEF
}

static void write_refusals(FILE *f)
{
	fputs("\n## Refusals\n\nThe `reason` of a refused request, its HTTP status, and the label "
	      "of "
	      "`bct_refused_total`.\n\n| reason | status | meaning |\n|---|---|---|\n",
	      f);
#define DEF(name, wire, http_status, text) \
	fprintf(f, "| `%s` | %d | %s |\n", wire, http_status, text);
	BCT_REFUSE_LIST(DEF)
#undef DEF
}

static void write_retries(FILE *f)
{
	fputs("\n## Retries\n\nWhy a request was given to an upstream once more: the label of "
	      "`bct_retried_total`.\n\n| reason | meaning |\n|---|---|\n",
	      f);
#define DEF(name, wire, text) fprintf(f, "| `%s` | %s |\n", wire, text);
	BCT_RETRY_LIST(DEF)
#undef DEF
}

static void write_terminations(FILE *f)
{
	fputs("\n## Termination codes\n\nTwo letters on event 400 and on "
	      "`bct_terminated_total`: who ended the request, and where it was.\n\n"
	      "| first | who |\n|---|---|\n",
	      f);
#define DEF(name, letter, text) fprintf(f, "| `%c` | %s |\n", letter, text);
	BCT_ENDED_BY_LIST(DEF)
	fputs("\n| second | where |\n|---|---|\n", f);
	BCT_STATE_LIST(DEF)
#undef DEF
}

static void write_errors(FILE *f)
{
	fputs("# Errors\n\nGenerated from `base/err.h` and `policy/reason.h` by `make gen`.\n\n"
	      "## Library errors\n\nReturned as negative numbers.\n\n"
	      "| name | number | meaning |\n|---|---|---|\n",
	      f);
#define DEF(name, code, text) fprintf(f, "| E%s | -%d | %s |\n", #name, code, text);
	BCT_ERR_LIST(DEF)
#undef DEF
	write_refusals(f);
	write_retries(f);
	write_terminations(f);
}

static int write_file(const char *path, void (*writer)(FILE *))
{
	FILE *f = fopen(path, "w");

	if (!f)
		return -BCT_EIO;
	writer(f);
	return fclose(f) ? -BCT_EIO : 0;
}

int main(void)
{
	int rc = write_file("docs/EVENTS.md", write_events);

	if (!rc)
		rc = write_file("docs/ERRORS.md", write_errors);
	return rc ? 1 : 0;
}
