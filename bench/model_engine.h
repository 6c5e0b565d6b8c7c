/*
 * model_engine.h - a model engine in virtual time.
 *
 * It has continuous batching with a limited number of slots and KV tokens, one prefill rate shared
 * by all streams, a decode rate per stream that falls as the batch fills, a prefix cache, a waiting
 * queue in order of priority, and faults. A stream of higher priority preempts running streams of
 * lower ones; these wait again, and their prompt and output are prefilled again. A prefix can be
 * imported from the cache of another engine, which takes the time of the transfer.
 */
#ifndef BCT_BENCH_MODEL_ENGINE_H
#define BCT_BENCH_MODEL_ENGINE_H

#include "bench/model_cache.h"
#include "policy/sched.h"

#define BCT_MODEL_WAITING_MAX 64 /* a further attempt is rejected as busy */
#define BCT_MODEL_RUNNING_MAX 64
#define BCT_MODEL_KV_SETUP_MS 20       /* fixed part of a KV transfer */
#define BCT_MODEL_KV_TOKENS_PER_MS 100 /* rate of a KV transfer between engines */
#define BCT_MODEL_RESTART_MS 8000      /* after a crash by a poison request */

/* One attempt on an engine. */
typedef struct bct_model_stream {
	uint64_t attempt_id;
	uint32_t req;	  /* index of the request */
	uint8_t priority; /* 1 is the highest */
	bool poison;	  /* crashes the engine at the end of its prefill */
	bct_time_t queued_at;
	uint32_t prompt_tokens;
	uint32_t resume_tokens; /* output of earlier attempts, prefilled with the prompt */
	uint32_t output_tokens; /* of the complete answer */
	uint32_t kv_tokens;	/* reserved while it runs */
	uint8_t n_prefix;
	const uint64_t *prefix; /* hashes of the leading prompt blocks; owned by the request */
	struct bct_model_engine *kv_source; /* engine to import the prefix from, or NULL */
	/* Progress. */
	bool has_started;	  /* stays true while it waits after a preemption */
	bct_time_t ready_at;	  /* when the import of its prefix is complete */
	double prefill_remaining; /* tokens */
	double decode_fraction;	  /* part of the next token that has been decoded */
	uint32_t produced;	  /* output tokens of this attempt */
} bct_model_stream_t;

/* Callbacks of an engine while it steps. They must not call into the engine. */
typedef struct bct_model_engine_ops {
	/* Prefill begins, at the first start and after each preemption. */
	void (*prefilling)(void *ctx, const bct_model_stream_t *s, uint32_t cached_tokens);
	/* First start of the attempt. */
	void (*started)(void *ctx, const bct_model_stream_t *s);
	/* s->produced has grown. */
	void (*tokens)(void *ctx, const bct_model_stream_t *s);
	void (*ended)(void *ctx, const bct_model_stream_t *s, bct_outcome_t outcome, bool started);
	void (*crashed)(void *ctx, uint32_t engine, bool by_poison);
	void (*cache)(void *ctx, uint32_t engine, const bct_cache_event_t *e);
} bct_model_engine_ops_t;

typedef struct bct_model_engine {
	const bct_model_engine_ops_t *ops;
	void *ctx;
	uint32_t index; /* in the deployment */
	const bct_upstream_conf_t *conf;
	bct_model_cache_t cache;
	uint64_t cache_seq;
	uint64_t boot_id; /* changes at each restart */
	uint64_t report_seq;
	bool down;
	bool hung;	     /* makes no progress and sends no reports */
	double speed;	     /* 1.0: as configured */
	bct_time_t up_at;    /* end of the restart while down */
	uint32_t kv_used;    /* tokens reserved by running streams */
	double tokens_per_s; /* exponentially smoothed output rate */
	uint32_t n_running;
	uint32_t n_waiting;
	bct_model_stream_t running[BCT_MODEL_RUNNING_MAX];
	/* May exceed BCT_MODEL_WAITING_MAX by the preempted streams. */
	bct_model_stream_t waiting[BCT_MODEL_WAITING_MAX + BCT_MODEL_RUNNING_MAX];
} bct_model_engine_t;

/*
 * bct_model_engine_init(3): initialize an idle engine.
 *
 * returns  0, -BCT_ENOMEM, or -BCT_EINVAL when conf has too many slots
 */
int bct_model_engine_init(bct_model_engine_t *e, uint32_t index, const bct_upstream_conf_t *conf,
			  const bct_model_engine_ops_t *ops, void *ctx);
void bct_model_engine_free(bct_model_engine_t *e);

/*
 * bct_model_engine_offer(3): add an attempt to the waiting queue.
 *
 * s        copied
 * returns  BCT_OUTCOME_OK, or BCT_OUTCOME_BUSY or BCT_OUTCOME_CONNECT_FAILED when it is rejected
 */
bct_outcome_t bct_model_engine_offer(bct_model_engine_t *e, const bct_model_stream_t *s);

/*
 * bct_model_engine_cancel(3): remove an attempt at once, without a callback.
 *
 * started  set to whether the attempt had been started
 * returns  output tokens that it had produced; 0 for an unknown attempt
 */
uint32_t bct_model_engine_cancel(bct_model_engine_t *e, uint64_t attempt_id, bool *started);

/* bct_model_engine_step(3): simulate one tick. */
void bct_model_engine_step(bct_model_engine_t *e, bct_time_t now);

/* bct_model_engine_crash(3): reset all streams and drop the cache; restart at up_at. */
void bct_model_engine_crash(bct_model_engine_t *e, bct_time_t up_at, bool by_poison);

/* bct_model_engine_report(3): write the current load report. */
void bct_model_engine_report(bct_model_engine_t *e, bct_report_t *out);

#endif
