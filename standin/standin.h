/*
 * standin.h - common part of the stand-ins, which simulate the router's back ends and platform:
 * options, one HTTP server thread (epoll), one timer thread and the admin endpoint that sets
 * faults.
 *
 * A stand-in fills in a bct_fake_t and calls bct_fake_main(). One lock guards all its state: it is
 * held while any function of bct_fake_ops_t runs. The other functions are called from these.
 */
#ifndef BCT_STANDIN_STANDIN_H
#define BCT_STANDIN_STANDIN_H

#include "base/buf.h"
#include "base/clock.h"
#include "base/list.h"

#include <jansson.h>
#include <microhttpd.h>
#include <popt.h>
#include <stdbool.h>
#include <stdint.h>

/* A number, mostly a fault, that POST /admin/fault {"NAME": VALUE} sets. */
typedef struct bct_fake_fault {
	const char *name;
	int64_t *value;
} bct_fake_fault_t;

/* One HTTP request. The body is complete when handle() is first called. */
typedef struct bct_fake_req {
	bct_list_t link; /* in the list of all requests */
	struct MHD_Connection *conn;
	const char *method;
	char *path;
	bct_buf_t body;
	bct_buf_t out;	   /* stream bytes not yet passed to MHD */
	int fd;		   /* socket of the connection */
	bct_time_t due_ms; /* bct_fake_wait(): when to call handle() again */
	bool body_complete;
	bool suspended; /* MHD does not process the connection */
	bool streaming; /* the answer is an event stream */
	bool ended;	/* no more stream bytes will follow */
	bool truncated; /* close the connection after the bytes in out, without ending the answer */
	bool disconnected; /* the caller disconnected, or the answer is given up */
	/* For the stand-in's own use; 0 or NULL at first. */
	uint32_t step;		/* state of the request's processing */
	bct_time_t deadline_ms; /* monotonic */
	int64_t value;
	void *user;
} bct_fake_req_t;

typedef struct bct_fake_ops {
	/* Runs once the options are parsed; false: an option is out of range. May be NULL. */
	bool (*ready)(void);
	/* Answers a request with bct_fake_reply() or _stream(), or delays it with _wait(). */
	enum MHD_Result (*handle)(bct_fake_req_t *req);
	/* Does the work that is due; returns when to call it again. May be NULL. */
	bct_time_t (*tick)(bct_time_t now);
	/* The request ended, answered or not: drop all references to it. May be NULL. */
	void (*done)(bct_fake_req_t *req);
	/* Runs after POST /admin/fault has set numbers. May be NULL. */
	void (*faults_changed)(void);
} bct_fake_ops_t;

typedef struct bct_fake {
	const bct_fake_ops_t *ops;
	const struct poptOption *options; /* of this stand-in, besides the common ones; or NULL */
	const bct_fake_fault_t *faults;	  /* ends with a NULL name */
} bct_fake_t;

/*
 * bct_fake_main(3): serve until SIGTERM or SIGINT; prints "listening PORT" when ready.
 *
 * returns  the program's exit code: 0, 1 (could not listen), 2 (bad options)
 */
int bct_fake_main(const bct_fake_t *fake, int argc, const char **argv);

/* bct_fake_header(3), bct_fake_arg(3): get a header or query argument; NULL when absent. */
const char *bct_fake_header(bct_fake_req_t *req, const char *name);
const char *bct_fake_arg(bct_fake_req_t *req, const char *name);
int64_t bct_fake_arg_int(bct_fake_req_t *req, const char *name, int64_t fallback);

/* bct_fake_fault_consume(3): whether a "next N" fault applies to this request; decrements it. */
bool bct_fake_fault_consume(int64_t *count);

/* bct_fake_count(3): add 1 to a key of a table of numbers. */
void bct_fake_count(json_t *table, const char *key);

/* bct_fake_is(3): whether the request has this method and path. */
bool bct_fake_is(const bct_fake_req_t *req, const char *method, const char *path);

/*
 * bct_fake_reply(3): answer with JSON and repeat the request's Chute-Attempt header.
 *
 * body  consumed; NULL answers an empty object
 */
enum MHD_Result bct_fake_reply(bct_fake_req_t *req, uint32_t status, json_t *body);

/* bct_fake_reply_as(3): the same, with the given Chute-Attempt and Retry-After (NULL: none). */
enum MHD_Result bct_fake_reply_as(bct_fake_req_t *req, uint32_t status, json_t *body,
				  const char *attempt, const char *retry_after);

/* bct_fake_stream(3): answer 200 text/event-stream; send bytes with bct_fake_stream_put(). */
enum MHD_Result bct_fake_stream(bct_fake_req_t *req, const char *attempt);
void bct_fake_stream_put(bct_fake_req_t *req, const char *bytes);

/* bct_fake_stream_end(3): end the stream; truncate: reset the connection instead. */
void bct_fake_stream_end(bct_fake_req_t *req, bool truncate);

/*
 * bct_fake_wait(3): have handle() called again at due_ms, or at bct_fake_wake() if earlier.
 *
 * due_ms   monotonic milliseconds; BCT_TIME_NEVER: only at bct_fake_wake()
 * returns  the value that handle() must return
 */
enum MHD_Result bct_fake_wait(bct_fake_req_t *req, bct_time_t due_ms);
void bct_fake_wake(bct_fake_req_t *req);

/* bct_fake_wake_all(3): wake every waiting request whose answer is not a stream. */
void bct_fake_wake_all(void);

/* bct_fake_reset(3): close the connection with a TCP reset and no answer. */
enum MHD_Result bct_fake_reset(bct_fake_req_t *req);

/* bct_fake_reset_all(3): reset the connection of every request except those to /admin/. */
void bct_fake_reset_all(void);

/* bct_fake_kick(3): wake the timer thread to call tick(), because there is new work. */
void bct_fake_kick(void);

#endif
