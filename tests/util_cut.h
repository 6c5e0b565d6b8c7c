/*
 * util_cut.h - cuts single gateways of a test off from all upstreams. Callers and the other
 * gateways still reach them. Replaces connect(2) and writev(2) for the thread of a gateway that is
 * cut off.
 */
#ifndef BCT_TESTS_UTIL_CUT_H
#define BCT_TESTS_UTIL_CUT_H

#include "tests/util_gate.h"

typedef enum test_cut {
	TEST_CUT_NONE = 0,
	TEST_CUT_REFUSED, /* new connections are refused, open ones reset */
	TEST_CUT_HANGS,	  /* new connections hang; what is sent on open ones is lost */
	TEST_CUT_NEW,	  /* new connections are refused; open ones live on */
} test_cut_t;

/* Cuts gateway i of a fleet off from the upstreams of t[0], or ends that. */
void test_cut(test_gate_t *t, uint32_t i, test_cut_t how);

/* Connections to a port of any address lead to another one on 127.0.0.1, in all gateways. */
void test_cut_redirect(uint16_t from_port, uint16_t to_port);

#endif
