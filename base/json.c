/*
 * json.c - parsing with jansson: removes comments, checks limits, reports the position of errors.
 */
#include "base/json.h"
#include "base/buf.h"
#include "base/err.h"
#include "base/mem.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define READ_CHUNK_BYTES 4096

/* The blank_*() functions overwrite a comment at i, and return the index behind it. */
static size_t blank_line_comment(char *text, size_t i, size_t len)
{
	while (i < len && text[i] != '\n')
		text[i++] = ' ';
	return i;
}

static size_t blank_block_comment(char *text, size_t i, size_t len)
{
	size_t end = i + 2;

	while (end + 1 < len && !(text[end] == '*' && text[end + 1] == '/'))
		end++;
	end = end + 1 < len ? end + 2 : len;
	for (; i < end; i++) {
		if (text[i] != '\n')
			text[i] = ' ';
	}
	return i;
}

/* The index behind the string that begins at i; an unterminated string ends with its line. */
static size_t skip_string(const char *text, size_t i, size_t len)
{
	for (i++; i < len && text[i] != '"' && text[i] != '\n'; i++) {
		if (text[i] == '\\')
			i++;
	}
	return i + 1;
}

void bct_json_blank_comments(char *text, size_t len_bytes)
{
	size_t i = 0;

	while (i < len_bytes) {
		if (text[i] == '"')
			i = skip_string(text, i, len_bytes);
		else if (text[i] == '/' && i + 1 < len_bytes && text[i + 1] == '/')
			i = blank_line_comment(text, i, len_bytes);
		else if (text[i] == '/' && i + 1 < len_bytes && text[i + 1] == '*')
			i = blank_block_comment(text, i, len_bytes);
		else
			i++;
	}
}

int bct_json_fail(bct_json_err_t *err, int code, const char *path, const char *fmt, ...)
{
	va_list ap;

	memset(err, 0, sizeof(*err));
	err->err = -code;
	snprintf(err->path, sizeof(err->path), "%s", path);
	va_start(ap, fmt);
	vsnprintf(err->detail, sizeof(err->detail), fmt, ap);
	va_end(ap);
	return -code;
}

/* Enforces BCT_JSON_MAX_DEPTH on all input; the limit that jansson has itself is far larger. */
static bool exceeds_max_depth(const char *text, size_t len)
{
	size_t i = 0;
	int depth = 0;

	while (i < len) {
		if (text[i] == '"') {
			i = skip_string(text, i, len);
			continue;
		}
		if (text[i] == '{' || text[i] == '[')
			depth++;
		else if (text[i] == '}' || text[i] == ']')
			depth--;
		if (depth > BCT_JSON_MAX_DEPTH)
			return true;
		i++;
	}
	return false;
}

static json_t *parse_blanked(const char *text, size_t len, bct_json_err_t *err)
{
	json_error_t jerr;
	json_t *doc;

	if (exceeds_max_depth(text, len)) {
		bct_json_fail(err, BCT_ETOO_DEEP, "", "nested deeper than %d levels",
			      BCT_JSON_MAX_DEPTH);
		return NULL;
	}
	doc = json_loadb(text, len, JSON_REJECT_DUPLICATES, &jerr);
	if (!doc) {
		bct_json_fail(err, BCT_ESYNTAX, "", "%.*s", JSON_ERROR_TEXT_LENGTH - 8, jerr.text);
		err->line = jerr.line;
		err->column = jerr.column;
	}
	return doc;
}

json_t *bct_json_parse(const char *text, size_t len_bytes, size_t max_bytes, bct_json_err_t *err)
{
	char *copy;
	json_t *doc;

	if (len_bytes > max_bytes) {
		bct_json_fail(err, BCT_ETOO_LARGE, "", "%zu bytes, at most %zu are allowed",
			      len_bytes, max_bytes);
		return NULL;
	}
	copy = bct_alloc(len_bytes + 1);
	if (!copy) {
		bct_json_fail(err, BCT_ENOMEM, "", "cannot allocate %zu bytes", len_bytes);
		return NULL;
	}
	memcpy(copy, text, len_bytes);
	bct_json_blank_comments(copy, len_bytes);
	doc = parse_blanked(copy, len_bytes, err);
	bct_free(copy);
	return doc;
}

json_t *bct_json_parse_strict(const char *text, size_t len_bytes, bct_json_err_t *err)
{
	return parse_blanked(text, len_bytes, err);
}

static int read_file(const char *path, size_t max_bytes, bct_buf_t *out)
{
	char chunk[READ_CHUNK_BYTES];
	FILE *f = fopen(path, "rbe");
	size_t n;
	int rc = 0;

	if (!f)
		return -BCT_EIO;
	/* One byte past the limit is enough for bct_json_parse(3) to refuse the text. */
	while (!rc && out->len_bytes <= max_bytes && (n = fread(chunk, 1, sizeof(chunk), f)) > 0)
		rc = bct_buf_put(out, chunk, n);
	if (!rc && ferror(f))
		rc = -BCT_EIO;
	fclose(f);
	return rc;
}

json_t *bct_json_load(const char *path, size_t max_bytes, bct_json_err_t *err)
{
	bct_buf_t text;
	json_t *doc = NULL;
	int rc;

	bct_buf_init(&text, 0);
	rc = read_file(path, max_bytes, &text);
	if (rc)
		bct_json_fail(err, -rc, "", "%s", bct_err_text(rc));
	else
		doc = bct_json_parse(text.data ? text.data : "", text.len_bytes, max_bytes, err);
	bct_buf_free(&text);
	return doc;
}

void bct_json_err_print(const bct_json_err_t *err, const char *file, char *out, size_t out_bytes)
{
	const char *name = bct_err_name(err->err);

	if (err->line > 0)
		snprintf(out, out_bytes, "%s:%d:%d: %s: %s", file, err->line, err->column, name,
			 err->detail);
	else if (err->path[0])
		snprintf(out, out_bytes, "%s: %s: %s: %s", file, err->path, name, err->detail);
	else
		snprintf(out, out_bytes, "%s: %s: %s", file, name, err->detail);
}
