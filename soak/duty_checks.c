/*
 * duty_checks.c - the fleet's duties in a run: faults of the control API and of the record's topic,
 * and whether the rules were kept. The counts of reports are checked only in the time without
 * faults: callers can't tell then whether an answer that they did not get had begun.
 */
#include "soak/soak.h"

#include <event2/http.h>
#include <event2/util.h>
#include <stdio.h>
#include <stdlib.h>

#define CALLS_PER_S 50
#define LEASE_MS 3000
#define LATE_MIN_MS 2000
#define LATE_MAX_MS 12000
#define SLOW_MAX_MS 1500
#define NO_SPOT_MS 10000
#define TOLERANCE_PERCENT 5
#define BOUNDARY 3 /* answers that begin so near a window's end that they count elsewhere */

void soak_duties_start(soak_t *s, struct event_base *base)
{
	bct_control_api_opts_t opts = { .calls_per_s = CALLS_PER_S,
					.lease_ms = LEASE_MS,
					.late_min_ms = LATE_MIN_MS,
					.late_max_ms = LATE_MAX_MS,
					.seed = s->seed };
	struct evhttp *http;
	int fd;

	s->first_window = (uint64_t)bct_clock_wall() / SOAK_WINDOW_MS;
	if (!s->with_duties)
		return;
	soak_duties_init(&s->duties, &opts);
	http = evhttp_new(base);
	fd = soak_listen("127.0.0.1", 0, &s->control_port);
	if (!http || fd < 0 || evutil_make_socket_nonblocking(fd) || evhttp_accept_socket(http, fd))
		abort();
	soak_duties_serve_api(&s->duties, http);
}

void soak_duties_fault(soak_t *s)
{
	soak_duties_t *d = &s->duties;
	soak_node_t *n = &s->nodes[bct_rng_below(&s->rng, (uint32_t)s->n_nodes)];
	uint32_t slow_ms = bct_rng_below(&s->rng, SLOW_MAX_MS);

	pthread_mutex_lock(&d->lock);
	bct_keyed_log_save(d->log);
	switch (bct_rng_below(&s->rng, 7)) {
	case 0:
		n->control.link = bct_rng_below(&s->rng, SOAK_LINK_KINDS);
		break;
	case 1:
		d->api_down = !d->api_down;
		break;
	case 2:
		d->api_slow_ms = d->api_slow_ms ? 0 : slow_ms;
		break;
	case 3:
		d->api_lose += 3;
		break;
	case 4:
		d->store_lose++;
		break;
	case 5:
		d->store_late++;
		break;
	default:
		bct_control_api_no_spot(d->api, "z", bct_clock_now() + NO_SPOT_MS);
	}
	pthread_mutex_unlock(&d->lock);
}

void soak_duties_clear(soak_t *s)
{
	soak_duties_t *d = &s->duties;

	if (!s->with_duties)
		return;
	for (int i = 0; i < s->n_nodes; i++)
		s->nodes[i].control.link = SOAK_LINK_OK;
	pthread_mutex_lock(&d->lock);
	d->api_down = false;
	d->api_slow_ms = d->api_lose = d->store_lose = d->store_late = 0;
	pthread_mutex_unlock(&d->lock);
}

void soak_duties_began(soak_t *s, bct_time_t wall_ms)
{
	uint64_t i = (uint64_t)wall_ms / SOAK_WINDOW_MS - s->first_window;

	if (i < SOAK_WINDOWS_MAX)
		s->began[i]++;
}

static void check_window(soak_t *s, uint64_t window)
{
	uint32_t truth = s->began[window - s->first_window], requests = 0, off;
	bool reported;

	pthread_mutex_lock(&s->duties.lock);
	reported = bct_control_api_reported(s->duties.api, window, "acme", &requests);
	pthread_mutex_unlock(&s->duties.lock);
	off = requests > truth ? requests - truth : truth - requests;
	if (!reported)
		soak_violation(s, "DUE", "window %llu was not reported",
			       (unsigned long long)window);
	else if (off > BOUNDARY + truth * TOLERANCE_PERCENT / 100)
		soak_violation(s, "DUE", "window %llu: %u reported, %u began",
			       (unsigned long long)window, requests, truth);
}

void soak_duties_check(soak_t *s, bct_time_t from_ms, bct_time_t to_ms)
{
	uint64_t first = (uint64_t)from_ms / SOAK_WINDOW_MS + 1;
	uint64_t end = (uint64_t)to_ms / SOAK_WINDOW_MS, lowest = 0, highest = 0;
	uint32_t broken, windows;

	for (uint64_t w = first; w < end; w++)
		check_window(s, w);
	pthread_mutex_lock(&s->duties.lock);
	bct_control_api_tick(s->duties.api, bct_clock_now() + LATE_MAX_MS);
	broken = bct_control_api_print(s->duties.api, stdout);
	windows = bct_control_api_windows(s->duties.api, &lowest, &highest);
	pthread_mutex_unlock(&s->duties.lock);
	printf("soak: %u windows of usage reported, %llu to %llu; the run began in %llu\n", windows,
	       (unsigned long long)lowest, (unsigned long long)highest,
	       (unsigned long long)s->first_window);
	if (broken)
		soak_violation(s, "DUTIES", "%u rules of the control API were broken", broken);
}
