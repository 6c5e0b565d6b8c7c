/*
 * pull.c - a pull is a GET request of libevent's HTTP client. Its body is an XDR structure followed
 * by a MAC; a MAC of the request shows the server that a node of the fleet asks, as configurations
 * contain API keys. A configuration is sent packed, since all nodes fetch it at about the same
 * time.
 */
#include "gate/pull.h"
#include "base/err.h"
#include "base/mem.h"
#include "base/pack.h"
#include "gate/share_int.h"

#include <event2/buffer.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_S 1
#define HEAD_MAX_BYTES (16 * 1024) /* of an answer; ours have a few hundred bytes */
#define LATER_LISTS_BYTES 8	   /* of two empty lists in XDR */
#define ANSWER_MAX_BYTES (8 * 1024 * 1024)
#define AUTHORIZATION_BYTES (16 + 1 + 2 * BCT_SHARE_MAC_BYTES + 1)
#define STATUS_OK 200
#define STATUS_FORBIDDEN 403
#define STATUS_UNAVAILABLE 503

/* By bct_registry_topic_t. */
static const char *const paths[] = { "/peer/routes", "/peer/upstreams" };

/* One pull in progress. */
typedef struct pull {
	bct_pull_t *owner;
	bct_registry_topic_t topic;
	struct evhttp_connection *conn; /* NULL: none in progress */
} pull_t;

struct bct_pull {
	bct_gate_t *gate;
	bct_pull_fn on_result;
	void *ctx;
	pull_t pulls[BCT_REGISTRY_TOPICS];
};

/* "INCARNATION MAC" of a request of this topic by the node, in hexadecimal. */
static void authorization(const bct_share_t *s, bct_registry_topic_t topic, uint64_t node,
			  char *out)
{
	uint8_t mac[BCT_SHARE_MAC_BYTES];
	char text[64];
	int n = snprintf(text, sizeof(text), "%s %016llx", paths[topic], (unsigned long long)node);

	bct_share_mac(s, (const uint8_t *)text, (size_t)n, mac);
	n = snprintf(out, AUTHORIZATION_BYTES, "%016llx ", (unsigned long long)node);
	for (uint32_t i = 0; i < BCT_SHARE_MAC_BYTES; i++)
		n += snprintf(out + n, AUTHORIZATION_BYTES - (size_t)n, "%02x", mac[i]);
}

static int decode_routes(bct_gate_t *g, const char *text, size_t len_bytes,
			 bct_registry_batch_t *out)
{
	bct_registry_t *r = g->opts.registry;
	int rc;

	out->changes = bct_alloc(sizeof(*out->changes));
	if (!out->changes)
		return -BCT_ENOMEM;
	rc = r->ops->decode_routes(r, text, len_bytes, &out->changes[0].table);
	out->changes[0].kind = BCT_REGISTRY_TABLE;
	out->n = rc ? 0 : 1;
	return rc;
}

static int decode_upstreams(const char *data, size_t len_bytes, bct_registry_batch_t *out)
{
	share_upstreams m = { 0 };
	/* Zeros follow, which decode as the empty lists that an older node does not send. */
	char *padded = bct_alloc(len_bytes + LATER_LISTS_BYTES);
	int rc;
	XDR x;

	if (!padded)
		return -BCT_ENOMEM;
	memcpy(padded, data, len_bytes);
	xdrmem_create(&x, padded, (u_int)(len_bytes + LATER_LISTS_BYTES), XDR_DECODE);
	rc = xdr_share_upstreams(&x, &m) ? 0 : -BCT_ECODEC;
	xdr_destroy(&x);
	bct_free(padded);
	if (!rc && m.entries.entries_len) {
		out->changes = bct_alloc(sizeof(*out->changes) * m.entries.entries_len);
		rc = out->changes ? 0 : -BCT_ENOMEM;
	}
	for (uint32_t i = 0; !rc && i < m.entries.entries_len; i++) {
		bct_registry_change_t *c = &out->changes[out->n++];

		bct_share_decode_entry(&m.entries.entries_val[i], c);
		bct_share_decode_software(
			i < m.software.software_len ? &m.software.software_val[i] : NULL, c);
		bct_share_decode_reclaim(
			i < m.reclaim.reclaim_len ? &m.reclaim.reclaim_val[i] : NULL, c);
	}
	out->next = m.position;
	xdr_free((xdrproc_t)xdr_share_upstreams, (char *)&m);
	return rc;
}

/* Decodes and unpacks an answer whose MAC was checked. */
static int unpack(uint8_t *data, size_t len_bytes, char **out, size_t *out_bytes)
{
	share_pulled m = { 0 };
	bct_packed_t packed;
	XDR x;
	int rc;

	xdrmem_create(&x, (char *)data, (u_int)len_bytes, XDR_DECODE);
	rc = xdr_share_pulled(&x, &m) ? 0 : -BCT_ECODEC;
	xdr_destroy(&x);
	packed = (bct_packed_t){ .data = m.packed.packed_val,
				 .len_bytes = m.packed.packed_len,
				 .unpacked_bytes = m.unpacked_bytes };
	if (!rc)
		rc = bct_unpack(&packed, ANSWER_MAX_BYTES, out);
	*out_bytes = packed.unpacked_bytes;
	xdr_free((xdrproc_t)xdr_share_pulled, (char *)&m);
	return rc;
}

static int decode(bct_gate_t *g, bct_registry_topic_t topic, struct evbuffer *body,
		  bct_registry_batch_t *out)
{
	size_t len = evbuffer_get_length(body), unpacked_bytes;
	uint8_t *data = evbuffer_pullup(body, -1);
	char *unpacked = NULL;
	int rc;

	if (!data || !bct_share_authentic(g->share, data, len))
		return -BCT_ECODEC;
	rc = unpack(data, len - BCT_SHARE_MAC_BYTES, &unpacked, &unpacked_bytes);
	if (!rc && topic == BCT_REGISTRY_ROUTES)
		rc = decode_routes(g, unpacked, unpacked_bytes, out);
	else if (!rc)
		rc = decode_upstreams(unpacked, unpacked_bytes, out);
	bct_free(unpacked);
	return rc;
}

/* req is NULL after a timeout or if the connection failed. */
static void on_answer(struct evhttp_request *req, void *ctx)
{
	pull_t *one = ctx;
	bct_pull_t *p = one->owner;
	bct_registry_batch_t batch = { 0 };
	int rc = -BCT_EUNAVAILABLE;

	one->conn = NULL;
	if (req)
		batch.received_bytes = evbuffer_get_length(evhttp_request_get_input_buffer(req));
	if (req && evhttp_request_get_response_code(req) == STATUS_OK)
		rc = decode(p->gate, one->topic, evhttp_request_get_input_buffer(req), &batch);
	p->on_result(p->ctx, one->topic, &batch, rc);
	bct_registry_batch_free(&batch);
}

static struct evhttp_connection *open_conn(bct_gate_t *g, const bct_addr_t *to)
{
	char ip[BCT_ADDR_BYTES];
	struct evhttp_connection *conn;

	bct_addr_print_ip(to, ip, sizeof(ip));
	conn = evhttp_connection_base_new(g->base, NULL, ip, to->port);
	if (!conn)
		return NULL;
	evhttp_connection_set_timeout(conn, TIMEOUT_S);
	evhttp_connection_set_max_headers_size(conn, HEAD_MAX_BYTES);
	evhttp_connection_set_max_body_size(conn, ANSWER_MAX_BYTES);
	evhttp_connection_free_on_completion(conn);
	return conn;
}

int bct_pull_start(bct_pull_t *p, bct_registry_topic_t topic, uint64_t peer)
{
	bct_gate_t *g = p->gate;
	pull_t *one = &p->pulls[topic];
	char auth[AUTHORIZATION_BYTES];
	struct evhttp_request *req;
	bct_addr_t to;

	if (one->conn)
		return -BCT_ESTATE;
	if (!bct_share_admin_address(g->share, peer, &to))
		return -BCT_ENOT_FOUND;
	one->conn = open_conn(g, &to);
	req = one->conn ? evhttp_request_new(on_answer, one) : NULL;
	if (!req) {
		if (one->conn)
			evhttp_connection_free(one->conn);
		one->conn = NULL;
		return -BCT_ENOMEM;
	}
	authorization(g->share, topic, bct_peer_incarnation(g->peer), auth);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Authorization", auth);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Connection", "close");
	BCT_GATE_COUNT(g, PULLS);
	/* On failure libevent frees the request and calls on_answer() later or never. */
	if (!evhttp_make_request(one->conn, req, EVHTTP_REQ_GET, paths[topic]))
		return 0;
	one->conn = NULL;
	return -BCT_EUNAVAILABLE;
}

int bct_pull_new(bct_gate_t *g, bct_pull_fn on_result, void *ctx, bct_pull_t **out)
{
	bct_pull_t *p = bct_alloc(sizeof(*p));

	if (!p)
		return -BCT_ENOMEM;
	p->gate = g;
	p->on_result = on_result;
	p->ctx = ctx;
	for (uint32_t i = 0; i < BCT_REGISTRY_TOPICS; i++) {
		p->pulls[i].owner = p;
		p->pulls[i].topic = (bct_registry_topic_t)i;
	}
	*out = p;
	return 0;
}

static void ignore_result(void *ctx, bct_registry_topic_t topic, bct_registry_batch_t *batch,
			  int rc)
{
	(void)ctx;
	(void)topic;
	(void)batch;
	(void)rc;
}

void bct_pull_free(bct_pull_t *p)
{
	if (!p)
		return;
	p->on_result = ignore_result;
	for (uint32_t i = 0; i < BCT_REGISTRY_TOPICS; i++) {
		if (p->pulls[i].conn)
			evhttp_connection_free(p->pulls[i].conn);
	}
	bct_free(p);
}

/* Whether the request was made by a node that knows the secret. */
static bool is_authorized(bct_gate_t *g, const bct_http_msg_t *m, bct_registry_topic_t topic)
{
	const char *got = bct_http_msg_header(m, "Authorization");
	char want[AUTHORIZATION_BYTES];

	if (!g->share || !got || strlen(got) != AUTHORIZATION_BYTES - 1)
		return false;
	authorization(g->share, topic, strtoull(got, NULL, 16), want);
	return !sodium_memcmp(got, want, AUTHORIZATION_BYTES - 1);
}

/* Whether an answer of this size fits into what may be served in the current second. */
static bool may_serve(bct_gate_t *g, size_t bytes)
{
	bct_time_t now = bct_clock_now();

	if (now - g->pulls_served_since >= BCT_MS_PER_S) {
		g->pulls_served_since = now;
		g->pulls_served_bytes = 0;
	}
	if (g->pulls_served_bytes && g->pulls_served_bytes + bytes > BCT_PULL_SERVED_BYTES_PER_S)
		return false;
	g->pulls_served_bytes += bytes;
	return true;
}

/* Fills in the answer, with its MAC. */
static void reply(bct_gate_t *g, const bct_packed_t *packed, bct_page_t *out)
{
	share_pulled m = { .unpacked_bytes = (u_int)packed->unpacked_bytes };
	uint8_t *data = NULL;
	size_t size;
	XDR x;

	m.packed.packed_val = packed->data;
	m.packed.packed_len = (u_int)packed->len_bytes;
	size = xdr_sizeof((xdrproc_t)xdr_share_pulled, &m);
	if (may_serve(g, size))
		data = bct_alloc(size + BCT_SHARE_MAC_BYTES);
	if (!data)
		return;
	xdrmem_create(&x, (char *)data, (u_int)size, XDR_ENCODE);
	if (xdr_share_pulled(&x, &m)) {
		bct_share_mac(g->share, data, size, data + size);
		if (!bct_buf_put(&out->body, data, size + BCT_SHARE_MAC_BYTES))
			out->status = STATUS_OK;
	}
	xdr_destroy(&x);
	bct_free(data);
}

/* The routes in force, packed once for each version; NULL if there are none or memory is short. */
static const bct_packed_t *packed_routes(bct_gate_t *g)
{
	const bct_gate_routes_t *t = g->routes;

	if (!t || !t->record)
		return NULL;
	if (g->packed_routes.data && g->packed_version == t->version)
		return &g->packed_routes;
	bct_packed_free(&g->packed_routes);
	if (bct_pack(t->record, t->record_bytes, &g->packed_routes))
		return NULL;
	g->packed_version = t->version;
	return &g->packed_routes;
}

static void put_routes(bct_gate_t *g, bct_page_t *out)
{
	const bct_packed_t *packed = packed_routes(g);

	if (packed)
		reply(g, packed, out);
}

static void free_upstreams(share_upstreams *m)
{
	bct_free(m->entries.entries_val);
	bct_free(m->software.software_val);
	bct_free(m->reclaim.reclaim_val);
}

/* returns 0 or -BCT_ENOMEM */
static int pack_upstreams(bct_gate_t *g, bct_packed_t *out)
{
	share_upstreams m = { .position = g->upstreams.position };
	uint32_t size;
	char *data;
	bct_list_t *el;
	XDR x;
	int rc = -BCT_ENOMEM;

	m.entries.entries_val = bct_alloc(sizeof(share_entry) * (g->upstreams.n + 1));
	m.software.software_val = bct_alloc(sizeof(share_software) * (g->upstreams.n + 1));
	m.reclaim.reclaim_val = bct_alloc(sizeof(share_reclaim) * (g->upstreams.n + 1));
	if (!m.entries.entries_val || !m.software.software_val || !m.reclaim.reclaim_val) {
		free_upstreams(&m);
		return rc;
	}
	bct_list_for_each(el, &g->upstreams.all) {
		const bct_gate_upstream_t *u = bct_container_of(el, bct_gate_upstream_t, link);

		if (u->presence >= BCT_GATE_LAPSED)
			continue;
		bct_share_encode_entry(u, &m.entries.entries_val[m.entries.entries_len++]);
		bct_share_encode_software(u, &m.software.software_val[m.software.software_len++]);
		bct_share_encode_reclaim(u, &m.reclaim.reclaim_val[m.reclaim.reclaim_len++]);
	}
	size = (uint32_t)xdr_sizeof((xdrproc_t)xdr_share_upstreams, &m);
	data = bct_alloc(size);
	if (data) {
		xdrmem_create(&x, data, size, XDR_ENCODE);
		rc = xdr_share_upstreams(&x, &m) ? bct_pack(data, size, out) : -BCT_ENOMEM;
		xdr_destroy(&x);
	}
	bct_free(data);
	free_upstreams(&m);
	return rc;
}

static void put_upstreams(bct_gate_t *g, bct_page_t *out)
{
	bct_packed_t packed = { 0 };

	if (!pack_upstreams(g, &packed))
		reply(g, &packed, out);
	bct_packed_free(&packed);
}

bool bct_pull_serve(bct_gate_t *g, const bct_http_msg_t *m, const char *path, bct_page_t *out)
{
	bct_registry_topic_t topic = BCT_REGISTRY_ROUTES;

	if (!strcmp(path, paths[BCT_REGISTRY_UPSTREAMS]))
		topic = BCT_REGISTRY_UPSTREAMS;
	else if (strcmp(path, paths[BCT_REGISTRY_ROUTES]) != 0)
		return false;
	out->status = STATUS_UNAVAILABLE;
	if (!is_authorized(g, m, topic))
		out->status = STATUS_FORBIDDEN;
	else if (topic == BCT_REGISTRY_ROUTES)
		put_routes(g, out);
	else
		put_upstreams(g, out);
	return true;
}
