/*
 * chutectl_http.c - client of a node's operator HTTP interface.
 */
#include "cmd/chutectl.h"
#include "base/buf.h"
#include "base/err.h"
#include "http/curl_lines.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TOKEN_MAX_BYTES 1024
#define URL_BYTES 1024
#define HTTP_CLIENT_ERROR 400
#define HTTP_SERVER_ERROR 500

/* Reads the first line of the file. Returns false if it is empty or cannot be read. */
static bool read_token(const char *file, char *out, size_t out_bytes)
{
	FILE *f = fopen(file, "re");
	bool ok = f && fgets(out, (int)out_bytes, f);

	if (f)
		fclose(f);
	if (ok)
		out[strcspn(out, "\r\n")] = '\0';
	return ok && out[0];
}

/* libcurl write callback; a short count aborts the transfer when the response is too large. */
static size_t append_body(char *data, size_t size, size_t n, void *ctx)
{
	return bct_buf_put(ctx, data, size * n) ? 0 : size * n;
}

static struct curl_slist *make_headers(const char *token)
{
	char line[TOKEN_MAX_BYTES + 32];
	struct curl_slist *headers;

	snprintf(line, sizeof(line), "Authorization: Bearer %s", token);
	headers = curl_slist_append(NULL, line);
	headers = curl_slist_append(headers, "Content-Type: application/json");
	return curl_slist_append(headers, "Expect:");
}

static void set_options(CURL *c, const ctl_t *ctl, const char *url, struct curl_slist *headers,
			const char *body, bct_buf_t *response)
{
	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_PROXY, "");
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, (long)ctl->timeout_ms);
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, response);
	if (body)
		curl_easy_setopt(c, CURLOPT_COPYPOSTFIELDS, body);
}

/* Reports a failed transfer. A POST may have taken effect as soon as any byte of it was sent. */
static ctl_exit_t fail_transfer(const ctl_t *ctl, CURL *c, CURLcode code, bool post)
{
	long sent_bytes = 0;

	curl_easy_getinfo(c, CURLINFO_REQUEST_SIZE, &sent_bytes);
	if (post && sent_bytes > 0)
		return ctl_fail(ctl, CTL_UNKNOWN, "%s: %s; the request may have taken effect",
				ctl->node, curl_easy_strerror(code));
	return ctl_fail(ctl, CTL_UNAVAILABLE, "%s: %s", ctl->node, curl_easy_strerror(code));
}

/*
 * Reports an HTTP error status. The outcome is unknown if the field "run" of the error is
 * "unknown".
 */
static ctl_exit_t fail_status(const ctl_t *ctl, long status, const json_t *response)
{
	const json_t *err = json_object_get(response, "error");
	const char *reason = json_string_value(json_object_get(err, "reason"));
	const char *message = json_string_value(json_object_get(err, "message"));
	const char *run = json_string_value(json_object_get(err, "run"));
	ctl_exit_t code = CTL_REFUSED;

	if (run && !strcmp(run, "unknown"))
		code = CTL_UNKNOWN;
	else if (status >= HTTP_SERVER_ERROR)
		code = CTL_UNAVAILABLE;
	return ctl_fail(ctl, code, "%s: HTTP %ld: %s: %s", ctl->node, status,
			reason ? reason : "no reason", message ? message : "no message");
}

static ctl_exit_t transfer(const ctl_t *ctl, CURL *c, bool post, const bct_buf_t *response,
			   json_t **out)
{
	bct_answer_lines_t lines;
	CURLcode code;
	long status = 0;
	ctl_exit_t res = CTL_OK;

	bct_curl_check_lines(c, &lines);
	code = bct_curl_result(curl_easy_perform(c), &lines);
	if (code != CURLE_OK)
		return fail_transfer(ctl, c, code, post);
	curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &status);
	*out = response->data ? json_loadb(response->data, response->len_bytes, 0, NULL) : NULL;
	if (status >= HTTP_CLIENT_ERROR) {
		res = fail_status(ctl, status, *out);
		json_decref(*out);
		*out = NULL;
	}
	return res;
}

ctl_exit_t ctl_call(const ctl_t *ctl, const char *path, const json_t *body, json_t **out)
{
	char token[TOKEN_MAX_BYTES], url[URL_BYTES];
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	struct curl_slist *headers = NULL;
	CURL *c = NULL;
	bct_buf_t response;
	ctl_exit_t res;

	*out = NULL;
	bct_buf_init(&response, CTL_RESPONSE_MAX_BYTES);
	if (!read_token(ctl->token_file, token, sizeof(token))) {
		res = ctl_fail(ctl, CTL_INVALID, "%s: cannot read a token from this file",
			       ctl->token_file);
		goto out;
	}
	snprintf(url, sizeof(url), "http://%s%s", ctl->node, path);
	headers = make_headers(token);
	c = curl_easy_init();
	if (!c || !headers || (body && !text)) {
		res = ctl_fail(ctl, CTL_INTERNAL, "%s", bct_err_text(BCT_ENOMEM));
		goto out;
	}
	set_options(c, ctl, url, headers, text, &response);
	res = transfer(ctl, c, body != NULL, &response, out);
out:
	curl_slist_free_all(headers);
	curl_easy_cleanup(c);
	bct_buf_free(&response);
	free(text);
	return res;
}

ctl_exit_t ctl_fetch_metrics(const ctl_t *ctl, bct_buf_t *out)
{
	char url[URL_BYTES];
	CURL *c = curl_easy_init();
	bct_answer_lines_t lines;
	CURLcode rc;
	long status = 0;

	if (!c)
		return ctl_fail(ctl, CTL_INTERNAL, "%s", bct_err_text(BCT_ENOMEM));
	snprintf(url, sizeof(url), "http://%s/metrics", ctl->node);
	set_options(c, ctl, url, NULL, NULL, out);
	bct_curl_check_lines(c, &lines);
	rc = bct_curl_result(curl_easy_perform(c), &lines);
	curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(c);
	if (rc != CURLE_OK)
		return ctl_fail(ctl, CTL_UNAVAILABLE, "%s: %s", ctl->node, curl_easy_strerror(rc));
	if (status >= HTTP_CLIENT_ERROR)
		return ctl_fail(ctl, status >= HTTP_SERVER_ERROR ? CTL_UNAVAILABLE : CTL_REFUSED,
				"%s: HTTP %ld", ctl->node, status);
	return CTL_OK;
}
