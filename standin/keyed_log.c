/*
 * keyed_log.c - only the newest record of each key is kept.
 */
#include "standin/keyed_log.h"

#include "base/err.h"
#include "base/mem.h"

#include <stdlib.h>
#include <string.h>

#define OK 200
#define BAD_REQUEST 400
#define PRECONDITION_FAILED 412
#define LENGTH_BYTES 4
#define KEYS_MAX 64
#define LATE_MAX 64

typedef struct state {
	bct_keyed_record_t records[KEYS_MAX];
	uint32_t n;
	uint64_t end;
} state_t;

typedef struct late {
	uint64_t at;
	char *body;
	size_t body_bytes;
	bct_time_t due;
} late_t;

struct bct_keyed_log {
	state_t now;
	state_t saved;
	late_t late[LATE_MAX];
	uint32_t n_late;
};

int bct_keyed_log_new(bct_keyed_log_t **out)
{
	*out = bct_alloc(sizeof(**out));
	return *out ? 0 : -BCT_ENOMEM;
}

static void clear(state_t *s)
{
	for (uint32_t i = 0; i < s->n; i++)
		bct_free(s->records[i].value);
	memset(s, 0, sizeof(*s));
}

void bct_keyed_log_free(bct_keyed_log_t *l)
{
	if (!l)
		return;
	clear(&l->now);
	clear(&l->saved);
	for (uint32_t i = 0; i < l->n_late; i++)
		bct_free(l->late[i].body);
	bct_free(l);
}

/* Ends the program without memory, as a stand-in can't go on. */
static char *copy_of(const void *data, size_t len)
{
	char *copy = bct_alloc(len + 1);

	if (!copy)
		abort();
	if (len)
		memcpy(copy, data, len);
	return copy;
}

/* Finds or adds a key. returns NULL if there are too many. */
static bct_keyed_record_t *record_of(state_t *s, const char *key)
{
	bct_keyed_record_t *r;

	for (uint32_t i = 0; i < s->n; i++) {
		if (!strcmp(s->records[i].key, key))
			return &s->records[i];
	}
	if (s->n == KEYS_MAX)
		return NULL;
	r = &s->records[s->n++];
	memcpy(r->key, key, sizeof(r->key));
	return r;
}

/* Decodes the frame of one record. returns false if it is malformed or others follow. */
static bool decode(const unsigned char *b, size_t n, char key[256], size_t *value_at)
{
	size_t len, key_bytes;

	if (n < LENGTH_BYTES + 1)
		return false;
	len = (size_t)b[0] << 24 | (size_t)b[1] << 16 | (size_t)b[2] << 8 | b[3];
	key_bytes = b[LENGTH_BYTES];
	if (len != n - LENGTH_BYTES || 1 + key_bytes > len)
		return false;
	memset(key, 0, 256);
	memcpy(key, b + LENGTH_BYTES + 1, key_bytes);
	*value_at = LENGTH_BYTES + 1 + key_bytes;
	return true;
}

int bct_keyed_log_append(bct_keyed_log_t *l, uint64_t at, const void *body, size_t body_bytes,
			 uint64_t *offset)
{
	bct_keyed_record_t *r;
	char key[256];
	size_t value_at;

	if (!decode(body, body_bytes, key, &value_at))
		return BAD_REQUEST;
	if (at != BCT_KEYED_LOG_ANY && at != l->now.end)
		return PRECONDITION_FAILED;
	r = record_of(&l->now, key);
	if (!r)
		return BAD_REQUEST;
	bct_free(r->value);
	r->value_bytes = body_bytes - value_at;
	r->value = copy_of((const char *)body + value_at, r->value_bytes);
	r->offset = *offset = l->now.end++;
	return OK;
}

void bct_keyed_log_append_late(bct_keyed_log_t *l, uint64_t at, const void *body, size_t body_bytes,
			       bct_time_t due)
{
	if (l->n_late == LATE_MAX)
		return;
	l->late[l->n_late++] = (late_t){
		.at = at, .body = copy_of(body, body_bytes), .body_bytes = body_bytes, .due = due
	};
}

void bct_keyed_log_tick(bct_keyed_log_t *l, bct_time_t now)
{
	uint64_t offset;

	for (uint32_t i = 0; i < l->n_late;) {
		late_t late = l->late[i];

		if (late.due > now) {
			i++;
			continue;
		}
		l->late[i] = l->late[--l->n_late];
		bct_keyed_log_append(l, late.at, late.body, late.body_bytes, &offset);
		bct_free(late.body);
	}
}

uint64_t bct_keyed_log_end(const bct_keyed_log_t *l)
{
	return l->now.end;
}

const bct_keyed_record_t *bct_keyed_log_record(const bct_keyed_log_t *l, uint32_t i)
{
	return i < l->now.n ? &l->now.records[i] : NULL;
}

static void copy_state(state_t *to, const state_t *from)
{
	clear(to);
	*to = *from;
	for (uint32_t i = 0; i < to->n; i++)
		to->records[i].value =
			copy_of(from->records[i].value, from->records[i].value_bytes);
}

void bct_keyed_log_save(bct_keyed_log_t *l)
{
	copy_state(&l->saved, &l->now);
}

void bct_keyed_log_restore(bct_keyed_log_t *l)
{
	copy_state(&l->now, &l->saved);
}
