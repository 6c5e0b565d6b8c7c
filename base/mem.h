/*
 * mem.h - allocation with a fault point: tests make the n-th allocation of a thread fail.
 */
#ifndef BCT_BASE_MEM_H
#define BCT_BASE_MEM_H

#include <stddef.h>
#include <stdint.h>

/*
 * bct_alloc(3), bct_realloc(3), bct_strdup(3), bct_free(3): the heap as the library uses it.
 *
 * returns  memory (zeroed by bct_alloc), or NULL when there is none
 */
void *bct_alloc(size_t size_bytes);
void *bct_realloc(void *ptr, size_t size_bytes);
char *bct_strdup(const char *s);
void bct_free(void *ptr);

/*
 * bct_mem_fail_after(3): fail one allocation of the calling thread.
 *
 * n  how many allocations still succeed before the one that fails; negative turns it off
 */
void bct_mem_fail_after(int64_t n);

#endif
