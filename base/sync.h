/*
 * sync.h - reference counts, and what the thread sanitizer cannot see of Concurrency Kit.
 *
 * Concurrency Kit's atomics are inline assembly, so the sanitizer knows nothing of the order that
 * they make between threads. The two macros tell it; elsewhere they are nothing.
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

/* bct_ref_get(3): one more reference. */
static inline void bct_ref_get(uint32_t *refs)
{
	ck_pr_inc_32(refs);
}

/* bct_ref_put(3): one less. returns true for the last, and then all that others did is seen. */
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
