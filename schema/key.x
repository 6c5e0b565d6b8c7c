/*
 * key.x - records of the idempotency key streams of the platform's log.
 *
 * A record is one batch of entries, so that a node appends a few times per second regardless of its
 * request rate. The length of every opaque field must be a multiple of 4: libtirpc decodes XDR
 * padding into a static buffer that all threads share, which is a data race. Entries take effect in
 * log order, and within a batch in the order of the batch.
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

/* A node intends to dispatch a request; the first intent on a free key owns the key. */
struct bct_xkey_intent {
	unsigned hyper body;			/* digest of the request */
	unsigned hyper incarnation;		/* of the node's process */
	hyper wall_ms;				/* the node's wall clock */
};

/* The request has run and was answered. */
struct bct_xkey_outcome {
	unsigned int status;			/* HTTP status */
	bool kept;				/* whether the answer is stored here */
	opaque type[BCT_XKEY_TEXT_BYTES];	/* content type, padded with NULs */
	unsigned int answer_bytes;		/* without the padding */
	opaque answer<BCT_XKEY_ANSWER_BYTES>;	/* padded to a multiple of 4 */
};

/* An operator's decision on a key without an outcome. */
struct bct_xkey_resolve {
	bool ran;				/* false: the key is freed */
	bool forced;				/* freed even if the owner may still be running */
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
	unsigned hyper intent;			/* random id of the intent concerned */
	bct_xkey_body body;
};

struct bct_xkey_batch {
	bct_xkey_entry entries<BCT_XKEY_BATCH>;
};
