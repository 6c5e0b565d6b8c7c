/*
 * true_time.c - an estimate of the time of day: follows the wall clock slowly, and the peers.
 */
#include "policy/true_time.h"

#include <stdlib.h>
#include <string.h>

#define JUMP_MS 100	  /* larger steps of the wall clock are not followed at once */
#define SLEW_MS_PER_S 10  /* followed of them */
#define PEER_KEPT_MS 5000 /* five messages of a peer */
#define SUSPENDED_MS 500  /* without a call: the node was suspended */
#define DEAF_MS 1000	  /* after that, to read the messages that have waited */
#define SETTLE_MS 3000	  /* until a node that no peer confirmed counts as settled */
#define US_PER_MS 1000

/* Follows a jump of the wall clock by d ms, for the time since the last call. */
static void slew(bct_true_time_t *t, bct_time_t elapsed_ms, bct_time_t d)
{
	int64_t us = elapsed_ms * SLEW_MS_PER_S;

	t->slewed_us += d > 0 ? us : -us;
	t->offset_ms += t->slewed_us / US_PER_MS;
	t->slewed_us %= US_PER_MS;
}

static int compare(const void *a, const void *b)
{
	bct_time_t x = *(const bct_time_t *)a, y = *(const bct_time_t *)b;

	return (x > y) - (x < y);
}

/* returns the number of peers heard of late, and the median of their offsets */
static uint32_t get_median(const bct_true_time_t *t, bct_time_t now, bct_time_t *median)
{
	bct_time_t offsets[BCT_TRUE_TIME_PEERS];
	uint32_t n = 0;

	for (uint32_t i = 0; i < BCT_TRUE_TIME_PEERS; i++) {
		const bct_true_time_peer_t *p = &t->peers[i];

		if (p->incarnation && now - p->heard_at < PEER_KEPT_MS)
			offsets[n++] = p->offset_ms;
	}
	if (!n)
		return 0;
	qsort(offsets, n, sizeof(*offsets), compare);
	*median = n % 2 ? offsets[n / 2] : (offsets[n / 2 - 1] + offsets[n / 2]) / 2;
	return n;
}

static bct_time_t correct(bct_true_time_t *t, bct_time_t now)
{
	bct_time_t median = 0, correction;

	if (get_median(t, now, &median) < BCT_TRUE_TIME_QUORUM)
		return 0;
	t->confirmed = true;
	correction = median - t->offset_ms;
	if (llabs(correction) <= JUMP_MS)
		return 0;
	t->offset_ms = median;
	t->slewed_us = 0;
	return correction;
}

bct_time_t bct_true_time_advance(bct_true_time_t *t, bct_time_t now, bct_time_t wall)
{
	bct_time_t elapsed_ms = now - t->advanced_at;
	bct_time_t d = wall - now - t->offset_ms;

	t->advanced_at = now;
	if (!t->started) {
		t->started = true;
		t->started_at = now;
		t->offset_ms = wall - now;
		return 0;
	}
	if (elapsed_ms > SUSPENDED_MS)
		t->deaf_until = now + DEAF_MS;
	if (llabs(d) <= JUMP_MS) {
		t->offset_ms += d;
		t->slewed_us = 0;
	} else {
		slew(t, elapsed_ms, d);
	}
	return correct(t, now);
}

/* The entry of a peer, or one that is free or outdated; NULL: there is none. */
static bct_true_time_peer_t *get_peer(bct_true_time_t *t, bct_time_t now, uint64_t peer)
{
	bct_true_time_peer_t *unused = NULL;

	for (uint32_t i = 0; i < BCT_TRUE_TIME_PEERS; i++) {
		bct_true_time_peer_t *p = &t->peers[i];

		if (p->incarnation == peer)
			return p;
		if (!p->incarnation || now - p->heard_at >= PEER_KEPT_MS)
			unused = p;
	}
	if (unused)
		*unused = (bct_true_time_peer_t){ .incarnation = peer };
	return unused;
}

void bct_true_time_heard(bct_true_time_t *t, bct_time_t now, uint64_t peer, bct_time_t estimate)
{
	bct_time_t offset_ms = estimate - now;
	bct_true_time_peer_t *p;

	if (!t->started || now < t->deaf_until || now - t->advanced_at > SUSPENDED_MS)
		return;
	p = get_peer(t, now, peer);
	if (!p)
		return;
	if (!p->heard_at || offset_ms > p->offset_ms || now - p->offset_at >= PEER_KEPT_MS) {
		p->offset_ms = offset_ms;
		p->offset_at = now;
	}
	p->heard_at = now;
}

bct_time_t bct_true_time_at(const bct_true_time_t *t, bct_time_t now)
{
	return now + t->offset_ms;
}

bool bct_true_time_is_settled(const bct_true_time_t *t, bct_time_t now)
{
	return t->started && (t->confirmed || now - t->started_at >= SETTLE_MS);
}
