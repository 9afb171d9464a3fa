/* Allowances of teams at one daemon. */
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "gateway/allowance/allowance_internal.h"
#include "log/log.h"
#include "metric/metric.h"
#include "savoryflow/arbiter/u64_hash.h"

enum {
	/* The rows of the other daemons are read within this time. A daemon
	 * that knows none of them would lease whole rates. */
	kAloneUs = 1000 * kUsPerMs,
};

struct allowance_team {
	uint64_t hash;
	struct limit_rate rate;
};

struct allowance_wait {
	uint64_t id;
	struct allowance *al;
	struct allowance_ticket *ticket;
	allowance_fn fn;
	void *ctx;
};

/* A message of this daemon to itself. */
struct local_message {
	struct allowance *al;
	bool is_lease;
	struct limit_ask ask;
	struct limit_lease lease;
	void *items;
};

static int64_t
now_us(const struct allowance *al)
{
	return al->opt.now_us(al->opt.ctx);
}

static uint64_t
team_hash(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

static void
deliver_local(void *ctx)
{
	struct local_message *msg = ctx;
	struct allowance *al = msg->al;

	if (msg->is_lease)
		limit_exchange_on_lease(
		    al->ex, al->opt.address, &msg->lease, now_us(al));
	else
		limit_exchange_on_ask(
		    al->ex, al->opt.address, &msg->ask, now_us(al));
	g_free(msg->items);
	g_free(msg);
	allowance_post_flush(al);
}

static struct local_message *
post_local(struct allowance *al, const void *items, size_t size)
{
	struct local_message *msg = g_new0(struct local_message, 1);

	msg->al = al;
	msg->items = g_memdup2(items, size);
	loop_post(al->opt.lp, deliver_local, msg);
	return msg;
}

static void
send_ask(void *ctx, const char *to, const struct limit_ask *ask)
{
	struct allowance *al = ctx;
	struct local_message *msg;

	if (strcmp(to, al->opt.address) != 0) {
		allowance_send_ask(al, to, ask);
		return;
	}
	msg = post_local(al, ask->items, sizeof(*ask->items) * ask->count);
	msg->ask = *ask;
	msg->ask.items = msg->items;
}

static void
send_lease(void *ctx, const char *to, const struct limit_lease *lease)
{
	struct allowance *al = ctx;
	struct local_message *msg;

	if (strcmp(to, al->opt.address) != 0) {
		allowance_send_lease(al, to, lease);
		return;
	}
	msg =
	    post_local(al, lease->items, sizeof(*lease->items) * lease->count);
	msg->is_lease = true;
	msg->lease = *lease;
	msg->lease.items = msg->items;
}

static const char *
parent(void *ctx, enum limit_role role, int32_t shard, int32_t rank)
{
	struct allowance *al = ctx;
	char key[48];

	snprintf(
	    key, sizeof(key), "allowance-%d-%d-%d", (int)role, shard, rank);
	return roster_owner(al->opt.roster, key,
	    role == kLimitDelegate ? al->opt.data_center : NULL,
	    loop_now_us(al->opt.lp));
}

static bool
rate_of(void *ctx, uint64_t team, struct limit_rate *rate)
{
	struct allowance *al = ctx;
	const struct allowance_team *known =
	    g_hash_table_lookup(al->teams, &team);

	if (known == NULL)
		return false;
	*rate = known->rate;
	return true;
}

static void
count_result(const struct limit_result *result)
{
	if (result->outcome == kLimitRejected)
		metric_add(kMetAllowanceRefused, 1);
	if (result->is_equal_share)
		metric_add(kMetAllowanceEqualShare, 1);
}

static void
on_verdict(void *ctx, uint64_t id, const struct limit_result *result)
{
	struct allowance *al = ctx;
	struct allowance_wait *wait = g_hash_table_lookup(al->waits, &id);
	struct allowance_wait end;

	if (wait == NULL)
		return;
	end = *wait;
	g_hash_table_remove(al->waits, &id);
	end.ticket->wait_id = 0;
	if (result->outcome == kLimitAdmitted)
		end.ticket->admitted_us = now_us(al);
	count_result(result);
	end.fn(end.ctx, result);
}

static void
on_silent(void *ctx, enum limit_role role, int32_t shard, const char *address)
{
	struct allowance *al = ctx;

	log_event(kEvtAllowanceSilent, "member", address, "role",
	    role == kLimitOwner ? "owner" : "delegate", "shard",
	    log_number(shard), NULL);
	if (strcmp(address, al->opt.address) != 0)
		al->opt.wire->reconnect(al->opt.wire_ctx, address);
}

static const struct limit_exchange_ops exchange_ops = {
    parent, rate_of, send_ask, send_lease, on_verdict, on_silent};

struct allowance *
allowance_new(const struct allowance_options *opt)
{
	struct allowance *al = g_new0(struct allowance, 1);
	struct limit_exchange_options ex = {
	    opt->address, &exchange_ops, al, opt->now_us(opt->ctx)};

	al->opt = *opt;
	al->ex = limit_exchange_new(&ex);
	al->teams = u64_hash_new(g_free);
	al->waits = u64_hash_new(g_free);
	al->alone_us = now_us(al) + kAloneUs;
	return al;
}

void
allowance_free(struct allowance *al)
{
	loop_timer_cancel(al->opt.lp, al->timer);
	limit_exchange_free(al->ex);
	g_hash_table_unref(al->teams);
	g_hash_table_unref(al->waits);
	if (al->book != NULL)
		routebook_unref(al->book);
	g_free(al);
}

static void
flush(void *ctx)
{
	struct allowance *al = ctx;

	al->is_flush_posted = false;
	limit_exchange_flush(al->ex, now_us(al));
}

void
allowance_post_flush(struct allowance *al)
{
	if (al->is_flush_posted || !limit_exchange_is_dirty(al->ex))
		return;
	al->is_flush_posted = true;
	loop_post(al->opt.lp, flush, al);
}

/* Reads the teams' limits again if another version of the routes is in force.
 */
static void
read_limits(struct allowance *al)
{
	const struct routebook *book = al->opt.routes(al->opt.ctx);
	GHashTableIter it;
	void *val;

	if (book == al->book)
		return;
	if (al->book != NULL)
		routebook_unref(al->book);
	al->book = routebook_ref((struct routebook *)book);
	g_hash_table_remove_all(al->teams);
	if (book->teams == NULL)
		return;
	g_hash_table_iter_init(&it, book->teams);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		const struct routebook_team *team = val;
		struct allowance_team *limit = g_new(struct allowance_team, 1);

		*limit = (struct allowance_team){team_hash(team->name),
		    {team->rate_milli_per_s, team->burst}};
		g_hash_table_insert(al->teams, &limit->hash, limit);
		al->has_limits = al->has_limits || team->rate_milli_per_s > 0;
	}
}

static void
report_state(struct allowance *al)
{
	struct limit_exchange_state state;
	bool is_tied;

	limit_exchange_get_state(al->ex, now_us(al), &state);
	is_tied = state.tied_shards == kLimitShards;
	metric_set(kMetAllowanceTied, state.tied_shards);
	metric_set(kMetAllowanceOwned, state.owned_shards);
	metric_set(kMetAllowanceTeams, state.teams);
	if (is_tied == al->was_tied)
		return;
	al->was_tied = is_tied;
	log_event(is_tied ? kEvtAllowanceTied : kEvtAllowanceCut, "tied",
	    log_number(state.tied_shards), "shards", log_number(kLimitShards),
	    NULL);
}

static void
tick(void *ctx)
{
	struct allowance *al = ctx;
	int64_t at_us = now_us(al);

	limit_exchange_set_daemons(al->ex,
	    roster_count_all(al->opt.roster, loop_now_us(al->opt.lp)), at_us);
	limit_exchange_tick(al->ex, at_us);
	report_state(al);
	allowance_post_flush(al);
	al->due_us = loop_now_us(al->opt.lp) +
	    limit_exchange_next_us(al->ex, at_us) - at_us;
	al->timer = loop_timer(al->opt.lp, al->due_us, tick, al);
}

/* A request that waits needs the next tick earlier than planned. */
static void
hasten_tick(struct allowance *al)
{
	int64_t due_us = loop_now_us(al->opt.lp) + kLimitTickUs;

	if (al->due_us <= due_us)
		return;
	al->due_us = due_us;
	loop_timer_cancel(al->opt.lp, al->timer);
	al->timer = loop_timer(al->opt.lp, due_us, tick, al);
}

static bool
is_starting(const struct allowance *al)
{
	return now_us(al) < al->alone_us &&
	    roster_count_all(al->opt.roster, loop_now_us(al->opt.lp)) <= 1;
}

void
allowance_housekeeping(struct allowance *al)
{
	if (al->opt.routes(al->opt.ctx) == NULL)
		return;
	read_limits(al);
	if (!al->has_limits || al->timer != 0 || is_starting(al))
		return;
	tick(al);
}

static void
wait_for_verdict(struct allowance *al, uint64_t id,
    struct allowance_ticket *ticket, allowance_fn fn, void *ctx)
{
	struct allowance_wait *wait = g_new(struct allowance_wait, 1);

	*wait = (struct allowance_wait){id, al, ticket, fn, ctx};
	g_hash_table_insert(al->waits, &wait->id, wait);
	ticket->wait_id = id;
	hasten_tick(al);
}

struct allowance_result
allowance_request(struct allowance *al, const char *team,
    struct allowance_ticket *ticket, allowance_fn fn, void *ctx)
{
	struct allowance_result result = {.limit.outcome = kLimitAdmitted};
	uint64_t hash = team_hash(team);
	uint64_t id = al->next_id + 1;

	*ticket = (struct allowance_ticket){0};
	allowance_housekeeping(al);
	if (!rate_of(al, hash, &ticket->rate) || ticket->rate.milli_per_s <= 0)
		return result;
	if (al->timer == 0) {
		result.is_starting = true;
		result.limit.outcome = kLimitRejected;
		result.limit.retry_us = MAX(al->alone_us - now_us(al), 1);
		return result;
	}
	ticket->team = hash;
	al->next_id = id;
	result.limit =
	    limit_exchange_request(al->ex, id, hash, &ticket->rate, now_us(al));
	if (result.limit.outcome == kLimitPending) {
		wait_for_verdict(al, id, ticket, fn, ctx);
	} else {
		ticket->admitted_us = now_us(al);
		count_result(&result.limit);
	}
	allowance_post_flush(al);
	return result;
}

void
allowance_give_back(struct allowance *al, struct allowance_ticket *ticket)
{
	if (ticket->wait_id != 0) {
		limit_exchange_cancel(al->ex, ticket->wait_id, ticket->team);
		g_hash_table_remove(al->waits, &ticket->wait_id);
	} else if (ticket->admitted_us != 0) {
		limit_exchange_refund(al->ex, ticket->team, &ticket->rate,
		    ticket->admitted_us, now_us(al));
		metric_add(kMetAllowanceRefunds, 1);
		allowance_post_flush(al);
	}
	*ticket = (struct allowance_ticket){0};
}
