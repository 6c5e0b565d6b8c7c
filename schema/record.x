/*
 * record.x - records of the configuration stream of the platform's log.
 *
 * A record is one bct_xconfig_record. Records of other streams have schemas of their own.
 *
 * The writer pads every opaque to a multiple of four bytes: names with NULs (at least one), JSON
 * with spaces. Otherwise the XDR library would pad, and it uses a buffer shared between threads.
 */

const BCT_X_DIGEST_BYTES = 32;
const BCT_X_AUTHOR_BYTES = 64;
const BCT_X_PATH_BYTES = 128;
const BCT_X_DOCUMENT_BYTES = 1024000;	/* with padding */
const BCT_X_CHANGES = 8192;
const BCT_X_RECENT = 256;

enum bct_xconfig_type {
	BCT_XCONFIG_CHANGE = 1,
	BCT_XCONFIG_SNAPSHOT = 2
};

/*
 * One object of the document. Its path is "timeouts", "models/NAME", "upstreams/NAME" or
 * "contracts/NAME".
 */
struct bct_xobject {
	opaque path<BCT_X_PATH_BYTES>;
	opaque text<BCT_X_DOCUMENT_BYTES>;	/* JSON; empty: the object is deleted */
};

struct bct_xconfig_change {
	unsigned hyper id;			/* random, the same in each retry */
	unsigned hyper base_revision;
	opaque base_digest[BCT_X_DIGEST_BYTES];
	opaque digest[BCT_X_DIGEST_BYTES];	/* of the document after the change */
	opaque author<BCT_X_AUTHOR_BYTES>;
	hyper wall_ms;
	bct_xobject objects<BCT_X_CHANGES>;
};

/* Result of replaying a change, kept so that a repeat of its id gets the same result. */
struct bct_xchange_status {
	unsigned hyper id;
	unsigned hyper revision;
	unsigned int reason;			/* a bct_change_status_t */
};

/* The state after replay of all records before the offset covered. */
struct bct_xconfig_snapshot {
	unsigned hyper covered;
	unsigned hyper revision;
	opaque digest[BCT_X_DIGEST_BYTES];
	opaque writer<BCT_X_AUTHOR_BYTES>;
	hyper wall_ms;
	bct_xchange_status recent<BCT_X_RECENT>;	/* oldest first */
	opaque document<BCT_X_DOCUMENT_BYTES>;
};

union bct_xconfig_record switch (bct_xconfig_type type) {
case BCT_XCONFIG_CHANGE:
	bct_xconfig_change change;
case BCT_XCONFIG_SNAPSHOT:
	bct_xconfig_snapshot snapshot;
};
