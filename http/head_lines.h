/*
 * head_lines.h - the strict grammar of the lines of heads. A line that two readers understand
 * differently would let one message pass for two, or a part of a message for a whole one.
 */
#ifndef BCT_HTTP_HEAD_LINES_H
#define BCT_HTTP_HEAD_LINES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* How often one head contains each header that determines framing or routing. */
typedef struct bct_http_framing {
	uint32_t content_lengths;
	uint32_t transfer_encodings;
	uint32_t other_codings; /* of them, that are not just chunked */
	uint32_t hosts;
} bct_http_framing_t;

/*
 * bct_http_status_line_check(3), bct_http_field_check(3): validate one line, without its end. The
 * second counts a header that determines framing or routing.
 *
 * returns  0 or -BCT_ECODEC
 */
int bct_http_status_line_check(const char *line, size_t len_bytes);
int bct_http_field_check(const char *line, size_t len_bytes, bct_http_framing_t *f);

/* bct_http_framing_is_clear(3): whether a head states in one way at most where its body ends. */
bool bct_http_framing_is_clear(const bct_http_framing_t *f);

/* bct_http_head_check(3): validate a raw head, including its final empty line, against the strict
 * grammar. returns 0 or -BCT_ECODEC. */
int bct_http_head_check(const char *head, size_t len_bytes, bool request);

/* bct_http_lines_check(3): as bct_http_head_check(3) of a request, but each line by itself: which
 * headers there are, and how often, is not looked at. */
int bct_http_lines_check(const char *head, size_t len_bytes);

/* bct_http_head_check_hosts(3): the same; hosts_min, hosts_max: Host headers that there may be. */
int bct_http_head_check_hosts(const char *head, size_t len_bytes, bool request, uint32_t hosts_min,
			      uint32_t hosts_max);

#endif
