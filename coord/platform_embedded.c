/*
 * platform_embedded.c - log streams as arrays in memory, guarded by one mutex.
 */
#include "coord/platform_embedded.h"
#include "base/err.h"
#include "base/list.h"
#include "base/mem.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#define STREAM_NAME_BYTES 65
#define RECORD_MAX_BYTES (1024 * 1024)
#define WEIGHT_BYTES (1024 * 1024 * 1024ULL)

typedef struct entry {
	uint8_t *data;
	uint32_t len_bytes;
} entry_t;

typedef struct stream {
	bct_list_t link;
	char name[STREAM_NAME_BYTES];
	uint64_t oldest;  /* lowest offset still kept */
	uint64_t end;	  /* offset of the next append */
	entry_t *entries; /* entries[i] is offset oldest + i */
	uint64_t cap;	  /* allocated entries */
} stream_t;

typedef struct embedded {
	bct_platform_t base;
	pthread_mutex_t lock; /* guards the members below; innermost lock */
	pthread_cond_t appended;
	bct_embedded_fault_t fault;
	uint32_t max_records; /* per stream; 0: no limit */
	bct_list_t streams;
	bct_vm_list_t vms;
} embedded_t;

/*
 * Starts a call: applies the injected delay and takes the lock. The delay runs without the lock, so
 * that slow calls of several threads overlap as they do on a real platform.
 */
static embedded_t *begin_call(bct_platform_t *base)
{
	embedded_t *p = (embedded_t *)base;
	uint32_t delay_ms;

	pthread_mutex_lock(&p->lock);
	delay_ms = p->fault.delay_ms;
	pthread_mutex_unlock(&p->lock);
	if (delay_ms)
		bct_clock_sleep(delay_ms);
	pthread_mutex_lock(&p->lock);
	return p;
}

static void end_call(embedded_t *p)
{
	pthread_mutex_unlock(&p->lock);
}

static stream_t *find_stream(embedded_t *p, const char *name)
{
	bct_list_t *el;

	bct_list_for_each(el, &p->streams) {
		stream_t *s = bct_container_of(el, stream_t, link);

		if (!strcmp(s->name, name))
			return s;
	}
	return NULL;
}

/* returns the stream, which is created when it does not exist; NULL when memory ran out. */
static stream_t *find_or_add_stream(embedded_t *p, const char *name)
{
	stream_t *s = find_stream(p, name);

	if (s)
		return s;
	s = bct_alloc(sizeof(*s));
	if (!s)
		return NULL;
	snprintf(s->name, sizeof(s->name), "%s", name);
	bct_list_add_tail(&s->link, &p->streams);
	return s;
}

/* Drops the records below an offset. */
static void expire(stream_t *s, uint64_t below)
{
	uint64_t n, i, kept;

	if (below > s->end)
		below = s->end;
	if (below <= s->oldest)
		return;
	n = below - s->oldest;
	kept = s->end - below;
	for (i = 0; i < n; i++)
		bct_free(s->entries[i].data);
	memmove(s->entries, s->entries + n, kept * sizeof(*s->entries));
	s->oldest = below;
}

/* Makes room for one more record. */
static int grow(stream_t *s)
{
	uint64_t cap = s->cap ? s->cap * 2 : 16;
	entry_t *entries;

	if (s->end - s->oldest < s->cap)
		return 0;
	entries = bct_realloc(s->entries, cap * sizeof(*entries));
	if (!entries)
		return -BCT_ENOMEM;
	s->entries = entries;
	s->cap = cap;
	return 0;
}

/* Copies the record to the end of the stream and wakes the readers that wait for it. */
static int push_record(embedded_t *p, stream_t *s, const void *data, uint32_t len_bytes)
{
	uint8_t *copy;

	if (grow(s))
		return -BCT_EUNAVAILABLE;
	copy = bct_alloc(len_bytes ? len_bytes : 1);
	if (!copy)
		return -BCT_EUNAVAILABLE;
	if (len_bytes)
		memcpy(copy, data, len_bytes);
	s->entries[s->end - s->oldest] = (entry_t){ copy, len_bytes };
	s->end++;
	if (p->max_records && s->end - s->oldest > p->max_records)
		expire(s, s->end - p->max_records);
	pthread_cond_broadcast(&p->appended);
	return 0;
}

/* Decrements the counter of a fault. returns whether the fault applies to this call. */
static bool consume_fault(uint32_t *count)
{
	if (*count == 0)
		return false;
	(*count)--;
	return true;
}

static int append_locked(embedded_t *p, const char *name, const void *data, uint32_t len_bytes,
			 uint64_t *offset)
{
	stream_t *s;
	int rc;

	if (p->fault.outage)
		return -BCT_EUNAVAILABLE;
	if (consume_fault(&p->fault.lose_requests))
		return -BCT_EUNKNOWN_OUTCOME;
	s = find_or_add_stream(p, name);
	if (!s)
		return -BCT_EUNAVAILABLE;
	*offset = s->end;
	rc = push_record(p, s, data, len_bytes);
	if (rc)
		return rc;
	if (consume_fault(&p->fault.double_appends))
		push_record(p, s, data, len_bytes);
	return consume_fault(&p->fault.lose_answers) ? -BCT_EUNKNOWN_OUTCOME : 0;
}

static int embedded_append(bct_platform_t *base, const char *name, const void *data,
			   uint32_t len_bytes, uint32_t timeout_ms, uint64_t *offset)
{
	embedded_t *p;
	int rc;

	(void)timeout_ms;
	if (len_bytes > RECORD_MAX_BYTES)
		return -BCT_ETOO_LARGE;
	p = begin_call(base);
	rc = append_locked(p, name, data, len_bytes, offset);
	end_call(p);
	return rc;
}

/* End of the stream as readers see it, without the hidden records. */
static uint64_t visible_end(const embedded_t *p, const stream_t *s)
{
	uint64_t kept = s->end - s->oldest;

	return kept > p->fault.hidden_records ? s->end - p->fault.hidden_records : s->oldest;
}

/* Waits until the stream has a record at `from`, an outage is injected or wait_ms have passed. */
static void wait_for_record(embedded_t *p, const char *name, uint64_t from, uint32_t wait_ms)
{
	struct timespec deadline;

	bct_clock_deadline(wait_ms, &deadline);
	for (;;) {
		const stream_t *s = find_stream(p, name);

		if (p->fault.outage || (s && visible_end(p, s) > from))
			return;
		if (pthread_cond_timedwait(&p->appended, &p->lock, &deadline))
			return;
	}
}

/* Copies the records of [from, end) up to max_bytes, but the first one in any case. */
static int copy_records(const stream_t *s, uint64_t from, uint64_t end, uint32_t max_bytes,
			bct_records_t *out)
{
	uint64_t total = 0, at = from, i;
	uint8_t *to;

	while (at < end &&
	       (at == from || total + s->entries[at - s->oldest].len_bytes <= max_bytes))
		total += s->entries[at++ - s->oldest].len_bytes;
	out->next = at;
	if (at == from)
		return 0;
	out->records = bct_alloc((at - from) * sizeof(*out->records));
	out->store.data = bct_alloc(total + 1);
	if (!out->records || !out->store.data)
		return -BCT_ENOMEM;
	to = (uint8_t *)out->store.data;
	for (i = from; i < at; i++) {
		const entry_t *e = &s->entries[i - s->oldest];

		memcpy(to, e->data, e->len_bytes);
		out->records[out->n++] = (bct_record_t){ i, e->len_bytes, to };
		to += e->len_bytes;
	}
	return 0;
}

static int read_locked(embedded_t *p, const char *name, uint64_t from, uint32_t max_bytes,
		       uint32_t wait_ms, bct_records_t *out)
{
	const stream_t *s;

	if (wait_ms)
		wait_for_record(p, name, from, wait_ms);
	if (p->fault.outage)
		return -BCT_EUNAVAILABLE;
	s = find_stream(p, name);
	if (!s)
		return 0;
	out->oldest = s->oldest;
	if (from < s->oldest)
		return -BCT_EEXPIRED;
	out->next = visible_end(p, s);
	if (from >= out->next)
		return 0;
	return copy_records(s, from, out->next, max_bytes, out);
}

static int embedded_read(bct_platform_t *base, const char *name, uint64_t from, uint32_t max_bytes,
			 uint32_t wait_ms, uint32_t timeout_ms, bct_records_t *out)
{
	embedded_t *p = begin_call(base);
	uint64_t oldest;
	int rc;

	memset(out, 0, sizeof(*out));
	rc = read_locked(p, name, from, max_bytes, wait_ms < timeout_ms ? wait_ms : timeout_ms,
			 out);
	end_call(p);
	if (rc) {
		oldest = out->oldest;
		bct_records_free(out);
		out->oldest = oldest;
	}
	return rc;
}

static int embedded_vms(bct_platform_t *base, uint32_t timeout_ms, bct_vm_list_t *out)
{
	embedded_t *p = begin_call(base);
	int rc = 0;

	(void)timeout_ms;
	memset(out, 0, sizeof(*out));
	out->vms = bct_alloc((p->vms.n + 1) * sizeof(*out->vms));
	if (p->fault.outage || !out->vms) {
		rc = -BCT_EUNAVAILABLE;
	} else {
		out->revision = p->vms.revision;
		out->n = p->vms.n;
		if (out->n)
			memcpy(out->vms, p->vms.vms, out->n * sizeof(*out->vms));
	}
	end_call(p);
	if (rc)
		bct_vm_list_free(out);
	return rc;
}

static int embedded_weight(bct_platform_t *base, const char *name, uint32_t timeout_ms,
			   uint64_t *size)
{
	embedded_t *p = begin_call(base);
	bool outage = p->fault.outage;

	(void)name;
	(void)timeout_ms;
	end_call(p);
	*size = WEIGHT_BYTES;
	return outage ? -BCT_EUNAVAILABLE : 0;
}

static void embedded_destroy(bct_platform_t *base)
{
	embedded_t *p = (embedded_t *)base;
	bct_list_t *el, *tmp;

	bct_list_for_each_safe(el, tmp, &p->streams) {
		stream_t *s = bct_container_of(el, stream_t, link);

		expire(s, s->end);
		bct_free(s->entries);
		bct_free(s);
	}
	bct_vm_list_free(&p->vms);
	pthread_cond_destroy(&p->appended);
	pthread_mutex_destroy(&p->lock);
	bct_free(p);
}

static const bct_platform_ops_t embedded_ops = {
	.destroy = embedded_destroy,
	.append = embedded_append,
	.read = embedded_read,
	.vms = embedded_vms,
	.weight = embedded_weight,
};

int bct_platform_embedded_new(const bct_platform_embedded_opts_t *opts, bct_platform_t **out)
{
	embedded_t *p = bct_alloc(sizeof(*p));
	pthread_condattr_t attr;

	if (!p)
		return -BCT_ENOMEM;
	p->base.ops = &embedded_ops;
	pthread_mutex_init(&p->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&p->appended, &attr);
	pthread_condattr_destroy(&attr);
	bct_list_init(&p->streams);
	if (opts) {
		p->fault = opts->fault;
		p->max_records = opts->max_records;
	}
	*out = &p->base;
	return 0;
}

void bct_platform_embedded_set_fault(bct_platform_t *base, const bct_embedded_fault_t *fault)
{
	embedded_t *p = (embedded_t *)base;

	pthread_mutex_lock(&p->lock);
	p->fault = *fault;
	pthread_cond_broadcast(&p->appended);
	pthread_mutex_unlock(&p->lock);
}

bct_embedded_fault_t bct_platform_embedded_fault(bct_platform_t *base)
{
	embedded_t *p = (embedded_t *)base;
	bct_embedded_fault_t fault;

	pthread_mutex_lock(&p->lock);
	fault = p->fault;
	pthread_mutex_unlock(&p->lock);
	return fault;
}

void bct_platform_embedded_expire(bct_platform_t *base, const char *name, uint64_t below)
{
	embedded_t *p = (embedded_t *)base;
	stream_t *s;

	pthread_mutex_lock(&p->lock);
	s = find_stream(p, name);
	if (s)
		expire(s, below);
	pthread_mutex_unlock(&p->lock);
}

int bct_platform_embedded_set_vms(bct_platform_t *base, const bct_vm_t *vms, uint32_t n)
{
	embedded_t *p = (embedded_t *)base;
	bct_vm_t *copy = bct_alloc((n + 1) * sizeof(*copy));

	if (!copy)
		return -BCT_ENOMEM;
	if (n)
		memcpy(copy, vms, n * sizeof(*copy));
	pthread_mutex_lock(&p->lock);
	bct_free(p->vms.vms);
	p->vms.vms = copy;
	p->vms.n = n;
	p->vms.revision++;
	pthread_mutex_unlock(&p->lock);
	return 0;
}
