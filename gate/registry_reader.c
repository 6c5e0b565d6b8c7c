/*
 * registry_reader.c - one call at a time; a request that comes meanwhile is kept.
 */
#include "gate/registry_reader.h"
#include "base/err.h"
#include "base/mem.h"

#include <pthread.h>

struct bct_registry_reader {
	bct_registry_reader_opts_t opts;
	pthread_t thread;
	bool started;
	pthread_mutex_t lock; /* guards the members up to stop */
	pthread_cond_t wake;
	bct_gate_poll_act_t due; /* the call to make */
	bool busy;		 /* one is in progress */
	bool stop;
	/* Used by the thread only. */
	bool listed;
	bct_gate_position_t next; /* to read changes from */
};

void bct_registry_result_free(bct_registry_result_t *r)
{
	bct_registry_batch_free(&r->batch);
	bct_free(r);
}

/*
 * Makes one call and passes its result on. returns whether the topic has to be listed now, as
 * changes expired or did not fit in the answer. A listing holds only the newest record of each
 * name, so that a node gets the newest one with one more call however far it is behind.
 */
static bool read_topic(bct_registry_reader_t *r)
{
	const bct_registry_reader_opts_t *o = &r->opts;
	const bct_registry_ops_t *ops = o->registry->ops;
	bct_registry_result_t *d = bct_alloc(sizeof(*d));
	bool list_next;
	int rc;

	if (!d)
		return false;
	bct_list_init(&d->link);
	d->topic = o->topic;
	d->started_at = bct_clock_now();
	d->listing = !r->listed;
	rc = d->listing ? ops->list(o->registry, o->topic, o->timeout_ms, &d->batch)
			: ops->changes(o->registry, o->topic, r->next, o->timeout_ms, &d->batch);
	d->rc = rc;
	if (!rc) {
		r->listed = true;
		r->next = d->batch.next;
	}
	list_next = rc == -BCT_EEXPIRED || (!rc && d->batch.more);
	if (list_next)
		r->listed = false;
	o->on_result(o->ctx, d);
	return list_next;
}

/* Waits until a call is due. returns false after bct_registry_reader_stop(3). */
static bool next_due(bct_registry_reader_t *r, bct_gate_poll_act_t *due)
{
	bool stop;

	pthread_mutex_lock(&r->lock);
	r->busy = false;
	while (!r->stop && !r->due)
		pthread_cond_wait(&r->wake, &r->lock);
	*due = r->due;
	r->due = BCT_GATE_POLL_NONE;
	r->busy = true;
	stop = r->stop;
	pthread_mutex_unlock(&r->lock);
	return !stop;
}

static void *run(void *arg)
{
	bct_registry_reader_t *r = arg;
	bct_gate_poll_act_t due;

	while (next_due(r, &due)) {
		if (due == BCT_GATE_POLL_LIST)
			r->listed = false;
		if (read_topic(r))
			read_topic(r);
	}
	return NULL;
}

int bct_registry_reader_new(const bct_registry_reader_opts_t *opts, bct_registry_reader_t **out)
{
	bct_registry_reader_t *r = bct_alloc(sizeof(*r));

	if (!r)
		return -BCT_ENOMEM;
	r->opts = *opts;
	pthread_mutex_init(&r->lock, NULL);
	pthread_cond_init(&r->wake, NULL);
	r->started = !pthread_create(&r->thread, NULL, run, r);
	if (!r->started) {
		bct_registry_reader_free(r);
		return -BCT_EIO;
	}
	*out = r;
	return 0;
}

void bct_registry_reader_free(bct_registry_reader_t *r)
{
	if (!r)
		return;
	bct_registry_reader_stop(r);
	if (r->started)
		pthread_join(r->thread, NULL);
	pthread_cond_destroy(&r->wake);
	pthread_mutex_destroy(&r->lock);
	bct_free(r);
}

void bct_registry_reader_stop(bct_registry_reader_t *r)
{
	pthread_mutex_lock(&r->lock);
	r->stop = true;
	pthread_cond_signal(&r->wake);
	pthread_mutex_unlock(&r->lock);
}

void bct_registry_reader_call(bct_registry_reader_t *r, bct_gate_poll_act_t act)
{
	pthread_mutex_lock(&r->lock);
	r->due = act;
	pthread_cond_signal(&r->wake);
	pthread_mutex_unlock(&r->lock);
}

bool bct_registry_reader_busy(bct_registry_reader_t *r)
{
	bool busy;

	pthread_mutex_lock(&r->lock);
	busy = r->busy || r->due;
	pthread_mutex_unlock(&r->lock);
	return busy;
}
