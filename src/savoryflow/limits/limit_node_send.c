/* What a node asks its parent for, and its messages. */
#include <string.h>

#include "savoryflow/limits/limit_node.h"

#include "os/text_copy.h"

enum {
	/* A delegate holds what it expects to admit in this time: a round trip
	 * between regions of 60 ms, and some delay. */
	kPrefetchUs = 150000,
	/* It renews leases that would expire before its next message. */
	kRenewBeatUs = 280000,
	/* A team without requests for this time may have gone to another data
	 * centre: one request is prefetched, or none if its leases are shorter
	 * than that: they would expire again and again. */
	kRecentUs = 100000,
	kStandingUs = 300000,
	/* An answer is overdue after this time, and the request is repeated. A
	 * round trip between regions takes 60 ms; several requests within the
	 * data centre fit into kLimitWaitUs. */
	kRepeatEntryUs = 50000,
	/* The same if the parent has not answered anything since. */
	kRepeatUnheardUs = 20000,
	kRepeatDelegateUs = 80000,
};

static int64_t
waiting_count(const struct limit_team *te)
{
	int64_t n = 0;

	for (guint i = 0; i < te->waiters->len; i++)
		n += g_array_index(te->waiters, struct limit_waiter, i).count;
	return n;
}

/* Requests that a delegate holds ready beyond those that wait. */
static int64_t
prefetch_count(
    const struct limit_node *node, struct limit_team *te, int64_t now_us)
{
	int64_t requests;

	if (node->role != kLimitDelegate ||
	    now_us - te->used_us > kLimitActiveUs)
		return 0;
	if (now_us - te->used_us > kRecentUs)
		return limit_lease_us(&te->rate) >= kStandingUs;
	limit_team_roll(te, now_us);
	requests = MAX(te->requests, te->prev_requests);
	return 1 + requests * kPrefetchUs / kLimitWindowUs;
}

static int64_t
repeat_us(const struct limit_node *node, const struct limit_team *te)
{
	if (node->role == kLimitDelegate)
		return kRepeatDelegateUs;
	return node->answered_us >= te->asked_us ? kRepeatEntryUs
						 : kRepeatUnheardUs;
}

/* Whether the parent is to be asked now.
 * @param renew_us leases that expire within this time are renewed */
static bool
needs_ask(struct limit_node *node, struct limit_team *te, int64_t renew_us,
    int64_t now_us)
{
	int64_t prefetch = prefetch_count(node, te, now_us);

	if (te->asked_us != 0 && now_us - te->asked_us < repeat_us(node, te))
		return false;
	limit_team_expire(te, now_us);
	if (te->waiters->len > 0 || te->credit < 0)
		return true;
	if (te->credit > prefetch * 2)
		return true;
	if (now_us < te->no_prefetch_until_us)
		return false;
	if (te->credit * 2 < prefetch)
		return true;
	return te->expires_us - now_us < renew_us && prefetch > 0;
}

static bool
fill_item(struct limit_node *node, struct limit_team *te, int64_t renew_us,
    struct limit_ask_item *item, int64_t now_us)
{
	if (!needs_ask(node, te, renew_us, now_us))
		return false;
	*item = (struct limit_ask_item){
	    .team = te->team,
	    .last_us = te->last_us,
	    .returned = te->credit,
	    .wanted = waiting_count(te),
	    .prefetch = prefetch_count(node, te, now_us),
	    .rate = te->rate,
	};
	te->spent = 0;
	te->asked_wanted = item->wanted;
	te->asked_count = item->wanted + item->prefetch;
	te->asked_us = node->sent_us;
	return true;
}

static void
collect_all(struct limit_node *node, GArray *items, int64_t now_us)
{
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, node->teams);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct limit_team *te = val;
		struct limit_ask_item item;

		te->is_dirty = false;
		if (fill_item(node, te, kRenewBeatUs, &item, now_us))
			g_array_append_val(items, item);
	}
}

static void
collect_dirty(struct limit_node *node, GArray *items, int64_t now_us)
{
	for (guint i = 0; i < node->dirty->len; i++) {
		uint64_t id = g_array_index(node->dirty, uint64_t, i);
		struct limit_team *te = g_hash_table_lookup(node->teams, &id);
		struct limit_ask_item item;

		if (te == NULL)
			continue;
		te->is_dirty = false;
		if (fill_item(node, te, te->renew_us, &item, now_us))
			g_array_append_val(items, item);
	}
}

/* Selects the parent; what was asked of an earlier one is not answered. */
static void
select_parent(struct limit_node *node, int64_t now_us)
{
	const struct limit_exchange_options *opt = &node->ex->opt;
	const char *parent;
	GHashTableIter it;
	void *val;

	if (now_us >= node->rank_until_us)
		node->rank = 0;
	parent =
	    opt->ops->parent(opt->ctx, node->role + 1, node->shard, node->rank);
	if (strcmp(parent, node->parent) == 0)
		return;
	text_copy_or_none(node->parent, sizeof(node->parent), parent);
	node->heard_us = 0;
	node->unanswered = 0;
	node->bound_until_us =
	    MAX(node->bound_until_us, limit_pot_tied_until_us(node->pot));
	g_hash_table_iter_init(&it, node->teams);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct limit_team *te = val;

		te->last_us = 0;
		if (te->asked_us == 0)
			continue;
		te->asked_us = 0;
		limit_node_mark(node, te);
	}
}

static int32_t
member_count(const struct limit_node *node, int64_t now_us)
{
	if (node->role == kLimitEntry)
		return 1;
	/* The children stay until the tie to the owner has ended. */
	return limit_pot_count(
	    node->pot, now_us + kLimitTieDelegateUs + kRepeatDelegateUs);
}

void
limit_node_send_ask(struct limit_node *node, bool is_beat, int64_t now_us)
{
	const struct limit_exchange_options *opt = &node->ex->opt;
	GArray *items;
	struct limit_ask ask;

	if (node->role == kLimitOwner || (!is_beat && node->dirty->len == 0))
		return;
	select_parent(node, now_us);
	node->sent_us = MAX(now_us, node->sent_us + 1);
	items = g_array_new(FALSE, FALSE, sizeof(struct limit_ask_item));
	if (is_beat)
		collect_all(node, items, now_us);
	else
		collect_dirty(node, items, now_us);
	g_array_set_size(node->dirty, 0);
	if (is_beat || items->len > 0) {
		ask = (struct limit_ask){
		    .role = node->role + 1,
		    .shard = node->shard,
		    .members = member_count(node, now_us),
		    .heard_us = node->heard_us,
		    .sent_us = node->sent_us,
		    .items = (struct limit_ask_item *)items->data,
		    .count = items->len,
		};
		if (node->unanswered++ == 0)
			node->unanswered_us = now_us;
		opt->ops->send_ask(opt->ctx, node->parent, &ask);
	}
	g_array_unref(items);
}

void
limit_node_send_leases(struct limit_node *node, int64_t now_us)
{
	const struct limit_exchange_options *opt = &node->ex->opt;
	GHashTableIter it;
	void *val;

	if (!node->has_answers)
		return;
	node->has_answers = false;
	g_hash_table_iter_init(&it, node->children);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct limit_child *child = val;
		struct limit_lease lease = {
		    .role = node->role,
		    .shard = node->shard,
		    .at_us = now_us,
		    .items = (struct limit_lease_item *)child->items->data,
		    .count = child->items->len,
		};

		if (!child->must_answer)
			continue;
		child->must_answer = false;
		opt->ops->send_lease(opt->ctx, child->address, &lease);
		g_array_set_size(child->items, 0);
	}
}
