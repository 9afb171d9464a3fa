/* The clock interface and the clock of the operating system. */
#include "os/clock.h"

static struct timespec
system_mono(void *ctx)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts;
}

static struct timespec
system_wall(void *ctx)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return ts;
}

static struct timespec
system_boot(void *ctx)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return ts;
}

static const struct clock_ops system_ops = {
    system_mono, system_wall, system_boot};
static const struct clock_source system_clock = {&system_ops, NULL};

const struct clock_source *
clock_system(void)
{
	return &system_clock;
}

int64_t
clock_ts_us(struct timespec ts)
{
	return (int64_t)ts.tv_sec * kUsPerS + ts.tv_nsec / kNsPerUs;
}

int64_t
clock_mono_us(const struct clock_source *clk)
{
	return clock_ts_us(clk->ops->mono(clk->ctx));
}

int64_t
clock_boot_us(const struct clock_source *clk)
{
	return clock_ts_us(clk->ops->boot(clk->ctx));
}

int64_t
clock_wall_us(const struct clock_source *clk)
{
	return clock_ts_us(clk->ops->wall(clk->ctx));
}
