/*
 * mem.c - the C heap with allocation failures that tests can inject.
 */
#include "base/mem.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* Allocations that still succeed before one fails; negative: none fails. */
static _Thread_local int64_t fail_after = -1;

static bool inject_failure(void)
{
	if (fail_after < 0)
		return false;
	return fail_after-- == 0;
}

void *bct_alloc(size_t size_bytes)
{
	return inject_failure() ? NULL : calloc(1, size_bytes);
}

void *bct_realloc(void *ptr, size_t size_bytes)
{
	return inject_failure() ? NULL : realloc(ptr, size_bytes);
}

char *bct_strdup(const char *s)
{
	size_t len = strlen(s) + 1;
	char *copy = bct_alloc(len);

	if (copy)
		memcpy(copy, s, len);
	return copy;
}

void bct_free(void *ptr)
{
	free(ptr);
}

void bct_mem_fail_after(int64_t n)
{
	fail_after = n;
}
