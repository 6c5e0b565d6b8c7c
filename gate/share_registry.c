/*
 * share_registry.c - the registry in the share protocol: readers advertise their versions and send
 * changes of upstreams, hubs relay them.
 */
#include "gate/registry_sync.h"
#include "gate/share_int.h"

#include <string.h>

#define VERSIONS_PER_S 80 /* datagrams with versions that a reader sends to all nodes */

/* Upstreams of an update that were news here. */
typedef struct news {
	share_entry entries[SHARE_ENTRIES_MAX];
	share_software software[SHARE_ENTRIES_MAX];
	share_reclaim reclaim[SHARE_ENTRIES_MAX];
	uint32_t n;
} news_t;

/* Between versions sent to all nodes; grows with their number. */
static uint32_t all_versions_interval_ms(const bct_share_t *s)
{
	uint32_t ms = s->n_peers * BCT_MS_PER_S / VERSIONS_PER_S;

	return ms > BCT_SHARE_HUB_VERSIONS_MS ? ms : BCT_SHARE_HUB_VERSIONS_MS;
}

/* The latest answer on a topic to state in a message of this view. */
static share_read read_of(const bct_gate_t *g, bct_gate_view_t view, bct_registry_topic_t topic,
			  bct_time_t now)
{
	bct_gate_read_t own = bct_registry_sync_read(g->registry_sync, topic, true);
	bct_gate_read_t any = bct_registry_sync_read(g->registry_sync, topic, false);
	bct_time_t age = bct_gate_hubs_age_ms(view, now - own.answered_at, now - any.answered_at);
	share_read r = { .age_ms = SHARE_NEVER, .reader = any.reader };

	if (age != now - any.answered_at)
		r.reader = own.reader;
	if (age < now && age < (bct_time_t)SHARE_NEVER)
		r.age_ms = (u_int)age;
	return r;
}

void bct_share_fill_reads(bct_share_t *s, share_update *update)
{
	bct_time_t now = bct_clock_now();

	for (uint32_t i = 0; i < SHARE_TOPICS; i++)
		update->reads[i] = read_of(s->gate, (bct_gate_view_t)update->view,
					   (bct_registry_topic_t)i, now);
}

static void send_to_hubs(bct_share_t *s, share_update *update)
{
	for (uint32_t i = 0; i < s->n_peers; i++) {
		if (bct_gate_hubs_has(&s->hubs, s->peers[i].incarnation))
			bct_share_send(s, update, &s->peers[i]);
	}
}

/*
 * In a large fleet load passes through hubs. Readers of the registry therefore send their versions
 * in separate datagrams: often to the hubs, which relay them, and now and then to all nodes.
 */
void bct_share_send_versions(bct_share_t *s, bct_time_t now)
{
	share_update update = { 0 };

	if (!bct_share_uses_hubs(s) || !bct_registry_sync_advertises(s->gate->registry_sync))
		return;
	if (now - s->versions_sent_at >= all_versions_interval_ms(s)) {
		s->versions_sent_at = s->hub_versions_sent_at = now;
		bct_share_send_all(s, &update);
	} else if (now - s->hub_versions_sent_at >= BCT_SHARE_HUB_VERSIONS_MS) {
		s->hub_versions_sent_at = now;
		send_to_hubs(s, &update);
	}
}

void bct_share_send_to_local_cluster(bct_share_t *s, share_update *update)
{
	for (uint32_t i = 0; i < s->n_peers; i++) {
		if (bct_share_in_local_cluster(s, &s->peers[i]))
			bct_share_send(s, update, &s->peers[i]);
	}
}

void bct_share_send_change(bct_share_t *s, share_update *update)
{
	if (!bct_share_uses_hubs(s)) {
		bct_share_send_all(s, update);
		return;
	}
	send_to_hubs(s, update);
	bct_share_send_to_local_cluster(s, update);
}

/* At a hub: forwards news that a reader sent to the nodes of this hub's cluster. */
static void relay_news(bct_share_t *s, const share_update *from, news_t *news)
{
	share_update update = { .view = BCT_GATE_VIEW_REST };

	if (!news->n || from->view != BCT_GATE_VIEW_LOCAL || !bct_share_is_hub(s))
		return;
	update.entries.entries_val = news->entries;
	update.entries.entries_len = news->n;
	update.software.software_val = news->software;
	update.software.software_len = news->n;
	update.reclaim.reclaim_val = news->reclaim;
	update.reclaim.reclaim_len = news->n;
	bct_share_send_to_local_cluster(s, &update);
}

void bct_share_encode_entry(const bct_gate_upstream_t *u, share_entry *out)
{
	const bct_gate_entry_t *e = &u->entry;

	memcpy(out->id, e->id, sizeof(out->id));
	memcpy(out->service, e->service, sizeof(out->service));
	memcpy(out->zone, e->zone, sizeof(out->zone));
	memcpy(out->ip, e->ip, sizeof(out->ip));
	out->port = e->port;
	out->slots = e->slots;
	out->cold_ms = e->cold_ms;
	out->draining = u->presence == BCT_GATE_DRAINING;
	out->removed = u->presence >= BCT_GATE_LAPSED;
	out->born_ms = e->born_ms;
	out->sequence = e->sequence;
	out->position = e->position;
}

void bct_share_upstream_change(bct_share_t *s, const bct_gate_upstream_t *u)
{
	share_update update = { 0 };
	share_entry x = { 0 };
	share_software software = { 0 };
	share_reclaim reclaim = { 0 };

	if (!s)
		return;
	bct_share_encode_entry(u, &x);
	bct_share_encode_software(u, &software);
	bct_share_encode_reclaim(u, &reclaim);
	update.entries.entries_val = &x;
	update.entries.entries_len = 1;
	update.software.software_val = &software;
	update.software.software_len = 1;
	update.reclaim.reclaim_val = &reclaim;
	update.reclaim.reclaim_len = 1;
	bct_share_send_change(s, &update);
}

/* Terminates the copy, as a received name may lack its NUL. */
static void copy_name(char *out, const char *in, size_t size)
{
	memcpy(out, in, size);
	out[size - 1] = '\0';
}

void bct_share_decode_entry(const share_entry *x, bct_registry_change_t *out)
{
	bct_gate_entry_t *e = &out->entry;

	memset(out, 0, sizeof(*out));
	out->kind = x->removed ? BCT_REGISTRY_REMOVED : BCT_REGISTRY_ENTRY;
	out->position = x->position;
	copy_name(out->name, x->id, sizeof(out->name));
	copy_name(e->id, x->id, sizeof(e->id));
	copy_name(e->service, x->service, sizeof(e->service));
	copy_name(e->zone, x->zone, sizeof(e->zone));
	copy_name(e->ip, x->ip, sizeof(e->ip));
	e->port = (uint16_t)x->port;
	e->slots = x->slots;
	e->cold_ms = x->cold_ms;
	e->draining = x->draining;
	e->born_ms = x->born_ms;
	e->sequence = x->sequence;
	e->position = x->position;
}

void bct_share_encode_software(const bct_gate_upstream_t *u, share_software *out)
{
	memcpy(out->text, u->entry.software, sizeof(out->text));
	out->key = u->entry.software_key;
}

void bct_share_decode_software(const share_software *x, bct_registry_change_t *out)
{
	if (!x)
		return;
	copy_name(out->entry.software, x->text, sizeof(out->entry.software));
	out->entry.software_key = x->key;
}

void bct_share_encode_reclaim(const bct_gate_upstream_t *u, share_reclaim *out)
{
	out->spot = u->entry.spot;
	out->leaves_ms = u->entry.leaves_ms;
}

void bct_share_decode_reclaim(const share_reclaim *x, bct_registry_change_t *out)
{
	if (!x)
		return;
	out->entry.spot = x->spot;
	out->entry.leaves_ms = x->leaves_ms;
}

static bct_gate_read_t received_read(const share_read *r, bct_time_t now)
{
	bct_gate_read_t read = { .reader = r->reader };

	if (r->age_ms != SHARE_NEVER && (bct_time_t)r->age_ms < now)
		read.answered_at = now - r->age_ms;
	return read;
}

/*
 * Whether to compare with the sender's versions. A node that hears its hub leaves it at that: if
 * all nodes pulled from the reader that sends to all of them, its link would be saturated.
 */
static bool counts_versions(const bct_share_t *s, bct_time_t now, const share_update *update)
{
	if (update->view == BCT_GATE_VIEW_REST)
		return bct_share_load_accepts(s, update);
	return !bct_share_hears_hub(s, now);
}

/* Applies changes of the registry. What is no news here was relayed before. */
static void apply_entries(bct_share_t *s, const share_update *update)
{
	news_t news = { .n = 0 };

	for (uint32_t i = 0; i < update->entries.entries_len; i++) {
		const share_software *software = i < update->software.software_len
							 ? &update->software.software_val[i]
							 : NULL;
		const share_reclaim *reclaim =
			i < update->reclaim.reclaim_len ? &update->reclaim.reclaim_val[i] : NULL;
		bct_registry_change_t c;

		bct_share_decode_entry(&update->entries.entries_val[i], &c);
		bct_share_decode_software(software, &c);
		bct_share_decode_reclaim(reclaim, &c);
		if (!bct_registry_sync_apply(s->gate, &c, false))
			continue;
		news.entries[news.n] = update->entries.entries_val[i];
		if (software)
			news.software[news.n] = *software;
		if (reclaim)
			news.reclaim[news.n] = *reclaim;
		news.n++;
	}
	relay_news(s, update, &news);
}

/*
 * Applies the versions and registry changes of the sender. The versions come first: they tell
 * whether the registry was lost, on which the meaning of a removal depends.
 */
void bct_share_apply_versions(bct_share_t *s, bct_time_t now, const share_update *update)
{
	bct_gate_t *g = s->gate;
	bct_gate_peer_versions_t h = {
		.received_at = now,
		.from = update->from,
		.routes_version = update->routes_version,
		.upstreams_digest = update->upstreams_digest,
	};

	bct_registry_sync_note_era(g->registry_sync,
				   bct_gate_position_era(update->upstreams_position), "peer");
	for (uint32_t i = 0; i < SHARE_TOPICS; i++)
		h.reads[i] = received_read(&update->reads[i], now);
	if (counts_versions(s, now, update))
		bct_registry_sync_peer_versions(g->registry_sync, &h);
	apply_entries(s, update);
	if (update->upstreams_digest == bct_gate_upstreams_digest(&g->upstreams))
		bct_gate_upstreams_reached(&g->upstreams, update->upstreams_position);
}
