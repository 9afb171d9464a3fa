/* Bounds the end of a process whose threads may wait for others. */
#include "os/exit_guard.h"

#include <glib.h>
#include <pthread.h>
#include <unistd.h>

struct exit_guard {
	const struct clock_source *clk;
	int64_t at_us;
	void (*last_fn)(void *ctx);
	void *ctx;
};

static gint is_stopped;

static void *
run_guard(void *arg)
{
	struct exit_guard *guard = arg;
	int64_t left_us = guard->at_us - clock_mono_us(guard->clk);

	if (left_us > 0)
		g_usleep((gulong)left_us);
	if (g_atomic_int_compare_and_exchange(&is_stopped, 0, 1)) {
		guard->last_fn(guard->ctx);
		_exit(0);
	}
	g_free(guard);
	return NULL;
}

void
exit_guard_start(const struct clock_source *clk, int64_t at_us,
    void (*last_fn)(void *ctx), void *ctx)
{
	struct exit_guard *guard = g_new(struct exit_guard, 1);
	pthread_t thread;

	*guard = (struct exit_guard){clk, at_us, last_fn, ctx};
	if (pthread_create(&thread, NULL, run_guard, guard) == 0)
		pthread_detach(thread);
	else
		g_free(guard);
}

void
exit_guard_stop(void)
{
	/* Once the guard ends the process, nothing is freed beside it. */
	if (!g_atomic_int_compare_and_exchange(&is_stopped, 0, 1))
		pause();
}
