/*
 * fuzz_config_record.c - records of the configuration log. Checks that replay advances by exactly
 * one offset and that a record which is not an accepted change leaves the state as it was. Checks
 * also that a state built from a snapshot can be encoded as a snapshot and restored from it.
 */
#include "base/err.h"
#include "coord/conf_json.h"
#include "coord/config.h"
#include "tests/fuzz/fuzz.h"

#include <string.h>

static void check_replay(const uint8_t *data, size_t size)
{
	bct_config_result_t result;
	bct_config_state_t s;
	bct_digest_t before, after;
	uint64_t revision;
	int rc;

	BCT_FUZZ_CHECK(!bct_config_init(&s));
	before = s.digest;
	revision = s.revision;
	rc = bct_config_replay(&s, data, (uint32_t)size, &result);
	BCT_FUZZ_CHECK(s.next == 1);
	if (rc || result.status != BCT_CHANGE_STATUS_ACCEPTED)
		BCT_FUZZ_CHECK(s.revision == revision &&
			       !memcmp(&s.digest, &before, sizeof(before)));
	BCT_FUZZ_CHECK(!bct_conf_digest(s.doc, &after));
	BCT_FUZZ_CHECK(!memcmp(&s.digest, &after, sizeof(after)));
	bct_config_free(&s);
}

static void check_snapshot(const bct_xconfig_snapshot *snap)
{
	bct_config_state_t s, restored;
	bct_xconfig_record rec;
	bct_buf_t text;

	if (bct_config_from_snapshot(snap, &s))
		return;
	bct_buf_init(&text, 0);
	BCT_FUZZ_CHECK(!bct_config_snapshot_encode(&s, "vm", 1, &text));
	BCT_FUZZ_CHECK(!bct_config_decode(text.data, (uint32_t)text.len_bytes, &rec));
	BCT_FUZZ_CHECK(!bct_config_from_snapshot(&rec.bct_xconfig_record_u.snapshot, &restored));
	BCT_FUZZ_CHECK(restored.revision == s.revision && restored.next == s.next);
	BCT_FUZZ_CHECK(restored.n_recent == s.n_recent);
	BCT_FUZZ_CHECK(!memcmp(&restored.digest, &s.digest, sizeof(s.digest)));
	bct_config_record_free(&rec);
	bct_config_free(&restored);
	bct_config_free(&s);
	bct_buf_free(&text);
}

BCT_FUZZ(config_record)
{
	bct_xconfig_record rec;

	check_replay(data, size);
	if (bct_config_decode(data, (uint32_t)size, &rec))
		return 0;
	if (rec.type == BCT_XCONFIG_SNAPSHOT)
		check_snapshot(&rec.bct_xconfig_record_u.snapshot);
	bct_config_record_free(&rec);
	return 0;
}
