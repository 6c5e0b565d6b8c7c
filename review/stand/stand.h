/*
 * stand.h - stand-ins for a review case: a store, engines, clients, and the gateways themselves as
 * separate processes. One event loop runs all of them, so nothing here is locked.
 *
 * A case is a program that sets the system up, schedules its disruption with st_after(), runs the
 * loop, and judges what clients, engines and the platform saw.
 */
#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define ST_NODES_MAX 8
#define ST_ENGINES_MAX 8
#define ST_ID_BYTES 40
#define ST_ACCOUNTS 2

typedef struct st st_t;
typedef struct st_engine st_engine_t;

/* One request as an engine reads it. */
typedef struct st_req {
	st_engine_t *engine;
	struct bufferevent *bev; /* NULL: the channel has ended */
	char method[12];
	char path[160];
	char id[ST_ID_BYTES];
	char expected[ST_ID_BYTES]; /* X-Buckthornchute-Expected-Instance */
	char tenant[ST_ID_BYTES];
	long deadline_ms;
	long last_event_id; /* -1: none */
	size_t body_bytes;
	int64_t at;
} st_req_t;

struct st_engine {
	st_t *st;
	char id[ST_ID_BYTES];
	const char *service;
	const char *version;
	uint16_t port;
	int64_t born;
	uint64_t sequence;
	bool draining, absent; /* absent: it writes no entry */
	struct evconnlistener *listener;
	/* answers the request, now or later; takes ownership of r and ends with st_req_free() */
	void (*serve)(st_req_t *r);
	void *ctx;
};

typedef struct st_node {
	st_t *st;
	char ip[40];
	char settings[160], log[160];
	pid_t pid; /* 0: not running */
	bool keep_down;
	int64_t started_at;
} st_node_t;

/* What a client sends, and what it gets. */
typedef struct st_call {
	st_t *st;
	char id[ST_ID_BYTES];
	char method[12], path[160];
	const char *key, *extra; /* header lines with CRLF */
	const char *body;
	uint32_t deadline_ms;
	int node;
	int64_t sent_at, ended_at;
	int status; /* 0: no answer */
	bool complete;
	bool sealed;
	char engine[ST_ID_BYTES]; /* that the seal names */
	struct evbuffer *answer;
	struct bufferevent *bev;
	struct event *timer;
	void (*done)(struct st_call *c);
	void *ctx;
} st_call_t;

typedef struct st_record {
	char key[64];
	char *value;
	uint32_t value_bytes;
	bool removed;
} st_record_t;

/* A keyed topic: all of its records, and how many of the oldest a reader may still have. */
typedef struct st_topic {
	const char *name;
	st_record_t *records;
	uint32_t n, cap;
	uint32_t copy_n; /* its length in the copy that the store may come back from */
} st_topic_t;

struct st {
	struct event_base *base;
	FILE *record;
	char dir[96];
	char net[24];
	uint16_t port; /* of the gateways: this one and the seven above */
	uint16_t store_port, control_port;
	const char *program;
	const char *mode; /* TROUBLE of the environment: "0", "1", or a part of the disruption */
	bool trouble;
	int64_t began;
	st_node_t nodes[ST_NODES_MAX];
	int n_nodes;
	st_engine_t engines[ST_ENGINES_MAX];
	int n_engines;
	st_topic_t topics[3];
	uint64_t era;	  /* 0: not stated */
	bool store_down;  /* connections are reset */
	uint64_t version; /* of the configuration */
	bool with_duties;
	uint32_t window_ms;
	void (*write_config)(st_t *s, char *out, size_t size); /* JSON text */
	void (*on_append)(st_t *s, const char *topic);
	/* the control API; returns the status of the answer */
	int (*on_control)(st_t *s, const char *path, const char *holder, uint64_t fence,
			  const char *body);
	uint32_t calls;
};

int64_t st_now(void);	   /* ms, steady */
int64_t st_wall(void);	   /* ms since 1970 */
void st_note(st_t *s, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

/* st_init(3): reads TROUBLE and GATE from the environment; record.txt is opened in the folder. */
void st_init(st_t *s, const char *folder);
void st_store_start(st_t *s);
void st_control_start(st_t *s);
void st_put(st_t *s, const char *topic, const char *key, const char *value, uint32_t bytes);
void st_remove(st_t *s, const char *topic, const char *key);
void st_write_config(st_t *s);
/* st_copy(3), st_restore(3): makes a copy of the store, and returns from it with the next era. */
void st_copy(st_t *s);
void st_restore(st_t *s);
st_engine_t *st_engine_new(st_t *s, const char *id, const char *service, const char *version,
			   void (*serve)(st_req_t *r));
void st_engine_write(st_engine_t *e);
/* st_answer(3): a whole answer with the engine's seal. */
void st_answer(st_req_t *r, int status, const char *headers, const char *body);
void st_req_free(st_req_t *r);
void st_node_add(st_t *s);
void st_node_start(st_node_t *n);
void st_nodes_kill(st_t *s);
/* st_call(3): sends a request to a gateway on a channel of its own. */
st_call_t *st_call(st_t *s, int node, const char *method, const char *path, const char *key,
		   const char *extra, const char *body, uint32_t deadline_ms,
		   void (*done)(st_call_t *c));
void st_call_free(st_call_t *c);
void st_after(st_t *s, int64_t ms, void (*fn)(void *ctx), void *ctx);
void st_stop(st_t *s);
/* st_end(3): ends all processes and removes the folder. returns code */
int st_end(st_t *s, int code);

#endif
