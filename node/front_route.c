/*
 * front_route.c - paths, authentication, class look-up and construction of the request object.
 */
#include "node/front_route.h"
#include "base/mem.h"
#include "node/body.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define SERVICES "/v1/services/"
#define DETAIL_BYTES 64
#define MAX_KEY_BYTES 256

bct_route_t bct_route_of(const char *path)
{
	if (!strcmp(path, "/v1/chat/completions"))
		return BCT_ROUTE_CHAT;
	if (!strcmp(path, "/v1/completions"))
		return BCT_ROUTE_COMPLETION;
	if (!strcmp(path, "/v1/models"))
		return BCT_ROUTE_MODELS;
	if (!strcmp(path, "/v1/entry"))
		return BCT_ROUTE_ENTRY;
	if (!strncmp(path, SERVICES, strlen(SERVICES)) && path[strlen(SERVICES)])
		return BCT_ROUTE_SERVICE;
	return BCT_ROUTE_NONE;
}

bool bct_route_allows(bct_route_t route, const char *method)
{
	bool get = !strcmp(method, MHD_HTTP_METHOD_GET);
	bool post = !strcmp(method, MHD_HTTP_METHOD_POST);

	switch (route) {
	case BCT_ROUTE_CHAT:
	case BCT_ROUTE_COMPLETION:
		return post;
	case BCT_ROUTE_SERVICE:
		return get || post;
	case BCT_ROUTE_MODELS:
	case BCT_ROUTE_ENTRY:
		return get;
	case BCT_ROUTE_NONE:
		break;
	}
	return false;
}

bool bct_route_needs_token(bct_route_t route)
{
	return route != BCT_ROUTE_ENTRY;
}

const bct_account_conf_t *bct_find_account(const bct_conf_t *conf, const char *token)
{
	const bct_account_conf_t *found = NULL;
	bct_digest_t digest;

	if (!token)
		return NULL;
	bct_digest(token, strlen(token), &digest);
	/* Every hash is compared, so that the time taken does not reveal which one matched. */
	for (uint32_t i = 0; i < conf->n_accounts; i++) {
		const bct_account_conf_t *a = &conf->accounts[i];

		for (uint32_t j = 0; j < a->n_token_hashes; j++) {
			if (!sodium_memcmp(digest.bytes, a->token_hashes[j].bytes,
					   sizeof(digest.bytes)))
				found = a;
		}
	}
	return found;
}

/*
 * The class that a request names in Chute-Class. Without the header, the account's only class for
 * the target; NULL if it has none or several.
 */
static const bct_class_conf_t *find_class(const bct_route_input_t *in, uint64_t target_key)
{
	const char *name = bct_http_header(in->conn, "Chute-Class");
	const bct_account_conf_t *a = in->account;
	const bct_class_conf_t *only = NULL;

	for (uint32_t i = 0; i < a->n_classes; i++) {
		const bct_class_conf_t *k = &a->classes[i];

		if (k->target_key != target_key)
			continue;
		if (name && !strcmp(k->name, name))
			return k;
		if (!name && only)
			return NULL;
		only = k;
	}
	return name ? NULL : only;
}

static bool has_service(const bct_conf_t *conf, uint64_t key)
{
	for (uint32_t i = 0; i < conf->n_upstreams; i++) {
		if (conf->upstreams[i].kind == BCT_UPSTREAM_SERVICE &&
		    conf->upstreams[i].service_key == key)
			return true;
	}
	return false;
}

/* Fills the scheduler's description of a request from its account and class. */
static void fill_desc(bct_request_t *r, const bct_class_conf_t *k)
{
	bct_req_desc_t *d = &r->desc;

	r->klass = k;
	d->account_key = r->account->key;
	d->class_key = k->key;
	d->arrived = bct_clock_now();
	d->repeatable = k->repeatable;
	if (!d->max_output_tokens || d->max_output_tokens > k->max_output_tokens)
		d->max_output_tokens = k->max_output_tokens;
}

/* Validates a completion and fills the request from its body. */
static bct_refuse_t route_completion(const bct_route_input_t *in, char *detail, bct_request_t *r)
{
	const bct_class_conf_t *k;
	bct_refuse_t why;
	bct_body_t b;

	r->kind = in->route == BCT_ROUTE_CHAT ? BCT_REQUEST_CHAT : BCT_REQUEST_COMPLETION;
	why = bct_body_parse(in->body->data ? in->body->data : "", in->body->len_bytes,
			     in->route == BCT_ROUTE_CHAT, &b);
	if (why) {
		snprintf(detail, DETAIL_BYTES, "%s", b.field);
		goto done;
	}
	if (!bct_conf_model(in->conf, bct_hash_str(b.model))) {
		why = BCT_REFUSE_UNKNOWN_MODEL;
		goto done;
	}
	k = find_class(in, bct_hash_str(b.model));
	if (!k) {
		why = BCT_REFUSE_UNKNOWN_CLASS;
		goto done;
	}
	snprintf(r->model, sizeof(r->model), "%s", b.model);
	r->stream = b.stream;
	r->desc.prompt_tokens = b.prompt_tokens;
	r->desc.max_output_tokens = b.max_output_tokens;
	r->desc.digest = b.digest;
	r->desc.session_key = b.session_key;
	r->desc.n_prefix = b.n_prefix;
	memcpy(r->desc.prefix, b.prefix, sizeof(b.prefix));
	r->body = b.upstream;
	memset(&b.upstream, 0, sizeof(b.upstream));
	fill_desc(r, k);
done:
	bct_body_free(&b);
	return why;
}

/* Copies a string that may be NULL. Returns false if out of memory. */
static bool copy_text(const char *from, char **to)
{
	if (!from)
		return true;
	*to = bct_strdup(from);
	return *to != NULL;
}

/* Copies the headers that matter for a service request, and its body. */
static bct_refuse_t copy_service_headers(const bct_route_input_t *in, bct_request_t *r)
{
	const char *key = bct_http_header(in->conn, "Idempotency-Key");

	if (key && (!key[0] || strlen(key) > MAX_KEY_BYTES))
		return BCT_REFUSE_BAD_FIELD;
	if (!copy_text(key, &r->idempotency_key))
		return BCT_REFUSE_INTERNAL;
	r->first_send = bct_http_header(in->conn, "Chute-First-Send") != NULL;
	if (!copy_text(bct_http_header(in->conn, MHD_HTTP_HEADER_CONTENT_TYPE), &r->content_type))
		return BCT_REFUSE_INTERNAL;
	if (bct_buf_put(&r->body, in->body->data, in->body->len_bytes))
		return BCT_REFUSE_INTERNAL;
	return BCT_REFUSE_NONE;
}

/* Sets the path for the upstream: what follows the service's name, with the query. */
static bct_refuse_t build_service_path(const bct_route_input_t *in, const char *rest,
				       bct_request_t *r)
{
	bct_buf_t path;

	bct_buf_init(&path, 0);
	bct_buf_printf(&path, "%s%s", rest[0] ? rest : "/", in->query);
	/* White space and control characters could end the request line early at the upstream. */
	for (size_t i = 0; i < path.len_bytes; i++) {
		if ((unsigned char)path.data[i] <= ' ' || path.data[i] == 0x7f) {
			bct_buf_free(&path);
			return BCT_REFUSE_BAD_REQUEST;
		}
	}
	r->path = path.data;
	return path.err ? BCT_REFUSE_INTERNAL : BCT_REFUSE_NONE;
}

/* Validates a service request and fills the request from it. */
static bct_refuse_t route_service(const bct_route_input_t *in, char *detail, bct_request_t *r)
{
	const char *name = in->path + strlen(SERVICES);
	size_t len = strcspn(name, "/");
	char service[BCT_NAME_BYTES];
	const bct_class_conf_t *k;
	bct_refuse_t why;

	if (!len || len >= sizeof(service))
		return BCT_REFUSE_UNKNOWN_SERVICE;
	snprintf(service, sizeof(service), "%.*s", (int)len, name);
	if (!has_service(in->conf, bct_hash_str(service)))
		return BCT_REFUSE_UNKNOWN_SERVICE;
	k = find_class(in, bct_hash_str(service));
	if (!k)
		return BCT_REFUSE_UNKNOWN_CLASS;
	r->kind = BCT_REQUEST_SERVICE;
	snprintf(r->method, sizeof(r->method), "%s", in->method);
	why = copy_service_headers(in, r);
	if (why)
		snprintf(detail, DETAIL_BYTES, "Idempotency-Key");
	else
		why = build_service_path(in, name + len, r);
	if (why)
		return why;
	r->desc.digest =
		bct_hash_mix(bct_hash_str(r->path), bct_hash(in->body->data, in->body->len_bytes));
	fill_desc(r, k);
	/* GET only reads a status, so it is safe to repeat even if the class is not repeatable. */
	r->desc.repeatable |= !strcmp(in->method, MHD_HTTP_METHOD_GET);
	return BCT_REFUSE_NONE;
}

bct_refuse_t bct_route_request(const bct_route_input_t *in, char *detail, bct_request_t **out)
{
	bct_request_t *r = bct_request_new(bct_core_next_id(in->core), in->conf);
	bct_refuse_t why;

	detail[0] = '\0';
	if (!r)
		return BCT_REFUSE_INTERNAL;
	r->account = in->account;
	r->conn = in->conn;
	why = in->route == BCT_ROUTE_SERVICE ? route_service(in, detail, r)
					     : route_completion(in, detail, r);
	if (why) {
		bct_request_unref(r);
		return why;
	}
	*out = r;
	return BCT_REFUSE_NONE;
}
