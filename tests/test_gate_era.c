/*
 * test_gate_era.c - a registry that comes back from a copy some seconds old
 * (policy/gate_upstreams): offsets go back and are given out again, and what was written since is
 * gone until it is written again. Cases by hand, then random histories of a registry, nodes and
 * engines.
 */
#include "base/err.h"
#include "base/rng.h"
#include "policy/gate_upstreams.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define SERVICE "s"

static bct_gate_entry_t entry(const char *id, uint64_t era, uint64_t offset, uint64_t sequence)
{
	bct_gate_entry_t e = {
		.service = SERVICE, .zone = "z", .ip = "10.0.0.1", .port = 80, .born_ms = 100
	};

	snprintf(e.id, sizeof(e.id), "%s", id);
	e.sequence = sequence;
	e.position = bct_gate_position(era, offset);
	return e;
}

static bool accepts(const bct_gate_upstreams_t *t, const char *id)
{
	const bct_gate_upstream_t *u = bct_gate_upstreams_find(t, id);

	return u && bct_gate_upstream_accepts(u, u->service_key);
}

static void list_one(bct_gate_upstreams_t *t, bct_time_t now, const bct_gate_entry_t *e,
		     bct_gate_position_t end)
{
	bct_gate_upstreams_list_begin(t);
	if (e)
		bct_gate_upstreams_apply(t, now, e);
	bct_gate_upstreams_list_end(t, now, end);
}

/* Any position of a later era is newer, though its offset is lower. */
Test(gate_era, a_lower_offset_of_a_later_era_is_newer)
{
	bct_gate_upstreams_t t;
	bct_gate_entry_t e = entry("i", 4, 900, 5);

	bct_gate_upstreams_init(&t);
	bct_gate_upstreams_apply(&t, 1, &e);
	e = entry("i", 5, 20, 6);
	e.draining = true;
	cr_assert_eq(bct_gate_upstreams_apply(&t, 2, &e), 1);
	e = entry("i", 4, 950, 7);
	cr_assert_eq(bct_gate_upstreams_apply(&t, 3, &e), -BCT_ESTALE);
	bct_gate_upstreams_free(&t);
}

/* A peer that doesn't know the new era yet lists what it has: that removes nothing newer. */
Test(gate_era, a_listing_of_an_earlier_era_removes_nothing)
{
	bct_gate_upstreams_t t;
	bct_gate_entry_t e = entry("i", 5, 20, 5);

	bct_gate_upstreams_init(&t);
	bct_gate_upstreams_apply(&t, 1, &e);
	list_one(&t, 2, NULL, bct_gate_position(4, 900));
	cr_assert(accepts(&t, "i"));
	bct_gate_upstreams_free(&t);
}

/* The copy holds an engine that has ended since: only what it writes itself brings it back. */
Test(gate_era, a_copy_revives_no_removed_run)
{
	bct_gate_upstreams_t t;
	bct_gate_entry_t e = entry("i", 4, 800, 5);

	bct_gate_upstreams_init(&t);
	bct_gate_upstreams_apply(&t, 1, &e);
	bct_gate_upstreams_remove(&t, 2, "i", bct_gate_position(4, 900));
	bct_gate_upstreams_sweep(&t, 3);
	cr_assert_null(bct_gate_upstreams_find(&t, "i"));
	bct_gate_upstreams_new_era(&t, 4);
	e = entry("i", 5, 800, 5);
	list_one(&t, 4, &e, bct_gate_position(5, 850));
	cr_assert_not(accepts(&t, "i"));
	e = entry("i", 5, 860, 6);
	bct_gate_upstreams_apply(&t, 5, &e);
	cr_assert(accepts(&t, "i"));
	bct_gate_upstreams_free(&t);
}

/* The copy lists an engine as ready that has said since that it drains. */
Test(gate_era, a_copy_revives_no_draining_run)
{
	bct_gate_upstreams_t t;
	bct_gate_entry_t e = entry("i", 4, 800, 5);

	bct_gate_upstreams_init(&t);
	bct_gate_upstreams_apply(&t, 1, &e);
	e = entry("i", 4, 900, 6);
	e.draining = true;
	bct_gate_upstreams_apply(&t, 2, &e);
	bct_gate_upstreams_new_era(&t, 3);
	e = entry("i", 5, 800, 5);
	list_one(&t, 3, &e, bct_gate_position(5, 850));
	cr_assert_not(accepts(&t, "i"));
	bct_gate_upstreams_free(&t);
}

/* An engine that started after the copy was made stays in use until it has written itself again. */
Test(gate_era, what_the_copy_lacks_may_register_again)
{
	bct_gate_upstreams_t t;
	bct_gate_entry_t e = entry("i", 4, 900, 5), gone = entry("j", 4, 910, 5);

	bct_gate_upstreams_init(&t);
	bct_gate_upstreams_apply(&t, 1000, &e);
	bct_gate_upstreams_apply(&t, 1000, &gone);
	bct_gate_upstreams_new_era(&t, 2000);
	list_one(&t, 2000, NULL, bct_gate_position(5, 850));
	cr_assert(accepts(&t, "i") && accepts(&t, "j"));
	e = entry("i", 5, 860, 6);
	bct_gate_upstreams_apply(&t, 3000, &e);
	bct_gate_upstreams_sweep(&t, 2000 + BCT_GATE_LAPSE_GRACE_MS);
	cr_assert(accepts(&t, "i"));
	cr_assert_not(accepts(&t, "j"));
	bct_gate_upstreams_free(&t);
}

#define ENGINES 4
#define NODES 3
#define RECORDS_MAX 512
#define STEPS 120
#define WALKS 2000
#define STEP_MS 200
#define EXPIRE_MS 1000

/* A record of the registry: the state that an engine wrote, or its removal. */
typedef struct record {
	uint32_t engine;
	uint64_t sequence;
	bool draining, removed;
} record_t;

typedef struct sim_registry {
	record_t log[RECORDS_MAX];
	uint64_t n, era;
} sim_registry_t;

typedef struct sim_engine {
	uint64_t sequence; /* of its last write */
	bool draining, ended;
	bct_time_t ended_at;
} sim_engine_t;

typedef struct sim_node {
	bct_gate_upstreams_t table;
	bct_gate_position_t next;
	bool listed;
	bool knew_end[ENGINES]; /* it has seen that the engine drains or was removed */
} sim_node_t;

static sim_registry_t registry, copy;
static sim_engine_t engines[ENGINES];
static sim_node_t nodes[NODES];
static bct_rng_t rng;
static bct_time_t now, returned_at;

static void id_of(uint32_t engine, char *out)
{
	sprintf(out, "e%u", engine);
}

static void append(uint32_t engine, bool removed)
{
	sim_engine_t *e = &engines[engine];

	registry.log[registry.n++] = (record_t){ engine, e->sequence, e->draining, removed };
}

/* An engine that lives writes its state. */
static void write_engine(uint32_t i)
{
	if (engines[i].ended)
		return;
	engines[i].sequence++;
	append(i, false);
}

/* The newest record of an engine; NULL: none. */
static const record_t *newest(uint32_t engine, uint64_t *offset)
{
	for (uint64_t i = registry.n; i--;) {
		*offset = i;
		if (registry.log[i].engine == engine)
			return &registry.log[i];
	}
	return NULL;
}

/* Entries of engines that have not written for a while, or since the return, are removed. */
static void expire(void)
{
	for (uint32_t i = 0; i < ENGINES; i++) {
		uint64_t offset;
		const record_t *r = newest(i, &offset);

		if (r && !r->removed && engines[i].ended && now - engines[i].ended_at > EXPIRE_MS &&
		    now - returned_at > EXPIRE_MS)
			append(i, true);
	}
}

static void apply_record(sim_node_t *n, const record_t *r, uint64_t era, uint64_t offset)
{
	char id[16];
	bct_gate_entry_t e;

	id_of(r->engine, id);
	if (r->removed) {
		bct_gate_upstreams_remove(&n->table, now, id, bct_gate_position(era, offset));
		n->knew_end[r->engine] = true;
		return;
	}
	e = entry(id, era, offset, r->sequence);
	e.draining = r->draining;
	bct_gate_upstreams_apply(&n->table, now, &e);
	n->knew_end[r->engine] = n->knew_end[r->engine] || r->draining;
}

static void list_all(sim_node_t *n, const sim_registry_t *r)
{
	bct_gate_position_t end = bct_gate_position(r->era, r->n);

	bct_gate_upstreams_list_begin(&n->table);
	for (uint32_t i = 0; i < ENGINES; i++) {
		uint64_t offset;
		const record_t *rec = newest(i, &offset);

		if (rec && !rec->removed)
			apply_record(n, rec, r->era, offset);
	}
	bct_gate_upstreams_list_end(&n->table, now, end);
	n->next = end;
	n->listed = true;
}

/* A node reads changes, or lists anew when the era is another one than that of its position. */
static void read_registry(sim_node_t *n)
{
	uint64_t era = bct_gate_position_era(n->next);

	if (n->listed && era == registry.era) {
		for (uint64_t i = bct_gate_position_offset(n->next); i < registry.n; i++)
			apply_record(n, &registry.log[i], era, i);
		n->next = bct_gate_position(era, registry.n);
		bct_gate_upstreams_reached(&n->table, n->next);
		return;
	}
	if (n->listed)
		bct_gate_upstreams_new_era(&n->table, now);
	list_all(n, &registry);
}

/* A node sends all that it knows to another one. */
static void pull(sim_node_t *to, sim_node_t *from)
{
	bct_list_t *el;

	/* A node that has not read the registry advertises nothing. */
	if (!from->table.position)
		return;
	bct_gate_upstreams_list_begin(&to->table);
	bct_list_for_each(el, &from->table.all) {
		const bct_gate_upstream_t *u = bct_container_of(el, bct_gate_upstream_t, link);
		bct_gate_entry_t e = u->entry;

		e.draining = u->presence == BCT_GATE_DRAINING;
		if (u->presence < BCT_GATE_LAPSED)
			bct_gate_upstreams_apply(&to->table, now, &e);
	}
	bct_gate_upstreams_list_end(&to->table, now, from->table.position);
}

static void restart(sim_node_t *n)
{
	bct_gate_upstreams_free(&n->table);
	memset(n, 0, sizeof(*n));
	bct_gate_upstreams_init(&n->table);
}

static void step(void)
{
	uint32_t engine = bct_rng_below(&rng, ENGINES);
	sim_node_t *n = &nodes[bct_rng_below(&rng, NODES)];

	switch (bct_rng_below(&rng, 12)) {
	case 0:
		copy = registry;
		break;
	case 1:
		if (!bct_rng_below(&rng, 3) && copy.n) {
			copy.era = registry.era + 1;
			registry = copy;
			returned_at = now;
		}
		break;
	case 2:
		engines[engine].draining = !engines[engine].ended;
		write_engine(engine);
		break;
	case 3:
		if (!engines[engine].ended && !bct_rng_below(&rng, 4)) {
			engines[engine].ended = true;
			engines[engine].ended_at = now;
		}
		break;
	case 4:
		if (!bct_rng_below(&rng, 4))
			restart(n);
		break;
	case 5:
		pull(n, &nodes[bct_rng_below(&rng, NODES)]);
		break;
	case 6:
	case 7:
	case 8:
		read_registry(n);
		break;
	default:
		write_engine(engine);
	}
	expire();
	for (uint32_t i = 0; i < NODES; i++)
		bct_gate_upstreams_sweep(&nodes[i].table, now);
}

static bool is_ready(const bct_gate_upstreams_t *t, const char *id)
{
	const bct_gate_upstream_t *u = bct_gate_upstreams_find(t, id);

	return u && u->presence == BCT_GATE_READY;
}

/*
 * A node that has seen an engine drain or end never takes it for ready again. For a while after the
 * registry's return an engine whose entry was removed may still be used, as after an outage.
 */
static void assert_nothing_is_revived(uint64_t seed)
{
	for (uint32_t i = 0; i < NODES; i++) {
		for (uint32_t e = 0; e < ENGINES; e++) {
			char id[16];

			id_of(e, id);
			cr_assert(!nodes[i].knew_end[e] || !is_ready(&nodes[i].table, id),
				  "seed %llu: node %u takes %s for ready again",
				  (unsigned long long)seed, i, id);
		}
	}
}

/* Once all engines have written and all nodes have read, the nodes know just those that live. */
static void assert_converges(uint64_t seed)
{
	for (int round = 0; round < 20; round++) {
		now += STEP_MS;
		for (uint32_t e = 0; e < ENGINES; e++)
			write_engine(e);
		expire();
		for (uint32_t i = 0; i < NODES; i++) {
			read_registry(&nodes[i]);
			bct_gate_upstreams_sweep(&nodes[i].table, now);
		}
	}
	for (uint32_t i = 0; i < NODES; i++) {
		for (uint32_t e = 0; e < ENGINES; e++) {
			bool lives = !engines[e].ended && !engines[e].draining;
			char id[16];

			id_of(e, id);
			cr_assert_eq(accepts(&nodes[i].table, id), lives, "seed %llu: node %u, %s",
				     (unsigned long long)seed, i, id);
		}
	}
}

Test(gate_era, random_histories)
{
	for (uint64_t seed = 1; seed <= WALKS; seed++) {
		bct_rng_seed(&rng, seed);
		memset(&registry, 0, sizeof(registry));
		memset(&copy, 0, sizeof(copy));
		memset(engines, 0, sizeof(engines));
		registry.era = 1;
		now = 100000;
		returned_at = 0;
		for (uint32_t i = 0; i < NODES; i++)
			bct_gate_upstreams_init(&nodes[i].table);
		for (int i = 0; i < STEPS; i++) {
			now += STEP_MS;
			step();
			assert_nothing_is_revived(seed);
		}
		assert_converges(seed);
		for (uint32_t i = 0; i < NODES; i++) {
			bct_gate_upstreams_free(&nodes[i].table);
			memset(&nodes[i], 0, sizeof(nodes[i]));
		}
	}
}
