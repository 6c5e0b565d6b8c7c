/*
 * buf.c - growable byte buffer.
 */
#include "base/buf.h"
#include "base/err.h"
#include "base/mem.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define BUF_MIN_BYTES 256 /* first allocation; doubled from there */

void bct_buf_init(bct_buf_t *b, size_t max_bytes)
{
	memset(b, 0, sizeof(*b));
	b->max_bytes = max_bytes;
}

void bct_buf_free(bct_buf_t *b)
{
	bct_free(b->data);
	bct_buf_init(b, b->max_bytes);
}

/* Makes room for len_bytes more bytes and the terminating NUL; a failure is kept in b->err. */
static int buf_reserve(bct_buf_t *b, size_t len_bytes)
{
	size_t need = b->len_bytes + len_bytes + 1;
	size_t cap = b->cap_bytes ? b->cap_bytes : BUF_MIN_BYTES;
	char *data;

	if (b->err)
		return b->err;
	if (b->max_bytes && b->len_bytes + len_bytes > b->max_bytes) {
		b->err = -BCT_ETOO_LARGE;
		return b->err;
	}
	if (need <= b->cap_bytes)
		return 0;
	while (cap < need)
		cap *= 2;
	data = bct_realloc(b->data, cap);
	if (!data) {
		b->err = -BCT_ENOMEM;
		return b->err;
	}
	b->data = data;
	b->cap_bytes = cap;
	return 0;
}

int bct_buf_put(bct_buf_t *b, const void *data, size_t len_bytes)
{
	int rc = buf_reserve(b, len_bytes);

	if (rc)
		return rc;
	if (len_bytes)
		memcpy(b->data + b->len_bytes, data, len_bytes);
	b->len_bytes += len_bytes;
	b->data[b->len_bytes] = '\0';
	return 0;
}

int bct_buf_puts(bct_buf_t *b, const char *s)
{
	return bct_buf_put(b, s, strlen(s));
}

int bct_buf_printf(bct_buf_t *b, const char *fmt, ...)
{
	va_list ap;
	int len, rc;

	va_start(ap, fmt);
	len = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (len < 0)
		return -BCT_EINVAL;
	rc = buf_reserve(b, (size_t)len);
	if (rc)
		return rc;
	va_start(ap, fmt);
	vsnprintf(b->data + b->len_bytes, (size_t)len + 1, fmt, ap);
	va_end(ap);
	b->len_bytes += (size_t)len;
	return 0;
}

void bct_buf_consume(bct_buf_t *b, size_t len_bytes)
{
	if (len_bytes > b->len_bytes)
		len_bytes = b->len_bytes;
	if (!len_bytes)
		return;
	memmove(b->data, b->data + len_bytes, b->len_bytes - len_bytes);
	b->len_bytes -= len_bytes;
	b->data[b->len_bytes] = '\0';
}

void bct_buf_clear(bct_buf_t *b)
{
	b->len_bytes = 0;
	b->err = 0;
	if (b->data)
		b->data[0] = '\0';
}
