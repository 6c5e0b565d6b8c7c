/*
 * handoff.c - runs one fetch at a time, with one chunk request in flight and at a limited rate.
 */
#include "coord/handoff.h"
#include "base/err.h"

#include <string.h>

#define LOG_GRACE_MS 1000 /* the log follower has this time to read the revision first */
#define CHUNK_TIMEOUT_MS 300
#define CHUNK_INTERVAL_MS 4 /* at most one chunk of PEER_CHUNK_MAX bytes in this time: 240 KB/s */
#define CHUNK_TRIES 5
#define REFUSED_RETRY_MS 10000 /* a refused revision is not fetched again before */
#define IDLE_TICK_MS 1000

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

/* Ends a fetch, or drops a revision that was to be fetched. */
static void stop_fetch(bct_handoff_t *h)
{
	h->fetching = false;
	h->revision = 0;
	bct_buf_clear(&h->doc);
}

void bct_handoff_set_revision(bct_handoff_t *h, uint64_t revision)
{
	h->local_revision = revision;
	if (h->revision && h->revision <= revision)
		stop_fetch(h);
}

void bct_handoff_peer_revision(bct_handoff_t *h, bct_time_t now, const bct_dest_t *peer,
			       uint64_t revision)
{
	if (revision <= h->local_revision || h->fetching || revision < h->revision)
		return;
	if (revision == h->refused_revision && now < h->refused_retry_at)
		return;
	if (!h->revision)
		h->first_seen_at = now;
	h->revision = revision;
	h->source = *peer;
}

/* Requests the chunk that follows the data received so far. */
static void request_chunk(bct_handoff_t *h, bct_time_t now)
{
	peer_call c = { .kind = PEER_CONFIG };

	c.peer_call_u.config.have_revision = h->revision_at_start;
	c.peer_call_u.config.revision = h->revision;
	c.peer_call_u.config.offset = h->doc.len_bytes;
	h->deadline = now + CHUNK_TIMEOUT_MS;
	h->next_chunk = BCT_TIME_NEVER;
	h->opts.outbox->ops->call(h->opts.outbox, &h->source, ++h->xid, &c);
}

/* Passes the complete document to opts.offer and ends the fetch. */
static void complete(bct_handoff_t *h, bct_time_t now)
{
	if (h->opts.offer(h->opts.ctx, h->revision_at_start, h->revision, &h->digest, h->doc.data,
			  h->doc.len_bytes)) {
		h->counters.refused++;
		h->refused_revision = h->revision;
		h->refused_retry_at = now + REFUSED_RETRY_MS;
	} else {
		h->counters.completed++;
	}
	stop_fetch(h);
}

/*
 * Whether a chunk continues the document that is being fetched. The first chunk sets the digest and
 * the size of the document; a later chunk that differs in either belongs to another document.
 */
static bool check_chunk(bct_handoff_t *h, const peer_config_reply *r)
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

/* Appends the data of a chunk, without the padding of the last chunk. */
static int append_chunk(bct_handoff_t *h, const peer_config_reply *r)
{
	uint64_t remaining_bytes = h->total_bytes - h->doc.len_bytes;
	size_t len = r->data.data_len;

	return bct_buf_put(&h->doc, r->data.data_val,
			   len < remaining_bytes ? len : remaining_bytes);
}

void bct_handoff_receive(bct_handoff_t *h, bct_time_t now, uint64_t from, uint32_t xid,
			 const peer_config_reply *r)
{
	if (!h->fetching || xid != h->xid || from != h->source.incarnation)
		return;
	if (!check_chunk(h, r) || append_chunk(h, r)) {
		h->counters.abandoned++;
		stop_fetch(h);
		return;
	}
	h->timeouts = 0;
	if (h->doc.len_bytes >= h->total_bytes) {
		complete(h, now);
		return;
	}
	h->deadline = BCT_TIME_NEVER;
	h->next_chunk = now + CHUNK_INTERVAL_MS;
}

/*
 * Requests the next chunk when it is due. A request that timed out is repeated; after CHUNK_TRIES
 * time-outs in a row the fetch is abandoned.
 */
static void fetch_tick(bct_handoff_t *h, bct_time_t now)
{
	if (now >= h->next_chunk) {
		request_chunk(h, now);
	} else if (now >= h->deadline) {
		if (++h->timeouts < CHUNK_TRIES) {
			request_chunk(h, now);
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
	} else if (h->revision && (!h->local_revision || now - h->first_seen_at >= LOG_GRACE_MS)) {
		h->fetching = true;
		h->revision_at_start = h->local_revision;
		h->timeouts = 0;
		h->counters.fetches++;
		request_chunk(h, now);
	}
	if (!h->fetching)
		return now + IDLE_TICK_MS;
	return h->deadline < h->next_chunk ? h->deadline : h->next_chunk;
}
