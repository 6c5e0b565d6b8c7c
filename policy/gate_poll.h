/*
 * gate_poll.h - decides where a node gets the newest routes and upstreams from: from the registry,
 * or from a peer that is ahead. Pure: no I/O and no clock.
 *
 * Each topic of the registry is tracked by itself, since the registry may answer a node on one and
 * refuse it on another. The nodes of lowest rank, the readers, poll a topic at every interval and
 * advertise what they have. Every other node compares its versions with those advertised, and pulls
 * the topic from the advertising peer when it is behind. If no recent answer on a topic is known,
 * nodes take over in the order of their ranks, a larger group after each pause, until one of them
 * gets an answer and advertises it. So the number of calls does not grow with the number of nodes,
 * a node that the registry refuses is served by its peers, and no reader has to be elected.
 */
#ifndef BCT_POLICY_GATE_POLL_H
#define BCT_POLICY_GATE_POLL_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_GATE_READERS 2 /* two, because one may be cut off from the registry */

typedef enum bct_registry_topic {
	BCT_REGISTRY_ROUTES = 0, /* configurations of the gateway */
	BCT_REGISTRY_UPSTREAMS,
	BCT_REGISTRY_TOPICS, /* number of topics */
} bct_registry_topic_t;

/* An answer of the registry on one topic. */
typedef struct bct_gate_read {
	bct_time_t answered_at; /* on the local clock; 0: none */
	uint64_t reader;	/* incarnation of the node that received it */
} bct_gate_read_t;

/* Versions that a peer advertised in one message. */
typedef struct bct_gate_peer_versions {
	bct_time_t received_at;
	uint64_t from; /* incarnation of the peer */
	bct_gate_read_t reads[BCT_REGISTRY_TOPICS];
	uint64_t routes_version;
	uint64_t upstreams_digest;
} bct_gate_peer_versions_t;

/* State of one topic. */
typedef struct bct_gate_topic_poll {
	bct_gate_read_t peer_read;     /* latest answer that a peer advertised */
	bct_gate_read_t held;	       /* the answer that this node's data is known to match */
	bct_time_t answered_at;	       /* last answer to this node */
	bct_time_t answered_as_of;     /* start of that call: the answer is not older */
	bct_time_t polled_at;	       /* last call of this node to the registry; 0: none yet */
	bct_time_t pulled_at;	       /* last pull of this node from a peer; 0: none yet */
	bool pulling;		       /* it has not ended */
	uint32_t consecutive_failures; /* of this node's polls */
	bct_time_t failed_at;	       /* last one of them */
	uint32_t unhelpful_pulls;      /* in a row, in which nothing changed */
	bool ask_registry;	       /* the last pull did not help: the registry is next */
} bct_gate_topic_poll_t;

typedef struct bct_gate_poll {
	uint64_t self;		      /* incarnation of this node; set by the caller */
	uint32_t interval_ms;	      /* between two polls of a reader */
	uint32_t message_interval_ms; /* between two messages of a reader; set by the caller */
	uint32_t call_limit_ms;	      /* of a call to the registry; set by the caller */
	bct_time_t confirm_at;	      /* the upstreams must be known as of then; 0: never asked */
	bct_gate_topic_poll_t topics[BCT_REGISTRY_TOPICS];
	uint64_t highest_version; /* of routes, received from any peer */
	uint64_t highest_from;	  /* the last peer that advertised it */
	uint64_t peer_version;	  /* of routes, advertised with the latest answer on them */
	bct_time_t received_at;	  /* of the message with the latest upstreams; 0: none yet */
	uint64_t received_from;	  /* its sender */
	bct_gate_read_t received_read;
	uint64_t received_digest;   /* of its upstreams */
	uint32_t message_gap_ms;    /* between the last two such messages; 0: unknown */
	bct_time_t compared_at;	    /* received_at when local_digest_then was taken */
	uint64_t local_digest_then; /* digest of the local upstreams at that message */
	bct_time_t differs_since;   /* unchanged local upstreams differ from the peer's; 0: no */
	bct_time_t unequal_since;   /* the digests have not been equal since; 0: equal */
} bct_gate_poll_t;

/* State of this node. */
typedef struct bct_gate_local_versions {
	uint32_t rank; /* among the live nodes, from 0 */
	uint64_t routes_version;
	uint64_t upstreams_digest;
	bool busy; /* a call to the registry is in progress: no other can start */
} bct_gate_local_versions_t;

typedef enum bct_gate_poll_act {
	BCT_GATE_POLL_NONE = 0,
	BCT_GATE_POLL_CHANGES, /* the registry's changes since the last answer */
	BCT_GATE_POLL_LIST,    /* a full listing of the registry */
	BCT_GATE_POLL_PULL,    /* everything, from a peer */
} bct_gate_poll_act_t;

/* What to do now on one topic. */
typedef struct bct_gate_due {
	bct_gate_poll_act_t act;
	uint64_t from; /* BCT_GATE_POLL_PULL: incarnation of the peer */
} bct_gate_due_t;

void bct_gate_poll_init(bct_gate_poll_t *p, uint32_t interval_ms);

/* bct_gate_poll_received(3): processes the versions that a peer advertised. */
void bct_gate_poll_received(bct_gate_poll_t *p, const bct_gate_peer_versions_t *v);

/*
 * bct_gate_poll_due(3): decides what to do on a topic; to be called often. The caller must do what
 * it returns, as that counts as done from now on.
 */
bct_gate_due_t bct_gate_poll_due(bct_gate_poll_t *p, bct_time_t now, bct_registry_topic_t topic,
				 const bct_gate_local_versions_t *local);

/* bct_gate_poll_is_reader(3): whether this node is to poll the registry on a topic. */
bool bct_gate_poll_is_reader(const bct_gate_poll_t *p, bct_time_t now, bct_registry_topic_t topic,
			     uint32_t rank);

/*
 * bct_gate_poll_result(3): processes the result of a call of this node to the registry.
 *
 * started_at  when the call was made; 0: its answer does not tell the state of the topic, and only
 *             shows that the registry is reachable
 */
void bct_gate_poll_result(bct_gate_poll_t *p, bct_time_t now, bct_registry_topic_t topic,
			  bct_time_t started_at, bool ok);

/*
 * bct_gate_poll_confirm(3): the upstreams have to be known as of a time, the present one or an
 * earlier one. Any node asks the registry for that, at once unless it refused to answer lately.
 * bct_gate_poll_as_of(3): the time as of which this node's upstreams are known to be those of the
 * registry; 0: never.
 */
void bct_gate_poll_confirm(bct_gate_poll_t *p, bct_time_t at);
bct_time_t bct_gate_poll_as_of(const bct_gate_poll_t *p);

/* Result of a pull from a peer. */
typedef enum bct_gate_pulled {
	BCT_GATE_PULL_HELPED = 0,
	BCT_GATE_PULL_UNHELPFUL, /* it was answered and nothing changed */
	BCT_GATE_PULL_FAILED,	 /* no answer, or the peer has too many to answer */
} bct_gate_pulled_t;

/* bct_gate_poll_pulled(3): processes the result of a pull, also of one that did not start. */
void bct_gate_poll_pulled(bct_gate_poll_t *p, bct_registry_topic_t topic, bct_gate_pulled_t r);

/*
 * bct_gate_poll_latest(3): returns the latest answer of the registry on a topic that this node's
 * data is known to match. A node that knows of a later answer but lags behind does not state it.
 *
 * own_only  leave out answers that peers received
 */
bct_gate_read_t bct_gate_poll_latest(const bct_gate_poll_t *p, bct_registry_topic_t topic,
				     bool own_only);

/* bct_gate_poll_advertises(3): whether this node is a reader that has had a recent answer. */
bool bct_gate_poll_advertises(const bct_gate_poll_t *p, bct_time_t now, uint32_t rank);

/*
 * bct_gate_poll_lost(3): whether no node is known to have had an answer on a topic for so long that
 * the registry counts as lost.
 */
bool bct_gate_poll_lost(const bct_gate_poll_t *p, bct_time_t now, bct_registry_topic_t topic);

#endif
