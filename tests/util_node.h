/*
 * util_node.h - a node in the test process, stub upstreams, and raw HTTP exchanges with the node.
 */
#ifndef BCT_TESTS_UTIL_NODE_H
#define BCT_TESTS_UTIL_NODE_H

#include "base/buf.h"
#include "gen/settings.h"
#include "node/node.h"

#include <pthread.h>
#include <stdint.h>

/*
 * A stub upstream: accepts a connection, reads enough of the request line to recognise the node's
 * own polls, and closes it without an answer. It counts connections; the members that the thread
 * shares with the test are atomic.
 */
typedef struct stub {
	int fd;
	uint16_t port;
	uint32_t connections; /* not counting the node's own polls of an engine */
	uint32_t classifying; /* 1: a connection is accepted or read, and is not counted yet */
	uint32_t stop;	      /* 1: the thread must end */
	pthread_t thread;
} stub_t;

typedef struct test_node {
	bct_settings_t settings;
	bct_log_t *log;
	bct_node_t *node;
	stub_t engine;
	stub_t service;
	char conf_path[64];
} test_node_t;

#define TEST_TOKEN "demo-token-claims"

/*
 * Starts a node whose only engine and service are stubs.
 *
 * extra  further members for the settings object "caller", beginning with a comma, or ""
 */
void test_node_start(test_node_t *t, const char *extra);
/* The same with an engine and a service of the test's own at these ports; 0: the stub. */
void test_node_start_at(test_node_t *t, const char *extra, uint16_t engine_port,
			uint16_t service_port);
void test_node_stop(test_node_t *t);

/*
 * Connections that reached either stub, not counting the node's own GETs on /engine/v1/. Waits
 * until a connection that is being read has been counted or recognised as a poll.
 */
uint32_t test_upstream_connections(test_node_t *t);

/* Connects to a port on the loopback interface. Returns a descriptor, or -1 on failure. */
int test_connect(uint16_t port);

/* Sends bytes and reads until the peer closes, the answer is complete, or timeout_ms passed. */
void test_exchange(uint16_t port, const void *bytes, size_t len_bytes, int timeout_ms,
		   bct_buf_t *out);

/* The HTTP status of an answer; 0 if there is none. */
int test_status(const bct_buf_t *answer);

#endif
