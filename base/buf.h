/*
 * buf.h - the one growable byte buffer. A failed append is remembered, so that a caller may
 * check once after a row of appends.
 */
#ifndef BCT_BASE_BUF_H
#define BCT_BASE_BUF_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct bct_buf {
	char *data;
	size_t len_bytes;
	size_t cap_bytes;
	size_t max_bytes; /* 0: no limit */
	int err;
} bct_buf_t;

void bct_buf_init(bct_buf_t *b, size_t max_bytes);
void bct_buf_free(bct_buf_t *b);

/*
 * bct_buf_put(3), bct_buf_puts(3), bct_buf_printf(3): append bytes, a string, formatted text.
 *
 * returns  0, -BCT_ENOMEM, or -BCT_ETOO_LARGE past max_bytes. After a failure nothing more is
 *          appended and b->err keeps the first error. data is always NUL-terminated once written.
 */
int bct_buf_put(bct_buf_t *b, const void *data, size_t len_bytes);
int bct_buf_puts(bct_buf_t *b, const char *s);
int bct_buf_printf(bct_buf_t *b, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

/* bct_buf_consume(3): drop bytes from the front; len_bytes is cut to what is there. */
void bct_buf_consume(bct_buf_t *b, size_t len_bytes);

/* bct_buf_clear(3): empty the buffer and forget an error; the memory is kept. */
void bct_buf_clear(bct_buf_t *b);

#endif
