/* Strategies that select the entries of a membership message. */
#include "savoryflow/membership/selection.h"

#include "savoryflow/membership/membership.h"

static void
append_entry(struct member *m, GArray *entries)
{
	m->sends++;
	g_array_append_val(entries, m->entry);
}

static void
append_first(GPtrArray *members, int32_t max, GArray *entries)
{
	for (guint i = 0; i < members->len && (int32_t)i < max; i++)
		append_entry(members->pdata[i], entries);
}

static void
select_random(
    struct membership *ms, GPtrArray *members, int32_t max, GArray *entries)
{
	for (guint i = 0; i < members->len && (int32_t)i < max; i++) {
		guint j = i + membership_random(ms, members->len - i);
		void *tmp = members->pdata[i];

		members->pdata[i] = members->pdata[j];
		members->pdata[j] = tmp;
	}
	append_first(members, max, entries);
}

static int
compare_u64(uint64_t a, uint64_t b)
{
	return (a > b) - (a < b);
}

static int
compare_sent_order(const void *a, const void *b)
{
	const struct member *x = *(struct member *const *)a;
	const struct member *y = *(struct member *const *)b;

	return compare_u64(x->sent_order, y->sent_order);
}

static void
select_round_robin(
    struct membership *ms, GPtrArray *members, int32_t max, GArray *entries)
{
	uint64_t last = 0;

	g_ptr_array_sort(members, compare_sent_order);
	for (guint i = 0; i < members->len; i++) {
		const struct member *m = members->pdata[i];

		last = MAX(last, m->sent_order);
	}
	for (guint i = 0; i < members->len && (int32_t)i < max; i++)
		((struct member *)members->pdata[i])->sent_order = ++last;
	append_first(members, max, entries);
}

static int
compare_changed(const void *a, const void *b)
{
	const struct member *x = *(struct member *const *)a;
	const struct member *y = *(struct member *const *)b;

	if (x->sends != y->sends)
		return x->sends < y->sends ? -1 : 1;
	return compare_u64((uint64_t)y->changed_us, (uint64_t)x->changed_us);
}

/*
 * Messages that carry a change: three times the binary logarithm of the number
 * of members.
 */
static int32_t
send_limit(guint members)
{
	int32_t bits = 1;

	while ((members >> bits) != 0)
		bits++;
	return 3 * bits;
}

static void
select_changed(
    struct membership *ms, GPtrArray *members, int32_t max, GArray *entries)
{
	int32_t limit = send_limit(members->len);
	GPtrArray *fresh = g_ptr_array_new();

	for (guint i = 0; i < members->len; i++) {
		struct member *m = members->pdata[i];

		if (m->sends < limit)
			g_ptr_array_add(fresh, m);
	}
	g_ptr_array_sort(fresh, compare_changed);
	append_first(fresh, max, entries);
	g_ptr_array_unref(fresh);
}

static int
compare_last_message(const void *a, const void *b)
{
	const struct member *x = *(struct member *const *)a;
	const struct member *y = *(struct member *const *)b;

	return compare_u64(
	    (uint64_t)y->last_message_us, (uint64_t)x->last_message_us);
}

static void
select_received(
    struct membership *ms, GPtrArray *members, int32_t max, GArray *entries)
{
	g_ptr_array_sort(members, compare_last_message);
	append_first(members, max, entries);
}

const struct member_selection_ops member_select_random = {
    "random", select_random};
const struct member_selection_ops member_select_round_robin = {
    "round_robin", select_round_robin};
const struct member_selection_ops member_select_changed = {
    "changed", select_changed};
const struct member_selection_ops member_select_received = {
    "received", select_received};
