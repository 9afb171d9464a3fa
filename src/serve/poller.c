/* Periodic work with the platform, one thread for each concern. */
#include "serve/poller.h"

#include <inttypes.h>
#include <pthread.h>
#include <string.h>

#include "error/error.h"
#include "log/log.h"
#include "metric/metric.h"
#include "os/cpu.h"
#include "savoryflow/config/config_store.h"
#include "serve/batch_run.h"
#include "serve/limiter.h"
#include "serve/routes.h"

enum {
	/* Peers that are told at once of a new configuration. */
	kHintFanout = 4,
	/* A kicked look is spread over so long for each daemon of the group,
	 * so that the platform is not read by all at the same moment. */
	kSpreadUsPerDaemon = 2500,
	kSpreadMostUs = kUsPerS,
	/* Part of its period by which a look may come late, in percent. */
	kJitterPercent = 20,
};

typedef void (*poller_fn)(struct poller *kp);

struct poller_task {
	struct poller *kp;
	poller_fn run;
	int64_t period_us;
	/** A kicked run is put off by a random time. */
	bool is_spread;
	bool is_kicked;
	bool has_thread;
	pthread_t thread;
	pthread_cond_t wake;
};

enum task_index { kTaskConfig, kTaskBatch, kTaskVms, kTaskCount };

struct poller {
	struct daemon *d;
	pthread_mutex_t lock;
	bool stopping;
	struct poller_task tasks[kTaskCount];
	int64_t next_beat_us;
	int64_t vms_cursor;
	bool condemned_loaded;
	GRand *rand;
};

static int64_t
random_us(struct poller *kp, int64_t most)
{
	return most > 0 ? (int64_t)(g_rand_double(kp->rand) * (double)most) : 0;
}

static void
send_hint(struct poller *kp, const char *to, bool want_document)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__ConfigHint hint = SFPEER__CONFIG_HINT__INIT;

	hint.generation = (uint64_t)config_holder_generation(kp->d->configs);
	hint.want_document = want_document;
	env.config = &hint;
	peer_send(kp->d->peer, to, &env, kPeerControl);
}

void
poller_config_in_force(struct poller *kp)
{
	GPtrArray *peers = routes_random_peers(kp->d->routes, kHintFanout);
	int64_t generation = config_holder_generation(kp->d->configs);
	char text[32];

	metric_set(kMetGeneration, generation);
	g_snprintf(text, sizeof(text), "%" PRId64, generation);
	log_event(kEvtConfigInForce, "generation", text, NULL);
	routes_config_changed(kp->d->routes);
	for (guint i = 0; i < peers->len; i++)
		send_hint(kp, peers->pdata[i], false);
	g_ptr_array_unref(peers);
	if (!g_atomic_int_get(&kp->d->is_ready)) {
		g_atomic_int_set(&kp->d->is_ready, 1);
		log_event(kEvtReady, "generation", text, NULL);
	}
}

/* The store is out: a peer may hold a configuration. */
static void
ask_peer_for_document(struct poller *kp)
{
	GPtrArray *peers = routes_random_peers(kp->d->routes, 1);

	for (guint i = 0; i < peers->len; i++)
		send_hint(kp, peers->pdata[i], true);
	g_ptr_array_unref(peers);
}

static void
run_config(struct poller *kp)
{
	int64_t before = config_holder_generation(kp->d->configs);
	GError *err = NULL;
	bool up = config_store_catch_up(kp->d->store, kp->d->configs, &err);

	daemon_record_store_state(kp->d, up);
	g_clear_error(&err);
	if (config_holder_generation(kp->d->configs) > before)
		poller_config_in_force(kp);
	if (!up)
		ask_peer_for_document(kp);
	if (up && !kp->condemned_loaded) {
		limiter_load_quarantined(kp->d->limiter);
		kp->condemned_loaded = true;
	}
}

static void
run_batch(struct poller *kp)
{
	int64_t now_us = clock_mono_us(kp->d->clk);

	if (now_us >= kp->next_beat_us) {
		kp->next_beat_us =
		    now_us + kp->d->set->session_period_ms * kUsPerMs;
		batch_runner_heartbeat(kp->d->batch);
	}
	batch_runner_poll(kp->d->batch);
}

static void
run_vms(struct poller *kp)
{
	GPtrArray *vms = NULL;

	if (kp->d->store->ops->vms(kp->d->store->ctx, &kp->vms_cursor, &vms) !=
	    kStoreOk)
		return;
	routes_on_vms(kp->d->routes, vms);
	g_ptr_array_unref(vms);
}

/* Waits for a kick or the end of the period. The lock is held. */
static void
wait_for_turn(struct poller_task *task)
{
	struct poller *kp = task->kp;
	int64_t wait_us = task->period_us +
	    random_us(kp, task->period_us * kJitterPercent / 100);
	struct timespec until;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_sec += wait_us / kUsPerS;
	until.tv_nsec += (long)(wait_us % kUsPerS) * kNsPerUs;
	if (until.tv_nsec >= kUsPerS * (long)kNsPerUs) {
		until.tv_nsec -= kUsPerS * (long)kNsPerUs;
		until.tv_sec++;
	}
	while (!task->is_kicked && !kp->stopping)
		if (pthread_cond_timedwait(&task->wake, &kp->lock, &until) != 0)
			break;
}

static void
spread_out(struct poller_task *task)
{
	struct poller *kp = task->kp;
	int64_t most = MIN(
	    (int64_t)routes_daemon_count(kp->d->routes) * kSpreadUsPerDaemon,
	    kSpreadMostUs);

	g_usleep((gulong)random_us(kp, most));
}

static void *
poller_thread(void *arg)
{
	struct poller_task *task = arg;
	struct poller *kp = task->kp;

	pthread_mutex_lock(&kp->lock);
	while (!kp->stopping) {
		bool kicked = task->is_kicked;

		task->is_kicked = false;
		pthread_mutex_unlock(&kp->lock);
		if (kicked && task->is_spread)
			spread_out(task);
		task->run(kp);
		cpu_count_control();
		pthread_mutex_lock(&kp->lock);
		wait_for_turn(task);
	}
	pthread_mutex_unlock(&kp->lock);
	return NULL;
}

static void
task_init(struct poller *kp, enum task_index index, poller_fn run,
    int64_t period_ms, bool is_spread)
{
	struct poller_task *task = &kp->tasks[index];
	pthread_condattr_t attr;

	task->kp = kp;
	task->run = run;
	task->period_us = period_ms * kUsPerMs;
	task->is_spread = is_spread;
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&task->wake, &attr);
	pthread_condattr_destroy(&attr);
}

struct poller *
poller_new(struct daemon *d)
{
	struct poller *kp = g_new0(struct poller, 1);
	int64_t batch_ms =
	    MIN(d->set->batch_poll_ms, d->set->session_period_ms);

	kp->d = d;
	kp->rand = g_rand_new_with_seed((guint32)d->incarnation);
	pthread_mutex_init(&kp->lock, NULL);
	task_init(kp, kTaskConfig, run_config, d->set->config_poll_ms, true);
	task_init(kp, kTaskBatch, run_batch, batch_ms, false);
	task_init(kp, kTaskVms, run_vms, d->set->vms_poll_ms, false);
	return kp;
}

void
poller_start(struct poller *kp)
{
	for (int i = 0; i < kTaskCount; i++) {
		kp->tasks[i].has_thread = true;
		pthread_create(
		    &kp->tasks[i].thread, NULL, poller_thread, &kp->tasks[i]);
	}
}

void
poller_stop(struct poller *kp)
{
	pthread_mutex_lock(&kp->lock);
	kp->stopping = true;
	for (int i = 0; i < kTaskCount; i++)
		pthread_cond_signal(&kp->tasks[i].wake);
	pthread_mutex_unlock(&kp->lock);
	for (int i = 0; i < kTaskCount; i++) {
		if (kp->tasks[i].has_thread)
			pthread_join(kp->tasks[i].thread, NULL);
		kp->tasks[i].has_thread = false;
	}
}

void
poller_free(struct poller *kp)
{
	for (int i = 0; i < kTaskCount; i++)
		pthread_cond_destroy(&kp->tasks[i].wake);
	pthread_mutex_destroy(&kp->lock);
	g_rand_free(kp->rand);
	g_free(kp);
}

static void
kick(struct poller *kp, enum task_index index)
{
	pthread_mutex_lock(&kp->lock);
	kp->tasks[index].is_kicked = true;
	pthread_cond_signal(&kp->tasks[index].wake);
	pthread_mutex_unlock(&kp->lock);
}

void
poller_trigger_config(struct poller *kp)
{
	kick(kp, kTaskConfig);
}

void
poller_trigger_batch(struct poller *kp)
{
	kick(kp, kTaskBatch);
}

static void
send_document(struct poller *kp, const char *to)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__ConfigHint hint = SFPEER__CONFIG_HINT__INIT;
	struct config *cfg = config_holder_get(kp->d->configs);
	char *text;

	if (cfg == NULL)
		return;
	text = json_dumps(cfg->doc, JSON_COMPACT);
	hint.generation = (uint64_t)cfg->generation;
	hint.document = text;
	env.config = &hint;
	peer_send(kp->d->peer, to, &env, kPeerControl);
	free(text);
	config_unref(cfg);
}

static void
take_document(struct poller *kp, const Sfpeer__ConfigHint *hint)
{
	json_t *doc = json_loads(hint->document, 0, NULL);
	struct config *cfg = NULL;

	if (doc != NULL)
		cfg = config_new(doc, (int64_t)hint->generation, NULL);
	json_decref(doc);
	if (cfg == NULL)
		return;
	if (config_holder_offer(kp->d->configs, cfg))
		poller_config_in_force(kp);
	config_unref(cfg);
}

void
poller_on_config_hint(
    struct poller *kp, const char *from, const Sfpeer__ConfigHint *hint)
{
	int64_t own = config_holder_generation(kp->d->configs);

	if (hint->want_document && own > (int64_t)hint->generation)
		send_document(kp, from);
	if ((int64_t)hint->generation <= own)
		return;
	if (hint->document != NULL && hint->document[0] != '\0')
		take_document(kp, hint);
	else if (g_atomic_int_get(&kp->d->is_store_up))
		poller_trigger_config(kp);
	else
		send_hint(kp, from, true);
}
