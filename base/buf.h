/*
 * buf.h - growable byte buffer. It keeps the error of a failed append, so that a caller can check
 * once after a series of appends.
 */
#ifndef BCT_BASE_BUF_H
#define BCT_BASE_BUF_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct bct_buf {
	char *data;	  /* owned; NULL before the first append */
	size_t len_bytes; /* without the terminating NUL */
	size_t cap_bytes;
	size_t max_bytes; /* limit of len_bytes; 0: no limit */
	int err;	  /* first error of an append, or 0 */
} bct_buf_t;

/* bct_buf_init(3): an empty buffer that allocates nothing yet. max_bytes 0: no limit. */
void bct_buf_init(bct_buf_t *b, size_t max_bytes);

/* bct_buf_free(3): free the memory; the buffer is empty and may be used again. */
void bct_buf_free(bct_buf_t *b);

/*
 * bct_buf_put(3), bct_buf_puts(3), bct_buf_printf(3): append bytes, a string, formatted text.
 *
 * returns  0, -BCT_ENOMEM, or -BCT_ETOO_LARGE if max_bytes would be exceeded. After such a failure
 *          further appends do nothing and return the first error, which is kept in b->err. After
 *          the first append that succeeds, data is always NUL-terminated.
 */
int bct_buf_put(bct_buf_t *b, const void *data, size_t len_bytes);
int bct_buf_puts(bct_buf_t *b, const char *s);
int bct_buf_printf(bct_buf_t *b, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

/* bct_buf_consume(3): remove the first len_bytes bytes, or all if there are fewer. */
void bct_buf_consume(bct_buf_t *b, size_t len_bytes);

/* bct_buf_clear(3): remove the contents and reset the error; the memory is kept for reuse. */
void bct_buf_clear(bct_buf_t *b);

#endif
