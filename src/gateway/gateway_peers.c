/*
 * Messages from and to other daemons. Each goes to those that need it; only
 * what must be known everywhere is sent to all, and that is rare.
 */
#include <string.h>

#include "gateway/gateway_internal.h"
#include "log/log.h"

enum {
	/* A peer that is slow rather than cut off must not be made slower by
	 * new connections. */
	kReconnectPeriodUs = 2 * kUsPerS,
};

static void
send_to_peer(void *ctx, const char *to, Sfpeer__Envelope *env)
{
	peer_send(((struct gateway *)ctx)->peer, to, env, kPeerControl);
}

static void
connect_to_peer(void *ctx, const char *to)
{
	peer_connect(((struct gateway *)ctx)->peer, to);
}

static void
reconnect_to_peer(void *ctx, const char *to)
{
	struct gateway *gw = ctx;
	int64_t *at_us = g_hash_table_lookup(gw->reconnects, to);
	int64_t now_us = loop_now_us(gw->lp);

	if (at_us != NULL && now_us - *at_us < kReconnectPeriodUs)
		return;
	if (at_us == NULL) {
		at_us = g_new(int64_t, 1);
		g_hash_table_insert(gw->reconnects, g_strdup(to), at_us);
	}
	*at_us = now_us;
	peer_disconnect(gw->peer, to);
}

const struct slots_wire_ops gateway_wire_ops = {
    send_to_peer, connect_to_peer, reconnect_to_peer};

static void
broadcast(struct gateway *gw, Sfpeer__Envelope *env)
{
	GPtrArray *peers = roster_peers(gw->roster, NULL, loop_now_us(gw->lp));

	for (guint i = 0; i < peers->len; i++)
		send_to_peer(gw, peers->pdata[i], env);
	g_ptr_array_unref(peers);
}

static void
handle_status(struct gateway *gw, const Sfpeer__Envelope *env)
{
	struct roster_store_status status = {
	    env->blind, (int64_t)env->store_age_ms * kUsPerMs};

	roster_record_message(gw->roster, env->from,
	    env->store_age_ms > 0 ? &status : NULL, loop_now_us(gw->lp));
	contact_exchange_on_envelope(gw->contact, env);
	if (env->leaving) {
		roster_record_leaving(gw->roster, env->from);
		slots_reassign_arbiters(gw->slots);
	}
	if (env->left)
		members_poll_now(gw->members);
}

static bool
record_target_leaving(
    struct gateway *gw, const char *id, int64_t started_ms, const char *said_by)
{
	if (!fleet_record_leaving(gw->fleet, id, started_ms))
		return false;
	log_event(kEvtTargetLeaving, "target", id, "told_by", said_by, NULL);
	gateway_targets_changed(gw);
	return true;
}

void
gateway_on_target_leaving(void *ctx, const char *id, int64_t started_ms)
{
	struct gateway *gw = ctx;
	const struct fleet_target *t = fleet_find(gw->fleet, id);
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__TargetNote note = SFPEER__TARGET_NOTE__INIT;
	Sfpeer__TargetNote *notes[] = {&note};
	const char *arbiter;

	if (t == NULL || !record_target_leaving(gw, id, started_ms, "answer"))
		return;
	arbiter = slots_pool_arbiter(gw->slots, t->service, t->data_center);
	if (strcmp(arbiter, gw->self.address) == 0)
		return;
	note.target = (char *)id;
	note.started_ms = started_ms;
	env.n_target_notes = 1;
	env.target_notes = notes;
	send_to_peer(gw, arbiter, &env);
}

struct peer_message {
	struct gateway *gw;
	Sfpeer__Envelope *env;
};

static void
handle_envelope(void *ctx)
{
	struct peer_message *msg = ctx;
	struct gateway *gw = msg->gw;
	Sfpeer__Envelope *env = msg->env;

	handle_status(gw, env);
	for (size_t i = 0; i < env->n_target_notes; i++)
		record_target_leaving(gw, env->target_notes[i]->target,
		    env->target_notes[i]->started_ms, env->from);
	slots_on_envelope(gw->slots, env);
	quota_on_envelope(gw->quota, env);
	allowance_on_envelope(gw->allowance, env);
	crash_guard_on_envelope(gw->guard, env);
	if (gw->proofs != NULL)
		proof_exchange_on_envelope(gw->proofs, env);
	for (size_t i = 0; i < env->n_job_notes; i++)
		if (env->job_notes[i]->ended)
			jobs_on_ended(gw->jobs, env->job_notes[i]->id);
	if (env->view != NULL)
		view_exchange_on_view(gw->view, env->from, env->view);
	sfpeer__envelope__free_unpacked(env, NULL);
	g_free(msg);
}

static bool
on_message(void *ctx, Sfpeer__Envelope *env)
{
	struct peer_message *msg = g_new(struct peer_message, 1);

	msg->gw = ctx;
	msg->env = env;
	loop_post(msg->gw->lp, handle_envelope, msg);
	return true;
}

static void
on_peer_tick(void *ctx)
{
}

const struct peer_ops gateway_peer_ops = {on_message, on_peer_tick};

static struct contact_status
own_status(const struct gateway *gw)
{
	return (struct contact_status){
	    .is_leaving = gw->is_draining,
	    .is_store_unreachable = !gw->is_store_up,
	    .store_answered_us = gw->store_answered_us,
	};
}

/* A daemon that knows no targets cannot arbitrate: its peers are not to elect
 * it. */
void
gateway_send_contacts(struct gateway *gw)
{
	struct contact_status status = own_status(gw);

	if (!fleet_is_empty(gw->fleet))
		contact_exchange_tick(gw->contact, &status);
}

void
gateway_notify_draining(struct gateway *gw)
{
	struct contact_status status = own_status(gw);
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;

	contact_exchange_send(gw->contact, &status);
	env.leaving = true;
	if (slots_is_arbiter(gw->slots))
		broadcast(gw, &env);
}

void
gateway_notify_left(void *ctx)
{
	struct gateway *gw = ctx;
	GPtrArray *ids = jobs_running_ids(gw->jobs);
	GHashTable *told = g_hash_table_new(g_str_hash, g_str_equal);
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;

	env.left = true;
	for (guint i = 0; i < ids->len; i++) {
		const char *successor = roster_owner(
		    gw->roster, ids->pdata[i], NULL, loop_now_us(gw->lp));

		if (strcmp(successor, gw->self.address) != 0 &&
		    g_hash_table_add(told, (void *)successor))
			send_to_peer(gw, successor, &env);
	}
	g_hash_table_unref(told);
	g_ptr_array_unref(ids);
}

void
gateway_notify_job_ended(void *ctx, const char *id, const char *owner)
{
	struct gateway *gw = ctx;
	const char *address = roster_session_address(gw->roster, owner);
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__JobNote note = SFPEER__JOB_NOTE__INIT;
	Sfpeer__JobNote *notes[] = {&note};

	if (address == NULL)
		return;
	note.id = (char *)id;
	note.ended = true;
	env.n_job_notes = 1;
	env.job_notes = notes;
	send_to_peer(gw, address, &env);
}
