/*
 * util_pick_fleet.h - nodes that place requests on engines by policy/gate_pick, without network:
 * each knows its own requests at once, and those of the others late. Engines prefill one prompt at
 * a time and keep the shared documents that they read last.
 */
#ifndef BCT_TESTS_UTIL_PICK_FLEET_H
#define BCT_TESTS_UTIL_PICK_FLEET_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

#define PICK_CLASSES_MAX 3

/* Requests with the same limits, each with one of n_documents in its prompt. */
typedef struct pick_class {
	double per_s;
	uint32_t gap_ms;
	uint32_t target_ms;
	uint32_t deadline_ms;
	uint32_t n_documents;
	uint32_t document_tokens;
	uint32_t own_tokens;
	uint32_t output_ms;
} pick_class_t;

typedef struct pick_load {
	uint32_t nodes, engines;
	uint32_t cache_tokens; /* of documents, at one engine */
	uint32_t copy_token_ns;
	uint32_t start_ms; /* requests that come before it are not counted */
	uint32_t length_ms;
	pick_class_t classes[PICK_CLASSES_MAX];
	uint32_t n_classes;
} pick_load_t;

typedef struct pick_result {
	uint32_t came[PICK_CLASSES_MAX];
	uint32_t refused[PICK_CLASSES_MAX]; /* tries */
	uint32_t in_time[PICK_CLASSES_MAX]; /* first byte within the objective */
	uint64_t documents_read_tokens;	    /* prefilled, not copied or found in the cache */
	uint64_t documents_asked_tokens;
	double busy;		/* share of all engines' time */
	double busy_at_refusal; /* the same, at the moments at which requests were refused */
} pick_result_t;

pick_result_t pick_fleet_play(const pick_load_t *load, uint64_t seed);

#endif
