/*
 * registry_reader.h - a thread that makes the blocking calls of the registry on one topic.
 *
 * The topic is listed once and then read from the end of the listing. If records expired before
 * they were read, or more of them lie behind than fit in one answer, it is listed again at once.
 */
#ifndef BCT_GATE_REGISTRY_READER_H
#define BCT_GATE_REGISTRY_READER_H

#include "base/list.h"
#include "coord/registry.h"

typedef struct bct_registry_reader bct_registry_reader_t;

/* The result of one call. */
typedef struct bct_registry_result {
	bct_list_t link; /* of the receiver */
	bct_registry_topic_t topic;
	bct_registry_batch_t batch;
	bool listing; /* of the topic, else changes */
	int rc;	      /* of the call */
	bct_time_t started_at;
} bct_registry_result_t;

typedef struct bct_registry_reader_opts {
	bct_registry_t *registry;
	bct_registry_topic_t topic;
	uint32_t timeout_ms; /* of a call, see coord/registry.h */
	/* Takes over each result. Called from the thread. */
	void (*on_result)(void *ctx, bct_registry_result_t *r);
	void *ctx;
} bct_registry_reader_opts_t;

/* bct_registry_reader_new(3): start the thread. returns 0, -BCT_ENOMEM or -BCT_EIO. */
int bct_registry_reader_new(const bct_registry_reader_opts_t *opts, bct_registry_reader_t **out);

/* bct_registry_reader_free(3): wait for the thread to end. NULL is allowed. */
void bct_registry_reader_free(bct_registry_reader_t *r);

/* bct_registry_reader_stop(3): start no more calls; one in progress continues. */
void bct_registry_reader_stop(bct_registry_reader_t *r);

/* bct_registry_reader_call(3): make a call, BCT_GATE_POLL_CHANGES or _LIST, once idle. */
void bct_registry_reader_call(bct_registry_reader_t *r, bct_gate_poll_act_t act);

/* bct_registry_reader_busy(3): whether a call is in progress or waiting to be made. */
bool bct_registry_reader_busy(bct_registry_reader_t *r);

/* bct_registry_result_free(3): free a result and its batch. */
void bct_registry_result_free(bct_registry_result_t *r);

#endif
