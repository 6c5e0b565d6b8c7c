/*
 * http.c - responses, framing checks and socket addresses.
 */
#include "node/http.h"
#include "base/clock.h"
#include "base/err.h"
#include "node/front_conn.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#define BEARER "Bearer "

char *bct_http_refusal_json(const bct_refusal_t *f)
{
	char id[17];
	json_t *doc;
	char *text;

	snprintf(id, sizeof(id), "%016" PRIx64, f->req_id);
	doc = json_pack("{s:{s:s, s:s, s:s, s:I, s:s, s:s, s:s?}}", "error", "type",
			bct_refuse_status(f->why) < 500 ? "invalid_request_error" : "server_error",
			"reason", bct_refuse_wire(f->why), "run", bct_run_wire(f->run),
			"retry_after_ms", (json_int_t)f->retry_after_ms, "request_id", id,
			"message", bct_refuse_text(f->why), "detail", f->detail);
	text = doc ? json_dumps(doc, JSON_COMPACT) : NULL;
	json_decref(doc);
	return text;
}

/* A response that takes over a malloc()ed string; NULL if text is NULL. */
static struct MHD_Response *response_from_text(char *text, const char *content_type)
{
	struct MHD_Response *resp;

	if (!text)
		return NULL;
	resp = MHD_create_response_from_buffer(strlen(text), text, MHD_RESPMEM_MUST_FREE);
	if (resp)
		MHD_add_response_header(resp, MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
	return resp;
}

/* Whether the connection ends with this response. Only those of callers have a context. */
static bool is_closing(struct MHD_Connection *c)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(c, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	const bct_conn_t *conn = info ? info->socket_context : NULL;

	return conn && bct_conn_closing(conn->table);
}

enum MHD_Result bct_http_queue(struct MHD_Connection *c, int status, struct MHD_Response *resp)
{
	enum MHD_Result rc;

	if (!resp)
		return MHD_NO;
	if (is_closing(c))
		MHD_add_response_header(resp, MHD_HTTP_HEADER_CONNECTION, "close");
	rc = MHD_queue_response(c, (unsigned int)status, resp);
	MHD_destroy_response(resp);
	return rc;
}

enum MHD_Result bct_http_refuse(struct MHD_Connection *c, const bct_refusal_t *f)
{
	struct MHD_Response *resp =
		response_from_text(bct_http_refusal_json(f), "application/json");
	char seconds[16];

	if (resp && f->retry_after_ms) {
		snprintf(seconds, sizeof(seconds), "%u",
			 (f->retry_after_ms + BCT_MS_PER_S - 1) / BCT_MS_PER_S);
		MHD_add_response_header(resp, MHD_HTTP_HEADER_RETRY_AFTER, seconds);
	}
	if (resp && f->close)
		MHD_add_response_header(resp, MHD_HTTP_HEADER_CONNECTION, "close");
	return bct_http_queue(c, bct_refuse_status(f->why), resp);
}

enum MHD_Result bct_http_json(struct MHD_Connection *c, int status, json_t *doc)
{
	char *text = doc ? json_dumps(doc, JSON_COMPACT) : NULL;

	json_decref(doc);
	return bct_http_queue(c, status, response_from_text(text, "application/json"));
}

enum MHD_Result bct_http_text(struct MHD_Connection *c, int status, const char *content_type,
			      const char *text, size_t len_bytes)
{
	struct MHD_Response *resp = MHD_create_response_from_buffer(
		len_bytes, (void *)(uintptr_t)text, MHD_RESPMEM_MUST_COPY);

	if (resp)
		MHD_add_response_header(resp, MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
	return bct_http_queue(c, status, resp);
}

const char *bct_http_header(struct MHD_Connection *c, const char *name)
{
	return MHD_lookup_connection_value(c, MHD_HEADER_KIND, name);
}

/* Counts of the headers that determine where a request ends, and of the Host headers. */
typedef struct framing {
	uint32_t lengths;
	uint32_t encodings;
	uint32_t hosts;
	bool bad_value;
} framing_t;

static bool all_digits(const char *s)
{
	return s[0] && strspn(s, "0123456789") == strlen(s);
}

static enum MHD_Result count_header(void *ctx, enum MHD_ValueKind kind, const char *key,
				    const char *value)
{
	framing_t *f = ctx;

	(void)kind;
	if (!strcasecmp(key, MHD_HTTP_HEADER_CONTENT_LENGTH)) {
		f->lengths++;
		f->bad_value |= !value || !all_digits(value);
	} else if (!strcasecmp(key, MHD_HTTP_HEADER_TRANSFER_ENCODING)) {
		f->encodings++;
		f->bad_value |= !value || strcasecmp(value, "chunked");
	} else if (!strcasecmp(key, MHD_HTTP_HEADER_HOST)) {
		f->hosts++;
	}
	return MHD_YES;
}

bct_refuse_t bct_http_check_framing(struct MHD_Connection *c, const char *version)
{
	framing_t f = { 0 };

	MHD_get_connection_values(c, MHD_HEADER_KIND, count_header, &f);
	if (f.lengths + f.encodings > 1 || f.bad_value)
		return BCT_REFUSE_BAD_FRAMING;
	if (f.hosts > 1 || (!f.hosts && !strcmp(version, MHD_HTTP_VERSION_1_1)))
		return BCT_REFUSE_BAD_REQUEST;
	return BCT_REFUSE_NONE;
}

const char *bct_http_bearer(struct MHD_Connection *c)
{
	const char *value = bct_http_header(c, MHD_HTTP_HEADER_AUTHORIZATION);

	if (!value || strncasecmp(value, BEARER, strlen(BEARER)))
		return NULL;
	return value + strlen(BEARER);
}

int bct_http_bind(const char *address, uint16_t port, struct sockaddr_storage *out)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)out;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;

	memset(out, 0, sizeof(*out));
	if (inet_pton(AF_INET, address, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons(port);
		return 0;
	}
	if (inet_pton(AF_INET6, address, &v6->sin6_addr) == 1) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons(port);
		return 0;
	}
	return -BCT_EINVAL;
}

uint16_t bct_http_port(struct MHD_Daemon *d)
{
	const union MHD_DaemonInfo *info = MHD_get_daemon_info(d, MHD_DAEMON_INFO_BIND_PORT);

	return info ? info->port : 0;
}
