/*
 * curl_lines.c - a header callback of libcurl.
 */
#include "http/curl_lines.h"

#include <string.h>

static size_t on_header(char *line, size_t size, size_t n, void *ctx)
{
	return bct_answer_line(ctx, line, size * n) ? 0 : size * n;
}

void bct_curl_check_lines(CURL *e, bct_answer_lines_t *lines)
{
	memset(lines, 0, sizeof(*lines));
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, lines);
}

CURLcode bct_curl_result(CURLcode code, const bct_answer_lines_t *lines)
{
	return code == CURLE_OK && !bct_answer_has_head(lines) ? CURLE_PARTIAL_FILE : code;
}
