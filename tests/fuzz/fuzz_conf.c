/*
 * fuzz_conf.c - configuration documents: the canonical text parses to the same digest, and is
 * judged as the document itself; a refused one names its fault and yields nothing.
 */
#include "base/err.h"
#include "coord/conf_json.h"
#include "tests/fuzz/fuzz.h"

#include <string.h>

#define MAX_BYTES 65536

static int judge(const json_t *doc, bct_digest_t *digest)
{
	bct_json_err_t err = { 0 };
	bct_conf_t *conf = NULL;
	int rc = bct_conf_from_json(doc, 1, &err, &conf);

	if (rc) {
		BCT_FUZZ_CHECK(!conf && rc < 0 && err.detail[0]);
		return rc;
	}
	*digest = conf->digest;
	for (uint32_t i = 0; i < conf->n_upstreams; i++)
		BCT_FUZZ_CHECK(bct_conf_upstream(conf, conf->upstreams[i].key));
	for (uint32_t i = 0; i < conf->n_accounts; i++)
		BCT_FUZZ_CHECK(bct_conf_account(conf, conf->accounts[i].key));
	bct_conf_unref(conf);
	return 0;
}

static void check_canonical(const json_t *doc, const bct_buf_t *text)
{
	bct_digest_t in_force = { 0 }, in_force_again = { 0 }, of_text, of_doc;
	bct_json_err_t err;
	json_t *again = bct_json_parse(text->data, text->len_bytes, SIZE_MAX, &err);
	int rc = judge(doc, &in_force);

	BCT_FUZZ_CHECK(again != NULL);
	BCT_FUZZ_CHECK(!bct_conf_digest(doc, &of_doc) && !bct_conf_digest(again, &of_text));
	BCT_FUZZ_CHECK(!memcmp(&of_doc, &of_text, sizeof(of_doc)));
	BCT_FUZZ_CHECK(judge(again, &in_force_again) == rc);
	BCT_FUZZ_CHECK(!memcmp(&in_force, &in_force_again, sizeof(in_force)));
	json_decref(again);
}

BCT_FUZZ(conf)
{
	bct_json_err_t err;
	bct_buf_t text;
	json_t *doc = bct_json_parse((const char *)data, size, MAX_BYTES, &err);

	if (!doc)
		return 0;
	bct_buf_init(&text, 0);
	if (!bct_conf_canonical(doc, &text))
		check_canonical(doc, &text);
	bct_buf_free(&text);
	json_decref(doc);
	return 0;
}
