/*
 * util_config.c - small configuration documents and change records for tests.
 */
#include "tests/util_config.h"

#include <criterion/criterion.h>

json_t *util_doc(uint32_t context_tokens)
{
	return json_pack("{s:{s:{s:i}}}", "models", "m", "context_tokens", (int)context_tokens);
}

void util_change(const bct_config_state_t *base, uint32_t context_tokens, uint64_t id,
		 bct_buf_t *out)
{
	json_t *doc = util_doc(context_tokens);

	bct_buf_init(out, 0);
	cr_assert_eq(bct_config_change_encode(base, doc, id, "tester", 1, out), 0);
	json_decref(doc);
}

int util_append_change(bct_platform_t *p, const bct_config_state_t *base, uint32_t context_tokens,
		       uint64_t id)
{
	uint64_t offset;
	bct_buf_t rec;
	int rc;

	util_change(base, context_tokens, id, &rec);
	rc = bct_platform_append(p, BCT_STREAM_CONFIG, rec.data, (uint32_t)rec.len_bytes, 100,
				 &offset);
	bct_buf_free(&rec);
	return rc;
}

uint32_t util_context(const bct_conf_t *conf)
{
	const bct_model_conf_t *m = bct_conf_model(conf, bct_hash_str("m"));

	return m ? m->context_tokens : 0;
}
