/*
 * store.c - the platform's store as far as gateways read it: a listing of the newest record of each
 * key (log-newest), and a log of the changes since a listing (log-read).
 *
 * The soak keeps no history. log-read answers that nothing changed, or 410 Gone whenever the offset
 * has advanced, after which the reader lists again. Some faults advance the offset although no
 * record changed. So both ways to read are used.
 */
#include "soak/soak.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TEXT_BYTES 4096
#define SCALING                                                       \
	",\"autoscaling\":{\"minimum\":1,\"maximum\":8,\"boot_s\":4," \
	"\"spot_price\":0.15,\"zone_prices\":{\"z\":1}}"

/* Formats the configuration; the target of the safe route depends on safe_route_swapped. */
static void format_config(soak_t *s, char *out, size_t size)
{
	snprintf(out, size,
		 "{\"version\":%llu,\"routes\":["
		 "{\"name\":\"safe\",\"host\":\"h\",\"path_prefix\":\"/safe/\",\"kind\":\"safe\","
		 "\"timeout_ms\":%d,\"target_latency_ms\":300,\"priority\":1,\"service\":\"%s\","
		 "\"attempts\":2},"
		 "{\"name\":\"unsafe\",\"host\":\"h\",\"path_prefix\":\"/unsafe/\","
		 "\"kind\":\"unsafe\",\"timeout_ms\":%d,\"target_latency_ms\":300,\"priority\":2,"
		 "\"service\":\"desk\",\"attempts\":1},"
		 "{\"name\":\"stream\",\"host\":\"h\",\"path_prefix\":\"/stream/\","
		 "\"kind\":\"stream\",\"timeout_ms\":%d,\"target_latency_ms\":300,\"priority\":0,"
		 "\"service\":\"model\",\"attempts\":1,\"target_gap_ms\":250},"
		 "{\"name\":\"resume\",\"host\":\"h\",\"path_prefix\":\"/resume/\","
		 "\"kind\":\"stream\",\"timeout_ms\":%d,\"target_latency_ms\":300,\"priority\":1,"
		 "\"service\":\"model\",\"attempts\":2,\"target_gap_ms\":100,"
		 "\"stream_resumption\":true}],"
		 "\"services\":[{\"name\":\"desk\"},{\"name\":\"model\",\"engine\":{\"slots\":16}%"
		 "s}],"
		 "\"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":65536,"
		 "\"header_timeout_ms\":2000,\"idle_timeout_ms\":5000},"
		 "\"tenants\":[{\"name\":\"acme\",\"api_keys\":[\"k1\"]}]}",
		 (unsigned long long)s->version, SOAK_TIMEOUT_MS,
		 s->safe_route_swapped ? "desk" : "model", SOAK_TIMEOUT_MS, SOAK_TIMEOUT_MS,
		 SOAK_TIMEOUT_MS, s->with_duties ? SCALING : "");
}

/* Formats an upstream's registry entry, with the port of its proxy. */
static void format_entry(const soak_upstream_t *u, char *out, size_t size)
{
	bool stale = bct_clock_now() < u->stale_until;

	snprintf(out, size,
		 "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z\","
		 "\"version\":\"v%u\",\"slots\":16,\"state\":\"%s\",\"cold_remaining_ms\":0,"
		 "\"sequence\":%llu,\"born\":%lld}",
		 u->service, u->proxy.port, u->software,
		 u->draining && !stale ? "draining" : "ready",
		 (unsigned long long)u->sequence - stale, (long long)u->born);
}

static void add_item(struct evbuffer *out, bool first, const char *key, const char *text,
		     uint64_t offset)
{
	char encoded[TEXT_BYTES * 2];

	sodium_bin2base64(encoded, sizeof(encoded), (const unsigned char *)text, strlen(text),
			  sodium_base64_VARIANT_ORIGINAL);
	evbuffer_add_printf(out, "%s{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%llu}",
			    first ? "" : ",", key, encoded, (unsigned long long)offset);
}

static void add_era(const soak_t *s, struct evhttp_request *req)
{
	char era[24];

	snprintf(era, sizeof(era), "%llu", (unsigned long long)s->era);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Store-Era", era);
}

/* Lists the newest records: of the configuration (topic keyed.op), else of the registry. */
static void on_newest(struct evhttp_request *req, void *ctx)
{
	soak_t *s = ctx;
	struct evbuffer *out;
	bool config = strstr(evhttp_request_get_uri(req), "keyed.op") != NULL, first = true;
	char text[TEXT_BYTES];

	if (s->with_duties && soak_duties_newest(&s->duties, req))
		return;
	out = evbuffer_new();
	evbuffer_add_printf(out, "{\"items\":[");
	pthread_mutex_lock(&s->lock);
	if (config) {
		format_config(s, text, sizeof(text));
		add_item(out, true, "config", text, 1);
	}
	for (int i = 0; !config && i < SOAK_UPSTREAMS; i++) {
		if (s->upstreams[i].deregistered)
			continue;
		format_entry(&s->upstreams[i], text, sizeof(text));
		add_item(out, first, s->upstreams[i].id, text, s->upstreams[i].offset);
		first = false;
	}
	evbuffer_add_printf(out, "],\"more\":false,\"end_offset\":%llu}",
			    (unsigned long long)s->offset);
	add_era(s, req);
	pthread_mutex_unlock(&s->lock);
	evhttp_send_reply(req, 200, "OK", out);
	evbuffer_free(out);
}

/* Answers 200 with two numbers (end offset, 0) and no records, or 410 when there are changes. */
static void on_read(struct evhttp_request *req, void *ctx)
{
	soak_t *s = ctx;
	const char *from = strstr(evhttp_request_get_uri(req), "from=");
	uint64_t at = from ? strtoull(from + 5, NULL, 10) : 0, ends[2];
	struct evbuffer *out = evbuffer_new();
	bool changed;

	pthread_mutex_lock(&s->lock);
	changed = at != s->offset;
	ends[0] = __builtin_bswap64(s->offset);
	ends[1] = 0;
	add_era(s, req);
	pthread_mutex_unlock(&s->lock);
	if (!changed)
		evbuffer_add(out, ends, sizeof(ends));
	evhttp_send_reply(req, changed ? 410 : 200, changed ? "Gone" : "OK", out);
	evbuffer_free(out);
}

static void *run_event_loop(void *arg)
{
	event_base_dispatch(arg);
	return NULL;
}

void soak_store_start(soak_t *s)
{
	struct event_base *base = event_base_new();
	struct evhttp *h = evhttp_new(base);
	struct evhttp_bound_socket *b = evhttp_bind_socket_with_handle(h, "127.0.0.1", 0);
	pthread_t thread;
	int fd = soak_listen("127.0.0.1", 0, &s->store_port);

	/* The server's own socket is replaced by one whose port number is known. */
	if (!b || fd < 0)
		abort();
	evhttp_del_accept_socket(h, b);
	if (evhttp_accept_socket(h, fd))
		abort();
	evutil_make_socket_nonblocking(fd);
	evhttp_set_cb(h, "/api/log-newest", on_newest, s);
	evhttp_set_cb(h, "/api/log-read", on_read, s);
	soak_duties_start(s, base);
	if (s->with_duties)
		soak_duties_serve_append(&s->duties, h);
	if (pthread_create(&thread, NULL, run_event_loop, base))
		abort();
	pthread_detach(thread);
}
