/*
 * json.h - parsing of JSON with comments. Comments are overwritten with spaces and newlines are
 * kept before jansson parses the text, so that line and column of an error are those of the file.
 */
#ifndef BCT_BASE_JSON_H
#define BCT_BASE_JSON_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BCT_JSON_PATH_BYTES 192
#define BCT_JSON_MAX_DEPTH 16

/* Where and why a document was refused. */
typedef struct bct_json_err {
	int err;    /* negative error number */
	int line;   /* of a syntax error; 0: the document is well-formed but a value is invalid */
	int column; /* likewise */
	char path[BCT_JSON_PATH_BYTES]; /* path.of.key; empty for a syntax error */
	char detail[256];		/* what is wrong and what is allowed */
} bct_json_err_t;

/* bct_json_blank_comments(3): overwrite comments in place with spaces; newlines are kept. */
void bct_json_blank_comments(char *text, size_t len_bytes);

/*
 * bct_json_parse(3): parse a document that may contain comments.
 *
 * text       not changed; need not be NUL-terminated
 * max_bytes  longer input is refused
 * err        filled on failure
 * returns    a new reference, or NULL with err->err -BCT_ETOO_LARGE, -BCT_ETOO_DEEP, -BCT_ESYNTAX
 *            (also for duplicate keys and invalid UTF-8) or -BCT_ENOMEM
 */
json_t *bct_json_parse(const char *text, size_t len_bytes, size_t max_bytes, bct_json_err_t *err);

/* bct_json_parse_strict(3): parse a message: without comments, and only the depth is limited. */
json_t *bct_json_parse_strict(const char *text, size_t len_bytes, bct_json_err_t *err);

/* bct_json_load(3): bct_json_parse(3) for a file; -BCT_EIO if it cannot be read. */
json_t *bct_json_load(const char *path, size_t max_bytes, bct_json_err_t *err);

/*
 * bct_json_fail(3): fill err for an error without a position, such as an invalid value.
 *
 * code     BCT_E* in its positive form
 * path     path.of.key, or empty
 * returns  -code
 */
int bct_json_fail(bct_json_err_t *err, int code, const char *path, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

/* bct_json_err_print(3): format an error: FILE:LINE:COLUMN or FILE: path.of.key, name, detail. */
void bct_json_err_print(const bct_json_err_t *err, const char *file, char *out, size_t out_bytes);

#endif
