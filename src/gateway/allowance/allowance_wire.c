/* Messages of allowances between daemons. */
#include <string.h>

#include "gateway/allowance/allowance_internal.h"

enum {
	/* Counts on the wire beyond these are not credible. */
	kCountMax = 1000000000,
	kItemsMax = 100000,
};

void
allowance_send_ask(
    struct allowance *al, const char *to, const struct limit_ask *ask)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__AllowanceAsk wire = SFPEER__ALLOWANCE_ASK__INIT;
	Sfpeer__AllowanceAsk *asks[] = {&wire};
	Sfpeer__LimitAsk *items = g_new(Sfpeer__LimitAsk, ask->count);
	Sfpeer__LimitAsk **refs = g_new(Sfpeer__LimitAsk *, ask->count);

	for (guint i = 0; i < ask->count; i++) {
		const struct limit_ask_item *item = &ask->items[i];

		sfpeer__limit_ask__init(&items[i]);
		items[i].team = item->team;
		items[i].last_us = item->last_us;
		items[i].returned = item->returned;
		items[i].wanted = (uint32_t)item->wanted;
		items[i].prefetch = (uint32_t)item->prefetch;
		items[i].milli_per_s = (uint64_t)item->rate.milli_per_s;
		items[i].burst = (uint64_t)item->rate.burst;
		refs[i] = &items[i];
	}
	wire.role = ask->role;
	wire.shard = (uint32_t)ask->shard;
	wire.members = (uint32_t)ask->members;
	wire.heard_us = ask->heard_us;
	wire.sent_us = ask->sent_us;
	wire.n_items = ask->count;
	wire.items = refs;
	env.n_allowance_asks = 1;
	env.allowance_asks = asks;
	al->opt.wire->send(al->opt.wire_ctx, to, &env);
	g_free(items);
	g_free(refs);
}

void
allowance_send_lease(
    struct allowance *al, const char *to, const struct limit_lease *lease)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__AllowanceLease wire = SFPEER__ALLOWANCE_LEASE__INIT;
	Sfpeer__AllowanceLease *leases[] = {&wire};
	Sfpeer__LimitLease *items = g_new(Sfpeer__LimitLease, lease->count);
	Sfpeer__LimitLease **refs = g_new(Sfpeer__LimitLease *, lease->count);

	for (guint i = 0; i < lease->count; i++) {
		const struct limit_lease_item *item = &lease->items[i];

		sfpeer__limit_lease__init(&items[i]);
		items[i].team = item->team;
		items[i].leased = (uint32_t)item->granted;
		items[i].retry_us = (uint64_t)item->retry_us;
		items[i].asked_us = item->asked_us;
		refs[i] = &items[i];
	}
	wire.role = lease->role;
	wire.shard = (uint32_t)lease->shard;
	wire.at_us = lease->at_us;
	wire.n_items = lease->count;
	wire.items = refs;
	env.n_allowance_leases = 1;
	env.allowance_leases = leases;
	al->opt.wire->send(al->opt.wire_ctx, to, &env);
	g_free(items);
	g_free(refs);
}

static void
handle_ask(
    struct allowance *al, const char *from, const Sfpeer__AllowanceAsk *wire)
{
	guint count = (guint)MIN(wire->n_items, kItemsMax);
	struct limit_ask_item *items = g_new0(struct limit_ask_item, count);
	struct limit_ask ask = {
	    .role = (enum limit_role)MIN(wire->role, kLimitRoles),
	    .shard = (int32_t)MIN(wire->shard, kLimitShards),
	    .members = (int32_t)MIN(wire->members, kCountMax),
	    .heard_us = wire->heard_us,
	    .sent_us = wire->sent_us,
	    .items = items,
	    .count = count,
	};

	for (guint i = 0; i < count; i++) {
		const Sfpeer__LimitAsk *item = wire->items[i];

		items[i] = (struct limit_ask_item){
		    .team = item->team,
		    .last_us = item->last_us,
		    .returned = CLAMP(item->returned, -kCountMax, kCountMax),
		    .wanted = MIN(item->wanted, kCountMax),
		    .prefetch = MIN(item->prefetch, kCountMax),
		    .rate = {(int64_t)MIN(item->milli_per_s, kCountMax),
			(int64_t)MIN(item->burst, kCountMax)},
		};
	}
	limit_exchange_on_ask(al->ex, from, &ask, al->opt.now_us(al->opt.ctx));
	g_free(items);
}

static void
handle_lease(
    struct allowance *al, const char *from, const Sfpeer__AllowanceLease *wire)
{
	guint count = (guint)MIN(wire->n_items, kItemsMax);
	struct limit_lease_item *items = g_new0(struct limit_lease_item, count);
	struct limit_lease lease = {
	    .role = (enum limit_role)MIN(wire->role, kLimitRoles),
	    .shard = (int32_t)MIN(wire->shard, kLimitShards),
	    .at_us = wire->at_us,
	    .items = items,
	    .count = count,
	};

	for (guint i = 0; i < count; i++) {
		const Sfpeer__LimitLease *item = wire->items[i];

		items[i] = (struct limit_lease_item){
		    .team = item->team,
		    .granted = MIN(item->leased, kCountMax),
		    .retry_us = (int64_t)MIN(item->retry_us, kCountMax),
		    .asked_us = item->asked_us,
		};
	}
	limit_exchange_on_lease(
	    al->ex, from, &lease, al->opt.now_us(al->opt.ctx));
	g_free(items);
}

void
allowance_on_envelope(struct allowance *al, const Sfpeer__Envelope *env)
{
	/* Before it takes part itself, a daemon answers no others. */
	if (al->timer == 0)
		return;
	for (size_t i = 0; i < env->n_allowance_asks; i++)
		handle_ask(al, env->from, env->allowance_asks[i]);
	for (size_t i = 0; i < env->n_allowance_leases; i++)
		handle_lease(al, env->from, env->allowance_leases[i]);
	allowance_post_flush(al);
}
