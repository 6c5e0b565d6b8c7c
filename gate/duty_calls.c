/*
 * duty_calls.c - see duty_calls.h.
 */
#include "gate/duty_calls.h"
#include "base/err.h"
#include "base/mem.h"

#include <pthread.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define CALL_MIN_MS 100 /* no call is made that has less time than that */

typedef enum worker_state {
	WORKER_IDLE,
	WORKER_STARTED, /* the call belongs to the thread */
	WORKER_DONE,
} worker_state_t;

typedef struct worker {
	bct_duty_calls_t *calls;
	void (*run)(bct_duty_calls_t *c);
	pthread_t thread;
	bool started;
	pthread_mutex_t lock; /* guards state and stop */
	pthread_cond_t wake;
	worker_state_t state;
	bool stop;
} worker_t;

struct bct_duty_calls {
	bct_control_t *control;
	void (*on_done)(void *ctx);
	void *ctx;
	int wake_fd; /* eventfd: a call is done */
	struct event *wake;
	worker_t store_worker;
	worker_t api_worker;
	bct_duty_store_call_t store;
	bct_duty_api_call_t api;
};

static void run_store(bct_duty_calls_t *c)
{
	const bct_control_ops_t *ops = c->control->ops;
	bct_duty_store_call_t *s = &c->store;
	bct_time_t began = bct_clock_now();

	if (s->act == BCT_DUTY_READ)
		s->rc = ops->read(c->control, s->timeout_ms, &s->record, &s->position, &s->end);
	else
		s->rc = ops->append(c->control, s->at, s->record.data,
				    (uint32_t)s->record.len_bytes, s->timeout_ms, &s->position);
	s->took_ms = bct_clock_now() - began;
}

/* The lease is checked once more, directly before the call. */
static void run_api(bct_duty_calls_t *c)
{
	const bct_control_ops_t *ops = c->control->ops;
	bct_duty_api_call_t *a = &c->api;
	bct_control_caller_t by = { .name = a->name, .fence = a->call.fence };
	bct_engine_order_t order = { .service = a->call.service,
				     .failure_domain = a->call.failure_domain,
				     .engines = a->call.engines,
				     .spot = a->call.engine_kind == BCT_AUTOSCALE_SPOT };
	bct_time_t began = bct_clock_now(), rest_ms = a->valid_until - began;

	a->rc = -BCT_ESTATE;
	a->took_ms = 0;
	if (rest_ms < CALL_MIN_MS)
		return;
	if (rest_ms > a->timeout_ms)
		rest_ms = a->timeout_ms;
	if (a->call.kind == BCT_DUTY_REPORT)
		a->rc = ops->report_usage(c->control, &by, &a->report.usage, (uint32_t)rest_ms);
	else
		a->rc = ops->order_engines(c->control, &by, &order, (uint32_t)rest_ms);
	a->took_ms = bct_clock_now() - began;
}

/* Waits until a call was started. returns false when the thread is to end. */
static bool wait_started(worker_t *w)
{
	bool stop;

	pthread_mutex_lock(&w->lock);
	while (!w->stop && w->state != WORKER_STARTED)
		pthread_cond_wait(&w->wake, &w->lock);
	stop = w->stop;
	pthread_mutex_unlock(&w->lock);
	return !stop;
}

static void *work(void *arg)
{
	worker_t *w = arg;
	uint64_t one = 1;

	while (wait_started(w)) {
		w->run(w->calls);
		pthread_mutex_lock(&w->lock);
		w->state = WORKER_DONE;
		pthread_mutex_unlock(&w->lock);
		/* Fails only if the event loop has not been reached by 2^64 - 2 wake-ups. */
		if (write(w->calls->wake_fd, &one, sizeof(one)) < 0)
			continue;
	}
	return NULL;
}

static void on_wake(evutil_socket_t fd, short what, void *ctx)
{
	bct_duty_calls_t *c = ctx;
	uint64_t n;

	(void)what;
	if (read(fd, &n, sizeof(n)) == sizeof(n))
		c->on_done(c->ctx);
}

static int start_worker(bct_duty_calls_t *c, worker_t *w, void (*run)(bct_duty_calls_t *c))
{
	w->calls = c;
	w->run = run;
	pthread_mutex_init(&w->lock, NULL);
	pthread_cond_init(&w->wake, NULL);
	w->started = !pthread_create(&w->thread, NULL, work, w);
	return w->started ? 0 : -BCT_EIO;
}

int bct_duty_calls_new(bct_control_t *control, struct event_base *base, void (*on_done)(void *ctx),
		       void *ctx, bct_duty_calls_t **out)
{
	bct_duty_calls_t *c = bct_alloc(sizeof(*c));
	int rc;

	if (!c)
		return -BCT_ENOMEM;
	c->control = control;
	c->on_done = on_done;
	c->ctx = ctx;
	bct_buf_init(&c->store.record, 0);
	c->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (c->wake_fd >= 0)
		c->wake = event_new(base, c->wake_fd, EV_READ | EV_PERSIST, on_wake, c);
	rc = c->wake && !event_add(c->wake, NULL) ? 0 : -BCT_EIO;
	if (!rc)
		rc = start_worker(c, &c->store_worker, run_store);
	if (!rc)
		rc = start_worker(c, &c->api_worker, run_api);
	if (rc) {
		bct_duty_calls_free(c);
		return rc;
	}
	*out = c;
	return 0;
}

static void stop_worker(worker_t *w)
{
	if (!w->calls)
		return;
	pthread_mutex_lock(&w->lock);
	w->stop = true;
	pthread_cond_signal(&w->wake);
	pthread_mutex_unlock(&w->lock);
	if (w->started)
		pthread_join(w->thread, NULL);
	pthread_cond_destroy(&w->wake);
	pthread_mutex_destroy(&w->lock);
}

void bct_duty_calls_free(bct_duty_calls_t *c)
{
	if (!c)
		return;
	c->control->ops->cancel(c->control);
	stop_worker(&c->store_worker);
	stop_worker(&c->api_worker);
	if (c->wake)
		event_free(c->wake);
	if (c->wake_fd >= 0)
		close(c->wake_fd);
	bct_buf_free(&c->store.record);
	bct_duty_report_free(&c->api.report);
	bct_free(c);
}

static worker_state_t state_of(worker_t *w)
{
	worker_state_t state;

	pthread_mutex_lock(&w->lock);
	state = w->state;
	pthread_mutex_unlock(&w->lock);
	return state;
}

static void set_state(worker_t *w, worker_state_t state)
{
	pthread_mutex_lock(&w->lock);
	w->state = state;
	if (state == WORKER_STARTED)
		pthread_cond_signal(&w->wake);
	pthread_mutex_unlock(&w->lock);
}

bct_duty_store_call_t *bct_duty_calls_store(bct_duty_calls_t *c)
{
	return state_of(&c->store_worker) == WORKER_IDLE ? &c->store : NULL;
}

bct_duty_api_call_t *bct_duty_calls_api(bct_duty_calls_t *c)
{
	return state_of(&c->api_worker) == WORKER_IDLE ? &c->api : NULL;
}

void bct_duty_calls_start_store(bct_duty_calls_t *c)
{
	set_state(&c->store_worker, WORKER_STARTED);
}

void bct_duty_calls_start_api(bct_duty_calls_t *c)
{
	set_state(&c->api_worker, WORKER_STARTED);
}

bct_duty_store_call_t *bct_duty_calls_done_store(bct_duty_calls_t *c)
{
	if (state_of(&c->store_worker) != WORKER_DONE)
		return NULL;
	set_state(&c->store_worker, WORKER_IDLE);
	return &c->store;
}

bct_duty_api_call_t *bct_duty_calls_done_api(bct_duty_calls_t *c)
{
	if (state_of(&c->api_worker) != WORKER_DONE)
		return NULL;
	set_state(&c->api_worker, WORKER_IDLE);
	return &c->api;
}
