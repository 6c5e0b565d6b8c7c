/*
 * share.x - what gateways tell each other many times a second: the load that each has placed on
 * upstreams, and which prompt parts it has sent where. schema/regen.sh makes gen/share.h and
 * gen/share_xdr.c of it. A datagram is one share_news and a MAC over it; losing one does no harm.
 */
const SHARE_LOADS_MAX = 48;
const SHARE_PLACED_MAX = 32;

/* All that the sender has placed on one upstream now. */
struct share_load {
	unsigned hyper upstream;
	unsigned int running;
	unsigned int prefill_ms;
};

/* A prompt part that the sender has sent to an upstream. */
struct share_placed {
	unsigned hyper part;
	unsigned hyper upstream;
	unsigned int ready_ms;	/* until the upstream has read it, from when this was sent */
};

struct share_news {
	unsigned hyper from;	/* incarnation of the sender */
	unsigned hyper seq;	/* grows with each datagram of one sender */
	share_load loads<SHARE_LOADS_MAX>;
	share_placed placed<SHARE_PLACED_MAX>;
};
