/*
 * gate_reach.h - whether this node reaches the upstreams of a service at all. Pure: no I/O and no
 * clock.
 *
 * One upstream that cannot be connected to is that upstream's fault. If several in a row cannot,
 * for a while in which no new connection succeeded, the node itself is cut off from them. Until a
 * connection succeeds again its requests do better elsewhere. A node that is cut off again shortly
 * after has to reach them for a while before it counts, so that a link that comes and goes is not
 * used.
 *
 * A connection that breaks, or an upstream that is silent, is no evidence: many upstreams that
 * crash at once and overloaded ones that reset connections look the same to all nodes. It is a
 * reason to probe, if no new connection shows that upstreams are reached.
 */
#ifndef BCT_POLICY_GATE_REACH_H
#define BCT_POLICY_GATE_REACH_H

#include "base/clock.h"
#include "base/map.h"

#include <stdbool.h>
#include <stdint.h>

/* That fail in a row; all, if the service has fewer. With a quarter of the upstreams down, so many
 * in a row are rare. */
#define BCT_GATE_REACH_UPSTREAMS 6
#define BCT_GATE_REACH_SPACING_MS 40 /* failures that are closer together count once */
#define BCT_GATE_REACH_SUSPECT 2     /* in a row: connections from before may be dead */
#define BCT_GATE_REACH_CONFIRM_MS                                                                \
	200			      /* failures within less may be one crash of many upstreams \
				       */
#define BCT_GATE_REACH_FORGET_MS 5000 /* a failure that old says nothing of the links now */
#define BCT_GATE_REACH_PROBE_MS 250   /* between two probes while cut off */
#define BCT_GATE_REACH_AGAIN_MS 10000 /* cut off again so soon: a link that comes and goes */
#define BCT_GATE_REACH_STEADY_MS 2000 /* for which it has to be reached then */

/* What is known of the links to the upstreams of one service. */
typedef struct bct_gate_reach {
	uint64_t service_key;
	uint64_t failed[BCT_GATE_REACH_UPSTREAMS]; /* keys of upstreams */
	uint32_t n_failed;
	bct_time_t failing_since; /* the first of them */
	bct_time_t failed_at;	  /* the last of them */
	bct_time_t counted_at;	  /* the last one that was not too close to another */
	bct_time_t doubted_since; /* 0: no reason to probe */
	bool cut;
	bct_time_t cut_at;	  /* when it was last noticed; 0: never */
	bct_time_t regained_at;	  /* 0: never */
	bct_time_t reached_since; /* while cut: of probes in a row that succeeded; 0: none */
	bool comes_and_goes;	  /* it was cut off again soon after it had been regained */
	bct_time_t probed_at;
} bct_gate_reach_t;

/* All services of a node. */
typedef struct bct_gate_reaches {
	bct_map_t services; /* service key: bct_gate_reach_t */
} bct_gate_reaches_t;

void bct_gate_reaches_free(bct_gate_reaches_t *t);

/* bct_gate_reaches_of(3): returns the state of a service, added on first use; NULL without memory.
 */
bct_gate_reach_t *bct_gate_reaches_of(bct_gate_reaches_t *t, uint64_t service_key);

/*
 * bct_gate_reach_failed(3): an upstream could not be connected to, or did not acknowledge what was
 * sent on an open connection.
 *
 * upstreams  of the service, that accept requests
 * returns    whether the node is cut off from now on, and was not before
 */
bool bct_gate_reach_failed(bct_gate_reach_t *r, bct_time_t now, uint64_t upstream_key,
			   uint32_t upstreams);

/*
 * bct_gate_reach_doubted(3): a connection broke, or an upstream was silent, before it had answered.
 */
void bct_gate_reach_doubted(bct_gate_reach_t *r, bct_time_t now);

/*
 * bct_gate_reach_ok(3): a connection to an upstream was established, or one that was delivered its
 * first bytes.
 *
 * opened   when the connection was: one from before the failures proves nothing about new ones
 * returns  whether the node was cut off, and is not any more
 */
bool bct_gate_reach_ok(bct_gate_reach_t *r, bct_time_t now, bct_time_t opened);

/*
 * bct_gate_reaches_suspect(3): whether connections of the service from before its last failures may
 * be dead: several upstreams failed lately, with no success since, or another service is cut off.
 */
bool bct_gate_reaches_suspect(const bct_gate_reaches_t *t, bct_time_t now, uint64_t service_key);

/*
 * bct_gate_reach_take_probe(3): whether to probe an upstream now, to find out whether the node is
 * cut off, or still is.
 */
bool bct_gate_reach_take_probe(bct_gate_reach_t *r, bct_time_t now);

#endif
