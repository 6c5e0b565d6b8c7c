/*
 * chuteload_run.c - the event loop. Open loop: requests start at their arrival times, whether
 * earlier ones were answered or not. One thread; libcurl's multi interface on epoll.
 */
#include "cmd/chuteload_call.h"

#include "base/err.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/timerfd.h>
#include <unistd.h>

#define MAX_EVENTS 128
#define MAX_IDLE_CONNECTIONS 4096L
#define SCAN_INTERVAL_US 5000 /* between checks for due disconnects and resends */

typedef struct loop {
	load_run_t *run;
	int epoll_fd;
	int timer_fd;
	uint64_t curl_due_us;			/* libcurl's timeout; UINT64_MAX: none */
	uint64_t arrivals_us[LOAD_MAX_CLASSES]; /* next of each class, from the run's start */
	uint64_t next_scan_us;
	bct_list_t calls;   /* with a transfer */
	bct_list_t resends; /* waiting for their resend_us */
} loop_t;

/* libcurl's socket callback: watch a socket for the events in what. */
static int on_socket(CURL *easy, curl_socket_t fd, int what, void *arg, void *socketp)
{
	loop_t *l = arg;
	struct epoll_event ev = { .data.fd = fd };

	(void)easy;
	(void)socketp;
	if (what == CURL_POLL_REMOVE) {
		epoll_ctl(l->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	if (what & CURL_POLL_IN)
		ev.events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		ev.events |= EPOLLOUT;
	if (epoll_ctl(l->epoll_fd, EPOLL_CTL_MOD, fd, &ev) < 0 && errno == ENOENT)
		epoll_ctl(l->epoll_fd, EPOLL_CTL_ADD, fd, &ev);
	return 0;
}

/* libcurl's timer callback. */
static int on_timeout(CURLM *multi, long timeout_ms, void *arg)
{
	loop_t *l = arg;

	(void)multi;
	l->curl_due_us =
		timeout_ms < 0 ? UINT64_MAX : load_now_us() + (uint64_t)timeout_ms * LOAD_US_PER_MS;
	return 0;
}

static void call_free(loop_t *l, load_call_t *call)
{
	l->run->in_flight--;
	load_call_free(call);
}

/* Starts an attempt. A call that cannot be sent ends here, so the caller must not use it after. */
static void call_send(loop_t *l, load_call_t *call)
{
	char address[LOAD_ADDRESS_BYTES];

	load_entry_pick(l->run->entry, address);
	if (load_call_send(call, address) < 0) {
		load_call_no_answer(call);
		call_free(l, call);
		return;
	}
	bct_list_add_tail(&call->link, &l->calls);
	curl_multi_add_handle(l->run->multi, call->easy);
}

/* Starts the requests that are due. Returns the time of the next arrival; UINT64_MAX: none. */
static uint64_t start_arrivals(loop_t *l, uint64_t now_us)
{
	load_scenario_t *sc = l->run->sc;
	uint64_t next_us = UINT64_MAX, start_us = l->run->start_us;

	for (uint32_t i = 0; i < sc->n_classes; i++) {
		load_class_t *c = &sc->classes[i];
		uint64_t end_us = (uint64_t)sc->duration_ms * LOAD_US_PER_MS;

		while (l->arrivals_us[i] < end_us && start_us + l->arrivals_us[i] <= now_us) {
			load_call_t *call = load_call_new(l->run, c, start_us + l->arrivals_us[i]);

			l->arrivals_us[i] = load_next_arrival(c, l->arrivals_us[i]);
			if (!call)
				continue;
			l->run->in_flight++;
			call_send(l, call);
		}
		if (l->arrivals_us[i] < end_us && start_us + l->arrivals_us[i] < next_us)
			next_us = start_us + l->arrivals_us[i];
	}
	return next_us;
}

/* Ends the calls whose transfers finished, or queues them for a resend. */
static void finish_calls(loop_t *l)
{
	CURLMsg *msg;
	int queued;

	while ((msg = curl_multi_info_read(l->run->multi, &queued)) != NULL) {
		CURLcode code = msg->data.result;
		load_call_t *call;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, (char **)&call);
		curl_multi_remove_handle(l->run->multi, call->easy);
		bct_list_del(&call->link);
		if (load_call_end(call, code, load_now_us()))
			bct_list_add_tail(&call->link, &l->resends);
		else
			call_free(l, call);
	}
}

/* Disconnects callers and starts resends that are due. */
static void scan_calls(loop_t *l, uint64_t now_us)
{
	bct_list_t *el, *tmp;

	if (now_us < l->next_scan_us)
		return;
	l->next_scan_us = now_us + SCAN_INTERVAL_US;
	bct_list_for_each_safe(el, tmp, &l->calls) {
		load_call_t *call = bct_container_of(el, load_call_t, link);

		if (call->disconnect_us == 0 || call->disconnect_us > now_us)
			continue;
		curl_multi_remove_handle(l->run->multi, call->easy);
		load_call_disconnect(call);
		call_free(l, call);
	}
	bct_list_for_each_safe(el, tmp, &l->resends) {
		load_call_t *call = bct_container_of(el, load_call_t, link);

		if (call->resend_us > now_us)
			continue;
		bct_list_del(&call->link);
		call_send(l, call);
	}
}

static void arm_timer(loop_t *l, uint64_t due_us)
{
	struct itimerspec it = { .it_value = { .tv_sec = (time_t)(due_us / LOAD_US_PER_S),
					       .tv_nsec = (long)(due_us % LOAD_US_PER_S) * 1000 } };

	timerfd_settime(l->timer_fd, TFD_TIMER_ABSTIME, &it, NULL);
}

/* Waits until a socket is ready or due_us, and lets libcurl handle it. */
static void wait_events(loop_t *l, uint64_t due_us)
{
	struct epoll_event evs[MAX_EVENTS];
	int n, running;

	arm_timer(l, due_us);
	n = epoll_wait(l->epoll_fd, evs, MAX_EVENTS, -1);
	for (int i = 0; i < n; i++) {
		int fd = evs[i].data.fd, what = 0;
		uint64_t count;

		if (fd == l->timer_fd) {
			if (read(fd, &count, sizeof(count)) < 0)
				continue;
			continue;
		}
		if (evs[i].events & EPOLLIN)
			what |= CURL_CSELECT_IN;
		if (evs[i].events & EPOLLOUT)
			what |= CURL_CSELECT_OUT;
		if (evs[i].events & (EPOLLERR | EPOLLHUP))
			what |= CURL_CSELECT_ERR;
		curl_multi_socket_action(l->run->multi, fd, what, &running);
	}
	if (l->curl_due_us <= load_now_us()) {
		l->curl_due_us = UINT64_MAX;
		curl_multi_socket_action(l->run->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	}
}

/* At the end of the run: counts the calls that are still open as lost. */
static void end_unanswered(loop_t *l)
{
	bct_list_t *lists[] = { &l->calls, &l->resends };

	for (int i = 0; i < 2; i++) {
		while (!bct_list_empty(lists[i])) {
			load_call_t *call = bct_container_of(lists[i]->next, load_call_t, link);

			if (call->easy)
				curl_multi_remove_handle(l->run->multi, call->easy);
			load_call_no_answer(call);
			call_free(l, call);
		}
	}
}

/* Runs until all calls ended, or the scenario's drain time is over. */
static void loop_main(loop_t *l)
{
	const load_scenario_t *sc = l->run->sc;
	uint64_t end_us =
		l->run->start_us + ((uint64_t)sc->duration_ms + sc->drain_ms) * LOAD_US_PER_MS;
	uint64_t now_us = load_now_us();

	while (now_us < end_us) {
		uint64_t due_us = start_arrivals(l, now_us);

		scan_calls(l, now_us);
		if (due_us == UINT64_MAX && l->run->in_flight == 0)
			break;
		if (l->next_scan_us < due_us)
			due_us = l->next_scan_us;
		if (l->curl_due_us < due_us)
			due_us = l->curl_due_us;
		wait_events(l, due_us < end_us ? due_us : end_us);
		finish_calls(l);
		now_us = load_now_us();
	}
	end_unanswered(l);
}

int load_run(load_run_t *run)
{
	loop_t l = { .run = run, .curl_due_us = UINT64_MAX };
	struct epoll_event ev = { .events = EPOLLIN };
	int rc = -BCT_EIO;

	bct_list_init(&l.calls);
	bct_list_init(&l.resends);
	l.epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	l.timer_fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	ev.data.fd = l.timer_fd;
	run->multi = curl_multi_init();
	if (l.epoll_fd < 0 || l.timer_fd < 0 || !run->multi ||
	    epoll_ctl(l.epoll_fd, EPOLL_CTL_ADD, l.timer_fd, &ev) < 0)
		goto out;
	curl_multi_setopt(run->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(run->multi, CURLMOPT_SOCKETDATA, &l);
	curl_multi_setopt(run->multi, CURLMOPT_TIMERFUNCTION, on_timeout);
	curl_multi_setopt(run->multi, CURLMOPT_TIMERDATA, &l);
	curl_multi_setopt(run->multi, CURLMOPT_MAXCONNECTS, MAX_IDLE_CONNECTIONS);
	rc = load_entry_new(run->sc, &run->entry);
	if (rc < 0)
		goto out;
	run->start_us = load_now_us();
	for (uint32_t i = 0; i < run->sc->n_classes; i++) {
		bct_rng_seed(&run->sc->classes[i].rng, run->sc->seed + i);
		l.arrivals_us[i] = load_next_arrival(&run->sc->classes[i], 0);
	}
	loop_main(&l);
out:
	load_entry_free(run->entry);
	run->entry = NULL;
	if (run->multi)
		curl_multi_cleanup(run->multi);
	if (l.timer_fd >= 0)
		close(l.timer_fd);
	if (l.epoll_fd >= 0)
		close(l.epoll_fd);
	return rc;
}
