/*
 * share.x - messages that gateways exchange many times per second: the load that each has placed on
 * upstreams and the prompt segments that it has sent to them. schema/regen.sh generates gen/share.h
 * and gen/share_xdr.c from it. A datagram is one share_update followed by a MAC over it. A lost
 * datagram does no harm: the next one replaces it.
 */
const SHARE_LOADS_MAX = 128;
const SHARE_PLACED_MAX = 32;
const SHARE_LANES_MAX = 8;
const SHARE_ENTRIES_MAX = 3;
const SHARE_CRASHES_MAX = 32;
const SHARE_BLOCKS_MAX = 32;
const SHARE_PARTS_MAX = 15;
const SHARE_PART_CRASHES_MAX = 8;
const SHARE_SURVIVORS_MAX = 32;
const SHARE_VERDICTS_MAX = 32;
const SHARE_PACE_SUMS = 4;
const SHARE_NOTICES_MAX = 32;
const SHARE_ORIGINS_MAX = 16;
const SHARE_CUTS_MAX = 16;
const SHARE_BRITTLE_MAX = 32;
const SHARE_PROMISES_MAX = 64;
const SHARE_USAGE_GROUPS_MAX = 16;
const SHARE_USAGE_COUNTS_MAX = 96;
const SHARE_TOPICS = 2;
const SHARE_NEVER = 0xffffffff;
const SHARE_NAME_BYTES = 64;
const SHARE_IP_BYTES = 48;
const SHARE_SOFTWARE_BYTES = 32;

/*
 * The current load on one upstream, as counted by the view of the update. An upstream is identified
 * by the lower 32 bits of its key.
 */
struct share_load {
	unsigned int upstream;
	unsigned int running_prefill;	/* upper 12 bits: requests; lower 20: prefill work in ms */
};

/* A prompt segment that was sent to an upstream. */
struct share_placed {
	unsigned hyper segment;
	unsigned int upstream;
	unsigned int ready_ms;	/* from the time of sending until the upstream has prefilled it */
};

/*
 * Requests to a service with one allowed inter-token gap: the engine time that they demand, and the
 * pace of their streams.
 */
struct share_lane {
	unsigned hyper service;
	unsigned int gap_ms;
	unsigned int work_ms_per_s;
	unsigned int pace[SHARE_PACE_SUMS];	/* by bct_gate_pace_sum_t */
};

/* A change that the sender has read from the registry. Names are padded with NUL bytes. */
struct share_entry {
	opaque id[SHARE_NAME_BYTES];
	opaque service[SHARE_NAME_BYTES];
	opaque zone[SHARE_NAME_BYTES];
	opaque ip[SHARE_IP_BYTES];
	unsigned int port;
	unsigned int slots;
	unsigned int cold_ms;
	bool draining;
	bool removed;		/* only the id is used */
	hyper born_ms;
	unsigned hyper sequence;
	unsigned hyper position;	/* of the record in the registry's log */
};

/* The version of the software of an upstream; the text is padded with NUL bytes and may be cut. */
struct share_software {
	opaque text[SHARE_SOFTWARE_BYTES];
	unsigned hyper key;	/* hash of the whole version; 0: unknown */
};

/* Whether an upstream may be reclaimed at short notice. */
struct share_reclaim {
	bool spot;
	unsigned int leaves_ms;	/* if draining: until it is stopped; 0: not known */
};

/*
 * A request under which a run of an upstream crashed. Run 0: the request was answered successfully
 * instead.
 */
struct share_crash {
	unsigned hyper digest;
	unsigned int run;
};

/* A request that is refused, because upstreams crashed under it. */
struct share_block {
	unsigned hyper digest;
	unsigned int remaining_ms;
};

/* A request that was in flight when its upstream crashed, see gate_part_judge.h. */
struct share_part_crash {
	unsigned int run;	/* of the upstream */
	unsigned int sent_age_ms;
	unsigned int age_ms;	/* of the crash */
	unsigned hyper parts<SHARE_PARTS_MAX>;
};

/* A request with the part did no harm; its answer began that long ago. */
struct share_survivor {
	unsigned hyper part;
	unsigned int age_ms;
};

struct share_verdict {
	unsigned hyper part;
	bool refused;
	unsigned int age_ms;	/* of the evidence */
	unsigned int crashes;
};

/* The latest answer of the registry on one topic that the sender knows of, see gate_hubs.h. */
struct share_read {
	unsigned int age_ms;	/* SHARE_NEVER: none */
	unsigned hyper reader;	/* incarnation of the node that received it */
};

/* What an upstream stated about itself in its answers. */
struct share_notice {
	unsigned int upstream;
	hyper born_ms;		/* the run of the upstream that stated it */
	unsigned int limit_mrps;	/* requests per 1000 s; SHARE_NEVER: it names none */
	unsigned int limit_age_ms;	/* of the answer; SHARE_NEVER: nothing is known of a limit */
	bool leaving;
};

/* A node reaches no upstream of a service now. */
struct share_cut {
	unsigned hyper node;	/* its incarnation */
	unsigned hyper service;
};

/* An upstream that is brittle, or was, by the sender's latest answer. */
struct share_brittle {
	unsigned int upstream;
	hyper born_ms;		/* the run of the upstream */
	unsigned int bears;	/* requests that it can turn away in a second; SHARE_NEVER: not brittle */
	unsigned int age_ms;	/* of the answer */
	unsigned int turned_away;	/* requests of the sender, since its last report */
};

/* What began the stream of a caller's attempt. Release and run 0: that is not known. */
struct share_origin {
	unsigned hyper attempt;
	unsigned hyper release;
	unsigned int run;	/* of the upstream */
	unsigned int age_ms;	/* since it began */
};

/* A refused request that was promised room, see gate_returns.h. */
struct share_promise {
	unsigned hyper digest;
	unsigned int due_ms;	/* from the time of sending */
};

struct share_usage_count {
	string account<SHARE_NAME_BYTES>;
	unsigned int requests;
};

/* Counters of one node in one window, see policy/usage.h. */
struct share_usage_group {
	unsigned hyper incarnation;
	unsigned hyper window;
	share_usage_count counts<SHARE_USAGE_COUNTS_MAX>;
};

/* Requests that began to run, and the time of day by the sender's estimate. */
struct share_usage {
	hyper true_time_ms;	/* since the start of 1970; 0: the sender is not sure of it */
	share_usage_group groups<SHARE_USAGE_GROUPS_MAX>;
};

struct share_update {
	unsigned int view;	/* which nodes' load it covers: bct_gate_view_t */
	unsigned hyper from;	/* incarnation of the sender */
	unsigned hyper seq;	/* increases with each datagram of one sender */
	unsigned hyper routes_version;	/* in force at the sender */
	unsigned hyper upstreams_digest; /* of the upstreams that the sender knows */
	unsigned hyper upstreams_position; /* they reflect the registry's log up to here */
	share_read reads[SHARE_TOPICS];	/* by bct_registry_topic_t */
	share_entry entries<SHARE_ENTRIES_MAX>;
	share_lane lanes<SHARE_LANES_MAX>;
	share_load loads<SHARE_LOADS_MAX>;
	share_placed placed<SHARE_PLACED_MAX>;
	share_crash crashes<SHARE_CRASHES_MAX>;
	share_notice notices<SHARE_NOTICES_MAX>;
	/* A datagram of an older node ends here; the lists that follow are empty then. */
	share_block blocks<SHARE_BLOCKS_MAX>;
	share_part_crash part_crashes<SHARE_PART_CRASHES_MAX>;
	share_survivor survivors<SHARE_SURVIVORS_MAX>;
	share_verdict verdicts<SHARE_VERDICTS_MAX>;
	share_software software<SHARE_ENTRIES_MAX>;	/* of the upstreams in entries, in order */
	share_origin origins<SHARE_ORIGINS_MAX>;	/* to keep, or as an answer */
	unsigned hyper origins_wanted<SHARE_ORIGINS_MAX>; /* attempts; the receiver answers */
	share_cut cuts<SHARE_CUTS_MAX>;
	share_brittle brittle<SHARE_BRITTLE_MAX>;
	share_reclaim reclaim<SHARE_ENTRIES_MAX>;	/* of the upstreams in entries, in order */
	share_promise promises<SHARE_PROMISES_MAX>;
	share_usage usage<1>;
};

/*
 * Answer to a node that pulls a topic from a peer over HTTP. A MAC follows, as in a datagram. What is
 * packed, see base/pack.h, is the configuration as the registry holds it, or a share_upstreams.
 */
struct share_pulled {
	unsigned int unpacked_bytes;
	opaque packed<>;
};

struct share_upstreams {
	unsigned hyper position; /* the entries reflect the registry's log up to here */
	share_entry entries<>;
	/* Of the entries, in order; an older node's answer ends before one of these. */
	share_software software<>;
	share_reclaim reclaim<>;
};
