/*
 * gen_configuration.c - generates docs/CONFIGURATION.md from the tables in coord/conf_fields.h.
 */
#include "coord/conf_fields.h"
#include "coord/conf_json.h"

#include <stdio.h>

#define OUTPUT "docs/CONFIGURATION.md"

static const char head[] =
	"# The configuration document\n\n"
	"Generated from `coord/conf_fields.h` by `make gen`.\n\n"
	"JSON with comments, published with `chutectl publish`, validated with `chutectl "
	"validate`. "
	"`examples/` has\nthree. A key that is not listed here is refused, as are a wrong type, a "
	"value out of range, and a name that\nrefers to nothing. Names have 1 to 47 letters, "
	"digits, `.`, `_` and `-`.\n\n"
	"Further rules: no two upstreams share address and port, no two accounts a token hash; a "
	"class "
	"names one of\n`model` and `service`; a class of a service must have `repeatable`; "
	"`deadline_ms` is 0 or at least `ttft_ms`.\n";

static void begin_section(FILE *f, const char *title)
{
	fprintf(f,
		"\n## %s\n\n| key | type | allowed | default | meaning |\n|---|---|---|---|---|\n",
		title);
}

/* Values of the parameter need of the field tables; NULL: the default is printed. */
#define REQUIRED "required"
#define OPTIONAL NULL

static void number_row(FILE *f, const char *key, long long min, long long max, long long def,
		       const char *need, const char *text)
{
	if (need)
		fprintf(f, "| `%s` | integer | %lld to %lld | %s | %s |\n", key, min, max, need,
			text);
	else
		fprintf(f, "| `%s` | integer | %lld to %lld | %lld | %s |\n", key, min, max, def,
			text);
}

static void other_row(FILE *f, const char *key, const char *type, const char *def, const char *need,
		      const char *text)
{
	fprintf(f, "| `%s` | %s | | %s | %s |\n", key, type, need ? need : def, text);
}

#define ROW_U8(...) number_row(__VA_ARGS__)
#define ROW_U16(...) number_row(__VA_ARGS__)
#define ROW_U32(...) number_row(__VA_ARGS__)
#define ROW_BOOL(f, key, min, max, def, need, text) \
	other_row(f, key, "boolean", (def) ? "true" : "false", need, text)
#define ROW_NAME(f, key, min, max, def, need, text) other_row(f, key, "name", "", need, text)
#define ROW_ADDR(f, key, min, max, def, need, text) other_row(f, key, "address", "", need, text)

/* F: a scalar field, by its type; O: an object or list. */
#define F(type, member, min, max, def, need, text) \
	ROW_##type(f, #member, min, max, def, need, text);
#define O(name, need, text) other_row(f, #name, "see meaning", "", need, text);

int main(void)
{
	FILE *f = fopen(OUTPUT, "w");

	if (!f) {
		perror(OUTPUT);
		return 1;
	}
	fputs(head, f);
	fprintf(f, "At most %d bytes without comments and white space.\n", BCT_CONF_MAX_BYTES);
	begin_section(f, "Document");
	BCT_DOCUMENT_FIELDS(F, O)
	begin_section(f, "timeouts");
	BCT_TIMEOUT_FIELDS(F, O)
	begin_section(f, "models.NAME");
	BCT_MODEL_FIELDS(F, O)
	begin_section(f, "upstreams.NAME");
	BCT_UPSTREAM_FIELDS(F, O)
	begin_section(f, "contracts.ACCOUNT");
	BCT_ACCOUNT_FIELDS(F, O)
	begin_section(f, "contracts.ACCOUNT.limits");
	BCT_LIMIT_FIELDS(F, O)
	begin_section(f, "contracts.ACCOUNT.classes.NAME");
	BCT_CLASS_FIELDS(F, O)
	return fclose(f) ? 1 : 0;
}
