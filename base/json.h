/*
 * json.h - JSON with comments: comments are blanked to spaces, newlines kept, and jansson parses
 * the rest, so that line and column stay those of the file.
 */
#ifndef BCT_BASE_JSON_H
#define BCT_BASE_JSON_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BCT_JSON_PATH_BYTES 192
#define BCT_JSON_MAX_DEPTH 16

/* Where and why a document was refused. line is 0 when the fault is one of meaning. */
typedef struct bct_json_err {
	int err; /* negative error number */
	int line;
	int column;
	char path[BCT_JSON_PATH_BYTES]; /* path.of.key, empty for syntax */
	char detail[256];		/* what is wrong and what is allowed */
} bct_json_err_t;

/* bct_json_blank_comments(3): overwrite comments outside strings with spaces, in place. */
void bct_json_blank_comments(char *text, size_t len_bytes);

/*
 * bct_json_parse(3): parse a document that may hold comments.
 *
 * text       copied before comments are blanked; need not be NUL-terminated
 * max_bytes  longer input is refused
 * err        filled on failure
 * returns    a new reference, or NULL: ETOO_LARGE, ETOO_DEEP, ESYNTAX (also duplicate keys and
 *            bad UTF-8), ENOMEM
 */
json_t *bct_json_parse(const char *text, size_t len_bytes, size_t max_bytes, bct_json_err_t *err);

/* bct_json_parse_strict(3): the same for a message: no comments, no limit but depth. */
json_t *bct_json_parse_strict(const char *text, size_t len_bytes, bct_json_err_t *err);

/* bct_json_load(3): the same for a file; EIO when it cannot be read. */
json_t *bct_json_load(const char *path, size_t max_bytes, bct_json_err_t *err);

/* bct_json_fail(3): fill err with a fault of meaning. returns the negative of code. */
int bct_json_fail(bct_json_err_t *err, int code, const char *path, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

/* bct_json_err_print(3): FILE:LINE:COLUMN or FILE: path.of.key, then name and detail. */
void bct_json_err_print(const bct_json_err_t *err, const char *file, char *out, size_t out_bytes);

#endif
