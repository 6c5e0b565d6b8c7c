/*
 * clock.c - reads the two system clocks that the project uses.
 */
#include "base/clock.h"

#include <time.h>

#define NS_PER_MS 1000000

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
