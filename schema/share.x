/*
 * share.x - what gateways tell each other many times a second: the load that each has placed on
 * upstreams, and which prompt parts it has sent where. schema/regen.sh makes gen/share.h and
 * gen/share_xdr.c of it. A datagram is one share_news and a MAC over it; losing one does no harm.
 */
const SHARE_LOADS_MAX = 128;
const SHARE_PLACED_MAX = 32;
const SHARE_LANES_MAX = 8;
const SHARE_ENTRIES_MAX = 3;
const SHARE_CRASHES_MAX = 32;
const SHARE_NAME_BYTES = 64;
const SHARE_IP_BYTES = 48;

/* All that the sender has placed on one upstream now; upstreams go by half of their key. */
struct share_load {
	unsigned int upstream;
	unsigned int running_prefill;	/* requests in the upper 12 bits, prefill in ms below */
};

/* A prompt part that the sender has sent to an upstream. */
struct share_placed {
	unsigned hyper part;
	unsigned int upstream;
	unsigned int ready_ms;	/* until the upstream has read it, from when this was sent */
};

/* Engine time that the sender's requests with one allowed pause bring to a service. */
struct share_lane {
	unsigned hyper service;
	unsigned int gap_ms;
	unsigned int work_ms_per_s;
};

/* A change of the registry that the sender has read. Names are filled up with NULs. */
struct share_entry {
	opaque id[SHARE_NAME_BYTES];
	opaque service[SHARE_NAME_BYTES];
	opaque zone[SHARE_NAME_BYTES];
	opaque ip[SHARE_IP_BYTES];
	unsigned int port;
	unsigned int slots;
	unsigned int cold_ms;
	bool draining;
	bool removed;		/* only the id counts */
	hyper born_ms;
	unsigned hyper sequence;
};

/* A request under which an upstream's connection broke; upstream 0: it was answered well. */
struct share_crash {
	unsigned hyper digest;
	unsigned int upstream;
};

struct share_news {
	unsigned int view;	/* whose load it tells: gate/share_int.h */
	unsigned hyper from;	/* incarnation of the sender */
	unsigned hyper seq;	/* grows with each datagram of one sender */
	unsigned hyper routes_version;	/* in force at the sender */
	unsigned hyper upstreams_digest; /* of the upstreams that the sender knows */
	unsigned int registry_age_ms;	/* since the sender's last answer of the registry */
	share_entry entries<SHARE_ENTRIES_MAX>;
	share_lane lanes<SHARE_LANES_MAX>;
	share_load loads<SHARE_LOADS_MAX>;
	share_placed placed<SHARE_PLACED_MAX>;
	share_crash crashes<SHARE_CRASHES_MAX>;
};
