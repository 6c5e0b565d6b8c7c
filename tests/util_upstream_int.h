/*
 * util_upstream_int.h - what the files of the scripted upstreams share.
 */
#ifndef BCT_TESTS_UTIL_UPSTREAM_INT_H
#define BCT_TESTS_UTIL_UPSTREAM_INT_H

#include "tests/util_gate.h"

#define HEAD "X-Buckthornchute-"
#define SEAL HEAD "Server-Seal: s\r\n"
#define NOT_RUN HEAD "Not-Executed: 1\r\n"
#define SLOW_EVENT_MS 550 /* between events of "streamslow" */
#define QUIET_MS 3000	  /* how long a silent upstream keeps its connection open */

/* Copies the value of a header, empty if there is none. */
void upstream_get_header(const char *head, const char *name, char *out, size_t size);
void upstream_put(int fd, const char *text);
/* Sends the head, then the same text again and again until the gateway closes the connection. */
void upstream_send_without_end(int fd, const char *head, const char *again);
/* Waits up to ms for the gateway to close the connection. Returns whether it did. */
bool upstream_wait_closed(int fd, uint32_t ms);
/* The connection is reset when it is closed. */
void upstream_reset(int fd);
/* Ends the upstream: from now on connections to it are refused. */
void upstream_die(gate_upstream_t *u);

/* util_stream.c */
/* Sends the events after the request's Last-Event-Id. Returns whether the connection stays open. */
bool upstream_stream(gate_upstream_t *u, int fd, const char *action, const gate_run_t *run);
/* Sends a stream without chunks that ends with its connection, or inside an event. */
void upstream_stream_unframed(int fd, const char *action, const gate_run_t *run);

#endif
