/*
 * chutectl_config.c - the commands that work on the configuration without a node: validate,
 * publish, diff, history, show, hash-token.
 */
#include "cmd/chutectl.h"
#include "base/err.h"
#include "coord/conf_json.h"
#include "coord/config_publish.h"
#include "coord/platform_http.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DOCUMENT_MAX_BYTES (4 * 1024 * 1024) /* of the file, with comments */
#define CALL_TIMEOUT_MS 2000		     /* of one platform call; --timeout-ms lowers it */
#define TOKEN_MAX_BYTES 1024
#define MESSAGE_BYTES 1024

static void fail_document(const ctl_t *ctl, const bct_json_err_t *err, const char *file)
{
	char text[MESSAGE_BYTES];

	bct_json_err_print(err, file, text, sizeof(text));
	if (!ctl->json) {
		fprintf(stderr, "%s\n", text);
		return;
	}
	ctl_print_json(json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:i}", "error",
				 bct_err_name(err->err), "file", file, "path", err->path, "detail",
				 err->detail, "line", err->line, "column", err->column, "exit",
				 CTL_INVALID));
}

json_t *ctl_load_document(const ctl_t *ctl, const char *file)
{
	bct_json_err_t err;
	bct_conf_t *conf = NULL;
	json_t *doc = bct_json_load(file, DOCUMENT_MAX_BYTES, &err);

	if (!doc || bct_conf_from_json(doc, 0, &err, &conf)) {
		fail_document(ctl, &err, file);
		json_decref(doc);
		return NULL;
	}
	bct_conf_unref(conf);
	return doc;
}

ctl_exit_t ctl_validate(ctl_t *ctl)
{
	json_t *doc = ctl_load_document(ctl, ctl->args[0]);
	char hex[BCT_DIGEST_HEX_BYTES];
	bct_digest_t digest;

	if (!doc)
		return CTL_INVALID;
	bct_conf_digest(doc, &digest);
	json_decref(doc);
	bct_digest_hex(&digest, hex);
	if (ctl->json)
		ctl_print_json(json_pack("{s:b, s:s}", "valid", 1, "digest", hex));
	else
		printf("%s: valid, digest %s\n", ctl->args[0], hex);
	return CTL_OK;
}

static ctl_exit_t open_platform(const ctl_t *ctl, bct_platform_t **out)
{
	const bct_platform_http_opts_t opts = { .base_url = ctl->platform_url };
	int rc = bct_platform_http_new(&opts, out);

	return rc ? ctl_fail(ctl, CTL_USAGE, "--platform: %s", bct_err_text(rc)) : CTL_OK;
}

static ctl_exit_t fail_log(const ctl_t *ctl, int rc)
{
	if (rc == -BCT_EEXPIRED)
		return ctl_fail(ctl, CTL_UNAVAILABLE,
				"log records have expired and no valid snapshot replaces them");
	if (rc == -BCT_ENOMEM)
		return ctl_fail(ctl, CTL_INTERNAL, "%s", bct_err_text(rc));
	return ctl_fail(ctl, CTL_UNAVAILABLE, "platform log: %s", bct_err_text(rc));
}

static uint32_t call_timeout_ms(const ctl_t *ctl)
{
	return ctl->timeout_ms < CALL_TIMEOUT_MS ? (uint32_t)ctl->timeout_ms : CALL_TIMEOUT_MS;
}

static void print_publish_json(const bct_publish_result_t *r, ctl_exit_t code)
{
	char id[24];
	json_t *out;

	snprintf(id, sizeof(id), "%016" PRIx64, r->id);
	out = json_pack("{s:s, s:s, s:I, s:I, s:i}", "outcome",
			bct_publish_outcome_wire(r->outcome), "id", id, "base_revision",
			(json_int_t)r->base_revision, "revision", (json_int_t)r->revision, "exit",
			(int)code);
	if (out && r->outcome == BCT_PUBLISH_REJECTED) {
		json_object_set_new(out, "reason", json_string(bct_change_status_wire(r->status)));
		json_object_set_new(out, "winner_diff", ctl_diff_json(r->base, r->log_doc));
	}
	ctl_print_json(out);
}

static void print_publish(const bct_publish_result_t *r)
{
	switch (r->outcome) {
	case BCT_PUBLISH_ACCEPTED:
		printf("accepted: revision %" PRIu64 "\n", r->revision);
		break;
	case BCT_PUBLISH_UNCHANGED:
		printf("unchanged: revision %" PRIu64 " already is this document\n", r->revision);
		break;
	case BCT_PUBLISH_REJECTED:
		printf("rejected: %s\nbased on revision %" PRIu64 "; revision %" PRIu64
		       " is in force, with these changes since:\n",
		       bct_change_status_text(r->status), r->base_revision, r->revision);
		ctl_print_diff(r->base, r->log_doc);
		break;
	case BCT_PUBLISH_UNKNOWN:
		printf("unknown: no result in the log within the time limit; change %016" PRIx64
		       " may still be accepted.\nRun chutectl history and look for this id; "
		       "publishing the same file again is safe.\n",
		       r->id);
		break;
	case BCT_PUBLISH_NOT_SENT:
		break;
	}
}

/* The exit code of each outcome; the table is in the order of bct_publish_outcome_t. */
static ctl_exit_t publish_exit(bct_publish_outcome_t o)
{
	static const ctl_exit_t codes[] = { CTL_OK, CTL_OK, CTL_REJECTED, CTL_UNAVAILABLE,
					    CTL_UNKNOWN };

	return codes[o];
}

static ctl_exit_t publish_document(ctl_t *ctl, bct_platform_t *p, const json_t *doc)
{
	const char *user = getenv("USER");
	const bct_publish_opts_t opts = {
		.platform = p,
		.author = ctl->author ? ctl->author
			  : user      ? user
				      : "unknown",
		.timeout_ms = (uint32_t)ctl->timeout_ms,
		.call_timeout_ms = call_timeout_ms(ctl),
		.base_revision = (uint64_t)ctl->base_revision,
		.has_base = (ctl->given & CTL_OPT_BASE) != 0,
	};
	bct_publish_result_t res;
	int rc = bct_config_publish(&opts, doc, &res);
	ctl_exit_t code = publish_exit(res.outcome);

	if (rc == -BCT_ETOO_LARGE)
		code = ctl_fail(ctl, CTL_INVALID, "the change is too large for one log record");
	else if (rc)
		code = fail_log(ctl, rc);
	else if (ctl->json)
		print_publish_json(&res, code);
	else
		print_publish(&res);
	bct_publish_result_free(&res);
	return code;
}

ctl_exit_t ctl_publish(ctl_t *ctl)
{
	json_t *doc = ctl_load_document(ctl, ctl->args[0]);
	bct_platform_t *p = NULL;
	ctl_exit_t code;

	if (!doc)
		return CTL_INVALID;
	code = open_platform(ctl, &p);
	if (code == CTL_OK)
		code = publish_document(ctl, p, doc);
	bct_platform_free(p);
	json_decref(doc);
	return code;
}

ctl_exit_t ctl_diff(ctl_t *ctl)
{
	json_t *doc = ctl_load_document(ctl, ctl->args[0]);
	bct_config_state_t now = { 0 };
	bct_platform_t *p = NULL;
	ctl_exit_t code;
	int rc;

	if (!doc)
		return CTL_INVALID;
	code = open_platform(ctl, &p);
	if (code != CTL_OK)
		goto out;
	rc = bct_config_read_log(p, call_timeout_ms(ctl), NULL, NULL, &now);
	if (rc) {
		code = fail_log(ctl, rc);
	} else if (ctl->json) {
		ctl_print_json(json_pack("{s:I, s:o}", "revision", (json_int_t)now.revision,
					 "changes", ctl_diff_json(now.doc, doc)));
	} else {
		printf("against revision %" PRIu64 ":\n", now.revision);
		ctl_print_diff(now.doc, doc);
	}
	if (!rc)
		bct_config_free(&now);
out:
	bct_platform_free(p);
	json_decref(doc);
	return code;
}

/*
 * Replays every record that is still in the log: from the first record, or from the newest
 * valid snapshot if the first records have expired.
 */
static int replay_all(const ctl_t *ctl, bct_platform_t *p, bct_config_replayed_t replayed,
		      void *ctx, bct_config_state_t *s)
{
	int rc = bct_config_init(s);

	if (rc)
		return rc;
	while ((rc = bct_config_read_next(p, s, 0, call_timeout_ms(ctl), replayed, ctx)) > 0)
		;
	if (!rc)
		return 0;
	bct_config_free(s);
	if (rc != -BCT_EEXPIRED)
		return rc;
	return bct_config_read_log(p, call_timeout_ms(ctl), replayed, ctx, s);
}

/* Context of add_history(): collects one entry for each change in the log. */
typedef struct history {
	const ctl_t *ctl;
	json_t *list;
} history_t;

static json_t *object_paths(const bct_xconfig_change *c)
{
	json_t *paths = json_array();

	for (u_int i = 0; i < c->objects.objects_len; i++)
		json_array_append_new(paths, json_string(c->objects.objects_val[i].path.path_val));
	return paths;
}

/* Adds a change. Its author and objects come from the record, its status from the replay. */
static void add_history(void *ctx, const bct_record_t *rec, const bct_config_result_t *res, int rc)
{
	history_t *h = ctx;
	const bct_xconfig_change *c;
	bct_xconfig_record x;
	char id[24];

	if (rc || res->type != BCT_XCONFIG_CHANGE ||
	    bct_config_decode(rec->data, rec->len_bytes, &x))
		return;
	c = &x.bct_xconfig_record_u.change;
	snprintf(id, sizeof(id), "%016" PRIx64, c->id);
	json_array_append_new(h->list,
			      json_pack("{s:I, s:s, s:I, s:I, s:s, s:b, s:s, s:I, s:o}", "offset",
					(json_int_t)rec->offset, "id", id, "base_revision",
					(json_int_t)c->base_revision, "revision",
					(json_int_t)res->revision, "verdict",
					bct_change_status_wire(res->status), "repeat", res->repeat,
					"author", c->author.author_val, "wall_ms",
					(json_int_t)c->wall_ms, "objects", object_paths(c)));
	bct_config_record_free(&x);
}

static void print_history(const json_t *list)
{
	const json_t *e;
	size_t i;

	json_array_foreach(list, i, e)
	{
		const json_t *objects = json_object_get(e, "objects");
		char when[CTL_TIME_BYTES];

		ctl_wall_text(json_integer_value(json_object_get(e, "wall_ms")), when);
		printf("%s  %-12s rev %-5" JSON_INTEGER_FORMAT " %-12.12s %s  %s%s\n", when,
		       json_string_value(json_object_get(e, "verdict")),
		       json_integer_value(json_object_get(e, "revision")),
		       json_string_value(json_object_get(e, "author")),
		       json_string_value(json_object_get(e, "id")),
		       json_string_value(json_array_get(objects, 0)),
		       json_array_size(objects) > 1 ? ", ..." : "");
	}
}

ctl_exit_t ctl_history(ctl_t *ctl)
{
	history_t h = { ctl, NULL };
	bct_config_state_t s;
	bct_platform_t *p = NULL;
	ctl_exit_t code = open_platform(ctl, &p);
	int rc;

	if (code != CTL_OK)
		return code;
	h.list = json_array();
	rc = replay_all(ctl, p, add_history, &h, &s);
	if (rc)
		code = fail_log(ctl, rc);
	else
		bct_config_free(&s);
	if (!rc && ctl->json)
		ctl_print_json(json_incref(h.list));
	else if (!rc)
		print_history(h.list);
	json_decref(h.list);
	bct_platform_free(p);
	return code;
}

/* Context of match_revision(): finds the document of one revision during a replay. */
typedef struct revision_search {
	const bct_config_state_t *state;
	uint64_t revision;
	json_t *doc; /* NULL until the revision is reached */
} revision_search_t;

static void match_revision(void *ctx, const bct_record_t *rec, const bct_config_result_t *res,
			   int rc)
{
	revision_search_t *search = ctx;

	(void)rec;
	(void)res;
	(void)rc;
	if (!search->doc && search->state->revision == search->revision)
		search->doc = json_incref(search->state->doc);
}

static ctl_exit_t print_document(const ctl_t *ctl, const revision_search_t *search)
{
	if (!search->doc)
		return ctl_fail(ctl, CTL_REFUSED, "the log has no revision %" PRIu64,
				search->revision);
	if (ctl->json)
		ctl_print_json(json_pack("{s:I, s:O}", "revision", (json_int_t)search->revision,
					 "document", search->doc));
	else
		ctl_print_json(json_incref(search->doc));
	return CTL_OK;
}

ctl_exit_t ctl_show(ctl_t *ctl)
{
	bct_config_state_t s;
	revision_search_t search = { &s, (uint64_t)ctl->revision, NULL };
	bct_platform_t *p = NULL;
	ctl_exit_t code = open_platform(ctl, &p);
	bool newest = !(ctl->given & CTL_OPT_REVISION);
	int rc;

	if (code != CTL_OK)
		return code;
	if (newest)
		rc = bct_config_read_log(p, call_timeout_ms(ctl), NULL, NULL, &s);
	else
		rc = replay_all(ctl, p, match_revision, &search, &s);
	if (rc) {
		code = fail_log(ctl, rc);
	} else {
		if (newest)
			search.revision = s.revision;
		match_revision(&search, NULL, NULL, 0);
		code = print_document(ctl, &search);
		bct_config_free(&s);
	}
	json_decref(search.doc);
	bct_platform_free(p);
	return code;
}

ctl_exit_t ctl_hash_token(ctl_t *ctl)
{
	char token[TOKEN_MAX_BYTES], hex[BCT_DIGEST_HEX_BYTES];
	bct_digest_t digest;

	if (!fgets(token, sizeof(token), stdin))
		return ctl_fail(ctl, CTL_INVALID, "no token on standard input");
	token[strcspn(token, "\r\n")] = '\0';
	if (!token[0] || strlen(token) == sizeof(token) - 1)
		return ctl_fail(ctl, CTL_INVALID, "the token is empty or too long");
	bct_digest(token, strlen(token), &digest);
	bct_digest_hex(&digest, hex);
	if (ctl->json)
		ctl_print_json(json_pack("{s:s}", "token_hash", hex));
	else
		puts(hex);
	return CTL_OK;
}
