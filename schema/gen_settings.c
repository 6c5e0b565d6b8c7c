/*
 * gen_settings.c - generates gen/settings.h, gen/settings.c and docs/SETTINGS.md from
 * schema/settings.json.
 */
#include "base/err.h"
#include "base/json.h"

#include <stdio.h>
#include <string.h>

#define MAX_SCHEMA_BYTES (1 << 20)

static const char *str(json_t *row, const char *key)
{
	const char *s = json_string_value(json_object_get(row, key));

	return s ? s : "";
}

static long long num(json_t *row, const char *key)
{
	return json_integer_value(json_object_get(row, key));
}

/* The struct member of a setting: its path with '_' for '.'. */
static void field_name(json_t *row, char *out, size_t size)
{
	snprintf(out, size, "%s", str(row, "path"));
	for (; *out; out++) {
		if (*out == '.')
			*out = '_';
	}
}

static void write_field(FILE *f, json_t *row)
{
	const char *type = str(row, "type");
	char name[128];

	field_name(row, name, sizeof(name));
	if (!strcmp(type, "string"))
		fprintf(f, "\tchar %s[%lld];\n", name, num(row, "size"));
	else if (!strcmp(type, "u32") || !strcmp(type, "number"))
		fprintf(f, "\tuint32_t %s;\n", name);
	else if (!strcmp(type, "bool"))
		fprintf(f, "\tbool %s;\n", name);
	else
		fprintf(f, "\tchar %s[%lld][%lld];\n\tuint32_t n_%s;\n", name, num(row, "max"),
			num(row, "size"), name);
}

static void write_header(FILE *f, json_t *rows)
{
	json_t *row;
	size_t i;

	fputs("/*\n * settings.h - generated from schema/settings.json; do not edit.\n */\n", f);
	fputs("#ifndef BCT_GEN_SETTINGS_H\n#define BCT_GEN_SETTINGS_H\n\n", f);
	fputs("#include \"base/settings.h\"\n\ntypedef struct bct_settings {\n", f);
	json_array_foreach(rows, i, row)
	{
		write_field(f, row);
	}
	fputs("} bct_settings_t;\n\nextern const bct_setting_desc_t bct_settings_table[];\n", f);
	fprintf(f, "#define BCT_SETTINGS_COUNT %zu\n\n#endif\n", json_array_size(rows));
}

static const char *type_macro(const char *type)
{
	if (!strcmp(type, "string"))
		return "STRING";
	if (!strcmp(type, "u32"))
		return "U32";
	if (!strcmp(type, "number"))
		return "NUMBER";
	return strcmp(type, "bool") ? "LIST" : "BOOL";
}

static void write_row(FILE *f, json_t *row)
{
	const char *type = str(row, "type");
	json_t *def = json_object_get(row, "default");
	bool list = !strcmp(type, "list");
	char name[128];

	field_name(row, name, sizeof(name));
	fprintf(f, "\t{ \"%s\", BCT_SETTING_%s, offsetof(bct_settings_t, %s), ", str(row, "path"),
		type_macro(type), name);
	if (list)
		fprintf(f, "offsetof(bct_settings_t, n_%s), ", name);
	else
		fputs("0, ", f);
	fprintf(f, "%lld, %lld, %lldU, %s, ", num(row, "size"), num(row, "min"), num(row, "max"),
		def || list ? "false" : "true");
	if (def)
		fprintf(f, "\"%s\" },\n", json_string_value(def));
	else
		fputs("NULL },\n", f);
}

static void write_source(FILE *f, json_t *rows)
{
	json_t *row;
	size_t i;

	fputs("/*\n * settings.c - generated from schema/settings.json; do not edit.\n */\n", f);
	fputs("#include \"gen/settings.h\"\n\n", f);
	fputs("const bct_setting_desc_t bct_settings_table[] = {\n", f);
	json_array_foreach(rows, i, row)
	{
		write_row(f, row);
	}
	fputs("};\n", f);
}

static void write_allowed(FILE *f, json_t *row)
{
	const char *type = str(row, "type");

	if (!strcmp(type, "u32") || !strcmp(type, "number"))
		fprintf(f, "%lld to %lld", num(row, "min"), num(row, "max"));
	else if (!strcmp(type, "string"))
		fprintf(f, "under %lld bytes", num(row, "size"));
	else if (!strcmp(type, "list"))
		fprintf(f, "up to %lld strings", num(row, "max"));
	else
		fputs("true, false", f);
}

static void write_page(FILE *f, json_t *rows)
{
	json_t *row, *def;
	size_t i;

	fputs("# Settings of chuted\n\nGenerated from `schema/settings.json` by `make gen`. The "
	      "file "
	      "is JSON with comments; a name `a.b` stands as\n`{\"a\": {\"b\": ...}}`. `chuted "
	      "--check "
	      "--config FILE` checks a file and starts nothing.\n\n"
	      "| setting | type | unit | allowed | default | meaning "
	      "|\n|---|---|---|---|---|---|\n",
	      f);
	json_array_foreach(rows, i, row)
	{
		def = json_object_get(row, "default");
		fprintf(f, "| `%s` | %s | %s | ", str(row, "path"), str(row, "type"),
			str(row, "unit"));
		write_allowed(f, row);
		if (def)
			fprintf(f, " | `%s` | %s |\n", json_string_value(def), str(row, "doc"));
		else
			fprintf(f, " | %s | %s |\n",
				strcmp(str(row, "type"), "list") ? "required" : "empty",
				str(row, "doc"));
	}
}

static int write_file(const char *path, json_t *rows, void (*writer)(FILE *, json_t *))
{
	FILE *f = fopen(path, "w");

	if (!f)
		return -BCT_EIO;
	writer(f, rows);
	return fclose(f) ? -BCT_EIO : 0;
}

int main(void)
{
	bct_json_err_t err;
	char line[512];
	json_t *rows = bct_json_load("schema/settings.json", MAX_SCHEMA_BYTES, &err);
	int rc;

	if (!rows) {
		bct_json_err_print(&err, "schema/settings.json", line, sizeof(line));
		fprintf(stderr, "%s\n", line);
		return 2;
	}
	rc = write_file("gen/settings.h", rows, write_header);
	if (!rc)
		rc = write_file("gen/settings.c", rows, write_source);
	if (!rc)
		rc = write_file("docs/SETTINGS.md", rows, write_page);
	json_decref(rows);
	return rc ? 1 : 0;
}
