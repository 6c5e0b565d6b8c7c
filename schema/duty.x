/*
 * duty.x - the record in which the holder of the fleet's duties keeps its lease and its state.
 * schema/regen.sh generates gen/duty.h and gen/duty_xdr.c from it.
 *
 * Names are padded with at least one NUL to a multiple of four bytes. Otherwise the XDR library
 * would pad, and it uses a buffer shared between threads.
 */
const DUTY_FORMAT = 1;
const DUTY_NAME_BYTES = 64;
const DUTY_ACCOUNTS_MAX = 8192;
const DUTY_NODES_MAX = 4096;
const DUTY_REPORTS_MAX = 64;
const DUTY_OPENS_MAX = 16;
const DUTY_SERVICES_MAX = 512;
const DUTY_DOMAINS_MAX = 8;
const DUTY_KINDS = 2;	/* of engines, by bct_autoscale_kind_t */

struct duty_count {
	opaque account<DUTY_NAME_BYTES>;
	unsigned int requests;
};

struct duty_report {
	unsigned hyper window;
	duty_count counts<DUTY_ACCOUNTS_MAX>;
};

/* Requests of one node that the sums of a window contain. */
struct duty_share {
	unsigned hyper incarnation;
	unsigned int requests;
};

/* A window that is not decided yet. */
struct duty_open {
	duty_report sums;
	duty_share shares<DUTY_NODES_MAX>;
};

struct duty_domain {
	opaque name<DUTY_NAME_BYTES>;
	unsigned int wanted[DUTY_KINDS];
};

struct duty_service {
	opaque name<DUTY_NAME_BYTES>;
	duty_domain domains<DUTY_DOMAINS_MAX>;
};

struct duty_record {
	unsigned int format;	/* DUTY_FORMAT */
	unsigned hyper holder;	/* incarnation; 0: released */
	opaque name<DUTY_NAME_BYTES>;	/* of the node that wrote it */
	unsigned int ttl_ms;
	unsigned hyper append_id;
	unsigned hyper revision;
	unsigned hyper decided;	/* last window decided; 0: none */
	duty_report reports<DUTY_REPORTS_MAX>;	/* decided and not known to be accepted */
	duty_open opens<DUTY_OPENS_MAX>;
	duty_service services<DUTY_SERVICES_MAX>;
};
