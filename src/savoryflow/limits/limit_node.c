/* One role in one shard: leases of teams, and what waits for them. */
#include "savoryflow/limits/limit_node.h"

#include <string.h>
#include <xxhash.h>

#include "savoryflow/arbiter/u64_hash.h"

enum {
	kUsPerSecond = 1000000,
	/* A delegate answers before its entries stop waiting. */
	kWaitDelegateUs = 120000,
	/* A parent that has nothing is not asked again for this time. */
	kRefuseMinUs = 10000,
	kRefuseMaxUs = 200000,
	/* Retry times are spread over at most this time. */
	kRetryMaxUs = 4 * kUsPerSecond,
	kRetryMinUs = 50000,
	kRetryStepUs = kUsPerSecond,
	kSweepUs = 2 * kUsPerSecond,
	/* A child that sends nothing for this time is forgotten. */
	kChildUs = 10 * kUsPerSecond,
};

uint64_t
limit_address_hash(const char *address)
{
	return XXH3_64bits(address, strlen(address));
}

static void
team_free(void *p)
{
	struct limit_team *te = p;

	g_array_unref(te->waiters);
	g_free(te);
}

static void
child_free(void *p)
{
	struct limit_child *child = p;

	g_array_unref(child->items);
	g_hash_table_unref(child->records);
	g_free(child);
}

bool
limit_child_reconcile(struct limit_child *child,
    const struct limit_ask_item *item, int64_t sent_us, int64_t *returned,
    int64_t now_us)
{
	struct limit_record *rec =
	    g_hash_table_lookup(child->records, &item->team);

	*returned = item->returned;
	if (rec == NULL) {
		rec = g_new0(struct limit_record, 1);
		rec->team = item->team;
		g_hash_table_insert(child->records, &rec->team, rec);
	} else if (sent_us <= rec->asked_us) {
		return false;
	} else if (item->last_us != rec->asked_us &&
	    now_us - rec->at_us < limit_lease_us(&item->rate)) {
		/* The answer was lost, and will not be applied any more. */
		*returned += rec->granted - rec->returned;
	}
	rec->asked_us = sent_us;
	rec->returned = item->returned;
	rec->granted = 0;
	rec->at_us = now_us;
	return true;
}

struct limit_node *
limit_node_new(struct limit_exchange *ex, enum limit_role role, int32_t shard,
    int64_t now_us)
{
	struct limit_node *node = g_new0(struct limit_node, 1);
	struct limit_pot_options pot = {
	    .seed = limit_address_hash(ex->address) + (uint64_t)shard,
	    .starts_with_slack = role == kLimitOwner,
	    .now_us = now_us,
	};

	node->ex = ex;
	node->role = role;
	node->shard = shard;
	node->pot = limit_pot_new(&pot);
	limit_pot_set_daemons(node->pot, ex->daemons, now_us);
	if (role == kLimitEntry)
		limit_pot_set_member(node->pot, pot.seed, 1, INT64_MAX, now_us);
	node->teams = u64_hash_new(team_free);
	node->children = u64_hash_new(child_free);
	node->dirty = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return node;
}

void
limit_node_free(struct limit_node *node)
{
	if (node == NULL)
		return;
	limit_pot_free(node->pot);
	g_hash_table_unref(node->teams);
	g_hash_table_unref(node->children);
	g_array_unref(node->dirty);
	g_free(node);
}

struct limit_team *
limit_node_team(struct limit_node *node, uint64_t team,
    const struct limit_rate *rate, int64_t now_us)
{
	struct limit_team *te = g_hash_table_lookup(node->teams, &team);

	if (te == NULL) {
		te = g_new0(struct limit_team, 1);
		te->team = team;
		te->window_us = now_us;
		te->waiters =
		    g_array_new(FALSE, FALSE, sizeof(struct limit_waiter));
		g_hash_table_insert(node->teams, &te->team, te);
	}
	te->rate = *rate;
	te->used_us = now_us;
	return te;
}

void
limit_team_roll(struct limit_team *te, int64_t now_us)
{
	if (now_us - te->window_us < kLimitWindowUs)
		return;
	te->prev_requests =
	    now_us - te->window_us < 2 * kLimitWindowUs ? te->requests : 0;
	te->requests = 0;
	te->window_us = now_us;
}

void
limit_team_record(struct limit_team *te, int64_t count, int64_t now_us)
{
	limit_team_roll(te, now_us);
	te->requests += count;
}

void
limit_team_expire(struct limit_team *te, int64_t now_us)
{
	if (now_us >= te->expires_us)
		te->credit = MIN(te->credit, 0);
}

bool
limit_node_spend(struct limit_node *node, struct limit_team *te, int64_t count,
    bool *is_equal_share, int64_t now_us)
{
	int64_t taken;

	limit_team_expire(te, now_us);
	if (te->credit >= count) {
		te->credit -= count;
		te->spent += count;
		return true;
	}
	if (limit_pot_is_tied(node->pot, now_us))
		return false;
	taken =
	    limit_pot_take(node->pot, te->team, &te->rate, count, 0, now_us);
	if (taken < count) {
		limit_pot_give_back(
		    node->pot, te->team, &te->rate, taken, now_us);
		return false;
	}
	if (is_equal_share != NULL)
		*is_equal_share = true;
	return true;
}

void
limit_node_mark(struct limit_node *node, struct limit_team *te)
{
	node->ex->has_work = true;
	if (te->is_dirty)
		return;
	te->is_dirty = true;
	g_array_append_val(node->dirty, te->team);
}

void
limit_node_answer(struct limit_node *node, uint64_t child,
    const struct limit_lease_item *item)
{
	struct limit_child *ch = g_hash_table_lookup(node->children, &child);
	struct limit_record *rec;

	if (ch == NULL)
		return;
	ch->must_answer = true;
	node->has_answers = true;
	node->ex->has_work = true;
	if (item == NULL)
		return;
	g_array_append_val(ch->items, *item);
	rec = g_hash_table_lookup(ch->records, &item->team);
	if (rec != NULL && rec->asked_us == item->asked_us)
		rec->granted = item->granted;
}

int64_t
limit_node_retry_us(struct limit_node *node, struct limit_team *te,
    int64_t wait_us, int64_t now_us)
{
	/* A data centre may get more than its share of a small rate. */
	int64_t interval_us = MIN(
	    limit_pot_interval_us(node->pot, &te->rate, now_us), kRetryStepUs);
	int64_t first_us = now_us + MAX(wait_us, kRetryMinUs);

	/* Begins again at the front when the latest time is reached. */
	if (te->next_retry_us > now_us + kRetryMaxUs)
		te->next_retry_us = 0;
	te->next_retry_us = MAX(te->next_retry_us + interval_us, first_us);
	return te->next_retry_us - now_us;
}

/* Spreads the requests that one answer of the delegate refuses. */
static int64_t
entry_retry_us(uint64_t id, int64_t wait_us)
{
	int64_t least_us = MAX(wait_us, kRetryMinUs);
	uint64_t spread = XXH3_64bits(&id, sizeof(id));

	return least_us + (int64_t)(spread % (uint64_t)(least_us / 2));
}

/* Ends the wait of a child or request with what it gets. */
static void
resolve(struct limit_node *node, struct limit_team *te,
    const struct limit_waiter *w, const struct limit_result *part,
    int64_t granted, int64_t now_us)
{
	struct limit_lease_item item = {
	    .team = te->team, .granted = granted, .asked_us = w->asked_us};
	struct limit_verdict_due due = {w->id, *part};

	if (node->role == kLimitEntry) {
		due.result.outcome =
		    granted > 0 ? kLimitAdmitted : kLimitRejected;
		due.result.retry_us =
		    granted > 0 ? 0 : entry_retry_us(w->id, part->retry_us);
		g_array_append_val(node->ex->verdicts, due);
		return;
	}
	if (granted < w->count)
		item.retry_us =
		    limit_node_retry_us(node, te, part->retry_us, now_us);
	limit_node_answer(node, w->id, &item);
}

/* Serves those that wait, in order, while there is credit. */
static void
serve_waiters(struct limit_node *node, struct limit_team *te, int64_t now_us)
{
	while (te->waiters->len > 0) {
		struct limit_waiter w =
		    g_array_index(te->waiters, struct limit_waiter, 0);
		struct limit_result all = {0};

		if (!limit_node_spend(
			node, te, w.count, &all.is_equal_share, now_us))
			break;
		g_array_remove_index(te->waiters, 0);
		node->waiting--;
		resolve(node, te, &w, &all, w.count, now_us);
	}
}

/* Refuses those that have waited since a time or longer, with what is left. */
static void
refuse_waiters(struct limit_node *node, struct limit_team *te, int64_t since_us,
    int64_t wait_us, int64_t now_us)
{
	while (te->waiters->len > 0) {
		struct limit_waiter w =
		    g_array_index(te->waiters, struct limit_waiter, 0);
		int64_t part = CLAMP(te->credit, 0, w.count);
		struct limit_result rest = {.retry_us = wait_us};

		if (w.since_us > since_us)
			break;
		g_array_remove_index(te->waiters, 0);
		node->waiting--;
		te->credit -= part;
		te->spent += part;
		resolve(node, te, &w, &rest, part, now_us);
	}
}

void
limit_node_on_item(struct limit_node *node, const struct limit_lease_item *item,
    int64_t now_us)
{
	struct limit_team *te = g_hash_table_lookup(node->teams, &item->team);
	int64_t asked_us;
	int64_t pause_us = CLAMP(item->retry_us, kRefuseMinUs, kRefuseMaxUs);

	if (te == NULL || te->asked_us == 0 || te->asked_us != item->asked_us)
		return;
	asked_us = te->asked_us;
	te->asked_us = 0;
	limit_team_expire(te, now_us);
	te->last_us = asked_us;
	te->credit = item->granted - te->spent;
	te->expires_us = asked_us + limit_lease_us(&te->rate);
	serve_waiters(node, te, now_us);
	if (item->granted < te->asked_count)
		te->no_prefetch_until_us = now_us + pause_us;
	if (item->granted < te->asked_wanted) {
		te->refuse_until_us = now_us + pause_us;
		refuse_waiters(node, te, asked_us, item->retry_us, now_us);
	}
	limit_node_mark(node, te);
}

/* The owner is late: a delegate admits a little in advance of its answer, to be
 * deducted from the next lease. */
static void
lend(struct limit_node *node, struct limit_team *te, int64_t since_us,
    int64_t now_us)
{
	int64_t debt_max = limit_pot_debt(node->pot, &te->rate, now_us);

	limit_team_expire(te, now_us);
	while (te->waiters->len > 0) {
		struct limit_waiter w =
		    g_array_index(te->waiters, struct limit_waiter, 0);
		struct limit_result all = {0};

		if (w.since_us > since_us || te->credit - w.count < -debt_max ||
		    now_us < te->refuse_until_us)
			break;
		g_array_remove_index(te->waiters, 0);
		node->waiting--;
		te->credit -= w.count;
		te->spent += w.count;
		resolve(node, te, &w, &all, w.count, now_us);
	}
}

static void
tick_team(struct limit_node *node, struct limit_team *te, int64_t now_us)
{
	int64_t interval_us;
	int64_t wait_us =
	    node->role == kLimitEntry ? kLimitWaitUs : kWaitDelegateUs;

	te->renew_us = 0;
	if (te->waiters->len == 0 && te->asked_us == 0) {
		if (te->credit > 0 &&
		    te->expires_us - now_us < kLimitRenewTickUs) {
			te->renew_us = kLimitRenewTickUs;
			limit_node_mark(node, te);
		}
		return;
	}
	interval_us = limit_pot_interval_us(node->pot, &te->rate, now_us);
	serve_waiters(node, te, now_us);
	if (node->role == kLimitDelegate)
		lend(node, te, now_us - wait_us, now_us);
	refuse_waiters(
	    node, te, now_us - wait_us, MIN(interval_us, kRetryMaxUs), now_us);
	if (te->asked_us != 0 && now_us - te->asked_us > kLimitWaitUs &&
	    te->waiters->len == 0)
		te->asked_us = 0;
	limit_node_mark(node, te);
}

static bool
is_idle(const struct limit_team *te, int64_t now_us)
{
	return te->waiters->len == 0 && te->asked_us == 0 && !te->is_dirty &&
	    (te->credit <= 0 || now_us >= te->expires_us) &&
	    te->next_retry_us <= now_us &&
	    now_us - te->used_us > kLimitActiveUs;
}

static void
sweep_records(struct limit_child *child, int64_t now_us)
{
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, child->records);
	while (g_hash_table_iter_next(&it, NULL, &val))
		if (now_us - ((struct limit_record *)val)->at_us >
		    kLimitActiveUs)
			g_hash_table_iter_remove(&it);
}

static void
sweep_children(struct limit_node *node, int64_t now_us)
{
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, node->children);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		sweep_records(val, now_us);
		if (now_us - ((struct limit_child *)val)->seen_us > kChildUs)
			g_hash_table_iter_remove(&it);
	}
}

static void
sweep(struct limit_node *node, int64_t now_us)
{
	GHashTableIter it;
	void *val;

	if (now_us - node->swept_us < kSweepUs)
		return;
	node->swept_us = now_us;
	limit_pot_sweep(node->pot, now_us);
	g_hash_table_iter_init(&it, node->teams);
	while (g_hash_table_iter_next(&it, NULL, &val))
		if (is_idle(val, now_us))
			g_hash_table_iter_remove(&it);
	sweep_children(node, now_us);
}

void
limit_node_tick(struct limit_node *node, int64_t now_us)
{
	GHashTableIter it;
	void *val;

	sweep(node, now_us);
	if (node->role == kLimitOwner)
		return;
	g_hash_table_iter_init(&it, node->teams);
	while (g_hash_table_iter_next(&it, NULL, &val))
		tick_team(node, val, now_us);
}
