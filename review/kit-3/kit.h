/*
 * kit.h - stand-ins of the store, of engines and of clients for the cases of review 3, and the
 * gateways as processes. All addresses are loopback addresses.
 */
#ifndef REVIEW_KIT_3_H
#define REVIEW_KIT_3_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define KIT_TEXT 16384
#define KIT_ENGINES 16
#define KIT_NODES 8

/* What happened is written to record.txt, each line with the time since the start in seconds. */
void kit_open(const char *record);
void kit_note(const char *format, ...) __attribute__((format(printf, 1, 2)));
double kit_now(void);
void kit_sleep(double seconds);
bool kit_trouble(void); /* false: TROUBLE=0 */
/* The case couldn't run: ends all processes and exits with 2. */
void kit_fail(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Ends all processes and the program. */
void kit_exit(int status);

/* The platform's store: a log with keyed topics. */
void kit_store_start(void);
/* value NULL: removes the key. */
void kit_store_put(const char *topic, const char *key, size_t key_bytes, const char *value);
/* false: every call is answered 503 */
void kit_store_up(bool up);
const char *kit_store_address(void);

/* A request as an engine got it. */
typedef struct kit_request {
	char method[16], target[512], id[64], key[64], tenant[64], instance[64], prefix[256];
	bool resumes;
	unsigned long after_event;
	char body[KIT_TEXT];
	size_t body_bytes;
} kit_request_t;

typedef struct kit_engine kit_engine_t;

/* Answers a request on fd; returns whether the connection is kept. */
typedef bool kit_answer_fn(kit_engine_t *e, const kit_request_t *r, int fd);

struct kit_engine {
	char id[64], service[64], version[32];
	int port;
	bool up, registers, draining;
	long born;
	unsigned sequence;
	kit_answer_fn *answer;
	/* internal */
	int listener;
	unsigned life; /* rises with each crash */
	int fds[256];
	unsigned n_fds;
};

/* Starts an engine that listens and, if it registers, writes its entry each 1.2 s, at once first.
 * born_ago_ms: 0 */
kit_engine_t *kit_engine_start(const char *id, const char *service, const char *version,
			       kit_answer_fn *answer);
/* Its process ends: all its connections are reset and its address refuses. It sends nothing more
 * to the store. */
void kit_engine_crash(kit_engine_t *e);
/* It starts again at the same address. The entry is written first after first_beat_s. */
void kit_engine_restart(kit_engine_t *e, const char *id, const char *version, double first_beat_s);
/* Writes its entry now. */
void kit_engine_report(kit_engine_t *e);
bool kit_send(int fd, const char *text, size_t bytes);
/* A whole answer of an engine. */
bool kit_engine_reply(const kit_request_t *r, int fd, const char *body);

/* A gateway: a process with the command of the deploy file. */
void kit_nodes_init(int n);
void kit_node_start(int i);
void kit_node_signal(int i, int sig);
/* Waits for its end; returns whether it came in time. */
bool kit_node_wait(int i, double seconds);
bool kit_node_ready(int i);
double kit_node_since(int i); /* when it was started last; it is up */
bool kit_node_up(int i);

/* What a client got. */
typedef struct kit_answer {
	int status; /* 0: none */
	bool complete;
	char head[4096];
	char body[KIT_TEXT * 2];
	size_t body_bytes;
} kit_answer_t;

typedef struct kit_call {
	const char *method, *target, *body, *headers; /* headers: further lines, each with \r\n */
	const char *id;
	int deadline_ms;
} kit_call_t;

/* Sends a request to a node on a new connection and reads the answer. */
void kit_client_call(int node, const kit_call_t *c, kit_answer_t *out);
void kit_new_id(char *out); /* 16 digits and a NUL */

#endif
