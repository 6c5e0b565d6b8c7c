/*
 * fuzz_config_record.c - records of the configuration log: replay goes exactly one offset further
 * and refuses without a trace; a state made from a snapshot encodes to one that makes it again.
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
	bct_config_state_t s, again;
	bct_xconfig_record rec;
	bct_buf_t text;

	if (bct_config_from_snapshot(snap, &s))
		return;
	bct_buf_init(&text, 0);
	BCT_FUZZ_CHECK(!bct_config_snapshot_encode(&s, "vm", 1, &text));
	BCT_FUZZ_CHECK(!bct_config_decode(text.data, (uint32_t)text.len_bytes, &rec));
	BCT_FUZZ_CHECK(!bct_config_from_snapshot(&rec.bct_xconfig_record_u.snapshot, &again));
	BCT_FUZZ_CHECK(again.revision == s.revision && again.next == s.next);
	BCT_FUZZ_CHECK(again.n_recent == s.n_recent);
	BCT_FUZZ_CHECK(!memcmp(&again.digest, &s.digest, sizeof(s.digest)));
	bct_config_record_free(&rec);
	bct_config_free(&again);
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
