/*
 * Strategies that select the entries of a membership message, compared on the
 * decision modules in virtual time: periods and bytes until all daemons know a
 * change.
 */
#include <stdio.h>
#include <string.h>

#include "bench.h"
#include "os/text_copy.h"
#include "savoryflow/membership/membership.h"
#include "savoryflow/membership/selection.h"

enum {
	kPeriodUs = 1000000,
	kTickUs = 50000,
	kPeriodsMax = 400,
	kChanges = 5,
	kDaemonsMax = 380,
	/* Encoded size of one entry without its strings. */
	kEntryOverheadBytes = 21,
};

struct group {
	struct membership *members[kDaemonsMax];
	int32_t n;
	GQueue in_flight;
	int64_t now_us;
	int64_t bytes;
};

static void
group_address(char *text, int32_t i)
{
	g_snprintf(
	    text, kMemberAddressMax, "10.0.%d.%d:9080", i / 200, i % 200 + 1);
}

static void
fill_entry(struct member_entry *entry, int32_t i)
{
	memset(entry, 0, sizeof(*entry));
	group_address(entry->address, i);
	group_address(entry->http, i);
	text_copy_or_none(entry->region, sizeof(entry->region), "north");
	text_copy_or_none(
	    entry->data_center, sizeof(entry->data_center), "dc1");
	entry->incarnation = 1000;
}

static void
send_messages(struct group *g, GPtrArray *out)
{
	g_ptr_array_set_free_func(out, NULL);
	for (guint i = 0; i < out->len; i++) {
		struct member_message *msg = out->pdata[i];

		for (guint k = 0; k < msg->entries->len; k++) {
			const struct member_entry *e = &g_array_index(
			    msg->entries, struct member_entry, k);

			g->bytes += (int64_t)(strlen(e->address) +
			    strlen(e->http) + strlen(e->region) +
			    strlen(e->data_center) + kEntryOverheadBytes);
		}
		g_queue_push_tail(&g->in_flight, msg);
	}
	g_ptr_array_unref(out);
}

static int32_t
member_index(const char *address)
{
	int a = 0;
	int b = 0;

	sscanf(address, "10.0.%d.%d", &a, &b);
	return a * 200 + b - 1;
}

static void
deliver_messages(struct group *g)
{
	guint n = g_queue_get_length(&g->in_flight);

	for (guint i = 0; i < n; i++) {
		struct member_message *msg = g_queue_pop_head(&g->in_flight);
		GPtrArray *out = membership_messages_new();

		membership_receive(
		    g->members[member_index(msg->to)], msg, g->now_us, out);
		send_messages(g, out);
		membership_message_free(msg);
	}
}

static void
group_step(struct group *g)
{
	g->now_us += kTickUs;
	deliver_messages(g);
	for (int32_t i = 0; i < g->n; i++) {
		GPtrArray *out = membership_messages_new();

		membership_tick(g->members[i], g->now_us, out);
		send_messages(g, out);
	}
}

/* Creates a group whose daemons all know each other. */
static void
group_init(
    struct group *g, int32_t n, const struct member_selection_ops *strategy)
{
	struct member_message *all = membership_message_new();

	memset(g, 0, sizeof(*g));
	g->n = n;
	g->now_us = kPeriodUs;
	g_queue_init(&g->in_flight);
	all->kind = kMemberExchangeReply;
	for (int32_t i = 0; i < n; i++) {
		struct membership_options opt = {
		    .period_us = kPeriodUs,
		    .suspect_us = 8 * (int64_t)kPeriodUs,
		    .forget_us = 7200 * (int64_t)kPeriodUs,
		    .selection = strategy,
		    .no_exchange = true,
		    .seed = 1000 + (uint64_t)i,
		};

		fill_entry(&opt.self, i);
		g->members[i] = membership_new(&opt);
		g_array_append_val(all->entries, opt.self);
	}
	for (int32_t i = 0; i < n; i++) {
		GPtrArray *out = membership_messages_new();

		membership_receive(g->members[i], all, g->now_us, out);
		g_ptr_array_unref(out);
	}
	membership_message_free(all);
	/* Lets the dissemination of the initial entries finish. */
	for (int i = 0; i < 60 * kPeriodUs / kTickUs; i++)
		group_step(g);
}

static void
group_free(struct group *g)
{
	struct member_message *msg;

	while ((msg = g_queue_pop_head(&g->in_flight)) != NULL)
		membership_message_free(msg);
	for (int32_t i = 0; i < g->n; i++)
		membership_free(g->members[i]);
}

static bool
is_known_to_all(
    const struct group *g, const char *address, uint64_t incarnation)
{
	for (int32_t i = 0; i < g->n; i++) {
		const struct member *m =
		    membership_find(g->members[i], address);

		if (m != NULL && m->entry.incarnation < incarnation)
			return false;
	}
	return true;
}

/* Periods from a change at one daemon until all daemons know it. */
static double
measure_spread(struct group *g, int32_t change)
{
	struct member_message *msg = membership_message_new();
	GPtrArray *out = membership_messages_new();
	struct member_entry entry;
	int64_t start_us = g->now_us;

	fill_entry(&entry, (change * 7 + 3) % g->n);
	entry.incarnation = 2000 + (uint64_t)change;
	msg->kind = kMemberAck;
	g_array_append_val(msg->entries, entry);
	membership_receive(g->members[change % g->n], msg, g->now_us, out);
	g_ptr_array_unref(out);
	membership_message_free(msg);
	while (!is_known_to_all(g, entry.address, entry.incarnation) &&
	    g->now_us - start_us < kPeriodsMax * (int64_t)kPeriodUs)
		group_step(g);
	return (double)(g->now_us - start_us) / kPeriodUs;
}

static void
bench_strategy(int32_t n, const struct member_selection_ops *strategy)
{
	struct group g;
	double periods = 0;
	int64_t start_us;
	char name[96];
	struct figure fig = {name, 0, "periods", kBoundNone, 0};

	group_init(&g, n, strategy);
	g.bytes = 0;
	start_us = g.now_us;
	for (int32_t i = 0; i < kChanges; i++)
		periods += measure_spread(&g, i);
	g_snprintf(name, sizeof(name), "membership.n%d.%s.periods_until_known",
	    n, strategy->name);
	fig.value = periods / kChanges;
	/* Requirement: all daemons know within 13 s; a period is 1 s. */
	if (strategy == &member_select_changed) {
		fig.kind = kBoundAtMost;
		fig.bound = 13;
	}
	bench_print_figure(&fig);
	g_snprintf(name, sizeof(name), "membership.n%d.%s.bytes_per_s", n,
	    strategy->name);
	fig.value =
	    (double)g.bytes / n / ((double)(g.now_us - start_us) / kPeriodUs);
	fig.unit = "B/s";
	fig.kind = kBoundAtMost;
	fig.bound = 29000;
	bench_print_figure(&fig);
	group_free(&g);
}

void
bench_membership(void)
{
	static const struct member_selection_ops *const strategies[] = {
	    &member_select_random, &member_select_round_robin,
	    &member_select_changed, &member_select_received};
	static const int32_t sizes[] = {10, 40, 80};

	for (size_t s = 0; s < G_N_ELEMENTS(sizes); s++)
		for (size_t w = 0; w < G_N_ELEMENTS(strategies); w++)
			bench_strategy(sizes[s], strategies[w]);
	bench_strategy(kDaemonsMax, &member_select_changed);
}
