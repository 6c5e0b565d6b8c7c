/*
 * test_control_standin.c - the platform's adapter of the control API against the stand-in, and the
 * stand-in's own judgement of its callers.
 */
#include "base/err.h"
#include "platform/control.h"
#include "soak/duties.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#define TIMEOUT_MS 400

static int report(bct_control_t *c, const bct_control_caller_t *by, uint64_t window,
		  uint32_t requests)
{
	bct_usage_count_t counts[] = { { "acme", requests } };
	bct_usage_report_t r = { .window = window, .counts = counts, .n = 1 };

	return c->ops->report_usage(c, by, &r, TIMEOUT_MS);
}

static int order(bct_control_t *c, const bct_control_caller_t *by, uint32_t engines, bool spot)
{
	bct_engine_order_t o = {
		.service = "model", .failure_domain = "za", .engines = engines, .spot = spot
	};

	return c->ops->order_engines(c, by, &o, TIMEOUT_MS);
}

static int append(bct_control_t *c, bct_gate_position_t at, const char *text,
		  bct_gate_position_t *position)
{
	return c->ops->append(c, at, text, (uint32_t)strlen(text), TIMEOUT_MS, position);
}

static int listen_on(uint16_t *port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	cr_assert_eq(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	cr_assert_eq(listen(fd, 16), 0);
	getsockname(fd, (struct sockaddr *)&sa, &len);
	*port = ntohs(sa.sin_port);
	return fd;
}

/* The stand-in, serving in a thread. */
typedef struct platform {
	soak_duties_t duties;
	struct event_base *base;
	struct evhttp *http;
	struct event *tick;
	atomic_bool stop;
	pthread_t thread;
	bct_control_t *control;
} platform_t;

/* The loop belongs to its thread, so that thread looks whether to end it. */
static void on_tick(evutil_socket_t fd, short what, void *ctx)
{
	platform_t *p = ctx;

	(void)fd;
	(void)what;
	if (atomic_load(&p->stop))
		event_base_loopbreak(p->base);
}

static void *run(void *arg)
{
	event_base_dispatch(arg);
	return NULL;
}

static void platform_start(platform_t *p)
{
	bct_control_api_opts_t opts = { .calls_per_s = 50,
					.lease_ms = 3000,
					.late_min_ms = 300,
					.late_max_ms = 400,
					.seed = 1 };
	struct timeval tick = { .tv_usec = 10000 };
	char address[32];
	uint16_t port;
	int fd = listen_on(&port);

	atomic_init(&p->stop, false);
	soak_duties_init(&p->duties, &opts);
	p->duties.withhold_ms = 2 * TIMEOUT_MS;
	p->duties.store_late_ms = 700;
	p->base = event_base_new();
	p->tick = event_new(p->base, -1, EV_PERSIST, on_tick, p);
	event_add(p->tick, &tick);
	p->http = evhttp_new(p->base);
	evutil_make_socket_nonblocking(fd);
	cr_assert_eq(evhttp_accept_socket(p->http, fd), 0);
	soak_duties_serve_api(&p->duties, p->http);
	soak_duties_serve_store(&p->duties, p->http);
	cr_assert_eq(pthread_create(&p->thread, NULL, run, p->base), 0);
	snprintf(address, sizeof(address), "127.0.0.1:%u", port);
	cr_assert_eq(bct_adapter_control(address, address, &p->control), 0);
}

static void platform_stop(platform_t *p)
{
	bct_control_free(p->control);
	atomic_store(&p->stop, true);
	pthread_join(p->thread, NULL);
	event_free(p->tick);
	evhttp_free(p->http);
	event_base_free(p->base);
	soak_duties_free(&p->duties);
}

static void assert_record(platform_t *p, const char *text, bct_gate_position_t at,
			  bct_gate_position_t ends)
{
	bct_gate_position_t position, end;
	bct_buf_t record;

	bct_buf_init(&record, 0);
	cr_assert_eq(p->control->ops->read(p->control, TIMEOUT_MS, &record, &position, &end), 0);
	cr_assert_str_eq(record.data ? record.data : "", text);
	cr_assert_eq(position, at);
	cr_assert_eq(end, ends);
	bct_buf_free(&record);
}

/* Two nodes append under the same condition: one of them must learn that it came second. */
Test(control, only_one_append_under_a_condition)
{
	bct_gate_position_t position = 0;
	platform_t p;

	platform_start(&p);
	p.duties.store_no_topic = true;
	assert_record(&p, "", 0, bct_gate_position(1, 0));
	cr_assert_eq(append(p.control, bct_gate_position(1, 0), "first", &position), 0);
	cr_assert_eq(position, bct_gate_position(1, 0));
	cr_assert_eq(append(p.control, bct_gate_position(1, 0), "second", &position), -BCT_ESTALE);
	assert_record(&p, "first", bct_gate_position(1, 0), bct_gate_position(1, 1));
	cr_assert_eq(append(p.control, bct_gate_position(1, 1), "third", &position), 0);
	assert_record(&p, "third", bct_gate_position(1, 1), bct_gate_position(1, 2));
	p.duties.store_refuses = true;
	cr_assert_eq(append(p.control, bct_gate_position(1, 2), "x", &position), -BCT_EUNAVAILABLE);
	platform_stop(&p);
}

/* The response was lost, or the append itself delayed: it must not count as not done. */
Test(control, appends_without_a_response)
{
	bct_gate_position_t position = 0, p0 = bct_gate_position(1, 0), p1 = p0 + 1, p2 = p0 + 2;
	platform_t p;

	platform_start(&p);
	p.duties.store_lose = 1;
	cr_assert_eq(append(p.control, p0, "lost", &position), -BCT_EUNKNOWN_OUTCOME);
	assert_record(&p, "lost", p0, p1);
	p.duties.store_late = 1;
	cr_assert_eq(append(p.control, p1, "late", &position), -BCT_EUNKNOWN_OUTCOME);
	assert_record(&p, "lost", p0, p1);
	bct_clock_sleep(500);
	assert_record(&p, "late", p1, p2);
	p.duties.store_late = 1;
	cr_assert_eq(append(p.control, p2, "too late", &position), -BCT_EUNKNOWN_OUTCOME);
	cr_assert_eq(append(p.control, p2, "newer", &position), 0);
	bct_clock_sleep(500);
	assert_record(&p, "newer", p2, p2 + 1);
	platform_stop(&p);
}

/* The store comes back from a copy and gives out offsets again: positions still grow. */
Test(control, positions_of_a_new_era)
{
	bct_gate_position_t position = 0;
	platform_t p;

	platform_start(&p);
	cr_assert_eq(append(p.control, bct_gate_position(1, 0), "a", &position), 0);
	pthread_mutex_lock(&p.duties.lock);
	bct_keyed_log_save(p.duties.log);
	pthread_mutex_unlock(&p.duties.lock);
	cr_assert_eq(append(p.control, bct_gate_position(1, 1), "b", &position), 0);
	pthread_mutex_lock(&p.duties.lock);
	bct_keyed_log_restore(p.duties.log);
	p.duties.era = 2;
	pthread_mutex_unlock(&p.duties.lock);
	assert_record(&p, "a", bct_gate_position(2, 0), bct_gate_position(2, 1));
	cr_assert_eq(append(p.control, bct_gate_position(2, 1), "c", &position), 0);
	cr_assert_eq(position, bct_gate_position(2, 1));
	platform_stop(&p);
}

Test(control, fencing_and_rate)
{
	bct_control_caller_t a = { .name = "a", .fence = 10 }, b = { .name = "b", .fence = 12 };
	uint32_t n = 0, over = 0;
	platform_t p;

	platform_start(&p);
	cr_assert_eq(report(p.control, &b, 5, 412), 0);
	cr_assert_eq(report(p.control, &a, 5, 411), -BCT_EFENCED);
	cr_assert_eq(report(p.control, &b, 5, 412), 0);
	/* Another subject, of which no higher token was seen. */
	cr_assert_eq(order(p.control, &a, 4, true), 0);
	cr_assert_eq(order(p.control, &b, 6, false), 0);
	cr_assert(bct_control_api_ordered(p.duties.api, "model", "za", true, &n));
	cr_assert_eq(n, 4);
	bct_control_api_no_spot(p.duties.api, "za", BCT_TIME_NEVER);
	cr_assert_eq(order(p.control, &b, 5, true), -BCT_EFENCED);
	cr_assert_eq(order(p.control, &b, 3, true), 0);
	cr_assert(bct_control_api_reported(p.duties.api, 5, "acme", &n));
	cr_assert_eq(n, 412);
	for (uint32_t i = 0; i < 200; i++)
		over += report(p.control, &b, 5, 412) == -BCT_EBUDGET;
	cr_assert_gt(over, 0);
	cr_assert_eq(bct_control_api_violations(p.duties.api, BCT_CONTROL_ONE_REPORT), 0);
	p.duties.api_down = true;
	cr_assert_eq(report(p.control, &b, 6, 1), -BCT_EUNKNOWN_OUTCOME);
	platform_stop(&p);
}

/* A call without a response takes effect late, unless a newer token was used meanwhile. */
Test(control, late_calls)
{
	bct_control_caller_t old = { .name = "a", .fence = 10 },
			     newer = { .name = "a", .fence = 11 };
	uint32_t n = 0;
	platform_t p;

	platform_start(&p);
	p.duties.api_lose = 1;
	cr_assert_eq(order(p.control, &old, 9, false), -BCT_EUNKNOWN_OUTCOME);
	cr_assert_eq(order(p.control, &newer, 2, false), 0);
	p.duties.api_lose = 1;
	cr_assert_eq(report(p.control, &old, 5, 412), -BCT_EUNKNOWN_OUTCOME);
	bct_clock_sleep(500);
	pthread_mutex_lock(&p.duties.lock);
	bct_control_api_tick(p.duties.api, bct_clock_now());
	pthread_mutex_unlock(&p.duties.lock);
	cr_assert(bct_control_api_ordered(p.duties.api, "model", "za", false, &n));
	cr_assert_eq(n, 2, "the late order is fenced off");
	cr_assert(bct_control_api_reported(p.duties.api, 5, "acme", &n));
	cr_assert_eq(bct_control_api_print(p.duties.api, stderr), 0);
	platform_stop(&p);
}

/* The stand-in by itself, in simulated time. */
static bct_control_api_t *api_new(void)
{
	bct_control_api_opts_t opts = { .calls_per_s = 50,
					.lease_ms = 3000,
					.late_min_ms = 2000,
					.late_max_ms = 12000,
					.seed = 1 };
	bct_control_api_t *a = NULL;

	cr_assert_eq(bct_control_api_new(&opts, &a), 0);
	return a;
}

static bct_control_api_call_t usage_call(const char *holder, const char *fence, const char *body)
{
	return (bct_control_api_call_t){ .path = "/usage",
					 .holder = holder,
					 .fence = fence,
					 .body = body,
					 .body_bytes = strlen(body) };
}

static int usage_at(bct_control_api_t *a, bct_time_t now, const char *holder, const char *fence,
		    const char *body)
{
	bct_control_api_call_t c = usage_call(holder, fence, body);

	return bct_control_api_call(a, now, &c);
}

#define WINDOW(n, count) "{\"window_number\":" n ",\"counts\":{\"acme\":" count "}}"

/* If the stand-in missed a broken rule, the runs against it would prove nothing. */
Test(control_standin, broken_rules_are_found)
{
	bct_control_api_t *a = api_new();

	cr_assert_eq(usage_at(a, 1000, "a", "5", WINDOW("1", "4")), 200);
	cr_assert_eq(usage_at(a, 1100, "a", "6", WINDOW("1", "4")), 200);
	cr_assert_eq(bct_control_api_print(a, stderr), 0);
	cr_assert_eq(usage_at(a, 1200, "a", "7", WINDOW("1", "3")), 200);
	cr_assert_eq(bct_control_api_violations(a, BCT_CONTROL_ONE_REPORT), 1);
	cr_assert_eq(usage_at(a, 9000, "b", "8", WINDOW("2", "3")), 200);
	cr_assert_eq(usage_at(a, 9100, "c", "8", WINDOW("2", "3")), 200);
	cr_assert_eq(bct_control_api_violations(a, BCT_CONTROL_ONE_FENCE), 1);
	cr_assert_eq(bct_control_api_violations(a, BCT_CONTROL_ORDER), 0);
	cr_assert_eq(usage_at(a, 9200, "b", "9", WINDOW("2", "3")), 200);
	cr_assert_eq(bct_control_api_violations(a, BCT_CONTROL_ORDER), 1);
	/* c is refused, and goes on: up to three calls are excused. */
	for (int i = 0; i < 8; i++)
		cr_assert_eq(usage_at(a, 9300 + i * 100, "c", "8", WINDOW("2", "3")), 409);
	for (int i = 0; i < 3; i++)
		cr_assert_eq(usage_at(a, 20000 + i * 100, "c", "8", WINDOW("2", "3")), 409);
	cr_assert_eq(bct_control_api_violations(a, BCT_CONTROL_REFUSED), 0);
	cr_assert_eq(usage_at(a, 20300, "c", "8", WINDOW("2", "3")), 409);
	cr_assert_eq(bct_control_api_violations(a, BCT_CONTROL_REFUSED), 1);
	bct_control_api_free(a);
}

/* A change of holders that keeps the rules must not be reported. */
Test(control_standin, kept_rules_are_not_reported)
{
	bct_control_api_t *a = api_new();
	bct_control_api_call_t late = usage_call("a", "6", WINDOW("3", "1"));
	uint64_t first = 0, last = 0;
	uint32_t n = 0;

	cr_assert_eq(usage_at(a, 1000, "a", "5", WINDOW("2", "4")), 200);
	bct_control_api_call_late(a, 1100, &late);
	cr_assert_eq(usage_at(a, 5000, "b", "9", WINDOW("3", "2")), 200);
	cr_assert_eq(usage_at(a, 5100, "a", "5", WINDOW("2", "4")), 409);
	cr_assert_eq(usage_at(a, 20000, "a", "12", WINDOW("3", "2")), 200);
	cr_assert_eq(bct_control_api_print(a, stderr), 0);
	cr_assert(bct_control_api_reported(a, 3, "acme", &n));
	cr_assert_eq(bct_control_api_windows(a, &first, &last), 2);
	cr_assert_eq(first, 2);
	cr_assert_eq(last, 3);
	bct_control_api_free(a);
}

Test(control_standin, malformed_calls)
{
	static const char *const bodies[] = { "",
					      "[]",
					      "{}",
					      "{\"window_number\":1}",
					      WINDOW("-1", "1"),
					      WINDOW("1", "-1"),
					      WINDOW("1", "1.5") };
	bct_control_api_t *a = api_new();

	for (size_t i = 0; i < sizeof(bodies) / sizeof(bodies[0]); i++)
		cr_assert_eq(usage_at(a, 1000, "a", "5", bodies[i]), 400, "%s", bodies[i]);
	cr_assert_eq(usage_at(a, 1000, NULL, "5", WINDOW("1", "1")), 400);
	cr_assert_eq(usage_at(a, 1000, "a", NULL, WINDOW("1", "1")), 400);
	cr_assert_eq(usage_at(a, 1000, "a", "-5", WINDOW("1", "1")), 400);
	cr_assert_eq(usage_at(a, 1000, "a", "9007199254740992", WINDOW("1", "1")), 400);
	bct_control_api_free(a);
}
