/*
 * util_raw.h - a stand-in sends exactly the bytes that a test names, and ends its connection as the
 * test says. For answers that are malformed, or end early.
 */
#ifndef BCT_TESTS_UTIL_RAW_H
#define BCT_TESTS_UTIL_RAW_H

#include <pthread.h>
#include <stddef.h>
#include <stdint.h>

/* What follows the text. */
typedef enum raw_end {
	RAW_OPEN = 0,	/* the connection is kept for the next request */
	RAW_CLOSE,	/* an orderly end */
	RAW_RESET,	/* a reset, after what was sent has arrived */
	RAW_ABORT,	/* a reset at once, beside what was sent */
	RAW_READ,	/* the end of the answer; then all that still comes is read */
	RAW_LATE_RESET, /* the end of the answer; more bytes of the request are met by a reset */
	RAW_ENDLESS,	/* `again`, over and over until the peer closes */
	RAW_LONG,	/* `again`, RAW_LONG_BYTES of it or a little more, and then nothing */
	RAW_SILENT,	/* nothing until the peer closes, RAW_SILENT_MS at most */
} raw_end_t;

#define RAW_SILENT_MS 6000
#define RAW_LONG_BYTES 2500000

/* "@id" in the text stands for the id of the request. */
typedef struct raw_answer {
	const char *text;
	size_t len_bytes; /* 0: up to its NUL */
	raw_end_t end;
	const char *again;
} raw_answer_t;

/* Sends an answer and does what follows it, up to the close, which is the caller's. */
void test_raw_send(int fd, const raw_answer_t *a, const char *id);

/*
 * A server that answers the n-th connection with the n-th answer, all later ones with the last.
 * It serves any number of connections at once and runs until the test process ends.
 *
 * answers    n of them
 * id_header  of requests; its value replaces "@id"
 * skips      requests that begin so are closed without an answer, and do not count; NULL: none
 * returns    its port on 127.0.0.1
 */
uint16_t test_raw_serve(const raw_answer_t *answers, uint32_t n, const char *id_header,
			const char *skips);

#endif
