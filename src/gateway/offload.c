/* Runs blocking work for the event loop. */
#include "gateway/offload.h"

#include <glib.h>

struct offload {
	struct loop *lp;
	struct thread_pool *pool;
};

struct offload_task {
	struct offload *off;
	loop_fn work;
	loop_fn done;
	void *ctx;
};

struct offload *
offload_new(struct loop *lp, const struct thread_pool_options *opt)
{
	struct offload *off = g_new0(struct offload, 1);

	off->lp = lp;
	off->pool = thread_pool_new(opt);
	return off;
}

void
offload_free(struct offload *off)
{
	thread_pool_free(off->pool);
	g_free(off);
}

static void
run_task(void *ctx)
{
	struct offload_task *task = ctx;

	task->work(task->ctx);
	loop_post(task->off->lp, task->done, task->ctx);
	g_free(task);
}

bool
offload_run(struct offload *off, loop_fn work, loop_fn done, void *ctx)
{
	struct offload_task *task = g_new(struct offload_task, 1);

	*task = (struct offload_task){off, work, done, ctx};
	if (thread_pool_submit(off->pool, run_task, task))
		return true;
	g_free(task);
	return false;
}
