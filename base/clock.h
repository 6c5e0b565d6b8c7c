/*
 * clock.h - the one time type: milliseconds, signed, never mixed with other units.
 */
#ifndef BCT_BASE_CLOCK_H
#define BCT_BASE_CLOCK_H

#include <stdint.h>
#include <time.h>

typedef int64_t bct_time_t;

#define BCT_TIME_NEVER INT64_MAX
#define BCT_MS_PER_S 1000

/*
 * bct_clock_now(3): milliseconds of CLOCK_BOOTTIME, which also counts while the machine sleeps.
 *
 * returns  a time that never goes back within one boot
 */
bct_time_t bct_clock_now(void);

/*
 * bct_clock_wall(3): milliseconds since the epoch, for log lines and records only.
 *
 * returns  wall-clock time; it may jump, so no decision may rest on it
 */
bct_time_t bct_clock_wall(void);

/* bct_clock_sleep(3): let the calling thread sleep. */
void bct_clock_sleep(uint32_t ms);

/* bct_clock_deadline(3): CLOCK_MONOTONIC in so many milliseconds, for pthread_cond_timedwait(3). */
void bct_clock_deadline(uint32_t ms, struct timespec *out);

#endif
