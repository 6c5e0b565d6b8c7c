/*
 * gate_memory.c - sums of what is buffered, and the step that they call for.
 */
#include "policy/gate_memory.h"

#include <string.h>

#define PERMILLE 1000

void bct_gate_memory_init(bct_gate_memory_t *m, uint64_t memory_bytes)
{
	memset(m, 0, sizeof(*m));
	m->bound_bytes = memory_bytes * BCT_GATE_MEMORY_SHARE_PERMILLE / PERMILLE;
	bct_list_init(&m->accounts);
}

void bct_gate_memory_open(bct_gate_memory_t *m, bct_gate_memory_account_t *a)
{
	memset(a, 0, sizeof(*a));
	bct_list_add_tail(&a->link, &m->accounts);
}

void bct_gate_memory_close(bct_gate_memory_t *m, bct_gate_memory_account_t *a)
{
	if (!a->link.next)
		return;
	for (int i = 0; i < BCT_GATE_MEMORY_KINDS; i++)
		m->total_bytes -= a->bytes[i];
	bct_gate_memory_body_ended(m, a);
	bct_list_del(&a->link);
	memset(a, 0, sizeof(*a));
}

void bct_gate_memory_change(bct_gate_memory_t *m, bct_gate_memory_account_t *a, bct_time_t now,
			    bct_gate_memory_kind_t kind, size_t added_bytes, size_t removed_bytes)
{
	if (kind == BCT_GATE_MEMORY_UNREAD && !a->bytes[kind])
		a->unread_since = now;
	if (kind == BCT_GATE_MEMORY_AHEAD && !a->bytes[kind])
		a->ahead_since = now;
	a->bytes[kind] += added_bytes - removed_bytes;
	m->total_bytes += added_bytes;
	m->total_bytes -= removed_bytes;
}

static bool is_above(const bct_gate_memory_t *m, uint32_t permille)
{
	return m->total_bytes * PERMILLE >= m->bound_bytes * permille;
}

bct_gate_memory_level_t bct_gate_memory_level(const bct_gate_memory_t *m)
{
	if (!m->bound_bytes || !is_above(m, BCT_GATE_MEMORY_WAIT_PERMILLE))
		return BCT_GATE_MEMORY_FREE;
	if (!is_above(m, BCT_GATE_MEMORY_REFUSE_PERMILLE))
		return BCT_GATE_MEMORY_WAIT;
	return is_above(m, BCT_GATE_MEMORY_CUT_PERMILLE) ? BCT_GATE_MEMORY_CUT
							 : BCT_GATE_MEMORY_REFUSE;
}

/* Whether no body that is being read began before that of the account. */
static bool is_oldest_body(const bct_gate_memory_t *m, const bct_gate_memory_account_t *a)
{
	const bct_list_t *el;

	bct_list_for_each(el, &m->accounts) {
		const bct_gate_memory_account_t *o =
			bct_container_of(el, bct_gate_memory_account_t, link);

		if (o->body && o->body < a->body)
			return false;
	}
	return a->body != 0;
}

void bct_gate_memory_expect(bct_gate_memory_account_t *a, size_t bytes)
{
	if (!a->body)
		a->expected_bytes = bytes;
}

/* Whether the body of the account can be read to its end beside those that began. */
static bool fits(const bct_gate_memory_t *m, const bct_gate_memory_account_t *a)
{
	uint32_t permille = a->expected_bytes > BCT_GATE_MEMORY_LONG_BYTES
				    ? BCT_GATE_MEMORY_LONG_PERMILLE
				    : BCT_GATE_MEMORY_BODIES_PERMILLE;

	return !m->expected_bytes ||
	       (m->expected_bytes + a->expected_bytes) * PERMILLE <= m->bound_bytes * permille;
}

static bool begin_body(bct_gate_memory_t *m, bct_gate_memory_account_t *a)
{
	if (!fits(m, a))
		return false;
	a->body = ++m->bodies;
	m->expected_bytes += a->expected_bytes;
	return true;
}

bool bct_gate_memory_may_read_body(bct_gate_memory_t *m, bct_gate_memory_account_t *a)
{
	switch (bct_gate_memory_level(m)) {
	case BCT_GATE_MEMORY_FREE:
		return a->body || begin_body(m, a);
	case BCT_GATE_MEMORY_WAIT:
		return a->body != 0;
	case BCT_GATE_MEMORY_REFUSE:
		return is_oldest_body(m, a);
	case BCT_GATE_MEMORY_CUT:
		break;
	}
	return false;
}

void bct_gate_memory_body_ended(bct_gate_memory_t *m, bct_gate_memory_account_t *a)
{
	if (a->body)
		m->expected_bytes -= a->expected_bytes;
	a->body = 0;
	a->expected_bytes = 0;
}

/* The account with enough unread output that has been unread for longest, or NULL. */
static bct_gate_memory_account_t *longest_unread(const bct_gate_memory_t *m)
{
	bct_gate_memory_account_t *found = NULL;
	bct_list_t *el;

	bct_list_for_each(el, &m->accounts) {
		bct_gate_memory_account_t *a =
			bct_container_of(el, bct_gate_memory_account_t, link);

		if (a->bytes[BCT_GATE_MEMORY_UNREAD] >= BCT_GATE_MEMORY_CUT_MIN_BYTES &&
		    (!found || a->unread_since < found->unread_since))
			found = a;
	}
	return found;
}

/* The account with most of a kind, if that is more than least_bytes, or NULL. */
static bct_gate_memory_account_t *largest(const bct_gate_memory_t *m, bct_gate_memory_kind_t kind,
					  size_t least_bytes)
{
	bct_gate_memory_account_t *found = NULL;
	size_t most = least_bytes;
	bct_list_t *el;

	bct_list_for_each(el, &m->accounts) {
		bct_gate_memory_account_t *a =
			bct_container_of(el, bct_gate_memory_account_t, link);

		if (a->bytes[kind] <= most)
			continue;
		most = a->bytes[kind];
		found = a;
	}
	return found;
}

bct_gate_memory_account_t *bct_gate_memory_to_cut(const bct_gate_memory_t *m, bct_time_t now,
						  bool wanted)
{
	bct_gate_memory_level_t level = bct_gate_memory_level(m);
	bct_gate_memory_account_t *a;

	if (level == BCT_GATE_MEMORY_FREE || (!wanted && level != BCT_GATE_MEMORY_CUT))
		return NULL;
	a = longest_unread(m);
	if (a && (level == BCT_GATE_MEMORY_CUT || now - a->unread_since >= BCT_GATE_MEMORY_WANT_MS))
		return a;
	if (level == BCT_GATE_MEMORY_CUT)
		a = largest(m, BCT_GATE_MEMORY_KEPT, BCT_GATE_MEMORY_CUT_MIN_BYTES - 1);
	if (a && level == BCT_GATE_MEMORY_CUT)
		return a;
	a = largest(m, BCT_GATE_MEMORY_AHEAD, 0);
	if (a && (level == BCT_GATE_MEMORY_CUT || now - a->ahead_since >= BCT_GATE_MEMORY_WANT_MS))
		return a;
	return NULL;
}
