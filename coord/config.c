/*
 * config.c - replay of configuration records, without locking or I/O.
 */
#include "coord/config.h"
#include "base/err.h"
#include "base/mem.h"
#include "coord/conf_json.h"
#include "coord/config_doc.h"

#include <string.h>

static const struct {
	const char *wire;
	const char *text;
} statuses[] = {
#define DEF(name, wire, text) { wire, text },
	BCT_CHANGE_STATUS_LIST(DEF)
#undef DEF
};

const char *bct_change_status_wire(bct_change_status_t status)
{
	return status < BCT_CHANGE_STATUS_COUNT ? statuses[status].wire : "unknown";
}

const char *bct_change_status_text(bct_change_status_t status)
{
	return status < BCT_CHANGE_STATUS_COUNT ? statuses[status].text : "unknown";
}

int bct_config_init(bct_config_state_t *s)
{
	bct_json_err_t err;
	int rc;

	memset(s, 0, sizeof(*s));
	s->doc = json_object();
	rc = s->doc ? bct_conf_from_json(s->doc, 0, &err, &s->conf) : -BCT_ENOMEM;
	if (rc) {
		bct_config_free(s);
		return rc;
	}
	s->digest = s->conf->digest;
	return 0;
}

void bct_config_free(bct_config_state_t *s)
{
	json_decref(s->doc);
	bct_conf_unref(s->conf);
	memset(s, 0, sizeof(*s));
}

const bct_config_recent_t *bct_config_recent(const bct_config_state_t *s, uint64_t id)
{
	for (uint32_t i = 0; i < s->n_recent; i++) {
		if (s->recent[i].id == id)
			return &s->recent[i];
	}
	return NULL;
}

static void add_recent(bct_config_state_t *s, uint64_t id, uint64_t revision,
		       bct_change_status_t status)
{
	s->recent[s->recent_at] = (bct_config_recent_t){ id, revision, status };
	s->recent_at = (s->recent_at + 1) % BCT_CONFIG_RECENT;
	if (s->n_recent < BCT_CONFIG_RECENT)
		s->n_recent++;
}

static bool same_digest(const bct_digest_t *d, const char *bytes)
{
	return memcmp(d->bytes, bytes, sizeof(d->bytes)) == 0;
}

/* Checks a change's base; ACCEPTED means that its objects have still to be checked. */
static bct_change_status_t check_base(const bct_config_state_t *s, const bct_xconfig_change *c)
{
	if (c->base_revision < s->revision)
		return BCT_CHANGE_STATUS_STALE_BASE;
	if (c->base_revision > s->revision)
		return BCT_CHANGE_STATUS_FUTURE_BASE;
	return same_digest(&s->digest, c->base_digest) ? BCT_CHANGE_STATUS_ACCEPTED
						       : BCT_CHANGE_STATUS_BASE_DIGEST;
}

/*
 * Builds the document and the configuration that result from a change based on the state, and
 * stores the result in out->status.
 *
 * returns  0 or -BCT_ENOMEM, after which out->status is not valid
 */
static int apply_objects(const bct_config_state_t *s, const bct_xconfig_change *c,
			 bct_config_result_t *out, json_t **doc, bct_conf_t **conf)
{
	int rc = bct_config_doc_apply(s->doc, c->objects.objects_val, c->objects.objects_len,
				      &out->error, doc);

	if (rc) {
		out->status = BCT_CHANGE_STATUS_BAD_OBJECT;
		return rc == -BCT_ENOMEM ? rc : 0;
	}
	rc = bct_conf_from_json(*doc, s->revision + 1, &out->error, conf);
	if (rc)
		out->status = BCT_CHANGE_STATUS_INVALID;
	else if (!same_digest(&(*conf)->digest, c->digest))
		out->status = BCT_CHANGE_STATUS_DIGEST_AFTER;
	else
		out->status = BCT_CHANGE_STATUS_ACCEPTED;
	return rc == -BCT_ENOMEM ? rc : 0;
}

static void set_document(bct_config_state_t *s, json_t *doc, bct_conf_t *conf)
{
	json_decref(s->doc);
	bct_conf_unref(s->conf);
	s->doc = json_incref(doc);
	s->conf = bct_conf_ref(conf);
	s->digest = conf->digest;
	s->revision = conf->revision;
}

static int replay_change(bct_config_state_t *s, const bct_xconfig_change *c,
			 bct_config_result_t *out)
{
	const bct_config_recent_t *earlier = bct_config_recent(s, c->id);
	json_t *doc = NULL;
	bct_conf_t *conf = NULL;
	int rc = 0;

	out->id = c->id;
	out->wall_ms = c->wall_ms;
	if (earlier) {
		out->repeat = true;
		out->status = earlier->status;
		out->revision = earlier->revision;
		return 0;
	}
	out->status = check_base(s, c);
	if (out->status == BCT_CHANGE_STATUS_ACCEPTED)
		rc = apply_objects(s, c, out, &doc, &conf);
	if (!rc) {
		if (out->status == BCT_CHANGE_STATUS_ACCEPTED)
			set_document(s, doc, conf);
		out->revision = s->revision;
		add_recent(s, c->id, s->revision, out->status);
	}
	json_decref(doc);
	bct_conf_unref(conf);
	return rc;
}

/*
 * Compares a snapshot with the state. A snapshot covers no record after its own offset, so its
 * revision cannot be higher than that of the state. A lower revision cannot be compared: other
 * changes reached the log before the snapshot did.
 */
static int replay_snapshot(const bct_config_state_t *s, const bct_xconfig_snapshot *snap,
			   bct_config_result_t *out)
{
	out->revision = s->revision;
	out->wall_ms = snap->wall_ms;
	if (snap->covered > s->next)
		return -BCT_ECODEC;
	if (snap->revision > s->revision)
		return -BCT_EDIVERGED;
	if (snap->revision == s->revision && !same_digest(&s->digest, snap->digest))
		return -BCT_EDIVERGED;
	return 0;
}

int bct_config_replay(bct_config_state_t *s, const void *data, uint32_t len_bytes,
		      bct_config_result_t *out)
{
	bct_xconfig_record rec;
	int rc;

	memset(out, 0, sizeof(*out));
	out->revision = s->revision;
	rc = bct_config_decode(data, len_bytes, &rec);
	if (!rc) {
		out->type = rec.type;
		if (rec.type == BCT_XCONFIG_CHANGE)
			rc = replay_change(s, &rec.bct_xconfig_record_u.change, out);
		else
			rc = replay_snapshot(s, &rec.bct_xconfig_record_u.snapshot, out);
		bct_config_record_free(&rec);
	}
	if (rc != -BCT_ENOMEM)
		s->next++;
	return rc;
}

static int load_recent(const bct_xconfig_snapshot *snap, bct_config_state_t *s)
{
	for (u_int i = 0; i < snap->recent.recent_len; i++) {
		const bct_xchange_status *v = &snap->recent.recent_val[i];

		if (v->reason >= BCT_CHANGE_STATUS_COUNT)
			return -BCT_ECODEC;
		add_recent(s, v->id, v->revision, (bct_change_status_t)v->reason);
	}
	return 0;
}

int bct_config_from_snapshot(const bct_xconfig_snapshot *snap, bct_config_state_t *out)
{
	bct_json_err_t err;
	int rc;

	memset(out, 0, sizeof(*out));
	out->doc = bct_json_parse(snap->document.document_val, snap->document.document_len,
				  BCT_CONF_MAX_BYTES, &err);
	rc = out->doc ? bct_conf_from_json(out->doc, snap->revision, &err, &out->conf) : err.err;
	if (!rc && !same_digest(&out->conf->digest, snap->digest))
		rc = -BCT_ECODEC;
	if (!rc)
		rc = load_recent(snap, out);
	if (rc) {
		bct_config_free(out);
		return rc == -BCT_ENOMEM ? rc : -BCT_ECODEC;
	}
	out->next = snap->covered;
	out->revision = snap->revision;
	out->digest = out->conf->digest;
	return 0;
}
