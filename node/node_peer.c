/*
 * node_peer.c - passes the peer thread's callbacks to the core. A thread of its own publishes this
 * node's items to the peers and reads the platform's VM list.
 */
#define _GNU_SOURCE
#include "node/node_peer.h"
#include "base/err.h"
#include "base/mem.h"
#include "coord/peer_settings.h"

#include <ck_pr.h>
#include <pthread.h>
#include <string.h>

#define PUBLISH_MS 1000 /* interval of sending items to the peers */
#define VM_LIST_MS 5000 /* interval of reading the VM list */
#define TICK_MS 100
#define ITEMS_MAX 4096
#define MEMBERS_MAX 1024
#define LOAD_FULL_PERMILLE 1000 /* policy.max_queued requests in flight */

struct bct_node_peer {
	bct_node_peer_opts_t opts;
	bct_peer_t *peer;
	bct_config_store_t *store;
	uint32_t stop;
	pthread_t thread;
	bool started;
	uint64_t vm_revision; /* of the newest VM list read */

	pthread_mutex_t lock;	      /* leaf: no other lock is taken under it */
	bct_config_export_t exported; /* under lock; the copy that is sent to peers */
};

static void on_fleet(void *ctx, const bct_fleet_t *fleet)
{
	bct_node_peer_t *p = ctx;

	bct_core_fleet(p->opts.core, fleet);
	bct_config_store_set_rank(p->store, fleet->rank);
}

static void on_total(void *ctx, const bct_total_t *total)
{
	bct_node_peer_t *p = ctx;

	bct_core_total(p->opts.core, total);
}

static void on_report(void *ctx, const bct_report_t *report)
{
	bct_node_peer_t *p = ctx;

	bct_core_report(p->opts.core, report);
}

static void on_cache_event(void *ctx, const bct_cache_event_t *event)
{
	bct_node_peer_t *p = ctx;

	bct_core_cache_event(p->opts.core, event);
}

static void on_upstream_leaving(void *ctx, uint64_t upstream_key, bool leaving)
{
	bct_node_peer_t *p = ctx;

	bct_core_leaving(p->opts.core, upstream_key, leaving);
}

/*
 * Makes `exported` a copy of a revision, if it is in force. The copy is kept because a peer fetches
 * it in chunks, which must all come from the same document. returns -BCT_ENOT_FOUND if it is not in
 * force
 */
static int refresh_export(bct_node_peer_t *p, uint64_t revision)
{
	bct_config_export_t fresh;
	int rc;

	if (p->exported.revision == revision)
		return 0;
	memset(&fresh, 0, sizeof(fresh));
	rc = bct_config_store_export(p->store, &fresh);
	if (rc)
		return rc;
	bct_buf_free(&p->exported.text);
	p->exported = fresh;
	return fresh.revision == revision ? 0 : -BCT_ENOT_FOUND;
}

static int get_config(void *ctx, uint64_t have_revision, uint64_t revision, uint64_t offset,
		      uint8_t *out, uint32_t max_bytes, bct_peer_config_t *info)
{
	bct_node_peer_t *p = ctx;
	uint64_t remaining;
	int rc;

	(void)have_revision;
	pthread_mutex_lock(&p->lock);
	rc = refresh_export(p, revision);
	if (!rc) {
		info->revision = p->exported.revision;
		info->digest = p->exported.digest;
		info->total_bytes = p->exported.text.len_bytes;
		remaining = offset < info->total_bytes ? info->total_bytes - offset : 0;
		rc = (int)(remaining < max_bytes ? remaining : max_bytes);
		memcpy(out, p->exported.text.data + offset, (size_t)rc);
	}
	pthread_mutex_unlock(&p->lock);
	return rc;
}

/* A peer's document that is not newer than the local one counts as accepted. */
static int offer_config(void *ctx, uint64_t have_revision, uint64_t revision,
			const bct_digest_t *digest, const void *doc, size_t doc_bytes)
{
	bct_node_peer_t *p = ctx;
	bct_config_export_t from = { .revision = revision, .digest = *digest };
	int rc;

	(void)have_revision;
	bct_buf_init(&from.text, 0);
	rc = bct_buf_put(&from.text, doc, doc_bytes);
	if (!rc)
		rc = bct_config_store_offer(p->store, &from);
	bct_buf_free(&from.text);
	return rc == -BCT_ESTALE ? 0 : rc;
}

static const bct_peer_ops_t peer_ops = {
	.fleet = on_fleet,
	.total = on_total,
	.report = on_report,
	.cache_event = on_cache_event,
	.upstream_leaving = on_upstream_leaving,
	.get_config = get_config,
	.offer_config = offer_config,
};

static int parse_seeds(const bct_settings_t *s, bct_addr_t *out)
{
	for (uint32_t i = 0; i < s->n_peer_seeds; i++) {
		int rc = bct_addr_parse_port(s->peer_seeds[i], &out[i]);

		if (rc)
			return rc;
	}
	return 0;
}

int bct_node_peer_new(const bct_node_peer_opts_t *opts, bct_node_peer_t **out)
{
	const bct_settings_t *s = opts->settings;
	bct_node_peer_t *p = bct_alloc(sizeof(*p));
	bct_addr_t seeds[BCT_SEEDS_MAX];
	bct_peer_opts_t po = {
		.ops = &peer_ops,
		.ctx = p,
		.caller_port = opts->caller_port,
		.admin_address = s->admin_address,
		.admin_port = opts->admin_port,
		.seeds = seeds,
		.incarnation = opts->incarnation,
		.log = opts->log,
	};
	int rc = parse_seeds(s, seeds);

	if (!p)
		return -BCT_ENOMEM;
	bct_peer_opts_fill(s, &po);
	p->opts = *opts;
	pthread_mutex_init(&p->lock, NULL);
	if (!rc)
		rc = bct_peer_new(&po, &p->peer);
	if (rc) {
		bct_node_peer_free(p);
		return rc;
	}
	*out = p;
	return 0;
}

int bct_node_peer_set_seeds(bct_node_peer_t *p, const bct_settings_t *s)
{
	bct_addr_t seeds[BCT_SEEDS_MAX];
	int rc = parse_seeds(s, seeds);

	return rc ? rc : bct_peer_set_seeds(p->peer, seeds, s->n_peer_seeds);
}

static void publish(bct_node_peer_t *p, bct_item_t *items)
{
	uint32_t n = bct_core_publish(p->opts.core, items, ITEMS_MAX);
	uint64_t load = (uint64_t)bct_core_in_flight(p->opts.core) * LOAD_FULL_PERMILLE /
			p->opts.settings->policy_max_queued;

	bct_peer_publish(p->peer, items, n);
	bct_peer_set_load(p->peer, load > LOAD_FULL_PERMILLE ? LOAD_FULL_PERMILLE : (uint32_t)load);
}

/* An upstream is leaving if the VM list or the configuration marks it as leaving. */
static void update_leaving(bct_node_peer_t *p, const bct_vm_list_t *list)
{
	bct_conf_t *conf = bct_core_conf(p->opts.core);

	for (uint32_t i = 0; conf && i < list->n; i++) {
		const bct_vm_t *vm = &list->vms[i];
		uint64_t key = bct_hash_str(vm->name);
		const bct_upstream_conf_t *u;

		if (vm->role != BCT_VM_UPSTREAM)
			continue;
		u = bct_conf_upstream(conf, key);
		if (u)
			bct_core_leaving(p->opts.core, key, vm->leaving || u->leaving);
	}
	bct_conf_unref(conf);
}

static void read_vm_list(bct_node_peer_t *p)
{
	bct_vm_list_t list = { 0 };

	if (bct_platform_vms(p->opts.platform, p->opts.settings->platform_timeout_ms, &list))
		return;
	/* The platform's list lags and may go back to an older revision, which is ignored. */
	if (list.revision > p->vm_revision) {
		p->vm_revision = list.revision;
		if (list.n_unreadable)
			BCT_LOG(p->opts.log, BCT_EV_VMS_UNREADABLE,
				BCT_U64("unreadable", list.n_unreadable), BCT_U64("vms", list.n),
				BCT_U64("revision", list.revision));
		bct_peer_vm_list(p->peer, &list);
		update_leaving(p, &list);
	}
	bct_vm_list_free(&list);
}

static void *publish_main(void *arg)
{
	bct_time_t next_publish = 0, next_list = 0;
	bct_node_peer_t *p = arg;
	bct_item_t *items = bct_alloc(sizeof(*items) * ITEMS_MAX);

	while (items && !ck_pr_load_32(&p->stop)) {
		bct_time_t now = bct_clock_now();

		if (now >= next_publish) {
			publish(p, items);
			next_publish = now + PUBLISH_MS;
		}
		if (now >= next_list) {
			read_vm_list(p);
			next_list = now + VM_LIST_MS;
		}
		bct_clock_sleep(TICK_MS);
	}
	bct_free(items);
	return NULL;
}

int bct_node_peer_start(bct_node_peer_t *p, bct_config_store_t *store)
{
	int rc;

	p->store = store;
	rc = bct_peer_start(p->peer);
	if (rc)
		return rc;
	if (pthread_create(&p->thread, NULL, publish_main, p))
		return -BCT_ENOMEM;
	p->started = true;
	return 0;
}

void bct_node_peer_stop(bct_node_peer_t *p)
{
	if (!p)
		return;
	ck_pr_store_32(&p->stop, 1);
	if (p->started)
		pthread_join(p->thread, NULL);
	p->started = false;
	if (p->peer)
		bct_peer_stop(p->peer);
}

void bct_node_peer_free(bct_node_peer_t *p)
{
	if (!p)
		return;
	bct_node_peer_stop(p);
	bct_peer_free(p->peer);
	bct_buf_free(&p->exported.text);
	pthread_mutex_destroy(&p->lock);
	bct_free(p);
}

void bct_node_peer_adopted(bct_node_peer_t *p, const bct_conf_t *conf)
{
	uint64_t *keys = bct_alloc(sizeof(*keys) * (conf->n_upstreams + 1));
	uint32_t n = 0;

	bct_peer_set_revision(p->peer, conf->revision, &conf->digest);
	if (!keys)
		return;
	for (uint32_t i = 0; i < conf->n_upstreams; i++) {
		if (conf->upstreams[i].kind == BCT_UPSTREAM_ENGINE)
			keys[n++] = conf->upstreams[i].key;
	}
	bct_peer_engines(p->peer, keys, n);
	bct_free(keys);
}

/* Without memory for the member table the incarnation counts as running. */
bool bct_node_peer_incarnation_ended(bct_node_peer_t *p, uint64_t incarnation)
{
	bct_member_t *m = bct_alloc(sizeof(*m) * MEMBERS_MAX);
	uint32_t n = m ? bct_peer_members(p->peer, m, MEMBERS_MAX) : 0;
	bool ended = m != NULL;

	for (uint32_t i = 0; i < n; i++) {
		if (m[i].incarnation == incarnation)
			ended = m[i].liveness == BCT_MEMBER_DEAD;
	}
	bct_free(m);
	return ended;
}

bct_peer_t *bct_node_peer(bct_node_peer_t *p)
{
	return p->peer;
}

static json_t *member_json(const bct_member_t *m)
{
	static const char *const names[] = { "alive", "suspect", "dead" };
	char caller[BCT_ADDR_PORT_BYTES], admin[BCT_ADDR_PORT_BYTES], incarnation[17];

	bct_addr_print(&m->caller, caller, sizeof(caller));
	bct_addr_print(&m->admin, admin, sizeof(admin));
	snprintf(incarnation, sizeof(incarnation), "%016llx", (unsigned long long)m->incarnation);
	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:b, s:I, s:i, s:s, s:s}", "name", m->name,
			 "failure_domain", m->failure_domain, "region", m->region, "incarnation",
			 incarnation, "state", names[m->liveness], "leaving", (int)m->leaving,
			 "revision", (json_int_t)m->info.revision, "load_permille",
			 (int)m->info.load_permille, "caller", caller, "admin", admin);
}

json_t *bct_node_peer_status(bct_node_peer_t *p)
{
	bct_member_t *m = bct_alloc(sizeof(*m) * MEMBERS_MAX);
	uint32_t n = m ? bct_peer_members(p->peer, m, MEMBERS_MAX) : 0;
	json_t *list = json_array();

	for (uint32_t i = 0; list && i < n; i++)
		json_array_append_new(list, member_json(&m[i]));
	bct_free(m);
	return list;
}
