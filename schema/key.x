/*
 * key.x - records of the idempotency key streams of the platform's log.
 *
 * A record is one batch of entries, so that a node appends a few times a second however many
 * requests it serves. All lengths are multiples of 4: libtirpc decodes padding into a buffer that
 * threads share. Entries take effect in the order of the log, and in a batch in its order.
 */

const BCT_XKEY_HASH_BYTES = 16;
const BCT_XKEY_ANSWER_BYTES = 8192;
const BCT_XKEY_TEXT_BYTES = 64;
const BCT_XKEY_BATCH = 256;

enum bct_xkey_type {
	BCT_XKEY_INTENT = 1,
	BCT_XKEY_OUTCOME = 2,
	BCT_XKEY_WITHDRAW = 3,
	BCT_XKEY_RESOLVE = 4
};

/* A node wants to dispatch; the first on a free key may. */
struct bct_xkey_intent {
	unsigned hyper body;			/* digest of the request */
	unsigned hyper incarnation;		/* of the node */
	hyper wall_ms;
};

/* The request has run and was answered. */
struct bct_xkey_outcome {
	unsigned int status;
	bool kept;				/* whether the answer stands here */
	opaque type[BCT_XKEY_TEXT_BYTES];	/* content type, padded with NULs */
	unsigned int answer_bytes;
	opaque answer<BCT_XKEY_ANSWER_BYTES>;	/* padded to a multiple of 4 */
};

/* An operator's word on a key in doubt. */
struct bct_xkey_resolve {
	bool ran;
	bool forced;
	opaque author[BCT_XKEY_TEXT_BYTES];	/* padded with NULs */
};

union bct_xkey_body switch (bct_xkey_type type) {
case BCT_XKEY_INTENT:
	bct_xkey_intent intent;
case BCT_XKEY_OUTCOME:
	bct_xkey_outcome outcome;
case BCT_XKEY_WITHDRAW:
	void;
case BCT_XKEY_RESOLVE:
	bct_xkey_resolve resolve;
};

struct bct_xkey_entry {
	opaque hash[BCT_XKEY_HASH_BYTES];	/* of the client account and the key */
	unsigned hyper intent;			/* random id of the intent that it is about */
	bct_xkey_body body;
};

struct bct_xkey_batch {
	bct_xkey_entry entries<BCT_XKEY_BATCH>;
};
