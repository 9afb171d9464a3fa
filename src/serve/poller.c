/* Periodic work against the store, one thread per task. */
#include "serve/poller.h"

#include <inttypes.h>
#include <pthread.h>
#include <string.h>

#include "error/error.h"
#include "log/log.h"
#include "metric/metric.h"
#include "os/cpu.h"
#include "os/json_text.h"
#include "savoryflow/config/config_store.h"
#include "serve/batch_run.h"
#include "serve/limiter.h"
#include "serve/routes.h"

enum {
	/* Peers notified immediately of a new configuration. */
	kHintFanout = 4,
	/* A triggered poll is delayed by a random time of up to this value per
	 * daemon of the group, so that the daemons do not read the store at the
	 * same moment. */
	kSpreadUsPerDaemon = 2500,
	kSpreadMaxUs = kUsPerS,
	/* Jitter added to a task's period, in percent. */
	kJitterPercent = 20,
};

typedef void (*poller_fn)(struct poller *po);

struct poller_task {
	struct poller *po;
	poller_fn run;
	int64_t period_us;
	/** A triggered run is delayed by a random time. */
	bool is_spread;
	bool is_triggered;
	bool has_thread;
	pthread_t thread;
	pthread_cond_t wake;
};

enum task_index { kTaskConfig, kTaskBatch, kTaskVms, kTaskCount };

struct poller {
	struct daemon *d;
	pthread_mutex_t lock;
	bool is_stopping;
	struct poller_task tasks[kTaskCount];
	int64_t next_heartbeat_us;
	int64_t vms_cursor;
	bool has_loaded_quarantine;
	GRand *rand;
};

static int64_t
random_us(struct poller *po, int64_t max_us)
{
	return max_us > 0 ? (int64_t)(g_rand_double(po->rand) * (double)max_us)
			  : 0;
}

static void
send_hint(struct poller *po, const char *to, bool want_document)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__ConfigHint hint = SFPEER__CONFIG_HINT__INIT;

	hint.generation = (uint64_t)config_holder_generation(po->d->configs);
	hint.want_document = want_document;
	env.config = &hint;
	peer_send(po->d->peer, to, &env, kPeerControl);
}

void
poller_config_in_force(struct poller *po)
{
	GPtrArray *peers = routes_random_peers(po->d->routes, kHintFanout);
	int64_t generation = config_holder_generation(po->d->configs);
	char text[32];

	metric_set(kMetGeneration, generation);
	g_snprintf(text, sizeof(text), "%" PRId64, generation);
	log_event(kEvtConfigInForce, "generation", text, NULL);
	routes_config_changed(po->d->routes);
	for (guint i = 0; i < peers->len; i++)
		send_hint(po, peers->pdata[i], false);
	g_ptr_array_unref(peers);
	if (!g_atomic_int_get(&po->d->is_ready)) {
		g_atomic_int_set(&po->d->is_ready, 1);
		log_event(kEvtReady, "generation", text, NULL);
	}
}

/* Used while the store is unreachable: a peer may hold a configuration. */
static void
request_document_from_peer(struct poller *po)
{
	GPtrArray *peers = routes_random_peers(po->d->routes, 1);

	for (guint i = 0; i < peers->len; i++)
		send_hint(po, peers->pdata[i], true);
	g_ptr_array_unref(peers);
}

static void
poll_config(struct poller *po)
{
	int64_t before = config_holder_generation(po->d->configs);
	GError *err = NULL;
	bool is_up = config_store_catch_up(po->d->store, po->d->configs, &err);

	daemon_record_store_state(po->d, is_up);
	g_clear_error(&err);
	if (config_holder_generation(po->d->configs) > before)
		poller_config_in_force(po);
	if (!is_up)
		request_document_from_peer(po);
	if (is_up && !po->has_loaded_quarantine) {
		limiter_load_quarantined(po->d->limiter);
		po->has_loaded_quarantine = true;
	}
}

static void
poll_batch(struct poller *po)
{
	int64_t now_us = clock_mono_us(po->d->clk);

	if (now_us >= po->next_heartbeat_us) {
		po->next_heartbeat_us =
		    now_us + po->d->set->session_period_ms * kUsPerMs;
		batch_runner_heartbeat(po->d->batch);
	}
	batch_runner_poll(po->d->batch);
}

static void
poll_vms(struct poller *po)
{
	GPtrArray *vms = NULL;

	if (po->d->store->ops->vms(po->d->store->ctx, &po->vms_cursor, &vms) !=
	    kStoreOk)
		return;
	routes_on_vms(po->d->routes, vms);
	g_ptr_array_unref(vms);
}

/* Waits for a trigger or the end of the period. The lock is held. */
static void
wait_for_next_run(struct poller_task *task)
{
	struct poller *po = task->po;
	int64_t wait_us = task->period_us +
	    random_us(po, task->period_us * kJitterPercent / 100);
	struct timespec until;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_sec += wait_us / kUsPerS;
	until.tv_nsec += (long)(wait_us % kUsPerS) * kNsPerUs;
	if (until.tv_nsec >= kUsPerS * (long)kNsPerUs) {
		until.tv_nsec -= kUsPerS * (long)kNsPerUs;
		until.tv_sec++;
	}
	while (!task->is_triggered && !po->is_stopping)
		if (pthread_cond_timedwait(&task->wake, &po->lock, &until) != 0)
			break;
}

static void
sleep_random_delay(struct poller_task *task)
{
	struct poller *po = task->po;
	int64_t max_us = MIN(
	    (int64_t)routes_daemon_count(po->d->routes) * kSpreadUsPerDaemon,
	    kSpreadMaxUs);

	g_usleep((gulong)random_us(po, max_us));
}

static void *
poller_thread(void *arg)
{
	struct poller_task *task = arg;
	struct poller *po = task->po;

	pthread_mutex_lock(&po->lock);
	while (!po->is_stopping) {
		bool was_triggered = task->is_triggered;

		task->is_triggered = false;
		pthread_mutex_unlock(&po->lock);
		if (was_triggered && task->is_spread)
			sleep_random_delay(task);
		task->run(po);
		cpu_account_control_thread();
		pthread_mutex_lock(&po->lock);
		wait_for_next_run(task);
	}
	pthread_mutex_unlock(&po->lock);
	return NULL;
}

static void
task_init(struct poller *po, enum task_index index, poller_fn run,
    int64_t period_ms, bool is_spread)
{
	struct poller_task *task = &po->tasks[index];
	pthread_condattr_t attr;

	task->po = po;
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
	struct poller *po = g_new0(struct poller, 1);
	int64_t batch_ms =
	    MIN(d->set->batch_poll_ms, d->set->session_period_ms);

	po->d = d;
	po->rand = g_rand_new_with_seed((guint32)d->incarnation);
	pthread_mutex_init(&po->lock, NULL);
	task_init(po, kTaskConfig, poll_config, d->set->config_poll_ms, true);
	task_init(po, kTaskBatch, poll_batch, batch_ms, false);
	task_init(po, kTaskVms, poll_vms, d->set->vms_poll_ms, false);
	return po;
}

void
poller_start(struct poller *po)
{
	for (int i = 0; i < kTaskCount; i++) {
		po->tasks[i].has_thread = true;
		pthread_create(
		    &po->tasks[i].thread, NULL, poller_thread, &po->tasks[i]);
	}
}

void
poller_stop(struct poller *po)
{
	pthread_mutex_lock(&po->lock);
	po->is_stopping = true;
	for (int i = 0; i < kTaskCount; i++)
		pthread_cond_signal(&po->tasks[i].wake);
	pthread_mutex_unlock(&po->lock);
	for (int i = 0; i < kTaskCount; i++) {
		if (po->tasks[i].has_thread)
			pthread_join(po->tasks[i].thread, NULL);
		po->tasks[i].has_thread = false;
	}
}

void
poller_free(struct poller *po)
{
	for (int i = 0; i < kTaskCount; i++)
		pthread_cond_destroy(&po->tasks[i].wake);
	pthread_mutex_destroy(&po->lock);
	g_rand_free(po->rand);
	g_free(po);
}

static void
trigger(struct poller *po, enum task_index index)
{
	pthread_mutex_lock(&po->lock);
	po->tasks[index].is_triggered = true;
	pthread_cond_signal(&po->tasks[index].wake);
	pthread_mutex_unlock(&po->lock);
}

void
poller_trigger_config(struct poller *po)
{
	trigger(po, kTaskConfig);
}

void
poller_trigger_batch(struct poller *po)
{
	trigger(po, kTaskBatch);
}

static void
send_document(struct poller *po, const char *to)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__ConfigHint hint = SFPEER__CONFIG_HINT__INIT;
	struct config *cfg = config_holder_get(po->d->configs);
	char *text;

	if (cfg == NULL)
		return;
	text = json_dumps(cfg->doc, JSON_COMPACT);
	hint.generation = (uint64_t)cfg->generation;
	hint.document = text;
	env.config = &hint;
	peer_send(po->d->peer, to, &env, kPeerControl);
	free(text);
	config_unref(cfg);
}

static void
apply_document(struct poller *po, const Sfpeer__ConfigHint *hint)
{
	json_t *doc = json_text_load(hint->document);
	struct config *cfg = NULL;

	if (doc != NULL)
		cfg = config_new(doc, (int64_t)hint->generation, NULL);
	json_decref(doc);
	if (cfg == NULL)
		return;
	if (config_holder_offer(po->d->configs, cfg))
		poller_config_in_force(po);
	config_unref(cfg);
}

void
poller_on_config_hint(
    struct poller *po, const char *from, const Sfpeer__ConfigHint *hint)
{
	int64_t own = config_holder_generation(po->d->configs);

	if (hint->want_document && own > (int64_t)hint->generation)
		send_document(po, from);
	if ((int64_t)hint->generation <= own)
		return;
	if (hint->document != NULL && hint->document[0] != '\0')
		apply_document(po, hint);
	else if (g_atomic_int_get(&po->d->is_store_up))
		poller_trigger_config(po);
	else
		send_hint(po, from, true);
}
