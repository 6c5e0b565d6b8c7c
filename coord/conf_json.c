/*
 * conf_json.c - builds a bct_conf_t from a JSON document, driven by the tables of conf_fields.h.
 */
#include "coord/conf_json.h"
#include "base/err.h"
#include "base/mem.h"
#include "coord/conf_fields.h"
#include "coord/json_reader.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Expand the tables of conf_fields.h into arrays of bct_jfield_t; STRUCT has the members. */
#define REQUIRED true
#define OPTIONAL false
#define F(type, member, min, max, def, need, text) \
	{ #member, BCT_JFIELD_##type, offsetof(STRUCT, member), min, max, def, need },
#define O(name, need, text) { #name, BCT_JFIELD_OTHER, 0, 0, 0, 0, need },
#define COUNT(table) (sizeof(table) / sizeof((table)[0]))

static const bct_jfield_t document_fields[] = { BCT_DOCUMENT_FIELDS(F, O) };
#define STRUCT bct_timeouts_conf_t
static const bct_jfield_t timeout_fields[] = { BCT_TIMEOUT_FIELDS(F, O) };
#undef STRUCT
#define STRUCT bct_model_conf_t
static const bct_jfield_t model_fields[] = { BCT_MODEL_FIELDS(F, O) };
#undef STRUCT
#define STRUCT bct_upstream_conf_t
static const bct_jfield_t upstream_fields[] = { BCT_UPSTREAM_FIELDS(F, O) };
#undef STRUCT
#define STRUCT bct_account_conf_t
static const bct_jfield_t account_fields[] = { BCT_ACCOUNT_FIELDS(F, O) };
static const bct_jfield_t limit_fields[] = { BCT_LIMIT_FIELDS(F, O) };
#undef STRUCT
#define STRUCT bct_class_conf_t
static const bct_jfield_t class_fields[] = { BCT_CLASS_FIELDS(F, O) };
#undef STRUCT

/* Context of all read_*() functions. */
typedef struct reader {
	bct_conf_t *conf; /* the configuration being built */
	bct_json_err_t *err;
} reader_t;

static int no_memory(reader_t *r)
{
	return bct_json_fail(r->err, BCT_ENOMEM, "", "%s", bct_err_text(BCT_ENOMEM));
}

int bct_conf_canonical(const json_t *doc, bct_buf_t *out)
{
	char *text = json_dumps(doc, JSON_SORT_KEYS | JSON_COMPACT);
	json_free_t release;
	size_t len;
	int rc;

	if (!text)
		return -BCT_ENOMEM;
	len = strlen(text);
	rc = len > BCT_CONF_MAX_BYTES ? -BCT_ETOO_LARGE : bct_buf_put(out, text, len);
	json_get_alloc_funcs(NULL, &release);
	release(text);
	return rc;
}

int bct_conf_digest(const json_t *doc, bct_digest_t *out)
{
	bct_buf_t text;
	int rc;

	bct_buf_init(&text, 0);
	rc = bct_conf_canonical(doc, &text);
	if (!rc)
		bct_digest(text.data, text.len_bytes, out);
	bct_buf_free(&text);
	return rc;
}

void bct_digest_hex(const bct_digest_t *d, char out[BCT_DIGEST_HEX_BYTES])
{
	sodium_bin2hex(out, BCT_DIGEST_HEX_BYTES, d->bytes, sizeof(d->bytes));
}

int bct_digest_parse(const char *hex, bct_digest_t *out)
{
	size_t len, hex_len = strlen(hex);

	if (hex_len != BCT_DIGEST_BYTES * 2 ||
	    sodium_hex2bin(out->bytes, sizeof(out->bytes), hex, hex_len, NULL, &len, NULL) ||
	    len != BCT_DIGEST_BYTES)
		return -BCT_EINVAL;
	return 0;
}

/* Reads one named object into out, an element of an array; the name is path->key. */
typedef int (*read_one_t)(reader_t *r, const json_t *obj, const bct_jpath_t *path, void *out);

/*
 * Reads map, an object whose values are named objects, into a new array of at most max elements of
 * size bytes. The names are unique, because the JSON parser has refused duplicate keys.
 */
static int read_named(reader_t *r, const json_t *map, const bct_jpath_t *path, uint32_t max,
		      size_t size, read_one_t read_one, void **out, uint32_t *n)
{
	const char *name;
	json_t *value;
	int rc;

	if (!map)
		return 0;
	if (!json_is_object(map))
		return bct_jread_fail(r->err, BCT_ETYPE, path, NULL, "allowed: an object");
	if (json_object_size(map) > max)
		return bct_jread_fail(r->err, BCT_ERANGE, path, NULL,
				      "got %zu objects; allowed: at most %u", json_object_size(map),
				      max);
	*out = bct_alloc((json_object_size(map) + 1) * size);
	if (!*out)
		return no_memory(r);
	json_object_foreach((json_t *)map, name, value)
	{
		const bct_jpath_t at = { path, name };

		rc = bct_jread_check_name(name, path, r->err);
		if (!rc) {
			/* Counted before the call, so that a failed element is freed too. */
			*n += 1;
			rc = read_one(r, value, &at, (char *)*out + (*n - 1) * size);
		}
		if (rc)
			return rc;
	}
	return 0;
}

static void set_name(char *name, uint64_t *key, const char *value)
{
	snprintf(name, BCT_NAME_BYTES, "%s", value);
	*key = bct_hash_str(value);
}

static int read_model(reader_t *r, const json_t *obj, const bct_jpath_t *path, void *out)
{
	bct_model_conf_t *m = out;

	set_name(m->name, &m->key, path->key);
	return bct_jread_object(obj, path, model_fields, COUNT(model_fields), m, r->err);
}

static int read_kind(reader_t *r, const json_t *obj, const bct_jpath_t *path,
		     bct_upstream_kind_t *out)
{
	const char *kind = json_string_value(json_object_get(obj, "kind"));

	if (kind && !strcmp(kind, "engine"))
		*out = BCT_UPSTREAM_ENGINE;
	else if (kind && !strcmp(kind, "service"))
		*out = BCT_UPSTREAM_SERVICE;
	else
		return bct_jread_fail(r->err, BCT_ERANGE, path, "kind",
				      "allowed: \"engine\", \"service\"");
	return 0;
}

static int read_upstream_models(reader_t *r, const json_t *list, const bct_jpath_t *path,
				bct_upstream_conf_t *u)
{
	char name[BCT_NAME_BYTES];
	const json_t *item;
	size_t i;
	int rc;

	if (!json_is_array(list) || json_array_size(list) == 0 ||
	    json_array_size(list) > BCT_MODELS_PER_UPSTREAM)
		return bct_jread_fail(r->err, BCT_ERANGE, path, "models",
				      "allowed: a list of 1 to %d model names",
				      BCT_MODELS_PER_UPSTREAM);
	json_array_foreach(list, i, item)
	{
		uint64_t key;

		rc = bct_jread_name(item, path, "models", name, r->err);
		if (rc)
			return rc;
		key = bct_hash_str(name);
		if (!bct_conf_model(r->conf, key))
			return bct_jread_fail(r->err, BCT_EREFERENCE, path, "models",
					      "no model \"%s\"; allowed: a model under \"models\"",
					      name);
		if (bct_upstream_serves(u, key))
			return bct_jread_fail(r->err, BCT_EDUPLICATE, path, "models",
					      "\"%s\" is listed twice", name);
		u->model_keys[u->n_models++] = key;
	}
	return 0;
}

/* Reads "models" of an engine or "service" of a service, and refuses the other key. */
static int read_upstream_target(reader_t *r, const json_t *obj, const bct_jpath_t *path,
				bct_upstream_conf_t *u)
{
	bool engine = u->kind == BCT_UPSTREAM_ENGINE;
	const char *wrong = engine ? "service" : "models";
	int rc;

	if (json_object_get(obj, wrong))
		return bct_jread_fail(r->err, BCT_EUNKNOWN_KEY, path, wrong,
				      "allowed only for kind \"%s\"",
				      engine ? "service" : "engine");
	if (engine)
		return read_upstream_models(r, json_object_get(obj, "models"), path, u);
	rc = bct_jread_name(json_object_get(obj, "service"), path, "service", u->service, r->err);
	if (!rc)
		u->service_key = bct_hash_str(u->service);
	return rc;
}

static int read_upstream(reader_t *r, const json_t *obj, const bct_jpath_t *path, void *out)
{
	bct_upstream_conf_t *u = out;
	int rc;

	set_name(u->name, &u->key, path->key);
	rc = bct_jread_object(obj, path, upstream_fields, COUNT(upstream_fields), u, r->err);
	if (!rc)
		rc = read_kind(r, obj, path, &u->kind);
	if (!rc)
		rc = read_upstream_target(r, obj, path, u);
	u->failure_domain_key = bct_hash_str(u->failure_domain);
	u->region_key = bct_hash_str(u->region);
	u->software_key = u->software[0] ? bct_hash_str(u->software) : 0;
	return rc;
}

static int read_token_hashes(reader_t *r, const json_t *list, const bct_jpath_t *path,
			     bct_account_conf_t *a)
{
	const json_t *item;
	size_t i;

	if (!json_is_array(list) || json_array_size(list) == 0 ||
	    json_array_size(list) > BCT_TOKENS_PER_ACCOUNT)
		return bct_jread_fail(r->err, BCT_ERANGE, path, "token_hashes",
				      "allowed: a list of 1 to %d token hashes",
				      BCT_TOKENS_PER_ACCOUNT);
	json_array_foreach(list, i, item)
	{
		const char *hex = json_string_value(item);

		if (!hex || bct_digest_parse(hex, &a->token_hashes[a->n_token_hashes++]))
			return bct_jread_fail(
				r->err, BCT_ERANGE, path, "token_hashes",
				"allowed: %d hex digits, as printed by chutectl hash-token",
				BCT_DIGEST_BYTES * 2);
	}
	return 0;
}

static bool service_exists(const bct_conf_t *c, uint64_t key)
{
	for (uint32_t i = 0; i < c->n_upstreams; i++) {
		if (c->upstreams[i].kind == BCT_UPSTREAM_SERVICE &&
		    c->upstreams[i].service_key == key)
			return true;
	}
	return false;
}

/* Reads the model or the service that answers; a class names exactly one of them. */
static int read_class_target(reader_t *r, const json_t *obj, const bct_jpath_t *path,
			     bct_class_conf_t *c)
{
	const json_t *model = json_object_get(obj, "model");
	const json_t *service = json_object_get(obj, "service");
	const char *key = model ? "model" : "service";
	bool known;
	int rc;

	if (!model == !service)
		return bct_jread_fail(r->err, model ? BCT_EUNKNOWN_KEY : BCT_EMISSING_KEY, path,
				      "model", "allowed: exactly one of model and service");
	rc = bct_jread_name(model ? model : service, path, key, c->target, r->err);
	if (rc)
		return rc;
	c->target_kind = model ? BCT_UPSTREAM_ENGINE : BCT_UPSTREAM_SERVICE;
	c->target_key = bct_hash_str(c->target);
	known = model ? bct_conf_model(r->conf, c->target_key) != NULL
		      : service_exists(r->conf, c->target_key);
	if (!known)
		return bct_jread_fail(r->err, BCT_EREFERENCE, path, key,
				      "no %s \"%s\"; allowed: %s", key, c->target,
				      model ? "a model under \"models\""
					    : "the service of an upstream");
	return 0;
}

static int read_class(reader_t *r, const json_t *obj, const bct_jpath_t *path, void *out)
{
	bct_class_conf_t *c = out;
	int rc;

	set_name(c->name, &c->key, path->key);
	rc = bct_jread_object(obj, path, class_fields, COUNT(class_fields), c, r->err);
	if (!rc)
		rc = read_class_target(r, obj, path, c);
	if (rc)
		return rc;
	if (c->target_kind == BCT_UPSTREAM_SERVICE && !json_object_get(obj, "repeatable"))
		return bct_jread_fail(
			r->err, BCT_EMISSING_KEY, path, "repeatable",
			"required for a class of a service: whether a request may run twice");
	if (c->deadline_ms && c->deadline_ms < c->ttft_ms)
		return bct_jread_fail(r->err, BCT_ERANGE, path, "deadline_ms",
				      "got %u; allowed: 0 or at least ttft_ms (%u)", c->deadline_ms,
				      c->ttft_ms);
	return 0;
}

static int read_account(reader_t *r, const json_t *obj, const bct_jpath_t *path, void *out)
{
	const bct_jpath_t limits = { path, "limits" }, classes = { path, "classes" };
	bct_account_conf_t *a = out;
	int rc;

	set_name(a->name, &a->key, path->key);
	rc = bct_jread_object(obj, path, account_fields, COUNT(account_fields), a, r->err);
	if (!rc)
		rc = read_token_hashes(r, json_object_get(obj, "token_hashes"), path, a);
	if (!rc)
		rc = bct_jread_object(json_object_get(obj, "limits"), &limits, limit_fields,
				      COUNT(limit_fields), a, r->err);
	if (!rc)
		rc = read_named(r, json_object_get(obj, "classes"), &classes, BCT_CONF_MAX_CLASSES,
				sizeof(*a->classes), read_class, (void **)&a->classes,
				&a->n_classes);
	if (!rc && a->n_classes == 0)
		rc = bct_jread_fail(r->err, BCT_ERANGE, &classes, NULL, "allowed: 1 to %d classes",
				    BCT_CONF_MAX_CLASSES);
	return rc;
}

/* Digest of a value that has to be unique, and the name of the object that has it. */
typedef struct unique_value {
	uint8_t bytes[BCT_DIGEST_BYTES];
	const char *owner;
} unique_value_t;

static int compare_unique(const void *a, const void *b)
{
	return memcmp(((const unique_value_t *)a)->bytes, ((const unique_value_t *)b)->bytes,
		      BCT_DIGEST_BYTES);
}

/* Sorts list and fails for the first two equal values; what describes the value in the error. */
static int check_unique(reader_t *r, unique_value_t *list, uint32_t n, const char *object,
			const char *what)
{
	const bct_jpath_t root = { NULL, "" }, at = { &root, object };
	uint32_t i;

	qsort(list, n, sizeof(*list), compare_unique);
	for (i = 1; i < n; i++) {
		if (compare_unique(&list[i - 1], &list[i]) == 0)
			return bct_jread_fail(r->err, BCT_EDUPLICATE, &at, list[i].owner,
					      "same %s as \"%s\"; allowed: a unique one", what,
					      list[i - 1].owner);
	}
	return 0;
}

static void add_unique(unique_value_t *list, uint32_t *n, const void *bytes, size_t len_bytes,
		       const char *owner)
{
	bct_digest_t d;

	bct_digest(bytes, len_bytes, &d);
	memcpy(list[*n].bytes, d.bytes, sizeof(d.bytes));
	list[*n].owner = owner;
	*n += 1;
}

/* Checks that no token hash occurs twice, because a token identifies its account. */
static int check_tokens(reader_t *r)
{
	const bct_conf_t *c = r->conf;
	unique_value_t *list =
		bct_alloc((c->n_accounts + 1) * BCT_TOKENS_PER_ACCOUNT * sizeof(*list));
	uint32_t n = 0, i, j;
	int rc;

	if (!list)
		return no_memory(r);
	for (i = 0; i < c->n_accounts; i++) {
		for (j = 0; j < c->accounts[i].n_token_hashes; j++)
			add_unique(list, &n, &c->accounts[i].token_hashes[j], BCT_DIGEST_BYTES,
				   c->accounts[i].name);
	}
	rc = check_unique(r, list, n, "contracts", "token hash");
	bct_free(list);
	return rc;
}

/* Checks that no two upstreams have the same address and port. */
static int check_addresses(reader_t *r)
{
	const bct_conf_t *c = r->conf;
	unique_value_t *list = bct_alloc((c->n_upstreams + 1) * sizeof(*list));
	char text[BCT_ADDR_BYTES + 8];
	uint32_t n = 0, i;
	int rc;

	if (!list)
		return no_memory(r);
	for (i = 0; i < c->n_upstreams; i++) {
		snprintf(text, sizeof(text), "%s %u", c->upstreams[i].address,
			 c->upstreams[i].port);
		add_unique(list, &n, text, strlen(text), c->upstreams[i].name);
	}
	rc = check_unique(r, list, n, "upstreams", "address and port");
	bct_free(list);
	return rc;
}

/*
 * Reads the sections in order of reference: upstreams refer to models, classes to both. Missing
 * "timeouts" are read as an empty object, so that the defaults are stored.
 */
static int read_document(reader_t *r, const json_t *doc)
{
	const bct_jpath_t root = { NULL, "" };
	const bct_jpath_t timeouts = { &root, "timeouts" }, models = { &root, "models" };
	const bct_jpath_t upstreams = { &root, "upstreams" }, contracts = { &root, "contracts" };
	bct_conf_t *c = r->conf;
	json_t *empty = NULL;
	const json_t *obj;
	int rc;

	rc = bct_jread_object(doc, &root, document_fields, COUNT(document_fields), c, r->err);
	if (rc)
		return rc;
	obj = json_object_get(doc, "timeouts");
	if (!obj)
		obj = empty = json_object();
	rc = obj ? bct_jread_object(obj, &timeouts, timeout_fields, COUNT(timeout_fields),
				    &c->timeouts, r->err)
		 : no_memory(r);
	json_decref(empty);
	if (!rc)
		rc = read_named(r, json_object_get(doc, "models"), &models, BCT_CONF_MAX_MODELS,
				sizeof(*c->models), read_model, (void **)&c->models, &c->n_models);
	if (!rc)
		rc = read_named(r, json_object_get(doc, "upstreams"), &upstreams,
				BCT_CONF_MAX_UPSTREAMS, sizeof(*c->upstreams), read_upstream,
				(void **)&c->upstreams, &c->n_upstreams);
	if (!rc)
		rc = read_named(r, json_object_get(doc, "contracts"), &contracts,
				BCT_CONF_MAX_ACCOUNTS, sizeof(*c->accounts), read_account,
				(void **)&c->accounts, &c->n_accounts);
	if (!rc)
		rc = check_addresses(r);
	return rc ? rc : check_tokens(r);
}

int bct_conf_from_json(const json_t *doc, uint64_t revision, bct_json_err_t *err, bct_conf_t **out)
{
	reader_t r = { bct_conf_new(), err };
	int rc;

	if (!r.conf)
		return no_memory(&r);
	r.conf->revision = revision;
	rc = read_document(&r, doc);
	if (!rc) {
		rc = bct_conf_digest(doc, &r.conf->digest);
		if (rc)
			bct_json_fail(err, -rc, "", "allowed: at most %d bytes of canonical JSON",
				      BCT_CONF_MAX_BYTES);
	}
	if (rc)
		bct_conf_unref(r.conf);
	else
		*out = r.conf;
	return rc;
}
