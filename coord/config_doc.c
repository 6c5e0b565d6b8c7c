/*
 * config_doc.c - applies a change to a document and computes the difference of two documents.
 */
#include "coord/config_doc.h"
#include "base/err.h"
#include "base/mem.h"
#include "coord/conf_json.h"
#include "coord/config.h"

#include <stdio.h>
#include <string.h>

#define SEPARATOR '/'
#define TEXT_UNIT_BYTES 4

/* Sections that hold one object per name; "timeouts" is a single object. */
static const char *const sections[] = { "models", "upstreams", "contracts" };
#define N_SECTIONS (sizeof(sections) / sizeof(sections[0]))
#define TIMEOUTS "timeouts"

/* Copies the document and its sections, adding missing ones; the objects in them are shared. */
static json_t *copy_document(const json_t *doc)
{
	json_t *copy = json_copy((json_t *)doc);
	size_t i;

	for (i = 0; copy && i < N_SECTIONS; i++) {
		json_t *section = json_object_get(copy, sections[i]);

		section = section ? json_copy(section) : json_object();
		if (json_object_set_new(copy, sections[i], section)) {
			json_decref(copy);
			return NULL;
		}
	}
	return copy;
}

static void drop_empty_sections(json_t *doc)
{
	for (size_t i = 0; i < N_SECTIONS; i++) {
		if (json_object_size(json_object_get(doc, sections[i])) == 0)
			json_object_del(doc, sections[i]);
	}
}

/* Finds the JSON object that holds a path's value, and the key of the value in it. */
static json_t *find_parent(json_t *doc, const char *path, const char **key)
{
	const char *name = strchr(path, SEPARATOR);
	size_t len = name ? (size_t)(name - path) : 0, i;

	if (!strcmp(path, TIMEOUTS)) {
		*key = path;
		return doc;
	}
	for (i = 0; name && name[1] && i < N_SECTIONS; i++) {
		if (strlen(sections[i]) == len && !strncmp(sections[i], path, len)) {
			*key = name + 1;
			return json_object_get(doc, sections[i]);
		}
	}
	return NULL;
}

/*
 * Names must be ASCII: the JSON library reports a key that is not UTF-8 in the same way as a failed
 * allocation.
 */
static bool is_ascii(const char *s)
{
	while (*s && (unsigned char)*s < 0x80)
		s++;
	return !*s;
}

static int apply_object(json_t *doc, const bct_xobject *o, bct_json_err_t *err)
{
	const char *path = o->path.path_val, *key;
	json_t *parent = find_parent(doc, path, &key), *value;

	if (!parent || !is_ascii(path))
		return bct_json_fail(err, BCT_ERANGE, path,
				     "allowed: timeouts, models/NAME, upstreams/NAME or "
				     "contracts/NAME, with an ASCII name");
	if (o->text.text_len == 0) {
		json_object_del(parent, key);
		return 0;
	}
	value = bct_json_parse(o->text.text_val, o->text.text_len, BCT_CONF_MAX_BYTES, err);
	if (!value) {
		snprintf(err->path, sizeof(err->path), "%s", path);
		return err->err;
	}
	return json_object_set_new(parent, key, value) ? -BCT_ENOMEM : 0;
}

int bct_config_doc_apply(const json_t *doc, const bct_xobject *objects, uint32_t n,
			 bct_json_err_t *err, json_t **out)
{
	json_t *copy = copy_document(doc);
	int rc = copy ? 0 : -BCT_ENOMEM;

	for (uint32_t i = 0; i < n && !rc; i++)
		rc = apply_object(copy, &objects[i], err);
	if (rc) {
		json_decref(copy);
		return rc;
	}
	drop_empty_sections(copy);
	*out = copy;
	return 0;
}

/* Growing list of the differences found. */
typedef struct collector {
	bct_config_diff_t *diff;
	uint32_t n;
	uint32_t cap;
} collector_t;

/* Frees a text that the JSON library allocated. */
static void release_text(char *text)
{
	json_free_t release;

	json_get_alloc_funcs(NULL, &release);
	release(text);
}

/* JSON text of an object, padded with spaces to a multiple of TEXT_UNIT_BYTES. */
static char *object_text(const json_t *value)
{
	char *text = json_dumps(value, JSON_SORT_KEYS | JSON_COMPACT);
	size_t len = text ? strlen(text) : 0;
	size_t padded = (len + TEXT_UNIT_BYTES - 1) / TEXT_UNIT_BYTES * TEXT_UNIT_BYTES;
	char *out = text ? bct_alloc(padded + 1) : NULL;

	if (out) {
		memset(out, ' ', padded);
		memcpy(out, text, len);
	}
	release_text(text);
	return out;
}

static int collect(collector_t *c, const char *section, const char *name, const json_t *from,
		   const json_t *to)
{
	bct_config_diff_t *d;

	if (c->n == c->cap) {
		uint32_t cap = c->cap ? c->cap * 2 : 16;

		d = bct_realloc(c->diff, cap * sizeof(*d));
		if (!d)
			return -BCT_ENOMEM;
		c->diff = d;
		c->cap = cap;
	}
	d = &c->diff[c->n++];
	memset(d, 0, sizeof(*d));
	snprintf(d->path, sizeof(d->path), "%s%s%s", section, name ? "/" : "", name ? name : "");
	d->old = from ? object_text(from) : NULL;
	d->text = to ? object_text(to) : NULL;
	return (from && !d->old) || (to && !d->text) ? -BCT_ENOMEM : 0;
}

static int collect_section(collector_t *c, const char *section, const json_t *from,
			   const json_t *to)
{
	const char *name;
	json_t *value;
	int rc;

	json_object_foreach((json_t *)to, name, value)
	{
		const json_t *old = json_object_get(from, name);

		rc = json_equal(old, value) ? 0 : collect(c, section, name, old, value);
		if (rc)
			return rc;
	}
	json_object_foreach((json_t *)from, name, value)
	{
		rc = json_object_get(to, name) ? 0 : collect(c, section, name, value, NULL);
		if (rc)
			return rc;
	}
	return 0;
}

int bct_config_diff(const json_t *from, const json_t *to, bct_config_diff_t **out, uint32_t *n)
{
	const json_t *a = json_object_get(from, TIMEOUTS), *b = json_object_get(to, TIMEOUTS);
	collector_t c = { 0 };
	size_t i;
	int rc = 0;

	if ((a || b) && !json_equal(a, b))
		rc = collect(&c, TIMEOUTS, NULL, a, b);
	for (i = 0; i < N_SECTIONS && !rc; i++)
		rc = collect_section(&c, sections[i], json_object_get(from, sections[i]),
				     json_object_get(to, sections[i]));
	if (rc) {
		bct_config_diff_free(c.diff, c.n);
		return rc;
	}
	*out = c.diff;
	*n = c.n;
	return 0;
}

void bct_config_diff_free(bct_config_diff_t *diff, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		bct_free(diff[i].text);
		bct_free(diff[i].old);
	}
	bct_free(diff);
}
