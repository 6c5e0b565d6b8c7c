/*
 * config_boot.c - selects the snapshot that a replica starts from.
 */
#include "coord/config_boot.h"
#include "base/err.h"
#include "base/hash.h"

#include <string.h>

void bct_config_boot_init(bct_config_boot_t *b, uint64_t oldest)
{
	memset(b, 0, sizeof(*b));
	b->start = oldest;
	b->next = oldest;
}

void bct_config_boot_free(bct_config_boot_t *b)
{
	for (uint32_t i = 0; i < b->n_kept; i++)
		bct_config_record_free(&b->kept[i]);
	memset(b, 0, sizeof(*b));
}

/*
 * Returns whether rec is a snapshot whose document matches its digest, and every record that it
 * does not cover is still in the log. The digest is that of the document without its padding.
 */
static bool is_usable(const bct_config_boot_t *b, const bct_xconfig_record *rec, uint64_t offset)
{
	const bct_xconfig_snapshot *snap = &rec->bct_xconfig_record_u.snapshot;
	u_int len = snap->document.document_len;
	bct_digest_t digest;

	if (rec->type != BCT_XCONFIG_SNAPSHOT || snap->covered < b->start || snap->covered > offset)
		return false;
	while (len > 0 && snap->document.document_val[len - 1] == ' ')
		len--;
	bct_digest(snap->document.document_val, len, &digest);
	return memcmp(digest.bytes, snap->digest, sizeof(digest.bytes)) == 0;
}

void bct_config_boot_record(bct_config_boot_t *b, const void *data, uint32_t len_bytes)
{
	bct_xconfig_record rec;
	uint64_t offset = b->next++;

	if (bct_config_decode(data, len_bytes, &rec))
		return;
	if (!is_usable(b, &rec, offset)) {
		bct_config_record_free(&rec);
		return;
	}
	if (b->n_kept == BCT_BOOT_SNAPSHOTS) {
		bct_config_record_free(&b->kept[0]);
		memmove(&b->kept[0], &b->kept[1], sizeof(b->kept) - sizeof(b->kept[0]));
		b->n_kept--;
	}
	b->kept[b->n_kept++] = rec;
}

int bct_config_boot_finish(bct_config_boot_t *b, bct_config_state_t *out)
{
	int rc = -BCT_ECODEC;

	for (uint32_t i = 0; i < b->n_kept && rc == -BCT_ECODEC; i++)
		rc = bct_config_from_snapshot(&b->kept[i].bct_xconfig_record_u.snapshot, out);
	if (rc != -BCT_ECODEC)
		return rc;
	return b->start == 0 ? bct_config_init(out) : -BCT_EEXPIRED;
}
