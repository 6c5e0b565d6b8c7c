/*
 * platform_http.c - sends platform calls as HTTP requests. Threads share a pool of libcurl handles.
 */
#include "coord/platform_http.h"
#include "base/err.h"
#include "base/json.h"
#include "base/mem.h"

#include <curl/curl.h>
#include <pthread.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define URL_BYTES 512
#define POOL_HANDLES 16
#define CONNECT_TIMEOUT_MS 1000
#define RECORD_MAX_BYTES (1024 * 1024)
#define RESPONSE_OVERHEAD_BYTES (64 * 1024)
#define VMS_MAX_BYTES (1024 * 1024)
#define SMALL_BODY_MAX_BYTES 4096

#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define HTTP_GONE 410
#define HTTP_PAYLOAD_TOO_LARGE 413
#define HTTP_TOO_MANY_REQUESTS 429

typedef struct platform_http {
	bct_platform_t base;
	char url[URL_BYTES];
	long connect_timeout_ms;
	pthread_mutex_t lock;	  /* guards the pool; innermost lock */
	CURL *pool[POOL_HANDLES]; /* idle handles */
	uint32_t n_pool;
} platform_http_t;

/* Result of one HTTP request. */
typedef struct exchange {
	CURLcode code;
	long status;	/* HTTP status; 0: no response, or no whole head of one */
	bool sent;	/* at least one byte of the request may have been sent */
	bool head_read; /* the latest head was read up to its empty line */
	bct_buf_t body;
} exchange_t;

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;

static void init_curl(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
}

/* returns an idle handle or a new one; NULL when memory ran out. */
static CURL *take_handle(platform_http_t *p)
{
	CURL *c = NULL;

	pthread_mutex_lock(&p->lock);
	if (p->n_pool > 0)
		c = p->pool[--p->n_pool];
	pthread_mutex_unlock(&p->lock);
	return c ? c : curl_easy_init();
}

/* Returns a handle to the pool, or frees it when the pool is full. */
static void put_handle(platform_http_t *p, CURL *c)
{
	curl_easy_reset(c);
	pthread_mutex_lock(&p->lock);
	if (p->n_pool < POOL_HANDLES) {
		p->pool[p->n_pool++] = c;
		c = NULL;
	}
	pthread_mutex_unlock(&p->lock);
	if (c)
		curl_easy_cleanup(c);
}

/* Callback of libcurl; a result other than size * n aborts the transfer. */
static size_t on_body(char *data, size_t size, size_t n, void *ctx)
{
	bct_buf_t *body = ctx;

	return bct_buf_put(body, data, size * n) ? 0 : size * n;
}

/* Called for each line of a head, of interim heads and of trailers, too. */
static size_t on_header(char *line, size_t size, size_t n, void *ctx)
{
	exchange_t *x = ctx;
	size_t len = size * n;

	if (len >= 5 && !memcmp(line, "HTTP/", 5))
		x->head_read = false;
	else if (len == 2 && !memcmp(line, "\r\n", 2))
		x->head_read = true;
	return len;
}

static void set_common(platform_http_t *p, CURL *c, const char *path, uint32_t timeout_ms,
		       exchange_t *x)
{
	char url[URL_BYTES * 2];

	snprintf(url, sizeof(url), "%s%s", p->url, path);
	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(c, CURLOPT_PROXY, "");
	/* Over HTTP/2, libcurl would retry refused streams by itself. */
	curl_easy_setopt(c, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(c, CURLOPT_CONNECTTIMEOUT_MS, p->connect_timeout_ms);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, &x->body);
	curl_easy_setopt(c, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(c, CURLOPT_HEADERDATA, x);
}

/* libcurl reports a success, with a status, if the connection ended within the head. */
static void perform(CURL *c, exchange_t *x)
{
	long request_bytes = 0;

	x->code = curl_easy_perform(c);
	curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &x->status);
	curl_easy_getinfo(c, CURLINFO_REQUEST_SIZE, &request_bytes);
	x->sent = request_bytes > 0;
	if (x->head_read)
		return;
	x->status = 0;
	if (x->code == CURLE_OK)
		x->code = CURLE_PARTIAL_FILE;
}

/* Sends a GET; a response body above max_bytes is refused as malformed. */
static int get(platform_http_t *p, const char *path, uint32_t timeout_ms, size_t max_bytes,
	       exchange_t *x)
{
	CURL *c = take_handle(p);

	memset(x, 0, sizeof(*x));
	bct_buf_init(&x->body, max_bytes);
	if (!c)
		return -BCT_ENOMEM;
	set_common(p, c, path, timeout_ms, x);
	perform(c, x);
	put_handle(p, c);
	if (x->body.err == -BCT_ETOO_LARGE)
		return -BCT_ECODEC;
	return x->code == CURLE_OK ? 0 : -BCT_EUNAVAILABLE;
}

/*
 * Sends a POST over a new connection, which is not reused. Overrides the Expect and Content-Type
 * headers that libcurl would add itself, so that no request waits for a 100 Continue response.
 */
static int post(platform_http_t *p, const char *path, const void *data, uint32_t len_bytes,
		uint32_t timeout_ms, exchange_t *x)
{
	struct curl_slist *headers = NULL, *h;
	CURL *c = take_handle(p);
	int rc = 0;

	memset(x, 0, sizeof(*x));
	bct_buf_init(&x->body, SMALL_BODY_MAX_BYTES);
	if (!c)
		return -BCT_ENOMEM;
	headers = curl_slist_append(NULL, "Expect:");
	h = headers ? curl_slist_append(headers, "Content-Type: application/octet-stream") : NULL;
	if (!h) {
		rc = -BCT_ENOMEM;
		goto out;
	}
	set_common(p, c, path, timeout_ms, x);
	curl_easy_setopt(c, CURLOPT_POST, 1L);
	curl_easy_setopt(c, CURLOPT_POSTFIELDS, data);
	curl_easy_setopt(c, CURLOPT_POSTFIELDSIZE, (long)len_bytes);
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(c, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(c, CURLOPT_FORBID_REUSE, 1L);
	perform(c, x);
out:
	put_handle(p, c);
	curl_slist_free_all(headers);
	return rc;
}

static json_t *parse_body(const bct_buf_t *body)
{
	return body->data ? json_loadb(body->data, body->len_bytes, JSON_REJECT_DUPLICATES, NULL)
			  : NULL;
}

static bool get_u64(const json_t *obj, const char *key, uint64_t *out)
{
	const json_t *v = json_object_get(obj, key);

	if (!json_is_integer(v) || json_integer_value(v) < 0)
		return false;
	*out = (uint64_t)json_integer_value(v);
	return true;
}

/*
 * Maps the outcome of an append to a result code. A response without an offset leaves the outcome
 * unknown, because the record may be in the log nevertheless; only "appended": false rules it out.
 */
static int append_result(const exchange_t *x, uint64_t *offset)
{
	json_t *doc;
	int rc = -BCT_EUNKNOWN_OUTCOME;

	if (!x->sent)
		return -BCT_EUNAVAILABLE;
	if (x->status == HTTP_PAYLOAD_TOO_LARGE)
		return -BCT_ETOO_LARGE;
	if (x->code != CURLE_OK)
		return rc;
	doc = parse_body(&x->body);
	if (x->status == HTTP_OK && get_u64(doc, "offset", offset))
		rc = 0;
	else if (x->status != HTTP_OK && json_is_false(json_object_get(doc, "appended")))
		rc = -BCT_EUNAVAILABLE;
	json_decref(doc);
	return rc;
}

static int http_append(bct_platform_t *base, const char *stream, const void *data,
		       uint32_t len_bytes, uint32_t timeout_ms, uint64_t *offset)
{
	platform_http_t *p = (platform_http_t *)base;
	char path[URL_BYTES];
	exchange_t x;
	int rc;

	if (len_bytes > RECORD_MAX_BYTES)
		return -BCT_ETOO_LARGE;
	snprintf(path, sizeof(path), "/log/%s", stream);
	rc = post(p, path, data, len_bytes, timeout_ms, &x);
	/* post() fails only without memory, before anything was sent. */
	rc = rc ? -BCT_EUNAVAILABLE : append_result(&x, offset);
	bct_buf_free(&x.body);
	return rc;
}

/* Decodes one record into the store; offsets must not be below min_offset. */
static int decode_record(const json_t *item, bct_records_t *out, uint64_t min_offset)
{
	const json_t *data = json_object_get(item, "data");
	bct_record_t *r = &out->records[out->n];
	size_t text_bytes, len;
	char *at;

	if (!json_is_string(data) || !get_u64(item, "offset", &r->offset) || r->offset < min_offset)
		return -BCT_ECODEC;
	text_bytes = json_string_length(data);
	at = out->store.data + out->store.len_bytes;
	if (sodium_base642bin((unsigned char *)at, out->store.cap_bytes - out->store.len_bytes,
			      json_string_value(data), text_bytes, NULL, &len, NULL,
			      sodium_base64_VARIANT_ORIGINAL) != 0)
		return -BCT_ECODEC;
	r->data = (const uint8_t *)at;
	r->len_bytes = (uint32_t)len;
	out->store.len_bytes += len;
	out->n++;
	return 0;
}

/*
 * Decodes the response to a read. The decoded data is never longer than the response text, so the
 * store is allocated once with that size and the data pointers stay valid.
 */
static int decode_records(const json_t *doc, size_t text_bytes, uint64_t from, bct_records_t *out)
{
	const json_t *list = json_object_get(doc, "records"), *item;
	uint64_t min_offset = from;
	size_t i;
	int rc = 0;

	if (!json_is_array(list) || !get_u64(doc, "next", &out->next) ||
	    !get_u64(doc, "oldest", &out->oldest))
		return -BCT_ECODEC;
	if (json_array_size(list) == 0)
		return 0;
	out->records = bct_alloc(json_array_size(list) * sizeof(*out->records));
	out->store.data = bct_alloc(text_bytes);
	if (!out->records || !out->store.data)
		return -BCT_ENOMEM;
	out->store.cap_bytes = text_bytes;
	json_array_foreach(list, i, item)
	{
		rc = decode_record(item, out, min_offset);
		if (rc)
			return rc;
		min_offset = out->records[i].offset + 1;
	}
	return out->next < min_offset ? -BCT_ECODEC : 0;
}

static int read_result(const exchange_t *x, uint64_t from, bct_records_t *out)
{
	json_t *doc;
	int rc;

	if (x->status != HTTP_OK && x->status != HTTP_GONE)
		return -BCT_EUNAVAILABLE;
	doc = parse_body(&x->body);
	if (x->status == HTTP_GONE)
		rc = get_u64(doc, "oldest", &out->oldest) ? -BCT_EEXPIRED : -BCT_ECODEC;
	else
		rc = decode_records(doc, x->body.len_bytes, from, out);
	json_decref(doc);
	return rc;
}

static int http_read(bct_platform_t *base, const char *stream, uint64_t from, uint32_t max_bytes,
		     uint32_t wait_ms, uint32_t timeout_ms, bct_records_t *out)
{
	platform_http_t *p = (platform_http_t *)base;
	/* Allows for base64 and for one record that exceeds max_bytes. */
	size_t limit = (size_t)max_bytes * 2 + RECORD_MAX_BYTES * 2 + RESPONSE_OVERHEAD_BYTES;
	char path[URL_BYTES];
	exchange_t x;
	int rc;

	memset(out, 0, sizeof(*out));
	snprintf(path, sizeof(path), "/log/%s?from=%llu&max_bytes=%u&wait_ms=%u", stream,
		 (unsigned long long)from, max_bytes, wait_ms);
	rc = get(p, path, timeout_ms, limit, &x);
	if (!rc)
		rc = read_result(&x, from, out);
	bct_buf_free(&x.body);
	if (rc) {
		uint64_t oldest = out->oldest;

		bct_records_free(out);
		out->oldest = oldest;
	}
	return rc;
}

/* Copies a string member of obj; fails when it is missing, no string or too long. */
static bool copy_string(const json_t *obj, const char *key, char *out, size_t out_bytes)
{
	const json_t *v = json_object_get(obj, key);

	if (!json_is_string(v) || json_string_length(v) >= out_bytes)
		return false;
	memcpy(out, json_string_value(v), json_string_length(v) + 1);
	return true;
}

static int decode_vm(const json_t *item, bct_vm_t *vm)
{
	char role[16], state[16];
	uint64_t port = 0;

	if (!copy_string(item, "name", vm->name, sizeof(vm->name)) ||
	    !copy_string(item, "address", vm->address, sizeof(vm->address)) ||
	    !copy_string(item, "role", role, sizeof(role)) ||
	    !copy_string(item, "state", state, sizeof(state)))
		return -BCT_ECODEC;
	if (json_object_get(item, "peer_port") &&
	    (!get_u64(item, "peer_port", &port) || port > UINT16_MAX))
		return -BCT_ECODEC;
	vm->peer_port = (uint16_t)port;
	vm->role = strcmp(role, "entry") == 0 ? BCT_VM_ENTRY : BCT_VM_UPSTREAM;
	vm->leaving = strcmp(state, "leaving") == 0;
	return 0;
}

static int decode_vms(const json_t *doc, bct_vm_list_t *out)
{
	const json_t *list = json_object_get(doc, "vms"), *item;
	size_t i;

	if (!json_is_array(list) || !get_u64(doc, "revision", &out->revision))
		return -BCT_ECODEC;
	out->vms = bct_alloc((json_array_size(list) + 1) * sizeof(*out->vms));
	if (!out->vms)
		return -BCT_ENOMEM;
	json_array_foreach(list, i, item)
	{
		/* One that can't be read names no VM; the others hold. */
		if (decode_vm(item, &out->vms[out->n]))
			out->n_unreadable++;
		else
			out->n++;
	}
	return 0;
}

static int http_vms(bct_platform_t *base, uint32_t timeout_ms, bct_vm_list_t *out)
{
	exchange_t x;
	json_t *doc = NULL;
	int rc;

	memset(out, 0, sizeof(*out));
	rc = get((platform_http_t *)base, "/vms", timeout_ms, VMS_MAX_BYTES, &x);
	if (!rc && x.status != HTTP_OK)
		rc = -BCT_EUNAVAILABLE;
	if (!rc) {
		doc = parse_body(&x.body);
		rc = decode_vms(doc, out);
	}
	json_decref(doc);
	bct_buf_free(&x.body);
	if (rc)
		bct_vm_list_free(out);
	return rc;
}

static int http_weight(bct_platform_t *base, const char *name, uint32_t timeout_ms, uint64_t *size)
{
	char path[URL_BYTES];
	exchange_t x;
	json_t *doc = NULL;
	int rc;

	snprintf(path, sizeof(path), "/weights/%s", name);
	rc = get((platform_http_t *)base, path, timeout_ms, SMALL_BODY_MAX_BYTES, &x);
	if (!rc && x.status == HTTP_TOO_MANY_REQUESTS)
		rc = -BCT_EBUDGET;
	else if (!rc && x.status == HTTP_NOT_FOUND)
		rc = -BCT_ENOT_FOUND;
	else if (!rc && x.status != HTTP_OK)
		rc = -BCT_EUNAVAILABLE;
	if (!rc) {
		doc = parse_body(&x.body);
		rc = get_u64(doc, "bytes", size) ? 0 : -BCT_ECODEC;
	}
	json_decref(doc);
	bct_buf_free(&x.body);
	return rc;
}

static void http_destroy(bct_platform_t *base)
{
	platform_http_t *p = (platform_http_t *)base;

	while (p->n_pool > 0)
		curl_easy_cleanup(p->pool[--p->n_pool]);
	pthread_mutex_destroy(&p->lock);
	bct_free(p);
}

static const bct_platform_ops_t http_ops = {
	.destroy = http_destroy,
	.append = http_append,
	.read = http_read,
	.vms = http_vms,
	.weight = http_weight,
};

int bct_platform_http_new(const bct_platform_http_opts_t *opts, bct_platform_t **out)
{
	size_t len = opts->base_url ? strlen(opts->base_url) : 0;
	platform_http_t *p;

	if (len == 0 || len >= URL_BYTES)
		return -BCT_EINVAL;
	p = bct_alloc(sizeof(*p));
	if (!p)
		return -BCT_ENOMEM;
	pthread_once(&curl_once, init_curl);
	p->base.ops = &http_ops;
	pthread_mutex_init(&p->lock, NULL);
	memcpy(p->url, opts->base_url, len + 1);
	if (p->url[len - 1] == '/')
		p->url[len - 1] = '\0';
	p->connect_timeout_ms =
		opts->connect_timeout_ms ? (long)opts->connect_timeout_ms : CONNECT_TIMEOUT_MS;
	*out = &p->base;
	return 0;
}
