/*
 * tsan.h - annotations of memory ordering for the thread sanitizer, which cannot see the ordering
 * that Concurrency Kit's inline assembly establishes. In other builds they generate no code.
 */
#ifndef BCT_BASE_TSAN_H
#define BCT_BASE_TSAN_H

#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#define BCT_TSAN_RELEASE(addr) __tsan_release((void *)(addr))
#define BCT_TSAN_ACQUIRE(addr) __tsan_acquire((void *)(addr))
#else
#define BCT_TSAN_RELEASE(addr) ((void)(addr))
#define BCT_TSAN_ACQUIRE(addr) ((void)(addr))
#endif

#endif
