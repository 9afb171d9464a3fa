/* Team limits, retry budgets and quarantined requests, under one lock. */
#include "serve/limiter.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "log/log.h"
#include "savoryflow/limits/limits.h"
#include "savoryflow/retry/quarantine.h"
#include "serve/routes.h"
#include "store/scan.h"

#define QUARANTINE_PREFIX "condemned/"

enum {
	kQuarantineMax = 10000,
	/* Peers notified by each daemon that learns of a quarantine. */
	kQuarantineFanout = 8,
};

struct limiter {
	struct daemon *d;
	pthread_mutex_t lock;
	struct limit_owner *owner;
	struct limit_spender *spender;
	/** struct retry_budget by service. */
	GHashTable *budgets;
	/** Concurrent online requests by team. */
	GHashTable *running;
	struct quarantine *quarantine;
};

struct limiter *
limiter_new(struct daemon *d)
{
	struct limiter *lim = g_new0(struct limiter, 1);

	lim->d = d;
	pthread_mutex_init(&lim->lock, NULL);
	lim->owner = limit_owner_new();
	lim->spender = limit_spender_new();
	lim->budgets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	lim->running =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	lim->quarantine = quarantine_new(kQuarantineMax);
	return lim;
}

void
limiter_free(struct limiter *lim)
{
	limit_owner_free(lim->owner);
	limit_spender_free(lim->spender);
	g_hash_table_unref(lim->budgets);
	g_hash_table_unref(lim->running);
	quarantine_free(lim->quarantine);
	pthread_mutex_destroy(&lim->lock);
	g_free(lim);
}

static uint64_t
team_hash(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

static void
request_lease_from_owner(
    struct limiter *lim, const struct config_team *team, int32_t wanted)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__LimitAsk req = SFPEER__LIMIT_ASK__INIT;
	Sfpeer__LimitAsk *asks[] = {&req};
	char owner[kMemberAddressMax];

	req.team = team_hash(team->name);
	req.team_name = team->name;
	req.wanted = (uint32_t)wanted;
	routes_owner(lim->d->routes, team->name, owner);
	if (strcmp(owner, lim->d->set->peer_listen) == 0) {
		limiter_on_lease_request(lim, owner, &req);
		return;
	}
	env.n_limit_asks = 1;
	env.limit_asks = asks;
	peer_send(lim->d->peer, owner, &env, kPeerControl);
}

/*
 * Limits the daemon to an equal share of the team's concurrency, at least one.
 */
static bool
concurrency_acquire(
    struct limiter *lim, const struct config_team *team, int32_t daemons)
{
	int32_t share = MAX(team->concurrency / MAX(daemons, 1), 1);
	int32_t used =
	    GPOINTER_TO_INT(g_hash_table_lookup(lim->running, team->name));

	if (team->concurrency > 0 && used >= share)
		return false;
	g_hash_table_replace(
	    lim->running, g_strdup(team->name), GINT_TO_POINTER(used + 1));
	return true;
}

static bool
rate_acquire(
    struct limiter *lim, const struct limit_check *check, int32_t *wanted)
{
	enum limit_verdict verdict;

	pthread_mutex_lock(&lim->lock);
	verdict = limit_spender_acquire(lim->spender, check, wanted);
	pthread_mutex_unlock(&lim->lock);
	return verdict == kLimitPass;
}

bool
limiter_admit(struct limiter *lim, const struct config_team *team)
{
	struct limit_check check = {
	    .team = team_hash(team->name),
	    .rate_per_s = team->rate_per_s,
	    .daemons = routes_daemon_count(lim->d->routes),
	    .now_us = clock_mono_us(lim->d->clk),
	};
	int32_t wanted = 0;
	bool pass = rate_acquire(lim, &check, &wanted);

	if (wanted > 0)
		request_lease_from_owner(lim, team, wanted);
	/* If this daemon is the owner, the lease has already been answered. */
	if (!pass && wanted > 0)
		pass = rate_acquire(lim, &check, &wanted);
	if (!pass)
		return false;
	pthread_mutex_lock(&lim->lock);
	pass = concurrency_acquire(lim, team, check.daemons);
	pthread_mutex_unlock(&lim->lock);
	return pass;
}

void
limiter_done(struct limiter *lim, const char *team)
{
	int32_t used;

	pthread_mutex_lock(&lim->lock);
	used = GPOINTER_TO_INT(g_hash_table_lookup(lim->running, team));
	if (used > 1)
		g_hash_table_replace(
		    lim->running, g_strdup(team), GINT_TO_POINTER(used - 1));
	else
		g_hash_table_remove(lim->running, team);
	pthread_mutex_unlock(&lim->lock);
}

static struct retry_budget *
budget_get(struct limiter *lim, const char *service)
{
	struct retry_budget *b = g_hash_table_lookup(lim->budgets, service);

	if (b != NULL)
		return b;
	b = g_new0(struct retry_budget, 1);
	retry_budget_init(b);
	g_hash_table_insert(lim->budgets, g_strdup(service), b);
	return b;
}

void
limiter_record_request(struct limiter *lim, const char *service)
{
	pthread_mutex_lock(&lim->lock);
	retry_budget_record_request(budget_get(lim, service));
	pthread_mutex_unlock(&lim->lock);
}

struct retry_budget *
limiter_retry_budget_lock(struct limiter *lim, const char *service)
{
	pthread_mutex_lock(&lim->lock);
	return budget_get(lim, service);
}

void
limiter_retry_budget_unlock(struct limiter *lim)
{
	pthread_mutex_unlock(&lim->lock);
}

bool
limiter_is_quarantined(struct limiter *lim, uint64_t fingerprint)
{
	bool is_quarantined;

	pthread_mutex_lock(&lim->lock);
	is_quarantined = quarantine_has(lim->quarantine, fingerprint);
	pthread_mutex_unlock(&lim->lock);
	return is_quarantined;
}

static void
notify_peers(struct limiter *lim, uint64_t fingerprint)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	GPtrArray *peers =
	    routes_random_peers(lim->d->routes, kQuarantineFanout);

	env.n_condemned = 1;
	env.condemned = &fingerprint;
	for (guint i = 0; i < peers->len; i++)
		peer_send(lim->d->peer, peers->pdata[i], &env, kPeerControl);
	g_ptr_array_unref(peers);
}

struct quarantine_store_task {
	struct limiter *lim;
	uint64_t fingerprint;
};

static void
store_quarantined(void *ctx)
{
	struct quarantine_store_task *task = ctx;
	const struct store *store = task->lim->d->store;
	struct store_txn *txn = store_txn_new();
	char *key =
	    g_strdup_printf(QUARANTINE_PREFIX "%016" PRIx64, task->fingerprint);

	store_txn_write(txn, key, "{}");
	store->ops->txn(store->ctx, kCauseIntent, txn);
	store_txn_free(txn);
	g_free(key);
	g_free(task);
}

void
limiter_quarantine(struct limiter *lim, uint64_t fingerprint, bool persist)
{
	struct quarantine_store_task *task;
	char text[32];
	bool added;

	pthread_mutex_lock(&lim->lock);
	added = quarantine_add(lim->quarantine, fingerprint);
	pthread_mutex_unlock(&lim->lock);
	if (!added)
		return;
	g_snprintf(text, sizeof(text), "%016" PRIx64, fingerprint);
	log_event(kEvtRequestCondemned, "fingerprint", text, NULL);
	notify_peers(lim, fingerprint);
	if (!persist)
		return;
	task = g_new(struct quarantine_store_task, 1);
	task->lim = lim;
	task->fingerprint = fingerprint;
	if (!thread_pool_submit(lim->d->workers, store_quarantined, task))
		g_free(task);
}

void
limiter_load_quarantined(struct limiter *lim)
{
	const struct store *store = lim->d->store;
	GPtrArray *rows = NULL;

	if (store_scan_all(store, kCauseIntent, QUARANTINE_PREFIX, &rows) !=
	    kStoreOk)
		return;
	pthread_mutex_lock(&lim->lock);
	for (guint i = 0; i < rows->len; i++) {
		const struct store_row *row = rows->pdata[i];
		const char *hex = row->key + strlen(QUARANTINE_PREFIX);

		quarantine_add(lim->quarantine, strtoull(hex, NULL, 16));
	}
	pthread_mutex_unlock(&lim->lock);
	g_ptr_array_unref(rows);
}

void
limiter_on_lease_request(
    struct limiter *lim, const char *from, const Sfpeer__LimitAsk *req)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__LimitLease lease = SFPEER__LIMIT_LEASE__INIT;
	Sfpeer__LimitLease *leases[] = {&lease};
	struct config *cfg = config_holder_get(lim->d->configs);
	const struct config_team *team = cfg != NULL
	    ? g_hash_table_lookup(cfg->teams, req->team_name)
	    : NULL;

	lease.team = req->team;
	if (team != NULL) {
		pthread_mutex_lock(&lim->lock);
		lease.leased = (uint32_t)limit_owner_lease(lim->owner,
		    req->team, team->rate_per_s, (int32_t)req->wanted,
		    clock_mono_us(lim->d->clk));
		pthread_mutex_unlock(&lim->lock);
	}
	config_unref(cfg);
	if (strcmp(from, lim->d->set->peer_listen) == 0) {
		limiter_on_lease(lim, &lease);
		return;
	}
	env.n_limit_leases = 1;
	env.limit_leases = leases;
	peer_send(lim->d->peer, from, &env, kPeerControl);
}

void
limiter_on_lease(struct limiter *lim, const Sfpeer__LimitLease *lease)
{
	pthread_mutex_lock(&lim->lock);
	limit_spender_on_lease(lim->spender, lease->team,
	    (int32_t)lease->leased, clock_mono_us(lim->d->clk));
	pthread_mutex_unlock(&lim->lock);
}
