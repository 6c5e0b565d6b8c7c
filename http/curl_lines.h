/*
 * curl_lines.h - ends a transfer of libcurl whose answer has a malformed head, or no whole one.
 */
#ifndef BCT_HTTP_CURL_LINES_H
#define BCT_HTTP_CURL_LINES_H

#include "http/answer_lines.h"

#include <curl/curl.h>

/*
 * bct_curl_check_lines(3): check the heads of the answer to the next transfer, which a malformed
 * line ends with CURLE_WRITE_ERROR. To be called before each transfer.
 *
 * lines  stays in use until the transfer has ended
 */
void bct_curl_check_lines(CURL *e, bct_answer_lines_t *lines);

/*
 * bct_curl_result(3): the result of a transfer whose heads were checked. libcurl reports a success,
 * with the status of the line that came, if the connection ended within the head.
 *
 * returns  code, or CURLE_PARTIAL_FILE in place of CURLE_OK if there is no whole head
 */
CURLcode bct_curl_result(CURLcode code, const bct_answer_lines_t *lines);

#endif
