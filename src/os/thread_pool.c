/* Thread pool with a bounded queue. */
#include "os/thread_pool.h"

#include <glib.h>
#include <pthread.h>

struct task {
	thread_pool_task_fn fn;
	void *ctx;
};

struct thread_pool {
	pthread_mutex_t lock;
	pthread_cond_t wake;
	GQueue tasks;
	int32_t max_queued_tasks;
	bool is_stopping;
	int32_t thread_count;
	pthread_t *threads;
};

static void *
worker_thread(void *arg)
{
	struct thread_pool *pool = arg;

	for (;;) {
		struct task *task;

		pthread_mutex_lock(&pool->lock);
		while (g_queue_is_empty(&pool->tasks) && !pool->is_stopping)
			pthread_cond_wait(&pool->wake, &pool->lock);
		task = g_queue_pop_head(&pool->tasks);
		pthread_mutex_unlock(&pool->lock);
		if (task == NULL)
			return NULL;
		task->fn(task->ctx);
		g_free(task);
	}
}

struct thread_pool *
thread_pool_new(const struct thread_pool_options *opt)
{
	struct thread_pool *pool = g_new0(struct thread_pool, 1);

	pthread_mutex_init(&pool->lock, NULL);
	pthread_cond_init(&pool->wake, NULL);
	g_queue_init(&pool->tasks);
	pool->max_queued_tasks = opt->max_queued_tasks;
	pool->thread_count = opt->threads;
	pool->threads = g_new0(pthread_t, (gsize)opt->threads);
	for (int32_t i = 0; i < opt->threads; i++)
		pthread_create(&pool->threads[i], NULL, worker_thread, pool);
	return pool;
}

void
thread_pool_free(struct thread_pool *pool)
{
	pthread_mutex_lock(&pool->lock);
	pool->is_stopping = true;
	pthread_cond_broadcast(&pool->wake);
	pthread_mutex_unlock(&pool->lock);
	for (int32_t i = 0; i < pool->thread_count; i++)
		pthread_join(pool->threads[i], NULL);
	g_free(pool->threads);
	pthread_cond_destroy(&pool->wake);
	pthread_mutex_destroy(&pool->lock);
	g_free(pool);
}

bool
thread_pool_submit(struct thread_pool *pool, thread_pool_task_fn fn, void *ctx)
{
	struct task *task;
	bool is_queued;

	pthread_mutex_lock(&pool->lock);
	is_queued = !pool->is_stopping &&
	    (int32_t)g_queue_get_length(&pool->tasks) < pool->max_queued_tasks;
	if (is_queued) {
		task = g_new(struct task, 1);
		task->fn = fn;
		task->ctx = ctx;
		g_queue_push_tail(&pool->tasks, task);
		pthread_cond_signal(&pool->wake);
	}
	pthread_mutex_unlock(&pool->lock);
	return is_queued;
}
