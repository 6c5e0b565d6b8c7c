/*
 * chuteload_http.c - a single HTTP call, for scripts on machines without an HTTP client.
 */
#include "cmd/chuteload.h"

#include "base/err.h"
#include "http/curl_lines.h"

#include <stdio.h>

#define CALL_TIMEOUT_MS 30000L

/* Flushes each piece, so that a reader of the output sees a stream as it arrives. */
static size_t to_file(char *data, size_t size, size_t n, void *arg)
{
	size_t done = fwrite(data, size, n, arg) * size;

	fflush(arg);
	return done;
}

int load_http_call(const char *address, const char *path, const char *body,
		   const char *const *headers, FILE *out)
{
	char url[512];
	struct curl_slist *list = NULL, *more;
	CURL *easy = curl_easy_init();
	bct_answer_lines_t lines;
	long status = 0;
	CURLcode rc;

	if (!easy)
		return -BCT_ENOMEM;
	for (; headers && *headers; headers++) {
		more = curl_slist_append(list, *headers);
		if (more)
			list = more;
	}
	snprintf(url, sizeof(url), "http://%s%s", address, path);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	bct_curl_check_lines(easy, &lines);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, to_file);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, out);
	if (body)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	rc = bct_curl_result(curl_easy_perform(easy), &lines);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(easy);
	curl_slist_free_all(list);
	return rc == CURLE_OK ? (int)status : -BCT_EUNAVAILABLE;
}
