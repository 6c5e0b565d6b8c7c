/*
 * lease.x - records of the lease stream of the platform's log.
 */

const BCT_XLEASE_NAME_BYTES = 48;

enum bct_xlease_kind {
	BCT_XLEASE_CLAIM = 1,
	BCT_XLEASE_RENEW = 2,
	BCT_XLEASE_RELEASE = 3
};

struct bct_xlease_record {
	bct_xlease_kind kind;
	opaque name[BCT_XLEASE_NAME_BYTES];	/* padded with NULs */
	unsigned hyper id;		/* random; the writer recognizes its record by it */
	unsigned hyper holder;		/* incarnation of the writer */
	unsigned hyper seen;		/* CLAIM: offset + 1 of the lease's last effective record
					 * that the writer has read; 0: none */
	unsigned hyper token;		/* RENEW, RELEASE: fencing token: the claim's offset + 1 */
	unsigned int ttl_ms;
};
