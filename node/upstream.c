/*
 * upstream.c - the worker threads: they take commands, run libcurl transfers, enforce time limits
 * and report the ends of attempts.
 */
#define _GNU_SOURCE
#include "node/upstream.h"
#include "base/err.h"
#include "base/mem.h"
#include "base/sync.h"
#include "node/transfer.h"

#include <ck_pr.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define TIMEOUT_CHECK_MS 50 /* resolution of the attempts' time limits */
#define EPOLL_EVENTS 128

typedef struct bct_upstream_worker {
	struct bct_upstream_pool *pool;
	pthread_t thread;
	bool started;
	CURLM *multi;
	int epoll_fd;
	int wake_fd;	       /* eventfd: a command is waiting */
	bct_time_t curl_timer; /* when to call libcurl; BCT_TIME_NEVER: no timer is set */
	bct_time_t next_check; /* of the attempts' time limits */
	pthread_mutex_t lock;  /* leaf */
	bct_list_t inbox;      /* under lock; bct_attempt_cmd_t, each with a reference */
	bct_list_t running;    /* attempts; used by the worker only */
} worker_t;

struct bct_upstream_pool {
	bct_upstream_opts_t opts;
	uint32_t stop; /* atomic */
	uint32_t next; /* atomic; attempts are assigned to the workers in turn */
	uint32_t n_workers;
	worker_t *workers;
};

bct_attempt_t *bct_attempt_ref(bct_attempt_t *a)
{
	bct_ref_get(&a->refs);
	return a;
}

void bct_attempt_unref(bct_attempt_t *a)
{

	if (!a)
		return;
	if (!bct_ref_put(&a->refs))
		return;
	bct_transfer_free(a);
	bct_request_unref(a->req);
	bct_free(a);
}

uint64_t bct_attempt_id_of(const bct_attempt_t *a)
{
	return a->id;
}

static void wake(const worker_t *w)
{
	uint64_t one = 1;

	/* The write fails if the counter is full, and then a wake-up is already pending. */
	if (write(w->wake_fd, &one, sizeof(one)) < 0)
		return;
}

/* Puts a command in the worker's inbox, unless the same command is still waiting there. */
static void post_command(bct_attempt_cmd_t *cmd)
{
	worker_t *w = cmd->attempt->worker;
	bool queued;

	pthread_mutex_lock(&w->lock);
	queued = !bct_list_empty(&cmd->link);
	if (!queued) {
		bct_attempt_ref(cmd->attempt);
		bct_list_add_tail(&cmd->link, &w->inbox);
	}
	pthread_mutex_unlock(&w->lock);
	if (!queued)
		wake(w);
}

void bct_attempt_cancel(bct_attempt_t *a)
{
	post_command(&a->cancel);
}

void bct_attempt_unpause(bct_attempt_t *a)
{
	post_command(&a->unpause);
}

static void init_command(bct_attempt_cmd_t *cmd, bct_attempt_cmd_type_t type, bct_attempt_t *a)
{
	bct_list_init(&cmd->link);
	cmd->type = type;
	cmd->attempt = a;
}

static bct_attempt_t *attempt_new(bct_upstream_pool_t *p, const bct_attempt_opts_t *opts)
{
	bct_attempt_t *a = bct_alloc(sizeof(*a));

	if (!a)
		return NULL;
	a->refs = 1;
	a->id = opts->id;
	a->req = bct_request_ref(opts->req);
	a->pool = p;
	a->worker = &p->workers[ck_pr_faa_32(&p->next, 1) % p->n_workers];
	init_command(&a->start, BCT_ATTEMPT_CMD_START, a);
	init_command(&a->cancel, BCT_ATTEMPT_CMD_CANCEL, a);
	init_command(&a->unpause, BCT_ATTEMPT_CMD_UNPAUSE, a);
	snprintf(a->address, sizeof(a->address), "%s", opts->upstream->address);
	snprintf(a->upstream_name, sizeof(a->upstream_name), "%s", opts->upstream->name);
	a->port = opts->upstream->port;
	a->upstream_key = opts->upstream->key;
	if (opts->kv_source)
		snprintf(a->kv_from, sizeof(a->kv_from), "%s:%u", opts->kv_source->address,
			 opts->kv_source->port);
	a->priority = opts->priority;
	a->resume_from = opts->resume_from;
	a->send_before = opts->send_before;
	a->timeouts = *opts->timeouts;
	snprintf(a->id_hex, sizeof(a->id_hex), "%016" PRIx64, a->id);
	snprintf(a->req_id_hex, sizeof(a->req_id_hex), "%016" PRIx64, a->req->id);
	bct_list_init(&a->link);
	bct_buf_init(&a->answer, p->opts.max_answer_bytes);
	/* A streamed one is bounded by pauses, this one by nothing else than the engine. */
	if (!a->req->stream)
		a->req->out.max_bytes = p->opts.max_answer_bytes;
	a->req->room = p->opts.room;
	return a;
}

int bct_upstream_start(bct_upstream_pool_t *p, const bct_attempt_opts_t *opts, bct_attempt_t **out)
{
	bct_attempt_t *a = attempt_new(p, opts);

	if (!a)
		return -BCT_ENOMEM;
	*out = a;
	post_command(&a->start);
	/* The start command holds its own reference. The worker drops it after the end event. */
	bct_attempt_unref(a);
	return 0;
}

/* Reports the end of an attempt and drops the worker's reference. */
static void finish_attempt(worker_t *w, bct_attempt_t *a, CURLcode code)
{
	bct_attempt_end_t end;

	if (a->easy)
		curl_multi_remove_handle(w->multi, a->easy);
	bct_list_del(&a->link);
	bct_transfer_outcome(a, code, &end);
	bct_transfer_free(a);
	w->pool->opts.events.end(w->pool->opts.events.ctx, a, &end);
	bct_attempt_unref(a);
}

/* Takes over the reference of the start command. */
static void start_attempt(worker_t *w, bct_attempt_t *a)
{
	int rc;

	bct_list_add_tail(&a->link, &w->running);
	a->started = bct_clock_now();
	a->progress = a->started;
	if (a->cancelled) {
		finish_attempt(w, a, CURLE_OK);
		return;
	}
	rc = bct_transfer_setup(a);
	if (rc || curl_multi_add_handle(w->multi, a->easy) != CURLM_OK)
		finish_attempt(w, a, CURLE_OUT_OF_MEMORY);
}

static void cancel_attempt(worker_t *w, bct_attempt_t *a)
{
	a->cancelled = true;
	if (!bct_list_empty(&a->link))
		finish_attempt(w, a, CURLE_ABORTED_BY_CALLBACK);
}

static void unpause_attempt(bct_attempt_t *a)
{
	bool paused;

	pthread_mutex_lock(&a->req->lock);
	paused = a->paused;
	a->paused = false;
	pthread_mutex_unlock(&a->req->lock);
	a->progress = bct_clock_now();
	if (paused && a->easy)
		curl_easy_pause(a->easy, CURLPAUSE_CONT);
}

static void run_command(worker_t *w, const bct_attempt_cmd_t *cmd)
{
	bct_attempt_t *a = cmd->attempt;

	switch (cmd->type) {
	case BCT_ATTEMPT_CMD_START:
		start_attempt(w, a);
		return;
	case BCT_ATTEMPT_CMD_CANCEL:
		cancel_attempt(w, a);
		break;
	case BCT_ATTEMPT_CMD_UNPAUSE:
		unpause_attempt(a);
		break;
	}
	bct_attempt_unref(a);
}

static bct_attempt_cmd_t *next_command(worker_t *w)
{
	bct_attempt_cmd_t *cmd = NULL;

	pthread_mutex_lock(&w->lock);
	if (!bct_list_empty(&w->inbox)) {
		cmd = bct_container_of(w->inbox.next, bct_attempt_cmd_t, link);
		bct_list_del(&cmd->link);
	}
	pthread_mutex_unlock(&w->lock);
	return cmd;
}

static void run_commands(worker_t *w)
{
	bct_attempt_cmd_t *cmd;

	while ((cmd = next_command(w)))
		run_command(w, cmd);
}

static void finish_transfers(worker_t *w)
{
	CURLMsg *msg;
	int remaining;

	while ((msg = curl_multi_info_read(w->multi, &remaining))) {
		bct_attempt_t *a = NULL;
		CURLcode code = msg->data.result;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, (char **)&a);
		finish_attempt(w, a, code);
	}
}

static void check_timeouts(worker_t *w)
{
	bct_time_t now = bct_clock_now();
	bct_list_t *el, *tmp;

	bct_list_for_each_safe(el, tmp, &w->running) {
		bct_attempt_t *a = bct_container_of(el, bct_attempt_t, link);

		if (now < bct_transfer_deadline(a))
			continue;
		a->deadline_hit = true;
		finish_attempt(w, a, CURLE_OPERATION_TIMEDOUT);
	}
}

/* Runs the commands that are still queued, then drops the running attempts without an end event. */
static void drop_attempts(worker_t *w)
{
	bct_list_t *el, *tmp;

	run_commands(w);
	bct_list_for_each_safe(el, tmp, &w->running) {
		bct_attempt_t *a = bct_container_of(el, bct_attempt_t, link);

		if (a->easy)
			curl_multi_remove_handle(w->multi, a->easy);
		bct_list_del(el);
		bct_attempt_unref(a);
	}
}

/* libcurl's socket callback: starts, changes or stops the watch of a socket. */
static int on_socket(CURL *easy, curl_socket_t fd, int what, void *ctx, void *socket_ctx)
{
	struct epoll_event ev = { .data = { .fd = fd } };
	worker_t *w = ctx;

	(void)easy;
	(void)socket_ctx;
	if (what == CURL_POLL_REMOVE) {
		epoll_ctl(w->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	if (what & CURL_POLL_IN)
		ev.events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		ev.events |= EPOLLOUT;
	if (epoll_ctl(w->epoll_fd, EPOLL_CTL_MOD, fd, &ev))
		epoll_ctl(w->epoll_fd, EPOLL_CTL_ADD, fd, &ev);
	return 0;
}

/* libcurl's timer callback: sets the time at which to call libcurl, or clears it. */
static int on_timer(CURLM *multi, long timeout_ms, void *ctx)
{
	worker_t *w = ctx;

	(void)multi;
	w->curl_timer = timeout_ms < 0 ? BCT_TIME_NEVER : bct_clock_now() + timeout_ms;
	return 0;
}

/* returns the time until the next timer, in ms */
static int remaining_ms(const worker_t *w)
{
	bct_time_t now = bct_clock_now();
	bct_time_t deadline = w->curl_timer < w->next_check ? w->curl_timer : w->next_check;

	return deadline <= now ? 0 : (int)(deadline - now);
}

static void on_ready(worker_t *w, const struct epoll_event *ev)
{
	uint64_t count;
	int running, what = 0;

	if (ev->data.fd == w->wake_fd) {
		if (read(w->wake_fd, &count, sizeof(count)) < 0)
			return;
		run_commands(w);
		return;
	}
	if (ev->events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		what |= CURL_CSELECT_IN;
	if (ev->events & EPOLLOUT)
		what |= CURL_CSELECT_OUT;
	if (ev->events & EPOLLERR)
		what |= CURL_CSELECT_ERR;
	curl_multi_socket_action(w->multi, ev->data.fd, what, &running);
}

static void run_timers(worker_t *w)
{
	bct_time_t now = bct_clock_now();
	int running;

	if (now >= w->curl_timer) {
		w->curl_timer = BCT_TIME_NEVER;
		curl_multi_socket_action(w->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	}
	if (now >= w->next_check) {
		w->next_check = now + TIMEOUT_CHECK_MS;
		check_timeouts(w);
	}
}

static void *worker_main(void *arg)
{
	struct epoll_event ev[EPOLL_EVENTS];
	worker_t *w = arg;
	int i, n;

	while (!ck_pr_load_32(&w->pool->stop)) {
		n = epoll_wait(w->epoll_fd, ev, EPOLL_EVENTS, remaining_ms(w));
		for (i = 0; i < n; i++)
			on_ready(w, &ev[i]);
		run_timers(w);
		finish_transfers(w);
	}
	drop_attempts(w);
	return NULL;
}

static int open_descriptors(worker_t *w)
{
	struct epoll_event ev = { .events = EPOLLIN };

	w->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	w->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	ev.data.fd = w->wake_fd;
	if (w->epoll_fd < 0 || w->wake_fd < 0)
		return -BCT_EIO;
	return epoll_ctl(w->epoll_fd, EPOLL_CTL_ADD, w->wake_fd, &ev) ? -BCT_EIO : 0;
}

static int start_worker(bct_upstream_pool_t *p, worker_t *w)
{
	w->pool = p;
	w->curl_timer = BCT_TIME_NEVER;
	pthread_mutex_init(&w->lock, NULL);
	bct_list_init(&w->inbox);
	bct_list_init(&w->running);
	if (open_descriptors(w))
		return -BCT_EIO;
	w->multi = curl_multi_init();
	if (!w->multi)
		return -BCT_ENOMEM;
	curl_multi_setopt(w->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(w->multi, CURLMOPT_SOCKETDATA, w);
	curl_multi_setopt(w->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(w->multi, CURLMOPT_TIMERDATA, w);
	if (pthread_create(&w->thread, NULL, worker_main, w))
		return -BCT_ENOMEM;
	w->started = true;
	pthread_setname_np(w->thread, "upstream");
	return 0;
}

static void stop_worker(worker_t *w)
{
	if (!w->pool)
		return;
	if (w->started) {
		wake(w);
		pthread_join(w->thread, NULL);
	}
	if (w->multi)
		curl_multi_cleanup(w->multi);
	if (w->epoll_fd >= 0)
		close(w->epoll_fd);
	if (w->wake_fd >= 0)
		close(w->wake_fd);
	pthread_mutex_destroy(&w->lock);
}

int bct_upstream_pool_new(const bct_upstream_opts_t *opts, bct_upstream_pool_t **out)
{
	bct_upstream_pool_t *p = bct_alloc(sizeof(*p));
	uint32_t i;
	int rc = -BCT_ENOMEM;

	if (!p)
		return rc;
	p->opts = *opts;
	p->workers = bct_alloc(sizeof(*p->workers) * opts->threads);
	if (!p->workers)
		goto fail;
	p->n_workers = opts->threads;
	for (i = 0; i < opts->threads; i++) {
		rc = start_worker(p, &p->workers[i]);
		if (rc)
			goto fail;
	}
	*out = p;
	return 0;
fail:
	bct_upstream_pool_free(p);
	return rc;
}

void bct_upstream_pool_free(bct_upstream_pool_t *p)
{
	uint32_t i;

	if (!p)
		return;
	ck_pr_store_32(&p->stop, 1);
	for (i = 0; i < p->n_workers; i++)
		stop_worker(&p->workers[i]);
	bct_free(p->workers);
	bct_free(p);
}

const bct_upstream_opts_t *bct_upstream_pool_opts(const bct_upstream_pool_t *p)
{
	return &p->opts;
}
