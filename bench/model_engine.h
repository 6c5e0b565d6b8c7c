/*
 * model_engine.h - a model engine in virtual time: continuous batching with slots and a KV limit,
 * one prefill rate shared by all streams, a decode rate for each stream that falls as the batch
 * fills, a prefix cache, a waiting queue in order of priority, and faults. Running work of a lower
 * priority makes room for a higher one; it waits, and its prompt and output are prefilled again.
 * A prefix can be imported from another engine's cache, in the time of a transfer.
 */
#ifndef BCT_BENCH_MODEL_ENGINE_H
#define BCT_BENCH_MODEL_ENGINE_H

#include "bench/model_cache.h"
#include "policy/sched.h"

#define BCT_MODEL_WAITING_MAX 64 /* one more is refused as busy */
#define BCT_MODEL_RUNNING_MAX 64
#define BCT_MODEL_KV_SETUP_MS 20
#define BCT_MODEL_KV_TOKENS_PER_MS 100 /* between engines */
#define BCT_MODEL_RESTART_MS 8000      /* after a poison request crashed it */

/* One attempt on an engine. */
typedef struct bct_model_stream {
	uint64_t attempt_id;
	uint32_t req; /* index of the request */
	uint8_t priority;
	bool poison; /* crashes the engine when its prefill ends */
	bct_time_t queued_at;
	uint32_t prompt_tokens;
	uint32_t resume_tokens;
	uint32_t output_tokens; /* of the whole answer */
	uint32_t kv_tokens;	/* reserved while it runs */
	uint8_t n_prefix;
	const uint64_t *prefix;
	struct bct_model_engine *kv_source; /* to import the prefix from, or NULL */
	/* State once it has begun to run. */
	bool begun;
	bct_time_t ready_at; /* when its import is done */
	double prefill_left;
	double decode_fraction; /* of the next token */
	uint32_t produced;
} bct_model_stream_t;

/* What an engine tells its driver while it steps. The driver must not call it back from these. */
typedef struct bct_model_engine_ops {
	void (*prefilling)(void *ctx, const bct_model_stream_t *s, uint32_t cached_tokens);
	void (*started)(void *ctx, const bct_model_stream_t *s);
	void (*tokens)(void *ctx, const bct_model_stream_t *s);
	void (*ended)(void *ctx, const bct_model_stream_t *s, bct_outcome_t outcome, bool started);
	void (*crashed)(void *ctx, uint32_t engine, bool by_poison);
	void (*cache)(void *ctx, uint32_t engine, const bct_cache_event_t *e);
} bct_model_engine_ops_t;

typedef struct bct_model_engine {
	const bct_model_engine_ops_t *ops;
	void *ctx;
	uint32_t index;
	const bct_upstream_conf_t *conf;
	bct_model_cache_t cache;
	uint64_t cache_seq;
	uint64_t boot_id;
	uint64_t report_seq;
	bool down;
	bool hung;
	double speed; /* 1.0: as configured */
	bct_time_t up_at;
	uint32_t kv_used;
	double tokens_per_s; /* smoothed */
	uint32_t n_running;
	uint32_t n_waiting;
	bct_model_stream_t running[BCT_MODEL_RUNNING_MAX];
	bct_model_stream_t waiting[BCT_MODEL_WAITING_MAX + BCT_MODEL_RUNNING_MAX];
} bct_model_engine_t;

/* returns 0 or -BCT_ENOMEM */
int bct_model_engine_init(bct_model_engine_t *e, uint32_t index, const bct_upstream_conf_t *conf,
			  const bct_model_engine_ops_t *ops, void *ctx);
void bct_model_engine_free(bct_model_engine_t *e);

/*
 * bct_model_engine_offer(3): hand in an attempt.
 *
 * returns  BCT_OUTCOME_OK when it was taken, else BUSY or CONNECT_FAILED
 */
bct_outcome_t bct_model_engine_offer(bct_model_engine_t *e, const bct_model_stream_t *s);

/*
 * bct_model_engine_cancel(3): stop an attempt at once; no event follows.
 *
 * started  set when the attempt had begun to run
 * returns  tokens that it had produced
 */
uint32_t bct_model_engine_cancel(bct_model_engine_t *e, uint64_t attempt_id, bool *started);

/* bct_model_engine_step(3): run one tick. */
void bct_model_engine_step(bct_model_engine_t *e, bct_time_t now);

/* bct_model_engine_crash(3): all streams break; the engine is back, empty, at up_at. */
void bct_model_engine_crash(bct_model_engine_t *e, bct_time_t up_at, bool by_poison);

/* bct_model_engine_report(3): what it says of itself now. */
void bct_model_engine_report(bct_model_engine_t *e, bct_report_t *out);

#endif
