/*
 * util_upstream.h - starts the scripted upstreams of gateway tests.
 */
#ifndef BCT_TESTS_UTIL_UPSTREAM_H
#define BCT_TESTS_UTIL_UPSTREAM_H

#include "tests/util_gate.h"

/* Starts an upstream of a service on a free port of the loopback interface. */
void test_upstream_start(test_gate_t *t, gate_upstream_t *u, const char *id, const char *service);

/* Starts an upstream that has ended again, at another address and, unless ids are kept, under
 * another id. */
void test_upstream_restart(gate_upstream_t *u);

#endif
