/*
 * sync.h - reference counts, and annotations of memory ordering for the thread sanitizer.
 *
 * Concurrency Kit's atomics are inline assembly, so the thread sanitizer does not see the ordering
 * that they establish between threads. BCT_HAPPENS_BEFORE() before a release and
 * BCT_HAPPENS_AFTER() after the matching acquire declare it; in other builds they generate no code.
 */
#ifndef BCT_BASE_SYNC_H
#define BCT_BASE_SYNC_H

#include <ck_pr.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __SANITIZE_THREAD__
void __tsan_acquire(void *addr);
void __tsan_release(void *addr);
#define BCT_HAPPENS_BEFORE(addr) __tsan_release((void *)(addr))
#define BCT_HAPPENS_AFTER(addr) __tsan_acquire((void *)(addr))
#else
#define BCT_HAPPENS_BEFORE(addr) ((void)(addr))
#define BCT_HAPPENS_AFTER(addr) ((void)(addr))
#endif

/* bct_ref_get(3): take a reference. */
static inline void bct_ref_get(uint32_t *refs)
{
	ck_pr_inc_32(refs);
}

/*
 * bct_ref_put(3): release a reference.
 *
 * returns  true if it was the last one; the caller then sees all writes that other threads made
 *          before they released theirs
 */
static inline bool bct_ref_put(uint32_t *refs)
{
	bool last;

	BCT_HAPPENS_BEFORE(refs);
	ck_pr_fence_release();
	ck_pr_dec_32_zero(refs, &last);
	if (last) {
		ck_pr_fence_acquire();
		BCT_HAPPENS_AFTER(refs);
	}
	return last;
}

#endif
