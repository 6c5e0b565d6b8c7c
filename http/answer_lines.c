/*
 * answer_lines.c - which part of an answer a line belongs to, and whether it is sound there.
 */
#include "http/answer_lines.h"
#include "base/err.h"

#include <string.h>

#define INTERIM_DIGIT '1' /* of a status, at STATUS_AT in its line */
#define STATUS_AT 9

static int begin_head(bct_answer_lines_t *a, const char *line, size_t len)
{
	if (bct_http_status_line_check(line, len))
		return -BCT_ECODEC;
	memset(&a->framing, 0, sizeof(a->framing));
	a->in_head = true;
	a->is_final = line[STATUS_AT] != INTERIM_DIGIT;
	return 0;
}

static int end_head(bct_answer_lines_t *a)
{
	a->in_head = false;
	return bct_http_framing_is_clear(&a->framing) ? 0 : -BCT_ECODEC;
}

static int check_line(bct_answer_lines_t *a, const char *line, size_t len_bytes)
{
	bct_http_framing_t trailer = { 0 };

	a->bytes += len_bytes;
	if (a->bytes > BCT_ANSWER_LINES_MAX_BYTES)
		return -BCT_ETOO_LARGE;
	if (len_bytes < 2 || memcmp(line + len_bytes - 2, "\r\n", 2) != 0)
		return -BCT_ECODEC;
	len_bytes -= 2;
	if (a->in_head && !len_bytes)
		return end_head(a);
	if (a->in_head)
		return bct_http_field_check(line, len_bytes, &a->framing);
	if (!a->is_final)
		return begin_head(a, line, len_bytes);
	return len_bytes ? bct_http_field_check(line, len_bytes, &trailer) : 0;
}

int bct_answer_line(bct_answer_lines_t *a, const char *line, size_t len_bytes)
{
	if (!a->err)
		a->err = check_line(a, line, len_bytes);
	return a->err;
}

bool bct_answer_has_head(const bct_answer_lines_t *a)
{
	return a->is_final && !a->in_head && !a->err;
}
