/*
 * clock.h - the time type of the project: signed milliseconds, never mixed with other units.
 */
#ifndef BCT_BASE_CLOCK_H
#define BCT_BASE_CLOCK_H

#include <stdint.h>
#include <time.h>

/* A point in time or a duration, in ms. */
typedef int64_t bct_time_t;

#define BCT_TIME_NEVER INT64_MAX
#define BCT_MS_PER_S 1000

/*
 * bct_clock_now(3): the time of CLOCK_BOOTTIME, which also advances while the machine is suspended.
 *
 * returns  ms since boot; never decreases within one boot
 */
bct_time_t bct_clock_now(void);

/*
 * bct_clock_wall(3): the wall-clock time, for log lines and stored records only.
 *
 * returns  ms since the epoch; the clock may jump, so no decision may depend on it
 */
bct_time_t bct_clock_wall(void);

/* bct_clock_sleep(3): suspend the calling thread for ms milliseconds; a signal may end it early. */
void bct_clock_sleep(uint32_t ms);

/*
 * bct_clock_deadline(3): the CLOCK_MONOTONIC time ms milliseconds from now, for
 * pthread_cond_timedwait(3) on a condition variable that uses that clock.
 */
void bct_clock_deadline(uint32_t ms, struct timespec *out);

#endif
