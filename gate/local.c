/*
 * local.c - HTTP endpoints of the node itself, on libevent's HTTP server in the event loop:
 * resolution (the addresses that callers may use), readiness, and metrics.
 */
#include "base/err.h"
#include "base/mem.h"
#include "gate/duty.h"
#include "gate/gate_int.h"
#include "gate/memory.h"
#include "gate/pull.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <string.h>

#define SERVERS_MAX 3 /* resolution, readiness, metrics; each has its own address */

struct bct_local {
	bct_gate_t *gate;
	struct evhttp *servers[SERVERS_MAX];
	uint32_t n; /* servers started */
};

bool bct_gate_ready(const bct_gate_t *g)
{
	return !g->draining && g->routes != NULL;
}

/* Any status but 200 is sent as "Service Unavailable". type and body may be NULL. */
static void reply(struct evhttp_request *req, int status, const char *type, const bct_buf_t *body)
{
	struct evbuffer *out = evbuffer_new();

	if (out && body && body->len_bytes)
		evbuffer_add(out, body->data, body->len_bytes);
	if (type)
		evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type", type);
	evhttp_send_reply(req, status, status == 200 ? "OK" : "Service Unavailable", out);
	if (out)
		evbuffer_free(out);
}

static void on_readiness(struct evhttp_request *req, void *ctx)
{
	bct_local_t *l = ctx;

	reply(req, bct_gate_ready(l->gate) ? 200 : 503, NULL, NULL);
}

static void on_metrics(struct evhttp_request *req, void *ctx)
{
	bct_local_t *l = ctx;
	bct_buf_t out;

	bct_buf_init(&out, 0);
	bct_gate_counters_print(&l->gate->counters, &out);
	bct_buf_printf(&out, "bct_log_dropped_total %llu\n",
		       (unsigned long long)bct_log_dropped(l->gate->log));
	bct_memory_print(l->gate, &out);
	bct_duty_print(l->gate->duty, &out);
	if (l->gate->peer)
		bct_peer_counters_print(l->gate->peer, &out);
	reply(req, 200, "text/plain; version=0.0.4", &out);
	bct_buf_free(&out);
}

/*
 * Collects the addresses that callers in the failure domain should use, from the entry list of the
 * peer module. If it names none, this node's address is used while it is ready.
 *
 * domain   the caller's failure domain; NULL: not given
 * returns  the number of addresses in out, which point into text
 */
static uint32_t get_addresses(bct_gate_t *g, const char *domain, bct_entry_list_t *list,
			      char text[][BCT_ADDR_PORT_BYTES], const char **out)
{
	uint32_t n = 0;

	memset(list, 0, sizeof(*list));
	if (g->peer)
		bct_peer_entry_list(g->peer, domain, list);
	for (uint32_t i = 0; i < list->n; i++) {
		bct_addr_print(&list->entries[i].addr, text[n], BCT_ADDR_PORT_BYTES);
		out[n] = text[n];
		n++;
	}
	if (!n && bct_gate_ready(g)) {
		bct_addr_print(&g->listen, text[0], BCT_ADDR_PORT_BYTES);
		out[n++] = text[0];
	}
	return n;
}

static void on_resolve(struct evhttp_request *req, void *ctx)
{
	bct_local_t *l = ctx;
	bct_gate_t *g = l->gate;
	char text[BCT_ENTRY_MAX][BCT_ADDR_PORT_BYTES];
	const char *addresses[BCT_ENTRY_MAX], *query, *domain = NULL;
	struct evkeyvalq args = { 0 };
	bct_entry_list_t list;
	bct_buf_t out;
	uint32_t n;

	query = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
	if (query && !evhttp_parse_query_str(query, &args))
		domain = evhttp_find_header(&args, g->wire->resolve_domain);
	n = get_addresses(g, domain, &list, text, addresses);
	bct_buf_init(&out, 0);
	if (n)
		g->wire->encode_addresses(addresses, n, g->settings->caller_entry_lifetime_ms,
					  &out);
	reply(req, n && !out.err ? 200 : 503, "application/json", &out);
	bct_buf_free(&out);
	evhttp_clear_headers(&args);
}

/* Starts a server for one path; an empty address disables it. returns 0 or a negative error. */
static int start_server(bct_local_t *l, const char *address, const char *path,
			void (*cb)(struct evhttp_request *, void *))
{
	char ip[BCT_ADDR_BYTES];
	bct_addr_t at;
	struct evhttp *h;
	int rc;

	if (!address[0])
		return 0;
	rc = bct_addr_parse_port(address, &at);
	if (rc)
		return rc;
	h = evhttp_new(l->gate->base);
	if (!h)
		return -BCT_ENOMEM;
	l->servers[l->n++] = h;
	evhttp_set_cb(h, path, cb, l);
	bct_addr_print_ip(&at, ip, sizeof(ip));
	if (!evhttp_bind_socket(h, ip, at.port))
		return 0;
	BCT_LOG(l->gate->log, BCT_EV_LISTEN_FAILED, BCT_STR("address", address));
	return -BCT_EIO;
}

int bct_local_new(bct_gate_t *g, bct_local_t **out)
{
	const bct_settings_t *s = g->settings;
	bct_local_t *l = bct_alloc(sizeof(*l));
	char metrics[BCT_ADDR_PORT_BYTES];
	int rc;

	if (!l)
		return -BCT_ENOMEM;
	l->gate = g;
	snprintf(metrics, sizeof(metrics), "%s:%u", s->admin_address, s->admin_port);
	rc = start_server(l, s->gate_resolve, g->wire->resolve_path, on_resolve);
	if (!rc)
		rc = start_server(l, s->gate_readiness, g->wire->readiness_path, on_readiness);
	if (!rc && s->admin_port)
		rc = start_server(l, metrics, "/metrics", on_metrics);
	if (!rc && s->admin_port)
		bct_pull_serve(g, l->servers[l->n - 1]);
	if (rc) {
		bct_local_free(l);
		return rc;
	}
	*out = l;
	return 0;
}

void bct_local_free(bct_local_t *l)
{
	if (!l)
		return;
	for (uint32_t i = 0; i < l->n; i++)
		evhttp_free(l->servers[i]);
	bct_free(l);
}
