/*
 * config_codec.c - encodes and decodes configuration records as XDR.
 */
#include "coord/config.h"
#include "base/err.h"
#include "base/mem.h"
#include "coord/conf_json.h"
#include "coord/config_doc.h"

#include <string.h>

#define RECORD_MAX_BYTES (1024 * 1024)
#define XDR_UNIT_BYTES 4

static bool is_terminated(const char *name, u_int len)
{
	return len > 0 && name[len - 1] == '\0';
}

static bool names_are_terminated(const bct_xconfig_record *r)
{
	const bct_xconfig_snapshot *snap = &r->bct_xconfig_record_u.snapshot;
	const bct_xconfig_change *c = &r->bct_xconfig_record_u.change;

	if (r->type == BCT_XCONFIG_SNAPSHOT)
		return is_terminated(snap->writer.writer_val, snap->writer.writer_len);
	for (u_int i = 0; i < c->objects.objects_len; i++) {
		const bct_xobject *o = &c->objects.objects_val[i];

		if (!is_terminated(o->path.path_val, o->path.path_len))
			return false;
	}
	return is_terminated(c->author.author_val, c->author.author_len);
}

/* Encoded length of a name: padded with at least one NUL to a multiple of XDR_UNIT_BYTES. */
static u_int name_len(const char *name)
{
	return (u_int)(strlen(name) / XDR_UNIT_BYTES + 1) * XDR_UNIT_BYTES;
}

/* XXX: the XDR library reports a failed allocation and a malformed record in the same way. */
int bct_config_decode(const void *data, uint32_t len_bytes, bct_xconfig_record *out)
{
	XDR xdrs;
	bool valid;

	memset(out, 0, sizeof(*out));
	xdrmem_create(&xdrs, (char *)data, len_bytes, XDR_DECODE);
	valid = xdr_bct_xconfig_record(&xdrs, out) && xdr_getpos(&xdrs) == len_bytes &&
		names_are_terminated(out);
	xdr_destroy(&xdrs);
	if (valid)
		return 0;
	bct_config_record_free(out);
	return -BCT_ECODEC;
}

void bct_config_record_free(bct_xconfig_record *r)
{
	xdr_free((xdrproc_t)xdr_bct_xconfig_record, (char *)r);
	memset(r, 0, sizeof(*r));
}

static int encode(bct_xconfig_record *r, bct_buf_t *out)
{
	u_int len = (u_int)xdr_sizeof((xdrproc_t)xdr_bct_xconfig_record, r);
	XDR xdrs;
	char *bytes;
	int rc;

	if (len == 0 || len > RECORD_MAX_BYTES)
		return -BCT_ETOO_LARGE;
	bytes = bct_alloc(len);
	if (!bytes)
		return -BCT_ENOMEM;
	xdrmem_create(&xdrs, bytes, len, XDR_ENCODE);
	rc = xdr_bct_xconfig_record(&xdrs, r) ? bct_buf_put(out, bytes, len) : -BCT_ECODEC;
	xdr_destroy(&xdrs);
	bct_free(bytes);
	return rc;
}

static void put_recent(const bct_config_state_t *s, bct_xchange_status *out)
{
	uint32_t first = s->n_recent < BCT_CONFIG_RECENT ? 0 : s->recent_at;

	for (uint32_t i = 0; i < s->n_recent; i++) {
		const bct_config_recent_t *r = &s->recent[(first + i) % BCT_CONFIG_RECENT];

		out[i] = (bct_xchange_status){ r->id, r->revision, (u_int)r->status };
	}
}

int bct_config_snapshot_encode(const bct_config_state_t *s, const char *writer, bct_time_t wall_ms,
			       bct_buf_t *out)
{
	bct_xconfig_record rec = { .type = BCT_XCONFIG_SNAPSHOT };
	bct_xconfig_snapshot *snap = &rec.bct_xconfig_record_u.snapshot;
	bct_xchange_status recent[BCT_CONFIG_RECENT];
	char name[BCT_X_AUTHOR_BYTES] = { 0 };
	bct_buf_t text;
	int rc;

	if (strlen(writer) >= sizeof(name))
		return -BCT_ETOO_LARGE;
	memcpy(name, writer, strlen(writer));
	bct_buf_init(&text, 0);
	rc = bct_conf_canonical(s->doc, &text);
	while (!rc && text.len_bytes % XDR_UNIT_BYTES)
		rc = bct_buf_puts(&text, " ");
	if (rc)
		goto out;
	put_recent(s, recent);
	snap->covered = s->next;
	snap->revision = s->revision;
	memcpy(snap->digest, s->digest.bytes, sizeof(snap->digest));
	snap->writer.writer_len = name_len(name);
	snap->writer.writer_val = name;
	snap->wall_ms = wall_ms;
	snap->recent.recent_len = s->n_recent;
	snap->recent.recent_val = recent;
	snap->document.document_len = (u_int)text.len_bytes;
	snap->document.document_val = text.data;
	rc = encode(&rec, out);
out:
	bct_buf_free(&text);
	return rc;
}

static void objects_from_diff(const bct_config_diff_t *diff, uint32_t n, bct_xobject *out)
{
	for (uint32_t i = 0; i < n; i++) {
		out[i].path.path_len = name_len(diff[i].path);
		out[i].path.path_val = (char *)diff[i].path;
		out[i].text.text_val = diff[i].text;
		out[i].text.text_len = diff[i].text ? (u_int)strlen(diff[i].text) : 0;
	}
}

/* Digest of the document that each replica will build when it applies the objects. */
static int digest_after(const bct_config_state_t *base, const bct_xconfig_change *c,
			bct_digest_t *out)
{
	bct_json_err_t err;
	json_t *doc = NULL;
	int rc = bct_config_doc_apply(base->doc, c->objects.objects_val, c->objects.objects_len,
				      &err, &doc);

	if (!rc)
		rc = bct_conf_digest(doc, out);
	json_decref(doc);
	return rc;
}

static int encode_change(const bct_config_state_t *base, const bct_config_diff_t *diff, uint32_t n,
			 bct_xconfig_change *c, bct_buf_t *out)
{
	bct_xobject *objects = bct_alloc(n * sizeof(*objects));
	bct_xconfig_record rec = { .type = BCT_XCONFIG_CHANGE };
	bct_digest_t after;
	int rc;

	if (!objects)
		return -BCT_ENOMEM;
	objects_from_diff(diff, n, objects);
	c->objects.objects_len = n;
	c->objects.objects_val = objects;
	rc = digest_after(base, c, &after);
	if (!rc) {
		memcpy(c->digest, after.bytes, sizeof(c->digest));
		rec.bct_xconfig_record_u.change = *c;
		rc = encode(&rec, out);
	}
	bct_free(objects);
	return rc;
}

int bct_config_change_encode(const bct_config_state_t *base, const json_t *doc, uint64_t id,
			     const char *author, bct_time_t wall_ms, bct_buf_t *out)
{
	bct_xconfig_change c = { .id = id, .base_revision = base->revision, .wall_ms = wall_ms };
	char name[BCT_X_AUTHOR_BYTES] = { 0 };
	bct_config_diff_t *diff = NULL;
	uint32_t n = 0;
	int rc;

	if (strlen(author) >= sizeof(name))
		return -BCT_ETOO_LARGE;
	memcpy(name, author, strlen(author));
	c.author.author_len = name_len(name);
	c.author.author_val = name;
	memcpy(c.base_digest, base->digest.bytes, sizeof(c.base_digest));
	rc = bct_config_diff(base->doc, doc, &diff, &n);
	if (!rc && n == 0)
		rc = -BCT_ESTATE;
	else if (!rc && n > BCT_X_CHANGES)
		rc = -BCT_ETOO_LARGE;
	else if (!rc)
		rc = encode_change(base, diff, n, &c, out);
	bct_config_diff_free(diff, n);
	return rc;
}
