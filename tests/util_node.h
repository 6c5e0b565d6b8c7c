/*
 * util_node.h - a node inside the test process, a stub upstream that counts, and raw HTTP.
 */
#ifndef BCT_TESTS_UTIL_NODE_H
#define BCT_TESTS_UTIL_NODE_H

#include "base/buf.h"
#include "gen/settings.h"
#include "node/node.h"

#include <pthread.h>
#include <stdint.h>

/* Accepts connections, reads what they ask for and closes them; only the count matters. */
typedef struct stub {
	int fd;
	uint16_t port;
	uint32_t connections; /* but for the node's own polls of an engine */
	uint32_t classifying; /* one was accepted and its request line is being read */
	uint32_t stop;
	pthread_t thread;
} stub_t;

typedef struct test_node {
	bct_settings_t settings;
	bct_node_t *node;
	stub_t engine;
	stub_t service;
	char conf_path[64];
} test_node_t;

#define TEST_TOKEN "demo-token-claims"

/* Starts a node whose only engine and service are stubs. extra: members of "caller", or "". */
void test_node_start(test_node_t *t, const char *extra);
void test_node_stop(test_node_t *t);

/* Connections that reached either stub, but for the node's own GETs on /engine/v1/. */
uint32_t test_upstream_connections(test_node_t *t);

/* Connects to a port of this machine; -1 on failure. */
int test_connect(uint16_t port);

/* Sends bytes and reads until the other side closes, the answer is whole, or the time is up. */
void test_exchange(uint16_t port, const void *bytes, size_t len_bytes, int timeout_ms,
		   bct_buf_t *out);

/* The status of an answer; 0: none. */
int test_status(const bct_buf_t *answer);

#endif
