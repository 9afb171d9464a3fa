/* Allowances of teams over all daemons: the roles of one daemon. */
#include "savoryflow/limits/limit_exchange.h"

#include <string.h>

#include "os/text_copy.h"
#include "savoryflow/arbiter/u64_hash.h"
#include "savoryflow/limits/limit_node.h"

enum {
	/* Periods of the messages that keep ties. An entry's tie outlasts that
	 * of its delegate, so they may be rarer. */
	kBeatEntryUs = 400000,
	kBeatDelegateUs = 200000,
	/* The same while the parent does not answer. */
	kBeatSilentUs = 90000,
	/* A parent that has not answered so many requests, for this time, is
	 * skipped, and how long: until the roster has noticed a daemon that is
	 * gone. */
	kSilentAsks = 4,
	kSilentUs = 350000,
	kSkipUs = 10000000,
	/* Period of limit_exchange_tick without requests that wait. */
	kTickIdleUs = 100000,
	/* An owner keeps so many requests for those that wait: what it leases
	 * in advance to one data centre is missing at the others. */
	kReserveRequests = 3,
};

struct limit_exchange *
limit_exchange_new(const struct limit_exchange_options *opt)
{
	struct limit_exchange *ex = g_new0(struct limit_exchange, 1);

	ex->opt = *opt;
	ex->daemons = 1;
	text_copy_or_none(ex->address, sizeof(ex->address), opt->address);
	ex->verdicts =
	    g_array_new(FALSE, FALSE, sizeof(struct limit_verdict_due));
	for (int32_t s = 0; s < kLimitShards; s++)
		ex->nodes[kLimitEntry][s] =
		    limit_node_new(ex, kLimitEntry, s, opt->now_us);
	return ex;
}

typedef void (*node_fn)(struct limit_node *node, int64_t now_us);

static void
for_each_node(struct limit_exchange *ex, node_fn fn, int64_t now_us)
{
	for (int r = 0; r < kLimitRoles; r++)
		for (int s = 0; s < kLimitShards; s++)
			if (ex->nodes[r][s] != NULL)
				fn(ex->nodes[r][s], now_us);
}

static void
free_node(struct limit_node *node, int64_t now_us)
{
	limit_node_free(node);
}

void
limit_exchange_free(struct limit_exchange *ex)
{
	for_each_node(ex, free_node, 0);
	g_array_unref(ex->verdicts);
	g_free(ex);
}

static void
set_daemons(struct limit_node *node, int64_t now_us)
{
	limit_pot_set_daemons(node->pot, node->ex->daemons, now_us);
}

void
limit_exchange_set_daemons(
    struct limit_exchange *ex, int32_t daemons, int64_t now_us)
{
	if (daemons == ex->daemons)
		return;
	ex->daemons = MAX(daemons, 1);
	for_each_node(ex, set_daemons, now_us);
}

static struct limit_node *
get_node(struct limit_exchange *ex, enum limit_role role, int32_t shard,
    int64_t now_us)
{
	struct limit_node **node = &ex->nodes[role][shard];

	if (*node == NULL)
		*node = limit_node_new(ex, role, shard, now_us);
	return *node;
}

static int32_t
shard_of(uint64_t team)
{
	return (int32_t)(team % kLimitShards);
}

struct limit_result
limit_exchange_request(struct limit_exchange *ex, uint64_t id, uint64_t team,
    const struct limit_rate *rate, int64_t now_us)
{
	struct limit_node *node = ex->nodes[kLimitEntry][shard_of(team)];
	struct limit_team *te = limit_node_team(node, team, rate, now_us);
	struct limit_waiter w = {.id = id, .count = 1, .since_us = now_us};
	struct limit_result result = {.outcome = kLimitAdmitted};

	limit_team_record(te, 1, now_us);
	if (te->waiters->len == 0 &&
	    limit_node_spend(node, te, 1, &result.is_equal_share, now_us))
		return result;
	g_array_append_val(te->waiters, w);
	node->waiting++;
	limit_node_mark(node, te);
	result.outcome = kLimitPending;
	return result;
}

void
limit_exchange_cancel(struct limit_exchange *ex, uint64_t id, uint64_t team)
{
	struct limit_node *node = ex->nodes[kLimitEntry][shard_of(team)];
	struct limit_team *te = g_hash_table_lookup(node->teams, &team);

	for (guint i = 0; te != NULL && i < te->waiters->len; i++)
		if (g_array_index(te->waiters, struct limit_waiter, i).id ==
		    id) {
			g_array_remove_index(te->waiters, i);
			node->waiting--;
			return;
		}
}

void
limit_exchange_refund(struct limit_exchange *ex, uint64_t team,
    const struct limit_rate *rate, int64_t admitted_us, int64_t now_us)
{
	struct limit_node *node = ex->nodes[kLimitEntry][shard_of(team)];
	int64_t expires_us = admitted_us + limit_lease_us(rate);
	struct limit_team *te;

	/* Counted as used: it cannot be told apart from the next ones. */
	if (now_us >= expires_us)
		return;
	te = limit_node_team(node, team, rate, now_us);
	te->expires_us = te->credit > 0 && now_us < te->expires_us
	    ? MIN(te->expires_us, expires_us)
	    : expires_us;
	te->credit++;
	limit_node_mark(node, te);
}

/* The child has repeated its request, or has others that wait.
 * @return false if none of its requests waits */
static bool
replace_waiter(struct limit_node *node, struct limit_team *te,
    const struct limit_waiter *w)
{
	for (guint i = 0; i < te->waiters->len; i++) {
		struct limit_waiter *old =
		    &g_array_index(te->waiters, struct limit_waiter, i);

		if (old->id != w->id)
			continue;
		old->count = w->count;
		old->asked_us = w->asked_us;
		return true;
	}
	return false;
}

/* A child of a delegate asks for a lease: it is answered now or, if the owner
 * has to be asked, later. */
static void
delegate_item(struct limit_node *node, struct limit_child *child,
    const struct limit_ask *ask, const struct limit_ask_item *item,
    int64_t now_us)
{
	struct limit_team *te =
	    limit_node_team(node, item->team, &item->rate, now_us);
	struct limit_lease_item answer = {
	    .team = item->team, .asked_us = ask->sent_us};
	struct limit_waiter w = {child->id, item->wanted, now_us, ask->sent_us};

	int64_t returned;

	if (!limit_child_reconcile(
		child, item, ask->sent_us, &returned, now_us))
		return;
	if (returned != 0) {
		if (te->credit <= 0)
			te->expires_us = now_us + kBeatDelegateUs / 2;
		te->credit += returned;
	}
	limit_node_mark(node, te);
	if (replace_waiter(node, te, &w))
		return;
	limit_team_record(te, item->wanted, now_us);
	if (te->waiters->len == 0 &&
	    limit_node_spend(node, te, item->wanted, NULL, now_us)) {
		answer.granted = item->wanted;
		limit_node_answer(node, child->id, &answer);
	} else if (now_us < te->refuse_until_us) {
		answer.granted = CLAMP(te->credit, 0, item->wanted);
		te->credit -= answer.granted;
		te->spent += answer.granted;
		answer.retry_us = limit_node_retry_us(
		    node, te, te->refuse_until_us - now_us, now_us);
		limit_node_answer(node, child->id, &answer);
	} else {
		g_array_append_val(te->waiters, w);
		node->waiting++;
	}
}

static void
owner_item(struct limit_node *node, struct limit_child *child,
    const struct limit_ask *ask, const struct limit_ask_item *item,
    int64_t now_us)
{
	struct limit_lease_item answer = {
	    .team = item->team, .asked_us = ask->sent_us};
	struct limit_rate rate = item->rate;
	struct limit_pot *pot = node->pot;
	int64_t returned;

	if (!limit_child_reconcile(
		child, item, ask->sent_us, &returned, now_us))
		return;
	node->ex->opt.ops->rate(node->ex->opt.ctx, item->team, &rate);
	if (rate.milli_per_s <= 0) {
		/* The limit has been removed; the child does not know yet. */
		answer.granted = item->wanted;
		limit_node_answer(node, child->id, &answer);
		return;
	}
	limit_pot_give_back(pot, item->team, &rate, returned, now_us);
	answer.granted =
	    limit_pot_take(pot, item->team, &rate, item->wanted, 0, now_us);
	if (answer.granted == item->wanted)
		answer.granted += limit_pot_take(pot, item->team, &rate,
		    item->prefetch, kReserveRequests, now_us);
	if (answer.granted < item->wanted + item->prefetch)
		answer.retry_us = MAX(
		    limit_pot_wait_us(pot, item->team, &rate, 1, now_us), 1);
	limit_node_answer(node, child->id, &answer);
}

static struct limit_child *
get_child(struct limit_node *node, const char *from, int64_t now_us)
{
	uint64_t id = limit_address_hash(from);
	struct limit_child *child = g_hash_table_lookup(node->children, &id);

	if (child == NULL) {
		child = g_new0(struct limit_child, 1);
		child->id = id;
		text_copy_or_none(child->address, sizeof(child->address), from);
		child->items =
		    g_array_new(FALSE, FALSE, sizeof(struct limit_lease_item));
		child->records = u64_hash_new(g_free);
		g_hash_table_insert(node->children, &child->id, child);
	}
	child->seen_us = now_us;
	return child;
}

void
limit_exchange_on_ask(struct limit_exchange *ex, const char *from,
    const struct limit_ask *ask, int64_t now_us)
{
	struct limit_node *node;
	struct limit_child *child;
	int64_t tie_us = ask->role == kLimitDelegate ? kLimitTieEntryUs
						     : kLimitTieDelegateUs;

	if (ask->role <= kLimitEntry || ask->role >= kLimitRoles ||
	    ask->shard < 0 || ask->shard >= kLimitShards)
		return;
	node = get_node(ex, ask->role, ask->shard, now_us);
	child = get_child(node, from, now_us);
	/* A time of this clock that has not come yet is one of a machine that
	 * has restarted since. */
	if (ask->heard_us > 0 && ask->heard_us <= now_us)
		limit_pot_set_member(node->pot, child->id, ask->members,
		    ask->heard_us + tie_us, now_us);
	limit_node_answer(node, child->id, NULL);
	for (guint i = 0; i < ask->count; i++)
		if (ask->role == kLimitDelegate)
			delegate_item(node, child, ask, &ask->items[i], now_us);
		else
			owner_item(node, child, ask, &ask->items[i], now_us);
}

/* Callbacks may make other requests, which changes the list. */
static void
deliver_verdicts(struct limit_exchange *ex)
{
	GArray *due = ex->verdicts;

	if (due->len == 0)
		return;
	ex->verdicts =
	    g_array_new(FALSE, FALSE, sizeof(struct limit_verdict_due));
	for (guint i = 0; i < due->len; i++) {
		const struct limit_verdict_due *vd =
		    &g_array_index(due, struct limit_verdict_due, i);

		ex->opt.ops->on_verdict(ex->opt.ctx, vd->id, &vd->result);
	}
	g_array_unref(due);
}

static int64_t
tie_us(const struct limit_node *node)
{
	return node->role == kLimitEntry ? kLimitTieEntryUs
					 : kLimitTieDelegateUs;
}

void
limit_exchange_on_lease(struct limit_exchange *ex, const char *from,
    const struct limit_lease *lease, int64_t now_us)
{
	struct limit_node *node;

	if (lease->role <= kLimitEntry || lease->role >= kLimitRoles ||
	    lease->shard < 0 || lease->shard >= kLimitShards)
		return;
	node = ex->nodes[lease->role - 1][lease->shard];
	if (node == NULL || strcmp(node->parent, from) != 0)
		return;
	node->unanswered = 0;
	node->answered_us = now_us;
	if (now_us >= node->bound_until_us && lease->at_us > node->heard_us) {
		/* The parent counts this node from its next message on. */
		if (node->heard_us == 0)
			node->beat_us = 0;
		node->heard_us = lease->at_us;
		limit_pot_tie(node->pot, now_us + tie_us(node), now_us);
	}
	for (guint i = 0; i < lease->count; i++)
		limit_node_on_item(node, &lease->items[i], now_us);
	deliver_verdicts(ex);
}

bool
limit_exchange_is_dirty(const struct limit_exchange *ex)
{
	return ex->has_work;
}

static void
flush_node(struct limit_node *node, int64_t now_us)
{
	limit_node_send_ask(node, false, now_us);
	limit_node_send_leases(node, now_us);
}

void
limit_exchange_flush(struct limit_exchange *ex, int64_t now_us)
{
	if (!ex->has_work)
		return;
	ex->has_work = false;
	for_each_node(ex, flush_node, now_us);
}

static bool
has_children(const struct limit_node *node)
{
	return node->role == kLimitEntry ||
	    g_hash_table_size(node->children) > 0;
}

static void
skip_silent_parent(struct limit_node *node, int64_t now_us)
{
	const struct limit_exchange_options *opt = &node->ex->opt;

	if (node->unanswered < kSilentAsks ||
	    now_us - node->unanswered_us < kSilentUs)
		return;
	if (opt->ops->on_silent != NULL)
		opt->ops->on_silent(
		    opt->ctx, node->role + 1, node->shard, node->parent);
	node->unanswered = 0;
	node->rank = (node->rank + 1) % kLimitRanks;
	node->rank_until_us = now_us + kSkipUs;
	node->beat_us = 0;
}

static void
tick_node(struct limit_node *node, int64_t now_us)
{
	int64_t beat_us =
	    node->role == kLimitEntry ? kBeatEntryUs : kBeatDelegateUs;

	if (node->unanswered > 0)
		beat_us = kBeatSilentUs;
	limit_node_tick(node, now_us);
	if (node->role == kLimitOwner || !has_children(node))
		return;
	skip_silent_parent(node, now_us);
	if (now_us - node->beat_us < beat_us)
		return;
	node->beat_us = now_us;
	limit_node_send_ask(node, true, now_us);
}

void
limit_exchange_tick(struct limit_exchange *ex, int64_t now_us)
{
	for_each_node(ex, tick_node, now_us);
	deliver_verdicts(ex);
	limit_exchange_flush(ex, now_us);
}

static int32_t
count_waiting(const struct limit_exchange *ex)
{
	int32_t n = 0;

	for (int r = 0; r < kLimitOwner; r++)
		for (int s = 0; s < kLimitShards; s++)
			if (ex->nodes[r][s] != NULL)
				n += ex->nodes[r][s]->waiting;
	return n;
}

int64_t
limit_exchange_next_us(const struct limit_exchange *ex, int64_t now_us)
{
	return now_us + (count_waiting(ex) > 0 ? kLimitTickUs : kTickIdleUs);
}

void
limit_exchange_get_state(const struct limit_exchange *ex, int64_t now_us,
    struct limit_exchange_state *state)
{
	*state = (struct limit_exchange_state){.waiting = count_waiting(ex)};
	for (int r = 0; r < kLimitRoles; r++)
		for (int s = 0; s < kLimitShards; s++) {
			const struct limit_node *node = ex->nodes[r][s];

			if (node == NULL)
				continue;
			state->teams +=
			    (int32_t)MAX(g_hash_table_size(node->teams),
				limit_pot_teams(node->pot));
			if (r == kLimitEntry)
				state->tied_shards +=
				    limit_pot_is_tied(node->pot, now_us);
			if (r == kLimitOwner)
				state->owned_shards +=
				    limit_pot_count(node->pot, now_us) > 0;
		}
}
