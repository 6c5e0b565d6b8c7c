/*
 * test_gate_conns.c - how many connections a node keeps open, and which one ends for a new one,
 * when clients open more than there is room for.
 */
#include "policy/gate_conns.h"

#include <criterion/criterion.h>

#define MEMORY_BYTES 110000000U
#define DESCRIPTORS 4100U
#define N 40

/* Guards against ports that together may take the descriptors that upstreams need. */
Test(gate_conns, upstreams_have_descriptors_left)
{
	for (uint32_t descriptors = 64; descriptors <= 65536; descriptors *= 2) {
		bct_gate_conn_opts_t o = { .descriptors = descriptors };
		bct_gate_conn_limits_t l = bct_gate_conn_limits(&o);
		uint32_t ports = l.callers + l.nodes + 3 * l.local;

		cr_expect_leq(ports + l.callers + l.nodes, descriptors, "%u", descriptors);
	}
}

/* Little memory bounds the connections, whatever the descriptors allow; a setting only lowers them.
 */
Test(gate_conns, memory_and_the_setting_bound_callers)
{
	bct_gate_conn_opts_t o = { .memory_bytes = MEMORY_BYTES, .descriptors = DESCRIPTORS };

	cr_expect_eq(bct_gate_conn_limits(&o).callers, MEMORY_BYTES / BCT_GATE_CONN_BYTES);
	o.max_connections = 100;
	cr_expect_eq(bct_gate_conn_limits(&o).callers, 100);
	o.max_connections = 1000000;
	cr_expect_eq(bct_gate_conn_limits(&o).callers, MEMORY_BYTES / BCT_GATE_CONN_BYTES);
	o.memory_bytes = 1;
	o.max_local = 5;
	cr_expect_eq(bct_gate_conn_limits(&o).callers, 1, "never none");
	cr_expect_eq(bct_gate_conn_limits(&o).local, 5);
}

/* Index of the connection that yields first, or -1. */
static int first(const bct_gate_conn_rank_t *all, int n)
{
	int found = -1;

	for (int i = 0; i < n; i++) {
		if (bct_gate_conn_yields(&all[i]) &&
		    (found < 0 || bct_gate_conn_before(&all[i], &all[found])))
			found = i;
	}
	return found;
}

/*
 * A client opens connection after connection and begins a request on each, and an ordinary caller
 * comes in between: it keeps its connection for as many new ones as the node may have, and while
 * its request is handled.
 */
Test(gate_conns, a_flood_of_half_requests_keeps_nobody_out)
{
	bct_gate_conn_rank_t all[N];
	bct_time_t now = 1000;

	for (int i = 0; i < N; i++)
		all[i] = (bct_gate_conn_rank_t){ BCT_GATE_CONN_PARTIAL, now++ };
	for (int i = 0; i < N - 1; i++) {
		int at = first(all, N);

		all[at] = (bct_gate_conn_rank_t){ BCT_GATE_CONN_PARTIAL, now++ };
		if (!i)
			all[at].since = now++; /* the caller's */
		else
			cr_expect_neq(at, 0, "after %d", i);
	}
	all[0].state = BCT_GATE_CONN_BUSY;
	for (int i = 0; i < 3 * N; i++) {
		int at = first(all, N);

		cr_expect_neq(at, 0);
		all[at].since = now++;
	}
	for (int i = 0; i < N; i++)
		all[i].state = BCT_GATE_CONN_BUSY;
	cr_expect_eq(first(all, N), -1, "a request that is handled never yields");
}

/* Connections that nobody waits for go before those on which a request is on its way. */
Test(gate_conns, what_is_worth_least_yields_first)
{
	bct_gate_conn_rank_t all[] = {
		{ BCT_GATE_CONN_BUSY, 1 },   { BCT_GATE_CONN_PARTIAL, 2 },
		{ BCT_GATE_CONN_UNREAD, 3 }, { BCT_GATE_CONN_IDLE, 5 },
		{ BCT_GATE_CONN_IDLE, 4 },   { BCT_GATE_CONN_CLOSING, 9 },
	};
	static const int order[] = { 5, 4, 3, 2, 1, -1 };

	for (int i = 0; i < 6; i++) {
		int at = first(all, 6);

		cr_expect_eq(at, order[i], "%d: %d", i, at);
		if (at >= 0)
			all[at].state = BCT_GATE_CONN_BUSY;
	}
}
