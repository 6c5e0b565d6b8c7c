/*
 * head_lines.h - the strict grammar of the lines of heads. A line that two readers understand
 * differently would let one message pass for two, or a part of a message for a whole one.
 */
#ifndef BCT_HTTP_HEAD_LINES_H
#define BCT_HTTP_HEAD_LINES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

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
