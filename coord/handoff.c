/*
 * handoff.c - one fetch at a time, one chunk at a time, at a limited pace.
 */
#include "coord/handoff.h"
#include "base/err.h"

#include <string.h>

#define LOG_GRACE_MS 1000 /* time for this node's own log reader */
#define CHUNK_TIMEOUT_MS 300
#define CHUNK_PACE_MS 4 /* at most one chunk in this time: 240 KB/s */
#define CHUNK_TRIES 5
#define REFUSED_KEEP_MS 10000
#define IDLE_MS 1000

void bct_handoff_init(bct_handoff_t *h, const bct_handoff_opts_t *opts)
{
	memset(h, 0, sizeof(*h));
	h->opts = *opts;
	bct_buf_init(&h->doc, BCT_HANDOFF_MAX_BYTES);
}

void bct_handoff_free(bct_handoff_t *h)
{
	bct_buf_free(&h->doc);
}

static void stop_fetch(bct_handoff_t *h)
{
	h->fetching = false;
	h->revision = 0;
	bct_buf_clear(&h->doc);
}

void bct_handoff_set_revision(bct_handoff_t *h, uint64_t revision)
{
	h->have = revision;
	if (h->revision && h->revision <= revision)
		stop_fetch(h);
}

void bct_handoff_peer_revision(bct_handoff_t *h, bct_time_t now, const bct_dest_t *peer,
			       uint64_t revision)
{
	if (revision <= h->have || h->fetching || revision < h->revision)
		return;
	if (revision == h->refused_revision && now < h->refused_until)
		return;
	if (!h->revision)
		h->seen = now;
	h->revision = revision;
	h->source = *peer;
}

static void ask(bct_handoff_t *h, bct_time_t now)
{
	peer_call c = { .kind = PEER_CONFIG };

	c.peer_call_u.config.have_revision = h->asked_from;
	c.peer_call_u.config.revision = h->revision;
	c.peer_call_u.config.offset = h->doc.len_bytes;
	h->deadline = now + CHUNK_TIMEOUT_MS;
	h->next_chunk = BCT_TIME_NEVER;
	h->opts.outbox->ops->call(h->opts.outbox, &h->source, ++h->xid, &c);
}

static void complete(bct_handoff_t *h, bct_time_t now)
{
	if (h->opts.offer(h->opts.ctx, h->asked_from, h->revision, &h->digest, h->doc.data,
			  h->doc.len_bytes)) {
		h->counters.refused++;
		h->refused_revision = h->revision;
		h->refused_until = now + REFUSED_KEEP_MS;
	} else {
		h->counters.completed++;
	}
	stop_fetch(h);
}

/* Whether a chunk continues the document that is being fetched. */
static bool continues(bct_handoff_t *h, const peer_config_reply *r)
{
	if (r->revision != h->revision || r->offset != h->doc.len_bytes ||
	    r->total_bytes > BCT_HANDOFF_MAX_BYTES)
		return false;
	if (!r->offset) {
		memcpy(h->digest.bytes, r->digest, sizeof(h->digest.bytes));
		h->total_bytes = r->total_bytes;
	}
	return r->total_bytes == h->total_bytes &&
	       !memcmp(h->digest.bytes, r->digest, sizeof(h->digest.bytes)) &&
	       (r->data.data_len || r->offset == r->total_bytes);
}

/* Appends a chunk without what fills it up at the end of the document. */
static int chunk_put(bct_handoff_t *h, const peer_config_reply *r)
{
	uint64_t left_bytes = h->total_bytes - h->doc.len_bytes;
	size_t len = r->data.data_len;

	return bct_buf_put(&h->doc, r->data.data_val, len < left_bytes ? len : left_bytes);
}

void bct_handoff_receive(bct_handoff_t *h, bct_time_t now, uint64_t from, uint32_t xid,
			 const peer_config_reply *r)
{
	if (!h->fetching || xid != h->xid || from != h->source.incarnation)
		return;
	if (!continues(h, r) || chunk_put(h, r)) {
		h->counters.abandoned++;
		stop_fetch(h);
		return;
	}
	h->tries = 0;
	if (h->doc.len_bytes >= h->total_bytes) {
		complete(h, now);
		return;
	}
	h->deadline = BCT_TIME_NEVER;
	h->next_chunk = now + CHUNK_PACE_MS;
}

static void fetch_tick(bct_handoff_t *h, bct_time_t now)
{
	if (now >= h->next_chunk) {
		ask(h, now);
	} else if (now >= h->deadline) {
		if (++h->tries < CHUNK_TRIES) {
			ask(h, now);
			return;
		}
		h->counters.abandoned++;
		stop_fetch(h);
	}
}

bct_time_t bct_handoff_tick(bct_handoff_t *h, bct_time_t now)
{
	if (h->fetching) {
		fetch_tick(h, now);
	} else if (h->revision && (!h->have || now - h->seen >= LOG_GRACE_MS)) {
		h->fetching = true;
		h->asked_from = h->have;
		h->tries = 0;
		h->counters.fetches++;
		ask(h, now);
	}
	if (!h->fetching)
		return now + IDLE_MS;
	return h->deadline < h->next_chunk ? h->deadline : h->next_chunk;
}
