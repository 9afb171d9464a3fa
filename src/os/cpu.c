/* CPU time of control threads. */
#include "os/cpu.h"

#include <time.h>

#include "metric/metric.h"
#include "os/clock.h"

void
cpu_account_control_thread(void)
{
	static __thread int64_t accounted_us;
	struct timespec ts;
	int64_t used_us;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	used_us = clock_ts_us(ts);
	metric_add(kMetControlCpuUs, used_us - accounted_us);
	accounted_us = used_us;
}
