/*
 * clock.c - boot-time clock, wall clock, and deadlines of condition variables.
 */
#include "base/clock.h"

#define NS_PER_MS 1000000L
#define NS_PER_S (BCT_MS_PER_S * NS_PER_MS)

static bct_time_t read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (bct_time_t)ts.tv_sec * BCT_MS_PER_S + ts.tv_nsec / NS_PER_MS;
}

bct_time_t bct_clock_now(void)
{
	return read_clock(CLOCK_BOOTTIME);
}

bct_time_t bct_clock_wall(void)
{
	return read_clock(CLOCK_REALTIME);
}

void bct_clock_sleep(uint32_t ms)
{
	struct timespec ts = { ms / BCT_MS_PER_S, (long)(ms % BCT_MS_PER_S) * NS_PER_MS };

	nanosleep(&ts, NULL);
}

void bct_clock_deadline(uint32_t ms, struct timespec *out)
{
	clock_gettime(CLOCK_MONOTONIC, out);
	out->tv_sec += ms / BCT_MS_PER_S;
	out->tv_nsec += (long)(ms % BCT_MS_PER_S) * NS_PER_MS;
	if (out->tv_nsec >= NS_PER_S) {
		out->tv_nsec -= NS_PER_S;
		out->tv_sec++;
	}
}
