/*
 * crowd_watch.h - what a process holds, seen from outside: its resident memory, the bytes that the
 * kernel holds in its sockets, and its open descriptors.
 */
#ifndef BCT_TESTS_CROWD_WATCH_H
#define BCT_TESTS_CROWD_WATCH_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

typedef struct crowd_usage {
	uint64_t resident_bytes;
	/* Received and not read, or written and not acknowledged; also of connections that wait to
	 * be accepted. */
	uint64_t kernel_bytes;
	uint32_t descriptors;
} crowd_usage_t;

/* crowd_watch(3): returns false if there is no such process (any more). */
bool crowd_watch(pid_t pid, crowd_usage_t *out);

#endif
