/*
 * local.c - pages of the node itself: resolution (the addresses that callers may use), readiness,
 * and metrics with what other gateways pull. Their connections are those of client.c, so a client
 * that sends ahead, reads nothing or finishes nothing is bounded like a caller.
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

#define PATH_BYTES 256
#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_UNAVAILABLE 503

typedef struct server server_t;

/* Answers a path, without its query. returns false if there is no such page */
typedef bool page_fn(server_t *s, const bct_http_msg_t *m, const char *path, bct_page_t *out);

struct server {
	bct_client_port_t port;
	page_fn *page;
};

/* Each has its own address. */
typedef enum which { RESOLVE, READINESS, METRICS, SERVERS } which_t;

struct bct_local {
	server_t servers[SERVERS];
};

bool bct_gate_ready(const bct_gate_t *g)
{
	return !g->draining && g->routes != NULL;
}

static bool readiness(server_t *s, const bct_http_msg_t *m, const char *path, bct_page_t *out)
{
	const bct_gate_t *g = s->port.gate;

	(void)m;
	out->status = bct_gate_ready(g) ? STATUS_OK : STATUS_UNAVAILABLE;
	return !strcmp(path, g->wire->readiness_path);
}

static void print_metrics(bct_gate_t *g, bct_buf_t *out)
{
	bct_gate_counters_print(&g->counters, out);
	bct_buf_printf(out, "bct_log_dropped_total %llu\n",
		       (unsigned long long)bct_log_dropped(g->log));
	bct_memory_print(g, out);
	bct_duty_print(g->duty, out);
	if (g->peer)
		bct_peer_counters_print(g->peer, out);
}

static bool metrics(server_t *s, const bct_http_msg_t *m, const char *path, bct_page_t *out)
{
	if (strcmp(path, "/metrics") != 0)
		return bct_pull_serve(s->port.gate, m, path, out);
	out->type = "text/plain; version=0.0.4";
	print_metrics(s->port.gate, &out->body);
	return true;
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

static bool resolve(server_t *s, const bct_http_msg_t *m, const char *path, bct_page_t *out)
{
	bct_gate_t *g = s->port.gate;
	char text[BCT_ENTRY_MAX][BCT_ADDR_PORT_BYTES];
	const char *addresses[BCT_ENTRY_MAX], *query, *domain = NULL;
	struct evkeyvalq args = { 0 };
	bct_entry_list_t list;
	uint32_t n;

	if (strcmp(path, g->wire->resolve_path) != 0)
		return false;
	query = strchr(m->target, '?');
	if (query && !evhttp_parse_query_str(query + 1, &args))
		domain = evhttp_find_header(&args, g->wire->resolve_domain);
	n = get_addresses(g, domain, &list, text, addresses);
	if (n)
		g->wire->encode_addresses(addresses, n, g->settings->caller_entry_lifetime_ms,
					  &out->body);
	if (!n || out->body.err)
		out->status = STATUS_UNAVAILABLE;
	out->type = "application/json";
	evhttp_clear_headers(&args);
	return true;
}

static void on_request(bct_client_t *c, struct evbuffer *body)
{
	server_t *s = bct_container_of(c->port, server_t, port);
	bct_page_t page = { .status = STATUS_OK };
	size_t len = strcspn(c->msg.target, "?");
	char path[PATH_BYTES] = "";

	bct_memory_release(c->gate, body);
	if (len < sizeof(path))
		snprintf(path, sizeof(path), "%.*s", (int)len, c->msg.target);
	bct_buf_init(&page.body, 0);
	if (!s->page(s, &c->msg, path, &page))
		page.status = STATUS_NOT_FOUND;
	bct_answer_page(c, &page);
	bct_buf_free(&page.body);
	bct_client_answered(c, false);
}

static const bct_client_ops_t ops = { .request = on_request };

/* An empty address disables the server. returns 0 or a negative error. */
static int start_server(bct_gate_t *g, server_t *s, const char *address, page_fn *page)
{
	bct_addr_t at;
	int rc;

	if (!address[0])
		return 0;
	rc = bct_addr_parse_port(address, &at);
	if (rc)
		return rc;
	s->page = page;
	s->port.ops = &ops;
	s->port.is_local = true;
	return bct_client_port_open(g, &s->port, &at);
}

int bct_local_new(bct_gate_t *g, bct_local_t **out)
{
	const bct_settings_t *s = g->settings;
	bct_local_t *l = bct_alloc(sizeof(*l));
	char address[sizeof(s->admin_address) + sizeof(":4294967295")] = "";
	int rc;

	if (!l)
		return -BCT_ENOMEM;
	if (s->admin_port)
		snprintf(address, sizeof(address), "%s:%u", s->admin_address, s->admin_port);
	rc = start_server(g, &l->servers[RESOLVE], s->gate_resolve, resolve);
	if (!rc)
		rc = start_server(g, &l->servers[READINESS], s->gate_readiness, readiness);
	if (!rc)
		rc = start_server(g, &l->servers[METRICS], address, metrics);
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
	for (uint32_t i = 0; i < SERVERS; i++)
		bct_client_port_close(&l->servers[i].port);
	bct_free(l);
}
