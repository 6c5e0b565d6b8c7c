/*
 * peer.x - what nodes say to each other, as ONC RPC over UDP. schema/regen.sh makes gen/peer.h and
 * gen/peer_xdr.c of it. A datagram is an RPC call or reply header, a peer_envelope, the body of its
 * kind and a MAC over all that stands before.
 */
const PEER_PROGRAM = 0x20b7c001;
const PEER_VERSION = 1;
const PEER_NAME_MAX = 48;
const PEER_IP_MAX = 16;
const PEER_CHUNK_MAX = 960;
const PEER_ENTRIES_MAX = 64;
const PEER_BUCKETS = 16;
const PEER_REPORT_FIELDS = 12;
const PEER_DIGEST_BYTES = 32;

/* RPC procedure numbers. A call of the last three kinds has no reply. */
enum peer_kind {
	PEER_PING = 1,
	PEER_PING_REQ = 2,
	PEER_SYNC = 3,
	PEER_CONFIG = 4,
	PEER_GOSSIP = 5,
	PEER_PARTS = 6,
	PEER_REPORTS = 7
};

/* to: incarnation of the receiver, 0 when the sender does not know it yet. */
struct peer_envelope {
	unsigned hyper from;
	unsigned hyper to;
	unsigned hyper seq;
};

struct peer_addr {
	opaque ip<PEER_IP_MAX>;
	unsigned int port;
};

/* state: bct_liveness_t, plus PEER_LEAVING. */
const PEER_LEAVING = 16;
struct peer_fact {
	unsigned hyper incarnation;
	unsigned int number;
	unsigned int state;
};

/* What a member says of itself; the highest seq is the newest. */
struct peer_info {
	unsigned hyper incarnation;
	unsigned int seq;
	unsigned int load_permille;
	unsigned hyper revision;
	unsigned hyper digest;
};

/*
 * Lengths of opaque fields are multiples of 4, filled up with zeros: libtirpc decodes padding into
 * one buffer that all threads share.
 */
struct peer_desc {
	opaque name<PEER_NAME_MAX>;
	opaque failure_domain<PEER_NAME_MAX>;
	opaque region<PEER_NAME_MAX>;
	peer_addr peer;
	peer_addr caller;
	peer_addr admin;
	peer_fact fact;
	peer_info info;
};

/* A fact for every node; expires_ms is what remains of its life. */
struct peer_item {
	unsigned int type;
	unsigned int expires_ms;
	unsigned hyper key;
	unsigned hyper key2;
	hyper v[4];
};

struct peer_gossip {
	peer_fact self;
	peer_info info;
	peer_desc descs<PEER_ENTRIES_MAX>;
	peer_fact facts<PEER_ENTRIES_MAX>;
	peer_info infos<PEER_ENTRIES_MAX>;
	peer_item items<PEER_ENTRIES_MAX>;
};

struct peer_ping_req {
	unsigned hyper target;
	peer_addr addr;
};

/* The caller's hash of each bucket of its member table; cursor: lowest incarnation wanted. */
struct peer_sync {
	unsigned hyper cursor;
	unsigned hyper buckets[PEER_BUCKETS];
};

/* next: cursor to go on with, 0 at the end. */
struct peer_sync_reply {
	unsigned hyper next;
	peer_gossip gossip;
};

struct peer_config {
	unsigned hyper have_revision;
	unsigned hyper revision;
	unsigned hyper offset;
};

/* data is filled up with zeros past total_bytes. */
struct peer_config_reply {
	unsigned hyper revision;
	opaque digest[PEER_DIGEST_BYTES];
	unsigned hyper offset;
	unsigned hyper total_bytes;
	opaque data<PEER_CHUNK_MAX>;
};

/*
 * A summand on its way up (total false) or a sum on its way down.
 * head: the receiver's level, group << 2, nodes in the value << 9 (0 withdraws a summand), age in
 * units of 50 ms << 20
 * v01, v23: four values, each 10 bits of mantissa, 5 of exponent, 1 of sign; see
 * coord/totals_partial.c
 */
struct peer_part {
	unsigned hyper id;
	unsigned int head;
	unsigned int v01;
	unsigned int v23;
};

struct peer_parts {
	bool total;
	peer_part parts<PEER_ENTRIES_MAX>;
};

/* Fields whose bit is set in mask differ from the keyframe with sequence number key_seq. */
struct peer_report {
	unsigned hyper upstream_key;
	unsigned hyper boot_id;
	unsigned hyper seq;
	unsigned hyper key_seq;
	unsigned int age_ms;
	unsigned int mask;
	unsigned int values<PEER_REPORT_FIELDS>;
};

struct peer_cache_event {
	unsigned hyper upstream_key;
	unsigned hyper seq;
	unsigned hyper block;
	unsigned int op;
};

/*
 * wants: engines whose reports the sender wants from the receiver for some time.
 * lost: those of which it misses the keyframe too.
 */
struct peer_reports {
	peer_report reports<PEER_ENTRIES_MAX>;
	peer_cache_event events<PEER_ENTRIES_MAX>;
	unsigned hyper wants<PEER_ENTRIES_MAX>;
	unsigned hyper lost<PEER_ENTRIES_MAX>;
};

union peer_call switch (peer_kind kind) {
case PEER_PING:
	peer_gossip ping;
case PEER_PING_REQ:
	peer_ping_req ping_req;
case PEER_SYNC:
	peer_sync sync;
case PEER_CONFIG:
	peer_config config;
case PEER_GOSSIP:
	peer_gossip gossip;
case PEER_PARTS:
	peer_parts parts;
case PEER_REPORTS:
	peer_reports reports;
};

union peer_reply switch (peer_kind kind) {
case PEER_PING:
	peer_gossip ping;
case PEER_PING_REQ:
	peer_gossip ping_req;
case PEER_SYNC:
	peer_sync_reply sync;
case PEER_CONFIG:
	peer_config_reply config;
};
