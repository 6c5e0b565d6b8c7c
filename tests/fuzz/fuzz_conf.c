/*
 * fuzz_conf.c - configuration documents. Checks that the canonical text parses to a document with
 * the same digest and the same validation result, and that an invalid document gives an error with
 * a detail text and no configuration.
 */
#include "base/err.h"
#include "coord/conf_json.h"
#include "tests/fuzz/fuzz.h"

#include <string.h>

#define MAX_BYTES 65536

/*
 * Validates a document and, if it is valid, stores the digest of its configuration. Also checks
 * that lookup by key finds each upstream and account. Returns as bct_conf_from_json(3).
 */
static int validate(const json_t *doc, bct_digest_t *digest)
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

/* text is the canonical text of doc. */
static void check_canonical(const json_t *doc, const bct_buf_t *text)
{
	bct_digest_t conf_digest = { 0 }, reparsed_conf_digest = { 0 }, text_digest, doc_digest;
	bct_json_err_t err;
	json_t *reparsed = bct_json_parse(text->data, text->len_bytes, SIZE_MAX, &err);
	int rc = validate(doc, &conf_digest);

	BCT_FUZZ_CHECK(reparsed != NULL);
	BCT_FUZZ_CHECK(!bct_conf_digest(doc, &doc_digest) &&
		       !bct_conf_digest(reparsed, &text_digest));
	BCT_FUZZ_CHECK(!memcmp(&doc_digest, &text_digest, sizeof(doc_digest)));
	BCT_FUZZ_CHECK(validate(reparsed, &reparsed_conf_digest) == rc);
	BCT_FUZZ_CHECK(!memcmp(&conf_digest, &reparsed_conf_digest, sizeof(conf_digest)));
	json_decref(reparsed);
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
