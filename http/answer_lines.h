/*
 * answer_lines.h - checks the heads of answers that libcurl reads, line by line. libcurl takes
 * lines that are none for fields, or for no fields, so that a body may end elsewhere than its
 * writer meant, and passes on any three digits as a status.
 */
#ifndef BCT_HTTP_ANSWER_LINES_H
#define BCT_HTTP_ANSWER_LINES_H

#include "http/head_lines.h"

#define BCT_ANSWER_LINES_MAX_BYTES (64 * 1024) /* of all heads of an answer, and its trailers */

/* What is known of an answer so far; zero before its first line. */
typedef struct bct_answer_lines {
	bct_http_framing_t framing; /* of the head that is being read */
	size_t bytes;		    /* of all lines */
	bool in_head;		    /* its status line has been read, its empty line not */
	bool is_final;		    /* that of the answer, not of an interim one */
	int err;		    /* of the first line that is not sound; 0: none yet */
} bct_answer_lines_t;

/*
 * bct_answer_line(3): check the next line of an answer: of interim heads, the head, or trailers.
 *
 * line     with its end, as libcurl gives it to a header callback
 * returns  0; -BCT_ECODEC if it is malformed, or the head that it ends leaves the length of the
 * body unclear; -BCT_ETOO_LARGE if there were too many bytes
 */
int bct_answer_line(bct_answer_lines_t *a, const char *line, size_t len_bytes);

/*
 * bct_answer_has_head(3): whether the head of the answer itself has been read up to its empty line,
 * and no line was unsound. If not, there is no status to believe.
 */
bool bct_answer_has_head(const bct_answer_lines_t *a);

#endif
