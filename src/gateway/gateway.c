/*
 * The gateway: forwards requests of an installation's callers to its targets by
 * the operator's routes. All state belongs to one event loop; blocking store
 * calls run on a thread pool, and the threads of peers and the watch post to
 * the loop.
 */
#include "gateway/gateway.h"

#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>
#include <xxhash.h>

#include "error/error.h"
#include "gateway/budget/front_budget.h"
#include "gateway/gateway_internal.h"
#include "log/log.h"
#include "metric/metric.h"
#include "os/exit_guard.h"
#include "os/heap.h"
#include "os/text_copy.h"
#include "savoryflow/freshness/freshness.h"

enum {
	kExitOk = 0,
	kExitFailed = 1,
	kPeerTickMs = 500,
	/* An unresponsive connection between daemons is replaced. */
	kPeerHeartbeatMs = 2000,
	kPeerHeartbeatTimeoutMs = 4000,
	kPeerIdleCloseMs = 20000,
	/* Concurrent store calls, and those that may wait for a thread. */
	kStoreThreads = 6,
	kStoreWaitingMax = 200,
	/* A session ends when its row in the store stays unchanged for at least
	 * this time. */
	kMemberLeaseUs = 4 * kUsPerS,
	/* A daemon that its neighbours have not heard for this time may be cut
	 * off from the network. */
	kContactTimeoutUs = 1500 * kUsPerMs,
	/* Requests for readiness and metrics need no body. */
	kOperatorBodyBytes = 16 * 1024,
	kSettingsCheckUs = 500 * kUsPerMs,
	/* Jobs are kept longer than callers may read them. */
	kRetentionSlackUs = 60 * kUsPerS,
	kHousekeepingUs = 100 * kUsPerMs,
	/* More daemons that join at once are logged as a number. */
	kMembersLoggedMax = 8,
};

static const struct routebook *
current_routes(void *ctx)
{
	return ((struct gateway *)ctx)->routes;
}

static bool
store_is_up(void *ctx)
{
	return ((struct gateway *)ctx)->is_store_up;
}

static bool
routes_are_current(void *ctx)
{
	return ((struct gateway *)ctx)->is_watch_up;
}

static void
read_configuration(void *ctx)
{
	struct gateway *gw = ctx;

	gw->adapter->watch_prove(gw->watch);
}

static void
fetch_configuration(void *ctx, const char *peer)
{
	view_exchange_fetch(((struct gateway *)ctx)->view, peer);
}

/* Leases expire while the VM is suspended, too. */
static int64_t
boot_now_us(void *ctx)
{
	return clock_boot_us(((struct gateway *)ctx)->clk);
}

static const char *
front_reaching_store(void *ctx, const char *excluded_front)
{
	struct gateway *gw = ctx;

	return roster_front_reaching_store(
	    gw->roster, excluded_front, loop_now_us(gw->lp));
}

void
gateway_record_store_state(struct gateway *gw, bool is_up)
{
	if (is_up)
		gw->store_answered_us = loop_now_us(gw->lp);
	if (gw->is_store_up == is_up)
		return;
	gw->is_store_up = is_up;
	roster_set_store_status(gw->roster, !is_up);
	if (is_up)
		gw->store_recovered_us = loop_now_us(gw->lp);
	log_event(is_up ? kEvtStoreUp : kEvtStoreDown, NULL);
}

/* Store and roster changes, draining, start and stop. */

static void
on_store(void *ctx, bool is_up)
{
	gateway_record_store_state(ctx, is_up);
}

static void
on_roster(void *ctx, const struct roster_changes *changes)
{
	struct gateway *gw = ctx;
	GPtrArray *peers = roster_peers(gw->roster, NULL, loop_now_us(gw->lp));

	if (changes->joined->len > kMembersLoggedMax)
		log_event(kEvtMembersUp, "joined",
		    log_number(changes->joined->len), "members",
		    log_number(peers->len + 1), NULL);
	for (guint i = 0; changes->joined->len <= kMembersLoggedMax &&
	     i < changes->joined->len;
	     i++)
		log_event(
		    kEvtMemberUp, "member", changes->joined->pdata[i], NULL);
	for (guint i = 0; i < changes->removed->len; i++) {
		const char *address = changes->removed->pdata[i];

		log_event(kEvtMemberDown, "member", address, NULL);
		slots_remove_daemon(gw->slots, address);
	}

	metric_set(kMetMembersAlive, (int64_t)peers->len + 1);
	g_ptr_array_unref(peers);
}

static void
leave_roster(struct gateway *gw)
{
	if (gw->has_left_roster)
		return;
	gw->has_left_roster = true;
	members_leave(gw->members);
}

static void
on_drain_timeout(void *ctx)
{
	struct gateway *gw = ctx;

	leave_roster(gw);
	loop_stop(gw->lp);
}

static void
begin_drain(struct gateway *gw)
{
	int64_t now_us = loop_now_us(gw->lp);

	if (gw->is_draining)
		return;
	gw->is_draining = true;
	gw->drain = drain_plan_make(now_us,
	    gw->set->drain_timeout_ms * kUsPerMs, kGatewayBalancerDetectUs);
	gw->drain_timer =
	    loop_timer(gw->lp, gw->drain.give_up_us, on_drain_timeout, gw);
	log_event(kEvtDrainStarted, "active",
	    log_number(front_active(gw->front)), "items",
	    log_number(jobs_active_items(gw->jobs)), "left_us",
	    log_number(drain_plan_left_us(&gw->drain, now_us)), NULL);
	front_set_closing(gw->front);
	calls_begin_drain(gw->calls, &gw->drain);
	jobs_hand_over(gw->jobs);
	gateway_notify_draining(gw);
	roster_leave(gw->roster);
	slots_reassign_arbiters(gw->slots);
}

/* Stops the loop when nothing is left to do. */
static void
continue_drain(struct gateway *gw)
{
	if (jobs_active_items(gw->jobs) == 0)
		leave_roster(gw);
	if (loop_now_us(gw->lp) < gw->drain.accept_until_us)
		return;
	if (front_active(gw->front) == 0 && gw->has_left_roster &&
	    front_close_if_quiet(gw->front))
		loop_stop(gw->lp);
}

static void
housekeeping(void *ctx)
{
	struct gateway *gw = ctx;
	int64_t now_us = loop_now_us(gw->lp);

	gateway_send_contacts(gw);
	if (gw->proofs != NULL)
		proof_exchange_tick(gw->proofs);
	quota_tick(gw->quota);
	allowance_housekeeping(gw->allowance);
	crash_guard_tick(gw->guard);
	if (fleet_tick(gw->fleet, now_us))
		gateway_targets_changed(gw);
	if (gw->is_draining)
		continue_drain(gw);
	if (now_us - gw->settings_checked_us > kSettingsCheckUs) {
		gw->settings_checked_us = now_us;
		jobs_prepare_quotas(gw->jobs);
		if (settings_file_changed(gw->set))
			settings_reload_and_log(gw->set);
	}
	gw->housekeeping =
	    loop_timer(gw->lp, now_us + kHousekeepingUs, housekeeping, gw);
}

static void
on_signal(void *ctx, uint32_t events)
{
	struct gateway *gw = ctx;
	struct signalfd_siginfo info;

	if (read(gw->signal_fd, &info, sizeof(info)) != sizeof(info))
		return;
	if (info.ssi_signo == SIGHUP)
		settings_reload_and_log(gw->set);
	else
		begin_drain(gw);
}

/* Signals are read from a descriptor; they interrupt no thread. */
static void
block_signals(struct gateway *gw)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	gw->signal_fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
}

static void
fill_self(struct gateway *gw)
{
	const struct settings *set = gw->set;
	char *session;

	text_copy_or_none(
	    gw->self.address, sizeof(gw->self.address), set->peer_listen);
	text_copy_or_none(
	    gw->self.front, sizeof(gw->self.front), set->front_listen);
	text_copy_or_none(
	    gw->self.region, sizeof(gw->self.region), set->region);
	text_copy_or_none(gw->self.data_center, sizeof(gw->self.data_center),
	    set->data_center);
	session = g_strdup_printf(
	    "%s-%08x%08x", set->peer_listen, g_random_int(), g_random_int());
	text_copy_or_none(gw->self.session, sizeof(gw->self.session), session);
	g_free(session);
	gw->self.cpu_millicores = (int32_t)set->cpu_millicores;
}

static void
create_budget(struct gateway *gw)
{
	struct budget_watch_options watch = {
	    .lp = gw->lp, .ops = &front_budget_ops};

	if (gw->set->memory_mb == 0 && gw->set->max_descriptors == 0)
		return;
	gw->budget_opt = budget_options_of_vm(gw->set->memory_mb);
	gw->budget = budget_new(&gw->budget_opt);
	watch.budget = gw->budget;
	gw->budget_watch = budget_watch_new(&watch);
}

static void
free_budget(struct gateway *gw)
{
	if (gw->budget == NULL)
		return;
	budget_watch_free(gw->budget_watch);
	budget_free(gw->budget);
}

static void
create_state(struct gateway *gw)
{
	struct thread_pool_options threads = {kStoreThreads, kStoreWaitingMax};
	struct roster_options roster = {
	    gw->self, kMemberLeaseUs, kContactTimeoutUs};

	gw->lp = loop_new(gw->clk);
	gw->store = gw->adapter->store_new(gw->set->platform_url);
	gw->offload = offload_new(gw->lp, &threads);
	gw->fleet = fleet_new();
	gw->roster = roster_new(&roster);
	gw->is_store_up = true;
	create_budget(gw);
	gw->reconnects =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void
create_proofs(struct gateway *gw)
{
	struct proof_exchange_options opt = {
	    .lp = gw->lp,
	    .clk = gw->clk,
	    .bound_us = gw->set->revocation_bound_ms * kUsPerMs,
	    .roster = gw->roster,
	    .data_center = gw->self.data_center,
	    .wire = &gateway_wire_ops,
	    .wire_ctx = gw,
	    .read = read_configuration,
	    .fetch = fetch_configuration,
	    .ctx = gw,
	};

	if (opt.bound_us > 0)
		gw->proofs = proof_exchange_new(&opt);
}

static void
create_modules(struct gateway *gw)
{
	uint64_t seed = XXH3_64bits(gw->self.session, strlen(gw->self.session));
	struct slots_options slots = {gw->lp, gw->roster, gw->fleet,
	    gw->self.address, gw->self.data_center, seed, &gateway_wire_ops,
	    gw};
	struct relay_deps deps = {
	    .on_target_leaving = gateway_on_target_leaving,
	    .ctx = gw,
	    .lp = gw->lp,
	    .fleet = gw->fleet,
	    .dialect = gw->adapter->dialect,
	};
	struct contact_exchange_options contact = {gw->lp, gw->roster,
	    gw->self.address, gw->self.session, gw->self.data_center,
	    &gateway_wire_ops, gw};
	struct calls_options calls = {0};
	struct access_options access = {
	    routes_are_current, current_routes, gateway_serve, gw, NULL};
	struct allowance_options allowance = {gw->lp, gw->roster,
	    gw->self.address, gw->self.data_center, &gateway_wire_ops, gw,
	    current_routes, boot_now_us, gw};
	struct crash_guard_options guard = {
	    gw->lp, gw->roster, gw->self.address, &gateway_wire_ops, gw};
	struct quota_options quota = {gw->lp, gw->offload, gw->store,
	    gw->roster, gw->self.address, gw->self.session, &gateway_wire_ops,
	    gw};
	struct jobs_options jobs = {.offload = gw->offload,
	    .store = gw->store,
	    .session = gw->self.session,
	    .routes = current_routes,
	    .notify_ended = gateway_notify_job_ended,
	    .store_is_up = store_is_up,
	    .report_store = on_store,
	    .front_reaching_store = front_reaching_store,
	    .ctx = gw};
	struct janitor_options janitor = {gw->lp, gw->offload, gw->store,
	    gw->roster, gw->self.address, gw->set->janitor_period_ms * kUsPerMs,
	    0};
	struct members_options members = {gw->lp, gw->offload, gw->store,
	    gw->roster, NULL, gw->self, on_store, on_roster,
	    gateway_notify_left, gw};

	gw->slots = slots_new(&slots);
	gw->contact = contact_exchange_new(&contact);
	gw->outbound = outbound_new(gw->lp);
	deps.slots = gw->slots;
	deps.outbound = gw->outbound;
	gw->activity = target_activity_new();
	deps.activity = gw->activity;
	gw->guard = crash_guard_new(&guard);
	calls.deps = deps;
	calls.guard = gw->guard;
	create_proofs(gw);
	access.proofs = gw->proofs;
	gw->access = access_new(&access);
	calls.access = gw->access;
	gw->allowance = allowance_new(&allowance);
	calls.allowance = gw->allowance;
	gw->calls = calls_new(&calls);
	gw->quota = quota_new(&quota);
	jobs.deps = deps;
	jobs.guard = gw->guard;
	jobs.quota = gw->quota;
	gw->jobs = jobs_new(&jobs);
	janitor.retention_us =
	    gw->set->job_retention_ms * kUsPerMs + kRetentionSlackUs;
	gw->janitor = janitor_new(&janitor);
	members.jobs = gw->jobs;
	gw->members = members_new(&members);
}

static bool
create_listeners(struct gateway *gw, GError **err)
{
	struct budget_connections n = budget_connections_of_vm(
	    gw->set->max_descriptors, gw->budget_opt.limit_bytes,
	    kFrontConnectionBytes, kFrontConnectionsMax);
	struct front_options front = {gw->lp, gw->set->front_listen,
	    &gateway_front_ops, gw, gw->budget, n.front, n.closing};
	struct front_options ready = {gw->lp, gw->set->ready_listen,
	    &gateway_ready_ops, gw, gw->budget, n.operators, n.closing};
	struct front_options metrics = {gw->lp, gw->set->metrics_listen,
	    &gateway_metrics_ops, gw, gw->budget, n.operators, n.closing};
	struct peer_options peer = {
	    .address = gw->set->peer_listen,
	    .tick_ms = kPeerTickMs,
	    .heartbeat_ms = kPeerHeartbeatMs,
	    .heartbeat_timeout_ms = kPeerHeartbeatTimeoutMs,
	    .idle_close_ms = kPeerIdleCloseMs,
	    .ops = &gateway_peer_ops,
	    .ctx = gw,
	};

	gw->peer = peer_new(&peer, err);
	if (gw->peer == NULL)
		return false;
	gw->front = front_new(&front, err);
	if (gw->front == NULL)
		return false;
	gw->ready = front_new(&ready, err);
	if (gw->ready == NULL)
		return false;
	if (gw->budget != NULL)
		front_set_body_max(gw->ready, kOperatorBodyBytes);
	if (gw->set->metrics_listen[0] == '\0')
		return true;
	gw->metrics = front_new(&metrics, err);
	if (gw->metrics != NULL && gw->budget != NULL)
		front_set_body_max(gw->metrics, kOperatorBodyBytes);
	return gw->metrics != NULL;
}

static void
start(struct gateway *gw)
{
	struct view_options view = {gw->lp, gw->roster, gw->set->peers,
	    gw->self.address, gw->self.data_center, &gateway_wire_ops, gw};

	peer_start(gw->peer);
	gw->watch = gw->adapter->watch_new(gw->store, &gateway_watch_ops, gw);
	if (gw->proofs != NULL)
		gw->adapter->watch_require_proofs(gw->watch,
		    freshness_feed_wait_ms(
			gw->set->revocation_bound_ms * kUsPerMs));
	view.adapter = gw->adapter;
	view.watch = gw->watch;
	view.on_roster = on_roster;
	view.ctx = gw;
	gw->view = view_exchange_new(&view);
	loop_watch(gw->lp, gw->signal_fd, EPOLLIN, on_signal, gw);
	housekeeping(gw);
	log_event(kEvtStarted, "listen", gw->set->front_listen, "peer_listen",
	    gw->set->peer_listen, "session", gw->self.session, "data_center",
	    gw->set->data_center, NULL);
}

static void
log_stopped(void *ctx)
{
	const struct front_counts *n = ctx;

	log_event(kEvtStopped, "open", log_number(n->open), "idle",
	    log_number(n->idle), "recent", log_number(n->recent), "unfinished",
	    log_number(n->unfinished), "unread", log_number(n->unread),
	    "not_accepted", log_number(n->not_accepted), "cut",
	    log_number(n->cut), NULL);
}

static void
stop(struct gateway *gw)
{
	gw->is_stopping = true;
	/* First, so that no caller waits for an answer that cannot come. */
	calls_give_up(gw->calls);
	if (gw->front != NULL)
		front_free(gw->front, &gw->front_counts);
	/* Threads that wait for the store may take longer than the grace. */
	if (gw->is_draining)
		exit_guard_start(
		    gw->clk, gw->drain.exit_us, log_stopped, &gw->front_counts);
	if (gw->watch != NULL)
		gw->adapter->watch_free(gw->watch);
	if (gw->peer != NULL)
		peer_stop(gw->peer);
	offload_free(gw->offload);
	if (gw->ready != NULL)
		front_free(gw->ready, NULL);
	if (gw->metrics != NULL)
		front_free(gw->metrics, NULL);
	if (gw->view != NULL)
		view_exchange_free(gw->view);
	janitor_free(gw->janitor);
	members_free(gw->members);
	jobs_free(gw->jobs);
	quota_free(gw->quota);
	calls_free(gw->calls);
	allowance_free(gw->allowance);
	access_free(gw->access);
	proof_exchange_free(gw->proofs);
	crash_guard_free(gw->guard);
	outbound_free(gw->outbound);
	target_activity_free(gw->activity);
	slots_free(gw->slots);
	contact_exchange_free(gw->contact);
	g_hash_table_unref(gw->reconnects);
	if (gw->peer != NULL)
		peer_free(gw->peer);
	roster_free(gw->roster);
	fleet_free(gw->fleet);
	routebook_unref(gw->routes);
	gw->adapter->store_free(gw->store);
	free_budget(gw);
	loop_free(gw->lp);
	close(gw->signal_fd);
}

int
gateway_run(struct settings *set, const struct adapter_ops *adapter)
{
	struct gateway gw = {
	    .set = set, .adapter = adapter, .clk = clock_system()};
	GError *err = NULL;
	int code = kExitOk;

	if (set->memory_mb > 0)
		heap_limit();
	block_signals(&gw);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	log_open(set->log_level, set->name);
	fill_self(&gw);
	create_state(&gw);
	create_modules(&gw);
	if (create_listeners(&gw, &err)) {
		start(&gw);
		loop_run(gw.lp);
	} else {
		log_event(kEvtStartFailed, "error", err->message, NULL);
		fprintf(stderr, "savoryflow: %s\n", err->message);
		g_error_free(err);
		code = kExitFailed;
	}
	stop(&gw);
	exit_guard_stop();
	log_stopped(&gw.front_counts);
	log_close();
	curl_global_cleanup();
	return code;
}
