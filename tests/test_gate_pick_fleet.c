/*
 * test_gate_pick_fleet.c - where a fleet of nodes sends requests that share large documents,
 * without network. Each test names the load that it answers.
 */
#include "tests/util_pick_fleet.h"

#include <criterion/criterion.h>
#include <stdio.h>

static void print(const char *name, const pick_load_t *l, const pick_result_t *r)
{
	fprintf(stderr, "%s, %u nodes: read %.2f of the document tokens asked for, busy %.2f", name,
		l->nodes, (double)r->documents_read_tokens / (double)r->documents_asked_tokens,
		r->busy);
	for (uint32_t c = 0; c < l->n_classes; c++)
		fprintf(stderr, "; class %u: %u came, %u in time, %u refused", c, r->came[c],
			r->in_time[c], r->refused[c]);
	fprintf(stderr, "; busy at refusals %.2f\n", r->busy_at_refusal);
}

/*
 * Many documents, each asked for once in some seconds at any node: engines together hold each of
 * them once or twice. Guards against documents that are read wherever the queue is shortest, so
 * that the next request finds them at an engine that is busy, or not at all.
 */
Test(gate_pick_fleet, many_documents_rarely_asked_for, .timeout = 120)
{
	static const uint32_t sizes[] = { 7, 40, 74 };

	for (uint32_t i = 0; i < 3; i++) {
		pick_load_t l = {
			.nodes = sizes[i],
			.engines = 40,
			.cache_tokens = 250000,
			.copy_token_ns = 12000,
			.start_ms = 6000,
			.length_ms = 16000,
			.classes = { { .per_s = 150,
				       .gap_ms = 800,
				       .target_ms = 2000,
				       .deadline_ms = 12000,
				       .n_documents = 400,
				       .document_tokens = 12000,
				       .own_tokens = 3000,
				       .output_ms = 1000 } },
			.n_classes = 1,
		};
		pick_result_t r = pick_fleet_play(&l, 1);
		/* The first request for a document must read it. */
		double first = (double)l.classes[0].n_documents * 12000.0;
		double again = ((double)r.documents_read_tokens - first) /
			       (double)r.documents_asked_tokens;

		print("rarely asked for", &l, &r);
		cr_expect_lt(again, 0.10, "%u nodes: %.2f read again", sizes[i], again);
		cr_expect_geq(r.in_time[0] * 20, r.came[0] * 19, "%u nodes", sizes[i]);
	}
}
