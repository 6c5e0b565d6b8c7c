/*
 * admin.c - handlers of the operators' HTTP interface. /healthz, /readyz and /metrics need no
 * token; every other path needs the operators' bearer token.
 */
#include "node/admin.h"
#include "base/err.h"
#include "base/hash.h"
#include "base/json.h"
#include "base/mem.h"
#include "node/core.h"
#include "node/front_filter.h"
#include "node/http.h"
#include "policy/conf.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <netinet/in.h>
#include <sys/socket.h>

#define UPSTREAMS "/admin/v1/upstreams/"
#define KEYS "/admin/v1/keys/"
#define KEY_BYTES 320	    /* room for an account name or a key, with its NUL */
#define MAX_CONNECTIONS 32U /* each takes three descriptors */
#define MAX_HEADER_BYTES 16384
#define MAX_BODY_BYTES 65536

struct bct_admin {
	bct_node_t *node;
	struct MHD_Daemon *daemon;
	bct_front_filter_t
		*filter; /* listens, and keeps idle clients from taking all connections */
};

/* One HTTP request; libmicrohttpd's con_cls. */
typedef struct call {
	bct_buf_t body;
	bool refused;
} call_t;

/*
 * Checks the bearer token against admin.token_hash, the token's digest in hex, in constant time.
 * While the setting is empty, no token is accepted.
 */
static bool token_ok(const bct_admin_t *a, struct MHD_Connection *c)
{
	const char *expected = bct_node_settings(a->node)->admin_token_hash;
	const char *token = bct_http_bearer(c);
	char hex[2 * BCT_DIGEST_BYTES + 1];
	bct_digest_t digest;

	if (strlen(expected) != 2 * BCT_DIGEST_BYTES || !token)
		return false;
	bct_digest(token, strlen(token), &digest);
	sodium_bin2hex(hex, sizeof(hex), digest.bytes, sizeof(digest.bytes));
	return !sodium_memcmp(hex, expected, 2 * BCT_DIGEST_BYTES);
}

static enum MHD_Result refuse(struct MHD_Connection *c, bct_refuse_t why)
{
	bct_refusal_t f = { .why = why, .run = BCT_RUN_NOT_RUN };

	return bct_http_refuse(c, &f);
}

static enum MHD_Result answer_ready(bct_admin_t *a, struct MHD_Connection *c)
{
	bool ready = bct_node_ready(a->node);

	return bct_http_json(c, ready ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
			     json_pack("{s:b, s:b}", "ready", (int)ready, "keys_ready",
				       (int)bct_node_keys_ready(a->node)));
}

static enum MHD_Result answer_metrics(bct_admin_t *a, struct MHD_Connection *c)
{
	enum MHD_Result rc;
	bct_buf_t out;

	bct_buf_init(&out, 0);
	if (bct_node_metrics(a->node, &out))
		rc = refuse(c, BCT_REFUSE_INTERNAL);
	else
		rc = bct_http_text(c, MHD_HTTP_OK, "text/plain; version=0.0.4", out.data,
				   out.len_bytes);
	bct_buf_free(&out);
	return rc;
}

/* POST /admin/v1/upstreams/NAME/leave or POST /admin/v1/upstreams/NAME/return */
static enum MHD_Result set_upstream_leaving(bct_admin_t *a, struct MHD_Connection *c,
					    const char *rest)
{
	const char *slash = strchr(rest, '/');
	char name[BCT_NAME_BYTES];
	bool leave;

	if (!slash || (size_t)(slash - rest) >= sizeof(name))
		return refuse(c, BCT_REFUSE_UNKNOWN_PATH);
	snprintf(name, sizeof(name), "%.*s", (int)(slash - rest), rest);
	leave = !strcmp(slash, "/leave");
	if (!leave && strcmp(slash, "/return"))
		return refuse(c, BCT_REFUSE_UNKNOWN_PATH);
	if (bct_node_upstream_set_leaving(a->node, name, leave))
		return refuse(c, BCT_REFUSE_UNKNOWN_SERVICE);
	return bct_http_json(c, MHD_HTTP_OK,
			     json_pack("{s:s, s:b}", "upstream", name, "leaving", (int)leave));
}

/* POST /admin/v1/drain */
static enum MHD_Result start_drain(bct_admin_t *a, struct MHD_Connection *c)
{
	bct_node_drain(a->node);
	return bct_http_json(c, MHD_HTTP_ACCEPTED, json_pack("{s:b}", "draining", 1));
}

/*
 * Copies the two parts of ACCOUNT/KEY. The key may contain '/' and ends at end; what follows, such
 * as "/resolve", is not copied. Returns false if the '/' is missing, the key is empty, or a part
 * with its NUL does not fit in size bytes.
 */
static bool split_key(const char *rest, const char *end, char *account, char *key, size_t size)
{
	const char *slash = strchr(rest, '/');

	if (!slash || slash >= end || (size_t)(slash - rest) >= size)
		return false;
	if ((size_t)(end - slash) > size || end == slash + 1)
		return false;
	snprintf(account, size, "%.*s", (int)(slash - rest), rest);
	snprintf(key, size, "%.*s", (int)(end - slash - 1), slash + 1);
	return true;
}

/* GET /admin/v1/keys/ACCOUNT/KEY */
static enum MHD_Result show_key(bct_admin_t *a, struct MHD_Connection *c, const char *rest)
{
	char account[KEY_BYTES], key[KEY_BYTES];
	json_t *doc;

	if (!split_key(rest, rest + strlen(rest), account, key, sizeof(key)))
		return refuse(c, BCT_REFUSE_UNKNOWN_PATH);
	doc = bct_node_key_show(a->node, account, key);
	return doc ? bct_http_json(c, MHD_HTTP_OK, doc) : refuse(c, BCT_REFUSE_NOT_READY);
}

/* The body of a resolve call: {"outcome": "ran" or "not_run", "force": false} */
static bool parse_resolution(const bct_buf_t *body, bool *ran, bool *force)
{
	bct_json_err_t err;
	json_t *doc = bct_json_parse_strict(body->data ? body->data : "", body->len_bytes, &err);
	const char *outcome = json_string_value(json_object_get(doc, "outcome"));
	bool ok = outcome && (!strcmp(outcome, "ran") || !strcmp(outcome, "not_run"));

	*ran = ok && !strcmp(outcome, "ran");
	*force = json_is_true(json_object_get(doc, "force"));
	json_decref(doc);
	return ok;
}

/* Answers 409 with the reason why a key could not be resolved. */
static enum MHD_Result answer_conflict(struct MHD_Connection *c, int rc)
{
	return bct_http_json(
		c, MHD_HTTP_CONFLICT,
		json_pack("{s:{s:s, s:s}}", "error", "reason", bct_err_name(rc), "message",
			  rc == -BCT_ESTATE ? "the owner may be alive or merely paused; force says "
					      "that it will not run the request any more"
					    : bct_err_text(rc)));
}

/* POST /admin/v1/keys/ACCOUNT/KEY/resolve */
static enum MHD_Result resolve_key(bct_admin_t *a, struct MHD_Connection *c, const char *rest,
				   const bct_buf_t *body)
{
	const char *end = rest + strlen(rest) - strlen("/resolve");
	char account[KEY_BYTES], key[KEY_BYTES];
	bool ran, force;
	int rc;

	if (end <= rest || strcmp(end, "/resolve") ||
	    !split_key(rest, end, account, key, sizeof(key)))
		return refuse(c, BCT_REFUSE_UNKNOWN_PATH);
	if (!parse_resolution(body, &ran, &force))
		return refuse(c, BCT_REFUSE_BAD_FIELD);
	rc = bct_node_key_resolve(a->node, account, key, ran, force, "operator");
	if (rc)
		return answer_conflict(c, rc);
	return bct_http_json(
		c, MHD_HTTP_ACCEPTED,
		json_pack("{s:s, s:s, s:b}", "account", account, "key", key, "ran", (int)ran));
}

static enum MHD_Result answer_post(bct_admin_t *a, struct MHD_Connection *c, const char *path,
				   const bct_buf_t *body)
{
	if (!strcmp(path, "/admin/v1/drain"))
		return start_drain(a, c);
	if (!strncmp(path, UPSTREAMS, strlen(UPSTREAMS)))
		return set_upstream_leaving(a, c, path + strlen(UPSTREAMS));
	if (!strncmp(path, KEYS, strlen(KEYS)))
		return resolve_key(a, c, path + strlen(KEYS), body);
	return refuse(c, BCT_REFUSE_UNKNOWN_PATH);
}

static enum MHD_Result answer_get(bct_admin_t *a, struct MHD_Connection *c, const char *path)
{
	if (!strcmp(path, "/admin/v1/status"))
		return bct_http_json(c, MHD_HTTP_OK, bct_node_status(a->node));
	if (!strncmp(path, KEYS, strlen(KEYS)))
		return show_key(a, c, path + strlen(KEYS));
	return refuse(c, BCT_REFUSE_UNKNOWN_PATH);
}

static enum MHD_Result answer(bct_admin_t *a, struct MHD_Connection *c, const char *method,
			      const char *path, const bct_buf_t *body)
{
	bool get = !strcmp(method, MHD_HTTP_METHOD_GET);

	if (get && !strcmp(path, "/healthz"))
		return bct_http_json(c, MHD_HTTP_OK, json_pack("{s:b}", "alive", 1));
	if (get && !strcmp(path, "/readyz"))
		return answer_ready(a, c);
	if (get && !strcmp(path, "/metrics"))
		return answer_metrics(a, c);
	if (!token_ok(a, c))
		return refuse(c, BCT_REFUSE_BAD_TOKEN);
	if (get)
		return answer_get(a, c, path);
	if (!strcmp(method, MHD_HTTP_METHOD_POST))
		return answer_post(a, c, path, body);
	return refuse(c, BCT_REFUSE_BAD_METHOD);
}

/* Called by libmicrohttpd with the headers, with each piece of the body, and at its end. */
static enum MHD_Result on_request(void *cls, struct MHD_Connection *c, const char *url,
				  const char *method, const char *version, const char *upload,
				  size_t *upload_bytes, void **con_cls)
{
	call_t *call = *con_cls;

	if (!call) {
		bct_refuse_t why = bct_http_check_framing(c, version);

		if (why)
			return refuse(c, why);
		call = bct_alloc(sizeof(*call));
		if (!call)
			return MHD_NO;
		bct_buf_init(&call->body, MAX_BODY_BYTES);
		*con_cls = call;
		return MHD_YES;
	}
	if (*upload_bytes) {
		bct_buf_put(&call->body, upload, *upload_bytes);
		*upload_bytes = 0;
		return MHD_YES;
	}
	if (call->body.err)
		return refuse(c, BCT_REFUSE_TOO_LARGE);
	return answer(cls, c, method, url, &call->body);
}

static void on_completed(void *cls, struct MHD_Connection *c, void **con_cls,
			 enum MHD_RequestTerminationCode toe)
{
	call_t *call = *con_cls;

	(void)cls;
	(void)c;
	(void)toe;
	*con_cls = NULL;
	if (!call)
		return;
	bct_buf_free(&call->body);
	bct_free(call);
}

static int add_connection(void *ctx, int fd, const struct sockaddr *client, socklen_t client_bytes)
{
	bct_admin_t *a = ctx;

	return MHD_add_connection(a->daemon, fd, client, client_bytes) == MHD_YES
		       ? 0
		       : -BCT_EUNAVAILABLE;
}

/* Calls are answered at once, so that none is in progress between two events of the filter. */
static bool is_idle(void *ctx, int fd)
{
	(void)ctx;
	(void)fd;
	return true;
}

static bool is_serving(void *ctx, int fd)
{
	(void)ctx;
	(void)fd;
	return false;
}

static char *refuse_malformed(void *ctx)
{
	bct_refusal_t r = { .why = BCT_REFUSE_BAD_FRAMING, .run = BCT_RUN_NOT_RUN };

	(void)ctx;
	return bct_http_refusal_json(&r);
}

static int start_filter(bct_admin_t *a, const struct sockaddr_storage *addr)
{
	bct_core_t *core = bct_node_core(a->node);
	bct_front_filter_opts_t o = {
		.address = (const struct sockaddr *)addr,
		.address_bytes = addr->ss_family == AF_INET6 ? sizeof(struct sockaddr_in6)
							     : sizeof(struct sockaddr_in),
		.max_header_bytes = MAX_HEADER_BYTES,
		.max_connections = MAX_CONNECTIONS,
		.log = bct_core_log(core),
		.add = add_connection,
		.is_idle = is_idle,
		.is_serving = is_serving,
		.refusal = refuse_malformed,
		.yielded = &bct_core_stats(core)->yielded,
		.refused = &bct_core_stats(core)->turned_away,
		.ctx = a,
	};

	return bct_front_filter_new(&o, &a->filter);
}

int bct_admin_new(bct_node_t *node, bct_admin_t **out)
{
	const bct_settings_t *s = bct_node_settings(node);
	struct sockaddr_storage addr;
	bct_admin_t *a;
	int rc;

	if (bct_http_bind(s->admin_address, (uint16_t)s->admin_port, &addr))
		return -BCT_EINVAL;
	a = bct_alloc(sizeof(*a));
	if (!a)
		return -BCT_ENOMEM;
	a->node = node;
	a->daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_NO_LISTEN_SOCKET |
					     MHD_USE_ITC,
				     0, NULL, NULL, on_request, a, MHD_OPTION_CONNECTION_LIMIT,
				     BCT_MHD_CONNECTIONS, MHD_OPTION_CONNECTION_TIMEOUT, 10U,
				     MHD_OPTION_NOTIFY_COMPLETED, on_completed, a, MHD_OPTION_END);
	rc = a->daemon ? start_filter(a, &addr) : -BCT_EIO;
	if (rc) {
		if (a->daemon)
			MHD_stop_daemon(a->daemon);
		bct_free(a);
		return rc;
	}
	*out = a;
	return 0;
}

void bct_admin_free(bct_admin_t *a)
{
	if (!a)
		return;
	bct_front_filter_free(a->filter);
	MHD_stop_daemon(a->daemon);
	bct_free(a);
}

uint16_t bct_admin_port(const bct_admin_t *a)
{
	return bct_front_filter_port(a->filter);
}
