/* Who may use how much of the memory for clients. */
#include "savoryflow/budget/budget.h"

enum {
	kMib = 1024 * 1024,
	/* Resident memory without clients is 16 MiB; threads that have run
	 * and the lists of large deployments add to it. */
	kProcessMib = 24,
	/* A budget smaller than this could not hold one request of 4 MiB. */
	kLimitMinBytes = 8 * kMib,
	kReserveDivisor = 8,
	/* Signals, event loops, threads, log and the listeners. */
	kProcessDescriptors = 32,
	kReservedDescriptorsMin = 64,
	kReservedDescriptorsDivisor = 4,
	/* Load balancers and collectors of metrics use a few. */
	kOperatorConnections = 16,
	kOperatorListeners = 2,
	kClosingConnections = 8,
	kConnectionsMin = 16,
	/* Connections may use this part of the memory. */
	kConnectionsDivisor = 2,
};

struct budget {
	struct budget_options opt;
	int64_t used_bytes;
	int64_t other_bytes;
	int64_t bytes[kBudgetAccountCount];
	/** Debtors, the one without progress for the longest time first. */
	GQueue by_progress;
	uint64_t orders;
	/** Debtors that wait, in the order in which their requests began. */
	GQueue by_wait;
	bool is_short;
};

struct budget *
budget_new(const struct budget_options *opt)
{
	struct budget *b = g_new0(struct budget, 1);

	b->opt = *opt;
	g_queue_init(&b->by_progress);
	g_queue_init(&b->by_wait);
	return b;
}

void
budget_free(struct budget *b)
{
	g_free(b);
}

struct budget_options
budget_options_of_vm(int64_t memory_mib)
{
	struct budget_options opt = {0};

	if (memory_mib <= 0)
		return opt;
	opt.limit_bytes =
	    (memory_mib * kMib / 5 * 4 - kProcessMib * kMib) / 4 * 3;
	opt.limit_bytes = MAX(opt.limit_bytes, kLimitMinBytes);
	opt.reserve_bytes = opt.limit_bytes / kReserveDivisor;
	return opt;
}

void
budget_add(struct budget *b, struct budget_debtor *d, void *owner,
    const void *group, int64_t now_us)
{
	*d = (struct budget_debtor){
	    .owner = owner,
	    .group = group,
	    .progress_us = now_us,
	    .by_progress.data = d,
	    .by_wait.data = d,
	    .is_listed = true,
	};
	g_queue_push_tail_link(&b->by_progress, &d->by_progress);
}

static void
stop_waiting(struct budget *b, struct budget_debtor *d)
{
	if (d->waiting_since_us == 0)
		return;
	d->waiting_since_us = 0;
	g_queue_unlink(&b->by_wait, &d->by_wait);
}

static void
add_bytes(struct budget *b, struct budget_debtor *d,
    enum budget_account account, int64_t bytes)
{
	d->bytes[account] += bytes;
	d->total_bytes += bytes;
	b->bytes[account] += bytes;
	b->used_bytes += bytes;
}

void
budget_remove(struct budget *b, struct budget_debtor *d)
{
	if (!d->is_listed)
		return;
	stop_waiting(b, d);
	for (int i = 0; i < kBudgetAccountCount; i++)
		add_bytes(b, d, i, -d->bytes[i]);
	g_queue_unlink(&b->by_progress, &d->by_progress);
	d->is_listed = false;
}

static void
record_progress(struct budget *b, struct budget_debtor *d, int64_t now_us)
{
	d->progress_bytes = 0;
	d->progress_us = now_us;
	g_queue_unlink(&b->by_progress, &d->by_progress);
	g_queue_push_tail_link(&b->by_progress, &d->by_progress);
}

void
budget_set_phase(struct budget *b, struct budget_debtor *d,
    enum budget_phase phase, int64_t now_us)
{
	if (!d->is_listed)
		return;
	if (phase == kBudgetSending && d->phase != kBudgetSending)
		d->order = ++b->orders;
	d->phase = phase;
	stop_waiting(b, d);
	record_progress(b, d, now_us);
}

void
budget_progress(
    struct budget *b, struct budget_debtor *d, int64_t bytes, int64_t now_us)
{
	if (!d->is_listed)
		return;
	d->progress_bytes += bytes;
	if (d->progress_bytes >= kBudgetProgressBytes)
		record_progress(b, d, now_us);
}

/* Bytes beyond those of the connection. */
static int64_t
own_bytes(const struct budget_debtor *d)
{
	return d->total_bytes - d->bytes[kBudgetConnections];
}

static bool
has_room(const struct budget *b, const struct budget_debtor *d, int64_t bytes,
    int64_t promised_bytes)
{
	int64_t limit = b->opt.limit_bytes;

	if (limit == 0)
		return true;
	if (own_bytes(d) + bytes > kBudgetOrdinaryBytes)
		limit -= b->opt.reserve_bytes;
	return b->used_bytes + b->other_bytes + promised_bytes + bytes <= limit;
}

static void
start_waiting(struct budget *b, struct budget_debtor *d, int64_t now_us)
{
	GList *next = b->by_wait.head;

	d->waiting_since_us = MAX(now_us, 1);
	while (next != NULL &&
	    ((struct budget_debtor *)next->data)->order < d->order)
		next = next->next;
	if (next != NULL)
		g_queue_insert_before_link(&b->by_wait, next, &d->by_wait);
	else
		g_queue_push_tail_link(&b->by_wait, &d->by_wait);
}

enum budget_verdict
budget_grow(struct budget *b, struct budget_debtor *d,
    enum budget_account account, int64_t bytes, int64_t now_us)
{
	if (!d->is_listed)
		return kBudgetRefused;
	if (has_room(b, d, bytes, 0)) {
		stop_waiting(b, d);
		add_bytes(b, d, account, bytes);
		if (account == kBudgetReading)
			budget_progress(b, d, bytes, now_us);
		return kBudgetGranted;
	}
	b->is_short = true;
	if (account != kBudgetReading)
		return kBudgetRefused;
	if (d->waiting_since_us == 0) {
		start_waiting(b, d, now_us);
	}
	return kBudgetWait;
}

void
budget_set_other(struct budget *b, int64_t bytes)
{
	b->other_bytes = bytes;
}

void
budget_charge(struct budget *b, struct budget_debtor *d,
    enum budget_account account, int64_t bytes)
{
	if (d->is_listed)
		add_bytes(b, d, account, bytes);
}

void
budget_release(struct budget *b, struct budget_debtor *d,
    enum budget_account account, int64_t bytes)
{
	add_bytes(b, d, account, -MIN(bytes, d->bytes[account]));
}

void
budget_clear(
    struct budget *b, struct budget_debtor *d, enum budget_account account)
{
	add_bytes(b, d, account, -d->bytes[account]);
}

void
budget_move(struct budget *b, struct budget_debtor *d, enum budget_account from,
    enum budget_account to)
{
	int64_t bytes = d->bytes[from];

	add_bytes(b, d, from, -bytes);
	add_bytes(b, d, to, bytes);
}

static bool
is_closable(const struct budget_debtor *d)
{
	return d->phase != kBudgetRunning && d->waiting_since_us == 0;
}

struct budget_debtor *
budget_largest_idle(struct budget *b, int64_t now_us)
{
	struct budget_debtor *largest = NULL;

	for (GList *it = b->by_progress.head; it != NULL; it = it->next) {
		struct budget_debtor *d = it->data;

		if (now_us - d->progress_us < kBudgetIdleUs)
			break;
		if (is_closable(d) && own_bytes(d) > 0 &&
		    (largest == NULL || own_bytes(d) > own_bytes(largest)))
			largest = d;
	}
	return largest;
}

struct budget_debtor *
budget_largest(struct budget *b, enum budget_account account)
{
	struct budget_debtor *largest = NULL;

	for (GList *it = b->by_progress.head; it != NULL; it = it->next) {
		struct budget_debtor *d = it->data;

		if (d->bytes[account] >
		    (largest != NULL ? largest->bytes[account] : 0))
			largest = d;
	}
	return largest;
}

/* The last request that waits; an ordinary one only if no other waits. */
static struct budget_debtor *
last_waiting(struct budget *b)
{
	for (GList *it = b->by_wait.tail; it != NULL; it = it->prev)
		if (own_bytes(it->data) > kBudgetOrdinaryBytes)
			return it->data;
	return g_queue_peek_tail(&b->by_wait);
}

/* The idle connection that was used the longest time ago. */
static struct budget_debtor *
oldest_unused(struct budget *b, int64_t now_us)
{
	for (GList *it = b->by_progress.head; it != NULL; it = it->next) {
		struct budget_debtor *d = it->data;

		if (now_us - d->progress_us < kBudgetIdleUs)
			break;
		if (d->phase == kBudgetIdle)
			return d;
	}
	return NULL;
}

struct budget_debtor *
budget_victim(struct budget *b, int64_t now_us)
{
	struct budget_debtor *d;
	int64_t wait_us;

	if (b->opt.limit_bytes == 0 ||
	    (b->by_wait.length == 0 && b->used_bytes <= b->opt.limit_bytes))
		return NULL;
	d = budget_largest_idle(b, now_us);
	if (d == NULL)
		d = oldest_unused(b, now_us);
	if (d != NULL)
		return d;
	d = last_waiting(b);
	if (d == NULL)
		return NULL;
	wait_us = b->by_wait.length > 1 ? kBudgetWaitUs : kBudgetLoneWaitUs;
	if (b->by_wait.length > kBudgetWaitersMax ||
	    now_us - d->waiting_since_us >= wait_us)
		return d;
	return NULL;
}

struct budget_debtor *
budget_longest_idle(
    struct budget *b, const void *group, const struct budget_debtor *except)
{
	struct budget_debtor *slowest = NULL;

	for (GList *it = b->by_progress.head; it != NULL; it = it->next) {
		struct budget_debtor *d = it->data;

		if (d->group != group || d == except)
			continue;
		if (d->phase == kBudgetIdle)
			return d;
		if (slowest == NULL && is_closable(d))
			slowest = d;
	}
	return slowest;
}

struct budget_debtor *
budget_next_ready(struct budget *b, int64_t promised_bytes, int64_t now_us)
{
	for (GList *it = b->by_wait.head; it != NULL; it = it->next) {
		struct budget_debtor *d = it->data;
		int64_t left = kBudgetOrdinaryBytes - own_bytes(d);
		int64_t bytes = left > 0 ? left : kBudgetOrdinaryBytes;

		if (!has_room(b, d, bytes, promised_bytes))
			continue;
		stop_waiting(b, d);
		record_progress(b, d, now_us);
		return d;
	}
	return NULL;
}

void
budget_get_usage(struct budget *b, struct budget_usage *out)
{
	int64_t shared = b->opt.limit_bytes - b->opt.reserve_bytes;

	if (b->by_wait.length == 0 && b->used_bytes <= shared / 2)
		b->is_short = false;
	*out = (struct budget_usage){
	    .limit_bytes = b->opt.limit_bytes,
	    .used_bytes = b->used_bytes,
	    .debtors = (int32_t)b->by_progress.length,
	    .waiting = (int32_t)b->by_wait.length,
	    .is_short = b->is_short,
	};
	for (int i = 0; i < kBudgetAccountCount; i++)
		out->bytes[i] = b->bytes[i];
}

struct budget_connections
budget_connections_of_vm(int64_t descriptors, int64_t limit_bytes,
    int64_t connection_bytes, int32_t unlimited)
{
	struct budget_connections n = {unlimited, unlimited, 0};
	int64_t front = unlimited;

	if (descriptors <= 0 && limit_bytes <= 0)
		return n;
	n.operators = kOperatorConnections;
	n.closing = kClosingConnections;
	if (descriptors > 0)
		front = MIN(front,
		    descriptors - kProcessDescriptors -
			MAX(descriptors / kReservedDescriptorsDivisor,
			    kReservedDescriptorsMin) -
			kOperatorListeners *
			    (kOperatorConnections + kClosingConnections) -
			kClosingConnections);
	if (limit_bytes > 0)
		front = MIN(front,
		    limit_bytes / kConnectionsDivisor / connection_bytes);
	n.front = (int32_t)MAX(front, kConnectionsMin);
	return n;
}
