/*
 * share_crash.c - crashes of upstreams and the requests refused for them, in the share protocol.
 * Each crash is sent to all nodes at once; all requests that are refused are announced again and
 * again, for nodes that were not there or cut off.
 */
#include "gate/crash.h"
#include "gate/share_int.h"

#define CRASH_ROUNDS 3	       /* in which the same crash is sent */
#define ANNOUNCE_MS 500	       /* between two draws whether this node announces */
#define ANNOUNCERS_EXPECTED 2U /* nodes that announce in that time, on average */

void bct_share_add_crash(bct_share_t *s, uint64_t digest, uint32_t run)
{
	if (!s)
		return;
	if (s->n_crashes == SHARE_CRASHES_MAX) {
		BCT_GATE_COUNT(s->gate, SHARES_DROPPED);
		return;
	}
	s->crashes[s->n_crashes++] = (share_crash){ .digest = digest, .run = run };
	s->crash_rounds = 0;
}

/* Crashes are sent to all nodes in several rounds, as datagrams may be lost. */
static void send_crashes(bct_share_t *s)
{
	share_update update = { 0 };

	if (!s->n_crashes)
		return;
	update.crashes.crashes_val = s->crashes;
	update.crashes.crashes_len = s->n_crashes;
	bct_share_send_all(s, &update);
	if (++s->crash_rounds >= CRASH_ROUNDS)
		s->n_crashes = 0;
}

static void send_blocks(bct_share_t *s, share_block *list, uint32_t n)
{
	share_update update = { 0 };

	update.blocks.blocks_val = list;
	update.blocks.blocks_len = n;
	if (n)
		bct_share_send_all(s, &update);
}

static void announce_blocks(bct_share_t *s, bct_time_t now)
{
	share_block list[SHARE_BLOCKS_MAX];
	bct_gate_crash_block_t b;
	uint32_t n = 0, pos = 0;

	while (bct_gate_crash_next_block(&s->gate->crashes, now, &pos, &b)) {
		list[n++] = (share_block){ .digest = b.digest, .remaining_ms = b.remaining_ms };
		if (n < SHARE_BLOCKS_MAX)
			continue;
		send_blocks(s, list, n);
		n = 0;
	}
	send_blocks(s, list, n);
}

/* Drawn at random, so that the traffic of a fleet does not grow with the square of its size. */
static bool is_announcer(bct_share_t *s)
{
	return bct_rng_below(&s->gate->picker.rng, s->n_peers + 1) < ANNOUNCERS_EXPECTED;
}

void bct_share_crash_round(bct_share_t *s, bct_time_t now)
{
	send_crashes(s);
	if (now - s->blocks_considered_at < ANNOUNCE_MS)
		return;
	s->blocks_considered_at = now;
	if (!is_announcer(s))
		return;
	announce_blocks(s, now);
	bct_share_part_announce(s, now);
}

void bct_share_crash_apply(bct_share_t *s, const share_update *update)
{
	for (uint32_t i = 0; i < update->crashes.crashes_len; i++) {
		const share_crash *c = &update->crashes.crashes_val[i];

		bct_crash_peer_report(s->gate, c->digest, c->run);
	}
	for (uint32_t i = 0; i < update->blocks.blocks_len; i++) {
		const share_block *b = &update->blocks.blocks_val[i];

		bct_crash_peer_block(s->gate, b->digest, b->remaining_ms);
	}
}
