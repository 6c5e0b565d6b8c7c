/*
 * crowd_backend.c - what a gateway needs to serve requests: a store with one configuration and two
 * entries, and the upstreams that they name, one of them broken. Prints "listening PORT", that of
 * the store, and runs until it is terminated.
 */
#include "tests/crowd_broken.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <sodium.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define HEAD "X-Buckthornchute-"
#define TEXT_BYTES 4096
#define ANSWER_BYTES 2000
#define SLOW_S 1
#define LARGE_BYTES 500000 /* of an answer to a path that ends in "large" */

#define CONFIG                                                                                  \
	"{\"version\":1,\"routes\":["                                                           \
	"{\"name\":\"safe\",\"host\":\"h\",\"path_prefix\":\"/safe/\",\"kind\":\"safe\","       \
	"\"timeout_ms\":5000,\"target_latency_ms\":300,\"priority\":1,\"service\":\"desk\","    \
	"\"attempts\":2},"                                                                      \
	"{\"name\":\"unsafe\",\"host\":\"h\",\"path_prefix\":\"/unsafe/\",\"kind\":\"unsafe\"," \
	"\"timeout_ms\":5000,\"target_latency_ms\":300,\"priority\":1,\"service\":\"desk\","    \
	"\"attempts\":1},"                                                                      \
	"{\"name\":\"broken\",\"host\":\"h\",\"path_prefix\":\"/broken/\",\"kind\":\"unsafe\"," \
	"\"timeout_ms\":5000,\"target_latency_ms\":300,\"priority\":1,\"service\":\"broken\","  \
	"\"attempts\":1}],"                                                                     \
	"\"services\":[{\"name\":\"desk\"},{\"name\":\"broken\"}],"                             \
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"                    \
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":10000},"                                \
	"\"tenants\":[{\"name\":\"acme\",\"api_keys\":[\"k1\"]}]}"

static char answer[LARGE_BYTES];

/* The ports of the two upstreams. */
typedef struct upstreams {
	uint16_t sound;
	uint16_t broken;
} upstreams_t;

static void put_item(struct evbuffer *out, const char *key, const char *text)
{
	char encoded[TEXT_BYTES * 2];

	sodium_bin2base64(encoded, sizeof(encoded), (const unsigned char *)text, strlen(text),
			  sodium_base64_VARIANT_ORIGINAL);
	evbuffer_add_printf(out, "{\"key\":\"%s\",\"value\":\"%s\",\"offset\":1}", key, encoded);
}

static void put_entry(struct evbuffer *out, const char *key, const char *service, uint16_t port)
{
	char text[TEXT_BYTES];

	snprintf(text, sizeof(text),
		 "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z\","
		 "\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
		 "\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1000}",
		 service, port);
	put_item(out, key, text);
}

/* Lists the configuration (topic keyed.op), or the upstreams. */
static void on_newest(struct evhttp_request *req, void *ctx)
{
	bool config = strstr(evhttp_request_get_uri(req), "keyed.op") != NULL;
	const upstreams_t *u = ctx;
	struct evbuffer *out = evbuffer_new();

	evbuffer_add_printf(out, "{\"items\":[");
	if (config) {
		put_item(out, "config", CONFIG);
	} else {
		put_entry(out, "i-1", "desk", u->sound);
		evbuffer_add_printf(out, ",");
		put_entry(out, "i-2", "broken", u->broken);
	}
	evbuffer_add_printf(out, "],\"more\":false,\"end_offset\":2}");
	evhttp_send_reply(req, 200, "OK", out);
	evbuffer_free(out);
}

/* Nothing changes: two numbers, the end offset and the first one, and no records. */
static void on_log(struct evhttp_request *req, void *ctx)
{
	uint64_t ends[2] = { __builtin_bswap64(2), 0 };
	struct evbuffer *out = evbuffer_new();

	(void)ctx;
	evbuffer_add(out, ends, sizeof(ends));
	evhttp_send_reply(req, 200, "OK", out);
	evbuffer_free(out);
}

/* Runs a request. */
static void answer_request(struct evhttp_request *req)
{
	struct evkeyvalq *in = evhttp_request_get_input_headers(req);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	const char *id = evhttp_find_header(in, HEAD "Request-Attempt-Id");
	const char *uri = evhttp_request_get_uri(req);
	size_t len = strlen(uri), bytes = ANSWER_BYTES;
	struct evbuffer *out = evbuffer_new();

	if (len > 5 && !strcmp(uri + len - 5, "large"))
		bytes = LARGE_BYTES;
	if (id)
		evhttp_add_header(headers, HEAD "Request-Attempt-Id", id);
	evhttp_add_header(headers, HEAD "Server-Seal", "s");
	evbuffer_add(out, answer, bytes);
	evhttp_send_reply(req, 200, "OK", out);
	evbuffer_free(out);
}

static void on_time(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	answer_request(ctx);
}

/* The upstream: runs any request, one to a path that ends in "slow" after a while. */
static void on_request(struct evhttp_request *req, void *ctx)
{
	const struct timeval later = { SLOW_S, 0 };
	const char *uri = evhttp_request_get_uri(req);
	size_t len = strlen(uri);

	if (len > 4 && !strcmp(uri + len - 4, "slow"))
		event_base_once(ctx, -1, EV_TIMEOUT, on_time, req, &later);
	else
		answer_request(req);
}

static struct evhttp *serve(struct event_base *base, uint16_t *port)
{
	struct evhttp *h = evhttp_new(base);
	struct evhttp_bound_socket *b = evhttp_bind_socket_with_handle(h, "127.0.0.1", 0);
	struct sockaddr_in sa;
	socklen_t len = sizeof(sa);

	if (!b || getsockname(evhttp_bound_socket_get_fd(b), (struct sockaddr *)&sa, &len))
		abort();
	*port = ntohs(sa.sin_port);
	return h;
}

int main(void)
{
	struct event_base *base = event_base_new();
	upstreams_t u = { .broken = crowd_broken_serve() };
	uint16_t store_port;
	struct evhttp *store = serve(base, &store_port);
	struct evhttp *upstream = serve(base, &u.sound);

	memset(answer, 'a', sizeof(answer));
	evhttp_set_cb(store, "/api/log-newest", on_newest, &u);
	evhttp_set_cb(store, "/api/log-read", on_log, NULL);
	evhttp_set_gencb(upstream, on_request, base);
	printf("listening %u\n", store_port);
	fflush(stdout);
	event_base_dispatch(base);
	return 0;
}
