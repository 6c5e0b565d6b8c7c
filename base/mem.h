/*
 * mem.h - memory allocation with fault injection: a test can make any allocation of a thread fail.
 */
#ifndef BCT_BASE_MEM_H
#define BCT_BASE_MEM_H

#include <stddef.h>
#include <stdint.h>

/*
 * bct_alloc(3), bct_realloc(3), bct_strdup(3), bct_free(3): as calloc(3), realloc(3),
 * strdup(3) and free(3), for all allocations of the library.
 *
 * returns  memory, zeroed by bct_alloc(3), or NULL if out of memory
 */
void *bct_alloc(size_t size_bytes);
void *bct_realloc(void *ptr, size_t size_bytes);
char *bct_strdup(const char *s);
void bct_free(void *ptr);

/*
 * bct_mem_fail_after(3): make one later allocation of the calling thread fail, for tests.
 *
 * n  allocations that still succeed before the one that fails; negative turns the fault off
 */
void bct_mem_fail_after(int64_t n);

#endif
