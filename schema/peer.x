/*
 * peer.x - the protocol between nodes: ONC RPC over UDP. schema/regen.sh generates gen/peer.h and
 * gen/peer_xdr.c from it. A datagram consists of an RPC call or reply header, a peer_envelope, the
 * body of its kind and a MAC over all preceding bytes.
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

/* RPC procedure numbers. Calls of the last three kinds have no reply. */
enum peer_kind {
	PEER_PING = 1,
	PEER_PING_REQ = 2,
	PEER_SYNC = 3,
	PEER_CONFIG = 4,
	PEER_GOSSIP = 5,
	PEER_PARTS = 6,
	PEER_REPORTS = 7
};

/*
 * from: incarnation of the sender.
 * to: incarnation of the receiver, 0 when the sender does not know it yet.
 * seq: sequence number that the sender never uses twice.
 */
struct peer_envelope {
	unsigned hyper from;
	unsigned hyper to;
	unsigned hyper seq;
};

struct peer_addr {
	opaque ip<PEER_IP_MAX>;
	unsigned int port;
};

/*
 * Liveness of a member; number is its refutation number.
 * state: bct_liveness_t, plus PEER_LEAVING if it is leaving.
 */
const PEER_LEAVING = 16;
struct peer_member_status {
	unsigned hyper incarnation;
	unsigned int number;
	unsigned int state;
};

/* State that a member advertises about itself; the highest seq is the newest. */
struct peer_info {
	unsigned hyper incarnation;
	unsigned int seq;
	unsigned int load_permille;
	unsigned hyper revision;
	unsigned hyper digest;
};

/*
 * Description of a member. Opaque fields are padded with zeros to a multiple of 4 by the sender, so
 * that XDR adds no padding: libtirpc decodes padding into a static buffer shared by all threads.
 */
struct peer_desc {
	opaque name<PEER_NAME_MAX>;
	opaque failure_domain<PEER_NAME_MAX>;
	opaque region<PEER_NAME_MAX>;
	peer_addr peer;
	peer_addr caller;
	peer_addr admin;
	peer_member_status status;
	peer_info info;
};

/* A bct_fact_t, gossiped to every node; expires_ms is its remaining time to live. */
struct peer_item {
	unsigned int type;
	unsigned int expires_ms;
	unsigned hyper key;
	unsigned hyper key2;
	hyper v[4];
};

/* self, info: status and info of the sender. The arrays carry updates about any member. */
struct peer_gossip {
	peer_member_status self;
	peer_info info;
	peer_desc descs<PEER_ENTRIES_MAX>;
	peer_member_status statuses<PEER_ENTRIES_MAX>;
	peer_info infos<PEER_ENTRIES_MAX>;
	peer_item items<PEER_ENTRIES_MAX>;
};

/* Request to ping the target (an incarnation at an address) for the caller. */
struct peer_ping_req {
	unsigned hyper target;
	peer_addr addr;
};

/*
 * cursor: lowest incarnation requested.
 * buckets: the caller's hash of each bucket of its member table.
 */
struct peer_sync {
	unsigned hyper cursor;
	unsigned hyper buckets[PEER_BUCKETS];
};

/* next: cursor of the next request, 0 at the end. */
struct peer_sync_reply {
	unsigned hyper next;
	peer_gossip gossip;
};

/* Request for a chunk of the document that leads from have_revision to revision. */
struct peer_config {
	unsigned hyper have_revision;
	unsigned hyper revision;
	unsigned hyper offset;
};

/* digest: of the complete document. data is padded with zeros past total_bytes. */
struct peer_config_reply {
	unsigned hyper revision;
	opaque digest[PEER_DIGEST_BYTES];
	unsigned hyper offset;
	unsigned hyper total_bytes;
	opaque data<PEER_CHUNK_MAX>;
};

/*
 * A partial sum sent to an aggregator (peer_parts.total is false), or a total sent back from it.
 * head: the receiver's level | group << 2 | number of nodes in the value << 9 (0 withdraws a partial
 * sum) | age in units of 50 ms << 20
 * v01, v23: two values each, of 10 bits of mantissa, 5 of exponent and 1 of sign; see
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

/*
 * A report of an engine. Fields whose bit is set in mask differ from the keyframe with sequence
 * number key_seq.
 */
struct peer_report {
	unsigned hyper upstream_key;
	unsigned hyper boot_id;
	unsigned hyper seq;
	unsigned hyper key_seq;
	unsigned int age_ms;
	unsigned int mask;
	unsigned int values<PEER_REPORT_FIELDS>;
};

/* An event of an engine's prefix cache. */
struct peer_cache_event {
	unsigned hyper upstream_key;
	unsigned hyper seq;
	unsigned hyper block;
	unsigned int op;
};

/*
 * wants: engines whose reports the sender subscribes to at the receiver for a limited time.
 * lost: those of them whose keyframe the sender did not receive.
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
