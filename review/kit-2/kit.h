/*
 * kit.h - stand-ins for the scripts of this review: the platform's store, engines, clients, and the
 * start and end of gateway processes. Everything listens on loopback addresses of its own.
 */
#ifndef REVIEW_KIT_H
#define REVIEW_KIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define KIT_NODES_MAX 12
#define KIT_TOPIC_SERVERS "keyed.servers"
#define KIT_TOPIC_OP "keyed.op"

/* Exit codes of a case. */
#define KIT_HELD 0
#define KIT_BROKEN 1
#define KIT_NOT_RUN 2

/* kit_init(3): opens record.txt in the folder of the case and chooses free addresses. */
void kit_init(const char *folder);
/* kit_finish(3): ends all processes, removes the temporary folder, and exits with the code. */
void kit_finish(int code) __attribute__((noreturn));
/* kit_trouble(3): false if TROUBLE=0, so that the case has to run without its disruption. */
bool kit_trouble(void);
/* kit_note(3): a line with the time in record.txt. */
void kit_note(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
int64_t kit_now_ms(void);
void kit_sleep_ms(int64_t ms);
/* kit_ip(3): an address of 127.0.0.0/8 for machine n; 0 is the platform. */
const char *kit_ip(int n);

/* A request as a stand-in received it. */
typedef struct kit_request {
	char method[16];
	char target[1024];
	char head[16384];
	char *body;
	size_t body_bytes;
	int fd;
	bool close; /* set by the handler: the connection ends after the answer */
} kit_request_t;

typedef void kit_handler_t(void *ctx, kit_request_t *r);

/* kit_header(3): copies the value of a header. returns false without it. */
bool kit_header(const char *head, const char *name, char *out, size_t out_bytes);
/* kit_write(3): returns false if the peer is gone. */
bool kit_write(int fd, const void *data, size_t bytes);
bool kit_printf(int fd, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

/* The platform's store: a log with keyed topics, as PROTOCOL.md describes it. */
void kit_store_start(void);
/* kit_store_put(3): appends a record; value NULL drops the key. returns when it was confirmed. */
int64_t kit_store_put(const char *topic, const void *key, size_t key_bytes, const char *value);
/* kit_store_down(3): while down, connections are reset. */
void kit_store_down(bool down);

/* An engine's entry in the store. */
typedef struct kit_engine {
	char id[32];
	char service[32];
	char version[16];
	char ip[32];
	int port;
	int slots;
	int64_t born_ms;
	const char *volatile state; /* "ready" or "draining" */
	volatile bool listed;	    /* writes its entry about every 1.2 s */
	volatile int sequence;
	int listener;
	kit_handler_t *handler; /* gets the engine as its context */
} kit_engine_t;

/* kit_engine_start(3): listens and lists itself; id, service, version and handler are set. */
void kit_engine_start(kit_engine_t *e, int machine, int port);
/* kit_engine_list(3): writes the entry at once. returns when the store confirmed it. */
int64_t kit_engine_list(kit_engine_t *e);
int64_t kit_engine_unlist(kit_engine_t *e);
/* kit_engine_crash(3): ends the engine; its entry stays until it is unlisted. */
void kit_engine_crash(kit_engine_t *e);
/* kit_engine_head(3): writes the headers of every answer, and more, which ends the head. */
bool kit_engine_head(kit_request_t *r, const char *status, const char *more);

/* Engines accept no new connections while this is set. */
extern volatile bool kit_accept_paused;
/* kit_engine_fill_queue(3): opens connections until the engine's queue of new ones is full. */
void kit_engine_fill_queue(kit_engine_t *e);
void kit_engine_empty_queue(kit_engine_t *e);
/* kit_engines_close_new(3): resets the connections that engines accepted since the queues were last
 * emptied. */
void kit_engines_close_new(void);

/* Gateway processes. */
typedef struct kit_node {
	char ip[32];
	char name[32];
	pid_t pid;
} kit_node_t;

extern kit_node_t kit_nodes[KIT_NODES_MAX];

/* kit_node_start(3): starts the gateway as the deploy file does, with its template filled in; its
 * seeds are the first nodes, up to three. */
void kit_node_start(int n, int nodes);
/* kit_node_start_seeds(3): the same with other seeds. */
void kit_node_start_seeds(int n, int first_seed, int seeds);
/* kit_node_settings(3): writes its settings file with new seeds, as the platform does. */
void kit_node_settings(int n, int first_seed, int seeds);
void kit_node_signal(int n, int sig);
/* kit_node_wait(3): until the process has ended. */
void kit_node_wait(int n);
/* kit_node_ready(3): asks the readiness address once. */
bool kit_node_ready(int n);
/* kit_wait_ready(3): until all are ready; ends the case with KIT_NOT_RUN after the time. */
void kit_wait_ready(int nodes, int64_t ms);

/* A client's connection and the answer to its last request. */
typedef struct kit_client {
	int fd; /* -1: not connected */
	int status; /* 0: no answer */
	bool complete;
	char head[16384];
	char body[65536];
	size_t body_bytes;
	char retry_after[16];
} kit_client_t;

typedef struct kit_call {
	const char *method;
	const char *path;
	const char *host;
	const char *key; /* API key; NULL: none */
	const char *id;
	const char *more; /* further header lines; NULL: none */
	const char *body;
	int64_t deadline_ms;
} kit_call_t;

void kit_client_init(kit_client_t *c);
void kit_client_close(kit_client_t *c);
/* kit_client_call(3): sends on the kept connection, or on a new one. returns the status or 0. */
int kit_client_call(kit_client_t *c, int node, const kit_call_t *call);
/* kit_new_id(3): an attempt id of 16 hexadecimal digits. */
void kit_new_id(char *out, size_t out_bytes);

#endif
