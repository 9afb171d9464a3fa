/* Creation, start, signal handling and shutdown of a daemon's components. */
#include "serve/daemon.h"

#include <curl/curl.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#include "api/api.h"
#include "error/error.h"
#include "log/log.h"
#include "metric/metric.h"
#include "os/exit_guard.h"
#include "os/heap.h"
#include "serve/answer_room.h"
#include "serve/batch_run.h"
#include "serve/crash_watch.h"
#include "serve/grants.h"
#include "serve/intents.h"
#include "serve/limiter.h"
#include "serve/poller.h"
#include "serve/reports.h"
#include "serve/routes.h"
#include "serve/timers.h"
#include "store/store_http.h"

enum {
	kStoreTimeoutMs = 2000,
	kWorkQueueMax = 1000,
	kTickMs = 10,
	kDrainPollMs = 20,
	kExitOk = 0,
	kExitFailed = 1,
};

uint64_t
daemon_unique_id(struct daemon *d)
{
	static uint64_t last;
	uint64_t n = __atomic_add_fetch(&last, 1, __ATOMIC_RELAXED);
	uint64_t seed = XXH3_64bits_withSeed(
	    d->set->peer_listen, strlen(d->set->peer_listen), d->incarnation);

	return XXH3_64bits_withSeed(&n, sizeof(n), seed);
}

void
daemon_record_store_state(struct daemon *d, bool is_up)
{
	int was_up = g_atomic_int_get(&d->is_store_up);

	if (was_up == (int)is_up)
		return;
	if (g_atomic_int_compare_and_exchange(&d->is_store_up, was_up, is_up))
		log_event(is_up ? kEvtStoreUp : kEvtStoreDown, NULL);
}

static bool
on_message(void *ctx, Sfpeer__Envelope *env)
{
	struct daemon *d = ctx;

	if (env->gossip != NULL)
		routes_on_gossip(d->routes, env->from, env->gossip);
	for (size_t i = 0; i < env->n_asks; i++)
		grants_on_request(d->grants, env->from, env->asks[i]);
	for (size_t i = 0; i < env->n_answers; i++)
		grants_on_answer(d->grants, env->from, env->answers[i]);
	for (size_t i = 0; i < env->n_grant_rates; i++)
		grants_on_rate(d->grants, env->grant_rates[i]);
	for (size_t i = 0; i < env->n_notes; i++)
		grants_on_notification(d->grants, env->from, env->notes[i]);
	for (size_t i = 0; i < env->n_limit_asks; i++)
		limiter_on_lease_request(
		    d->limiter, env->from, env->limit_asks[i]);
	for (size_t i = 0; i < env->n_limit_leases; i++)
		limiter_on_lease(d->limiter, env->limit_leases[i]);
	crash_watch_on_envelope(d->crashes, env);
	for (size_t i = 0; i < env->n_condemned; i++)
		limiter_quarantine(d->limiter, env->condemned[i], false);
	for (size_t i = 0; i < env->n_leaving_targets; i++)
		routes_set_leaving(
		    d->routes, env->leaving_targets[i], true, false);
	for (size_t i = 0; i < env->n_cancelled_jobs; i++)
		batch_runner_cancel(d->batch, env->cancelled_jobs[i]);
	if (env->config != NULL)
		poller_on_config_hint(d->poller, env->from, env->config);
	return false;
}

static void
on_tick(void *ctx)
{
	struct daemon *d = ctx;
	int64_t now_us = clock_mono_us(d->clk);

	routes_tick(d->routes);
	grants_tick(d->grants);
	crash_watch_tick(d->crashes);
	timers_run(d->timers, now_us);
	reports_tick(d, now_us);
}

static const struct peer_ops peer_ops = {on_message, on_tick};

static void
create_components(struct daemon *d)
{
	struct store_http_options store = {
	    d->set->platform_url, kStoreTimeoutMs};
	struct thread_pool_options workers = {
	    (int32_t)d->set->workers, kWorkQueueMax};

	d->store = store_http_new(&store);
	d->configs = config_holder_new();
	d->targets = target_client_new();
	d->timers = timers_new();
	d->workers = thread_pool_new(&workers);
	d->answers = answer_room_new(d->set->memory_mb);
	d->routes = routes_new(d);
	d->grants = grants_new(d);
	d->limiter = limiter_new(d);
	d->crashes = crash_watch_new(d);
	d->intents = intents_new(d);
	d->batch = batch_runner_new(d);
	d->poller = poller_new(d);
}

static bool
start_components(struct daemon *d, GError **err)
{
	struct peer_options opt = {
	    .address = d->set->peer_listen,
	    .tick_ms = kTickMs,
	    .ops = &peer_ops,
	    .ctx = d,
	};

	d->peer = peer_new(&opt, err);
	if (d->peer == NULL)
		return false;
	d->api = api_new(d, err);
	if (d->api == NULL)
		return false;
	peer_start(d->peer);
	poller_start(d->poller);
	return true;
}

static void
free_components(struct daemon *d, struct api_counts *counts)
{
	poller_stop(d->poller);
	if (d->api != NULL)
		api_free(d->api, counts);
	/* Its thread starts reports at targets. */
	if (d->peer != NULL)
		peer_stop(d->peer);
	target_client_free(d->targets);
	thread_pool_free(d->workers);
	intents_free(d->intents);
	timers_free(d->timers);
	batch_runner_free(d->batch);
	poller_free(d->poller);
	limiter_free(d->limiter);
	crash_watch_free(d->crashes);
	grants_free(d->grants);
	routes_free(d->routes);
	if (d->peer != NULL)
		peer_free(d->peer);
	config_holder_free(d->configs);
	store_http_free(d->store);
	/* Calls give back their memory when they are freed. */
	answer_room_free(d->answers);
}

void
daemon_drain(struct daemon *d)
{
	if (g_atomic_int_compare_and_exchange(&d->is_draining, 0, 1))
		kill(getpid(), SIGTERM);
}

bool
daemon_accepts(struct daemon *d, const struct drain_work *work)
{
	return !g_atomic_int_get(&d->has_drain_plan) ||
	    drain_plan_accepts(&d->drain, work, clock_mono_us(d->clk));
}

int64_t
daemon_drain_left_us(struct daemon *d)
{
	return g_atomic_int_get(&d->has_drain_plan)
	    ? drain_plan_left_us(&d->drain, clock_mono_us(d->clk))
	    : -1;
}

/*
 * Blocks SIGTERM and SIGINT in all threads; the main thread handles them with
 * sigwait.
 */
static void
block_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	pthread_sigmask(SIG_BLOCK, set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

static void
make_drain_plan(struct daemon *d)
{
	d->drain = drain_plan_make(clock_mono_us(d->clk),
	    d->set->drain_timeout_ms * kUsPerMs,
	    d->set->drain_notice_ms * kUsPerMs);
	g_atomic_int_set(&d->has_drain_plan, 1);
	g_atomic_int_set(&d->is_draining, 1);
	log_event(kEvtDrainStarted, "left_us",
	    log_number(daemon_drain_left_us(d)), NULL);
}

/*
 * Shuts down gracefully: reports unready first, while the load balancer may
 * still send requests; then releases batch leases and waits for active streams
 * to finish.
 */
static void
drain_and_leave(struct daemon *d)
{
	int64_t notice_us;

	make_drain_plan(d);
	batch_runner_stop(d->batch);
	notice_us = d->drain.accept_until_us - clock_mono_us(d->clk);
	if (notice_us > 0)
		g_usleep((gulong)notice_us);
	api_refuse_new(d->api);
	while (!api_is_quiet(d->api) && daemon_drain_left_us(d) > 0)
		g_usleep(MIN(
		    kDrainPollMs * kUsPerMs, (gulong)daemon_drain_left_us(d)));
	api_give_up(d->api);
	routes_leave(d->routes);
	g_usleep(kDrainPollMs * kUsPerMs);
}

static void
log_stopped(void *ctx)
{
	const struct api_counts *counts = ctx;

	log_event(kEvtStopped, "open", log_number(counts->open), "unfinished",
	    log_number(counts->unfinished), "unread",
	    log_number(counts->unread), "cut", log_number(counts->cut), NULL);
}

int
daemon_run(struct settings *set)
{
	struct daemon d = {.set = set, .clk = clock_system()};
	struct api_counts counts = {0};
	GError *err = NULL;
	sigset_t signals;
	int sig;

	if (set->memory_mb > 0)
		heap_limit();
	block_signals(&signals);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	log_open(set->log_level, set->name);
	d.incarnation = (uint64_t)clock_wall_us(d.clk);
	create_components(&d);
	if (!start_components(&d, &err)) {
		log_event(kEvtStartFailed, "error", err->message, NULL);
		fprintf(stderr, "savoryflow: %s\n", err->message);
		g_error_free(err);
		free_components(&d, &counts);
		return kExitFailed;
	}
	log_event(kEvtStarted, "listen", set->listen, "peer_listen",
	    set->peer_listen, NULL);
	sigwait(&signals, &sig);
	drain_and_leave(&d);
	/* Threads that wait for the store may take longer than the grace. */
	exit_guard_start(d.clk, d.drain.exit_us, log_stopped, &counts);
	free_components(&d, &counts);
	exit_guard_stop();
	log_stopped(&counts);
	log_close();
	curl_global_cleanup();
	return kExitOk;
}
