/* Event loop on epoll. */
#include "gateway/loop.h"

#include <glib.h>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "serve/timers.h"

enum {
	kEventsPerIteration = 64,
	/* Longest wait; timers and events end it earlier. */
	kWaitMaxMs = 1000,
	/* Functions that run at the end of each iteration. */
	kIterationFnsMax = 8,
};

struct watched {
	int fd;
	loop_io_fn fn;
	void *ctx;
	/** Kept until the iteration ends: events may still refer to it. */
	bool is_removed;
};

struct posted {
	loop_fn fn;
	void *ctx;
};

struct loop {
	const struct clock_source *clk;
	int epoll_fd;
	int event_fd;
	/** struct watched by descriptor. */
	GHashTable *watched;
	GPtrArray *removed;
	struct timers *timers;
	pthread_mutex_t lock;
	/** struct posted. */
	GArray *posted;
	bool is_stopping;
	bool is_wait_skipped;
	struct posted iteration_fns[kIterationFnsMax];
	int iteration_fn_count;
};

static void
drain_event_fd(void *ctx, uint32_t events)
{
	struct loop *lp = ctx;
	uint64_t n;
	ssize_t n_read = read(lp->event_fd, &n, sizeof(n));

	(void)n_read;
}

struct loop *
loop_new(const struct clock_source *clk)
{
	struct loop *lp = g_new0(struct loop, 1);

	lp->clk = clk;
	lp->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	lp->event_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	lp->watched = g_hash_table_new_full(NULL, NULL, NULL, NULL);
	lp->removed = g_ptr_array_new_with_free_func(g_free);
	lp->timers = timers_new();
	lp->posted = g_array_new(FALSE, FALSE, sizeof(struct posted));
	pthread_mutex_init(&lp->lock, NULL);
	loop_watch(lp, lp->event_fd, EPOLLIN, drain_event_fd, lp);
	return lp;
}

void
loop_free(struct loop *lp)
{
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, lp->watched);
	while (g_hash_table_iter_next(&it, NULL, &val))
		g_free(val);
	g_hash_table_unref(lp->watched);
	g_ptr_array_unref(lp->removed);
	timers_free(lp->timers);
	g_array_unref(lp->posted);
	pthread_mutex_destroy(&lp->lock);
	close(lp->event_fd);
	close(lp->epoll_fd);
	g_free(lp);
}

int64_t
loop_now_us(struct loop *lp)
{
	return clock_mono_us(lp->clk);
}

static void
wake(struct loop *lp)
{
	uint64_t one = 1;
	ssize_t n = write(lp->event_fd, &one, sizeof(one));

	/* A write that fails on a full counter is harmless: the loop wakes
	 * anyway. */
	(void)n;
}

void
loop_post(struct loop *lp, loop_fn fn, void *ctx)
{
	struct posted p = {fn, ctx};

	pthread_mutex_lock(&lp->lock);
	g_array_append_val(lp->posted, p);
	pthread_mutex_unlock(&lp->lock);
	wake(lp);
}

void
loop_stop(struct loop *lp)
{
	__atomic_store_n(&lp->is_stopping, true, __ATOMIC_RELEASE);
	wake(lp);
}

uint64_t
loop_timer(struct loop *lp, int64_t at_us, loop_fn fn, void *ctx)
{
	return timers_add(lp->timers, at_us, fn, ctx);
}

void
loop_timer_cancel(struct loop *lp, uint64_t id)
{
	if (id != 0)
		timers_cancel(lp->timers, id);
}

void
loop_watch(struct loop *lp, int fd, uint32_t events, loop_io_fn fn, void *ctx)
{
	struct watched *w =
	    g_hash_table_lookup(lp->watched, GINT_TO_POINTER(fd));
	struct epoll_event ev = {.events = events};
	int op = w != NULL ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;

	if (w == NULL) {
		w = g_new0(struct watched, 1);
		w->fd = fd;
		g_hash_table_insert(lp->watched, GINT_TO_POINTER(fd), w);
	}
	w->fn = fn;
	w->ctx = ctx;
	ev.data.ptr = w;
	epoll_ctl(lp->epoll_fd, op, fd, &ev);
}

void
loop_unwatch(struct loop *lp, int fd)
{
	struct watched *w =
	    g_hash_table_lookup(lp->watched, GINT_TO_POINTER(fd));

	if (w == NULL)
		return;
	epoll_ctl(lp->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
	g_hash_table_remove(lp->watched, GINT_TO_POINTER(fd));
	w->is_removed = true;
	g_ptr_array_add(lp->removed, w);
}

void
loop_on_iteration_end(struct loop *lp, loop_fn fn, void *ctx)
{
	if (lp->iteration_fn_count < kIterationFnsMax)
		lp->iteration_fns[lp->iteration_fn_count++] =
		    (struct posted){fn, ctx};
}

void
loop_skip_wait(struct loop *lp)
{
	lp->is_wait_skipped = true;
}

static void
run_posted(struct loop *lp)
{
	GArray *todo = NULL;

	pthread_mutex_lock(&lp->lock);
	if (lp->posted->len > 0) {
		todo = lp->posted;
		lp->posted = g_array_new(FALSE, FALSE, sizeof(struct posted));
	}
	pthread_mutex_unlock(&lp->lock);
	for (guint i = 0; todo != NULL && i < todo->len; i++) {
		const struct posted *p = &g_array_index(todo, struct posted, i);

		p->fn(p->ctx);
	}
	if (todo != NULL)
		g_array_unref(todo);
}

static int
wait_ms(struct loop *lp)
{
	int64_t next_us = timers_next_us(lp->timers);
	int64_t remaining_us;

	if (lp->is_wait_skipped)
		return 0;
	if (next_us < 0)
		return kWaitMaxMs;
	remaining_us = next_us - loop_now_us(lp);
	if (remaining_us <= 0)
		return 0;
	return (int)MIN((remaining_us + kUsPerMs - 1) / kUsPerMs, kWaitMaxMs);
}

static void
run_iteration(struct loop *lp)
{
	struct epoll_event events[kEventsPerIteration];
	int n =
	    epoll_wait(lp->epoll_fd, events, kEventsPerIteration, wait_ms(lp));

	/* A process that was stopped continues here. What arrived meanwhile is
	 * read before the timers that it would have restarted. */
	if (n < 0)
		n = epoll_wait(lp->epoll_fd, events, kEventsPerIteration, 0);
	lp->is_wait_skipped = false;
	for (int i = 0; i < n; i++) {
		struct watched *w = events[i].data.ptr;

		if (!w->is_removed)
			w->fn(w->ctx, events[i].events);
	}
	run_posted(lp);
	timers_run(lp->timers, loop_now_us(lp));
	for (int i = 0; i < lp->iteration_fn_count; i++)
		lp->iteration_fns[i].fn(lp->iteration_fns[i].ctx);
	g_ptr_array_set_size(lp->removed, 0);
}

void
loop_run(struct loop *lp)
{
	while (!__atomic_load_n(&lp->is_stopping, __ATOMIC_ACQUIRE))
		run_iteration(lp);
}

void
loop_run_once(struct loop *lp)
{
	loop_skip_wait(lp);
	run_iteration(lp);
}
