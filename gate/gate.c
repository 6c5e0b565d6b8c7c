/*
 * gate.c - construction, periodic work and graceful shutdown of the gateway.
 */
#include "gate/gate.h"
#include "base/err.h"
#include "base/mem.h"
#include "base/rng.h"
#include "gate/brittle.h"
#include "gate/crash.h"
#include "gate/duty.h"
#include "gate/exchange.h"
#include "gate/memory.h"
#include "gate/notice.h"
#include "gate/origin.h"
#include "gate/part.h"
#include "gate/reach.h"
#include "gate/registry_sync.h"
#include "gate/relay.h"
#include "gate/running.h"
#include "gate/share.h"
#include "gate/usage.h"
#include "gate/window.h"

#include <signal.h>
#include <string.h>
#include <sys/resource.h>

#define TICK_MS 100
#define FLUSH_MS 200 /* for the last answers of a planned stop to reach their callers */

static void release_upstream(void *ctx, bct_gate_upstream_t *u)
{
	(void)ctx;
	bct_free(u->connections);
	u->connections = NULL;
}

static void drain(bct_gate_t *g)
{
	if (g->draining)
		return;
	g->draining = true;
	g->drain_started = bct_clock_now();
	if (g->peer)
		bct_peer_set_leaving(g->peer);
	BCT_LOG(g->log, BCT_EV_NODE_STOPPING, BCT_U64("requests", g->n_exchanges),
		BCT_U64("connections", bct_clients_served(g)));
}

static void on_signal(evutil_socket_t sig, short what, void *ctx)
{
	bct_gate_t *g = ctx;

	(void)what;
	if (sig == SIGHUP)
		bct_gate_reload(g);
	else
		drain(g);
}

/*
 * Stops listening and closes idle connections once the addresses that callers obtained have
 * expired. Ends the event loop when no connection remains and the duties are released, or when the
 * grace period is over. Requests that are still in progress then are answered: a caller that has
 * no answer can't tell whether to send its request again. Registry calls stop early enough for one
 * in progress to time out before that.
 */
static void drain_step(bct_gate_t *g)
{
	bct_time_t elapsed_ms = bct_clock_now() - g->drain_started;
	bool addresses_expired = bct_gate_addresses_expired(g);
	bct_time_t deadline_ms = bct_gate_stop_deadline_ms(g);

	if (addresses_expired) {
		bct_clients_stop_listening(g);
		bct_clients_close_idle(g);
	}
	if (elapsed_ms >= deadline_ms - (bct_time_t)g->settings->platform_timeout_ms)
		bct_registry_sync_stop(g->registry_sync);
	if (elapsed_ms >= deadline_ms)
		bct_clients_end_requests(g);
	if ((addresses_expired && !bct_clients_served(g) && bct_duty_stopped(g->duty)) ||
	    elapsed_ms >= deadline_ms + FLUSH_MS)
		event_base_loopbreak(g->base);
}

/* Updates the number of live nodes and this node's rank among them. */
static void count_nodes(bct_gate_t *g)
{
	bct_fleet_t fleet;

	if (!g->peer)
		return;
	bct_peer_fleet(g->peer, &fleet);
	g->nodes = fleet.nodes ? fleet.nodes : 1;
	g->picker.nodes = g->nodes;
	g->rank = fleet.rank;
}

static void on_tick(evutil_socket_t fd, short what, void *ctx)
{
	bct_gate_t *g = ctx;
	bct_list_t *el;

	(void)fd;
	(void)what;
	bct_gate_check_resumed(g);
	g->ticked_at = bct_clock_now();
	bct_list_for_each(el, &g->upstreams.all) {
		bct_gate_upstream_t *u = bct_container_of(el, bct_gate_upstream_t, link);

		bct_upconns_expire(g, u, u->presence >= BCT_GATE_LAPSED);
	}
	bct_clients_count_ahead(g);
	if (bct_clock_now() - g->windows_checked >= BCT_WINDOW_CHECK_MS) {
		g->windows_checked = bct_clock_now();
		bct_clients_check_windows(g);
	}
	bct_crash_check_abandoned(g);
	bct_part_decide(g);
	bct_clients_accept_again(g);
	bct_reach_tick(g);
	bct_gate_upstreams_sweep(&g->upstreams, bct_clock_now());
	bct_gate_crash_expire(&g->crashes, bct_clock_now());
	bct_origins_tick(g->origins);
	bct_relay_tick(g->relay);
	bct_gate_usage_tick(g->usage);
	bct_gate_reload_tick(g, bct_clock_now());
	count_nodes(g);
	bct_notice_assign_limits(g);
	bct_registry_sync_tick(g->registry_sync);
	bct_duty_tick(g->duty);
	if (g->draining)
		drain_step(g);
}

/* Sets how many connections each port may have. */
static void limit_connections(bct_gate_t *g)
{
	const bct_settings_t *s = g->settings;
	bct_gate_conn_opts_t o = {
		.memory_bytes = s->gate_memory_bytes,
		.descriptors = s->gate_descriptors,
		.max_connections = s->gate_max_connections,
		.max_local = s->gate_max_local_connections,
	};
	struct rlimit limit;

	if (!getrlimit(RLIMIT_NOFILE, &limit) && (!o.descriptors || limit.rlim_cur < o.descriptors))
		o.descriptors = limit.rlim_cur < UINT32_MAX ? (uint32_t)limit.rlim_cur : UINT32_MAX;
	g->conn_limits = bct_gate_conn_limits(&o);
}

static int start_events(bct_gate_t *g)
{
	static const int signals[] = { SIGTERM, SIGINT, SIGHUP };
	struct timeval tick = { 0, TICK_MS * 1000 };

	g->base = event_base_new();
	if (!g->base)
		return -BCT_ENOMEM;
	for (size_t i = 0; i < 3; i++) {
		g->signals[i] = evsignal_new(g->base, signals[i], on_signal, g);
		if (!g->signals[i] || event_add(g->signals[i], NULL))
			return -BCT_ENOMEM;
	}
	g->tick = event_new(g->base, -1, EV_PERSIST, on_tick, g);
	return g->tick && !event_add(g->tick, &tick) ? 0 : -BCT_ENOMEM;
}

/* Whether the fleet has the duty of reporting usage. */
static bool reports_usage(const bct_gate_t *g)
{
	bool listed = false;

	for (uint32_t i = 0; i < g->settings->n_duty_kinds; i++)
		listed = listed || !strcmp(g->settings->duty_kinds[i], "usage");
	return listed && g->opts.control;
}

int bct_gate_new(const bct_gate_opts_t *opts, bct_gate_t **out)
{
	bct_gate_t *g = bct_alloc(sizeof(*g));
	int rc;

	if (!g)
		return -BCT_ENOMEM;
	g->opts = *opts;
	g->settings = opts->settings;
	g->wire = opts->wire;
	g->log = opts->log;
	g->callers.ops = g->relays.ops = &bct_exchange_client_ops;
	g->relays.is_node = true;
	bct_list_init(&g->ports);
	bct_list_init(&g->clients);
	bct_list_init(&g->probes);
	bct_gate_upstreams_init(&g->upstreams);
	g->upstreams.release = release_upstream;
	bct_gate_refuse_init(&g->refuse);
	bct_gate_returns_init(&g->returns);
	bct_gate_account_shares_init(&g->account_shares);
	bct_gate_pace_init(&g->pace);
	bct_gate_demand_init(&g->demand);
	g->part_judge.started_at = bct_clock_now();
	bct_gate_picker_init(&g->picker, &g->upstreams, g->settings->gate_prefill_tokens_per_s,
			     g->settings->gate_step_us, bct_random_id());
	limit_connections(g);
	rc = bct_addr_parse_port(g->settings->gate_listen, &g->listen);
	if (!rc)
		rc = start_events(g);
	if (!rc)
		rc = bct_fleet_join(g);
	if (!rc && g->peer && g->settings->gate_share_port)
		rc = bct_share_new(g, &g->share);
	if (!rc)
		rc = bct_origins_new(g, &g->origins);
	if (!rc)
		rc = bct_relay_new(g, &g->relay);
	if (!rc)
		rc = bct_brittle_new(g, &g->brittle);
	if (!rc)
		rc = bct_notices_new(g, &g->notices);
	if (!rc && reports_usage(g))
		rc = bct_gate_usage_new(g, &g->usage);
	if (!rc)
		rc = bct_memory_new(g, &bct_client_flow_ops, &g->memory);
	if (!rc)
		rc = bct_local_new(g, &g->local);
	if (!rc)
		rc = bct_clients_listen(g);
	if (!rc)
		rc = bct_registry_sync_new(g, &g->registry_sync);
	if (!rc && opts->control && g->settings->n_duty_kinds)
		rc = bct_duty_new(g, &g->duty);
	if (rc) {
		bct_gate_free(g);
		return rc;
	}
	BCT_LOG(g->log, BCT_EV_NODE_START, BCT_STR("listen", g->settings->gate_listen));
	*out = g;
	return 0;
}

void bct_gate_run(bct_gate_t *g)
{
	g->ticked_at = bct_clock_now();
	event_base_dispatch(g->base);
	BCT_LOG(g->log, BCT_EV_NODE_STOPPED, BCT_U64("requests", g->n_exchanges),
		BCT_U64("connections", bct_clients_served(g)));
}

void bct_gate_free(bct_gate_t *g)
{
	bct_list_t *el;
	uint32_t pos = 0;
	void *b;

	if (!g)
		return;
	bct_clients_stop_listening(g);
	bct_clients_free(g);
	bct_duty_free(g->duty);
	bct_registry_sync_free(g->registry_sync);
	while (!bct_list_empty(&g->probes))
		bct_upconn_close(bct_container_of(g->probes.next, bct_upconn_t, link));
	bct_list_for_each(el, &g->upstreams.all)
		bct_upconns_expire(g, bct_container_of(el, bct_gate_upstream_t, link), true);
	bct_local_free(g->local);
	bct_share_free(g->share);
	bct_origins_free(g->origins);
	bct_relay_free(g->relay);
	bct_brittle_free(g->brittle);
	bct_notices_free(g->notices);
	bct_gate_usage_free(g->usage);
	bct_memory_free(g->memory);
	if (g->peer) {
		bct_peer_stop(g->peer);
		bct_peer_free(g->peer);
	}
	bct_gate_picker_free(&g->picker);
	bct_gate_refuse_free(&g->refuse);
	bct_gate_returns_free(&g->returns);
	bct_gate_account_shares_free(&g->account_shares);
	bct_gate_pace_free(&g->pace);
	bct_gate_demand_free(&g->demand);
	bct_gate_crashes_free(&g->crashes);
	bct_gate_reaches_free(&g->reaches);
	bct_gate_upstreams_free(&g->upstreams);
	while ((b = bct_map_next(&g->budgets, &pos)) != NULL)
		bct_free(b);
	bct_map_free(&g->budgets);
	bct_gate_routes_unref(g->routes);
	bct_packed_free(&g->packed_routes);
	for (size_t i = 0; i < 3; i++) {
		if (g->signals[i])
			event_free(g->signals[i]);
	}
	if (g->tick)
		event_free(g->tick);
	if (g->base)
		event_base_free(g->base);
	bct_registry_free(g->opts.registry);
	bct_control_free(g->opts.control);
	bct_free(g);
}
