/* Gossip about which daemons of a data centre run. */
#include "savoryflow/membership/contacts.h"

#include "os/clock.h"
#include "savoryflow/arbiter/u64_hash.h"
#include "savoryflow/routing/rendezvous.h"

enum {
	/* A daemon that misses this many periods may be down. */
	kMissedPeriods = 3,
	/* A contact that is older than the timeout by this factor is no longer
	 * passed on. */
	kMaxAgeTimeouts = 2,
	kForgetUs = 60 * kUsPerS,
};

struct contacts {
	/** struct contact by session, excluding this daemon's. */
	GHashTable *known;
	struct contact self;
};

struct contacts *
contacts_new(void)
{
	struct contacts *ct = g_new0(struct contacts, 1);

	ct->known = u64_hash_new(g_free);
	return ct;
}

void
contacts_free(struct contacts *ct)
{
	g_hash_table_unref(ct->known);
	g_free(ct);
}

static gboolean
is_forgotten(void *key, void *val, void *now_us)
{
	return *(int64_t *)now_us - ((struct contact *)val)->beat_us >
	    kForgetUs;
}

void
contacts_beat(struct contacts *ct, const struct contact *self)
{
	uint32_t sequence = ct->self.sequence + 1;
	int64_t now_us = self->beat_us;

	ct->self = *self;
	ct->self.sequence = sequence;
	g_hash_table_foreach_remove(ct->known, is_forgotten, &now_us);
}

bool
contacts_record(struct contacts *ct, const struct contact *contact)
{
	struct contact *known =
	    g_hash_table_lookup(ct->known, &contact->session);

	if (contact->session == ct->self.session)
		return false;
	if (known != NULL && known->sequence >= contact->sequence)
		return false;
	if (known == NULL) {
		known = g_new0(struct contact, 1);
		known->session = contact->session;
		g_hash_table_insert(ct->known, &known->session, known);
	}
	*known = *contact;
	return true;
}

static gint
compare_sessions(const void *a, const void *b)
{
	uint64_t x = ((const struct contact *)a)->session;
	uint64_t y = ((const struct contact *)b)->session;

	return (x > y) - (x < y);
}

/* Reduces the list to a window that moves on with each period. */
static void
keep_window(GArray *list, uint32_t sequence)
{
	guint room = kContactsPerMessage - 1;
	guint first = sequence * room % list->len;
	GArray *copy;

	g_array_sort(list, compare_sessions);
	copy = g_array_copy(list);
	for (guint i = 0; i < room; i++)
		g_array_index(list, struct contact, i) = g_array_index(
		    copy, struct contact, (first + i) % copy->len);
	g_array_set_size(list, room);
	g_array_unref(copy);
}

void
contacts_select(const struct contacts *ct, int64_t now_us, GArray *out)
{
	int64_t max_age_us = kMaxAgeTimeouts *
	    contacts_timeout_us((int32_t)g_hash_table_size(ct->known) + 1);
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, ct->known);
	while (g_hash_table_iter_next(&it, NULL, &val))
		if (now_us - ((struct contact *)val)->beat_us <= max_age_us)
			g_array_append_vals(out, val, 1);
	if (out->len >= kContactsPerMessage)
		keep_window(out, ct->self.sequence);
	g_array_prepend_val(out, ct->self);
}

static const char *
find_successor(const char *self, const GPtrArray *peers)
{
	uint64_t own = rendezvous_weight("ring", self);
	const char *next = NULL;
	uint64_t next_gap = 0;

	for (guint i = 0; i < peers->len; i++) {
		/* Distance around the ring; wraps by unsigned arithmetic. */
		uint64_t gap = rendezvous_weight("ring", peers->pdata[i]) - own;

		if (next != NULL && gap >= next_gap)
			continue;
		next = peers->pdata[i];
		next_gap = gap;
	}
	return next;
}

static const char *
find_heaviest(const char *self, const GPtrArray *peers, const GPtrArray *taken)
{
	const char *best = NULL;
	uint64_t best_weight = 0;

	for (guint i = 0; i < peers->len; i++) {
		uint64_t weight = rendezvous_weight(self, peers->pdata[i]);

		if (g_ptr_array_find(
			(GPtrArray *)taken, peers->pdata[i], NULL) ||
		    (best != NULL && weight <= best_weight))
			continue;
		best = peers->pdata[i];
		best_weight = weight;
	}
	return best;
}

void
contacts_neighbours(const char *self, const GPtrArray *peers, GPtrArray *out)
{
	if (peers->len == 0)
		return;
	g_ptr_array_add(out, (void *)find_successor(self, peers));
	while (out->len < MIN((guint)kContactFanout, peers->len))
		g_ptr_array_add(out, (void *)find_heaviest(self, peers, out));
}

int64_t
contacts_timeout_us(int32_t daemons)
{
	int64_t reached = kContactFanout + 1;
	int32_t hops = 1;

	while (reached < daemons) {
		reached *= kContactFanout + 1;
		hops++;
	}
	/* If a message holds only some of the contacts, each is sent less
	 * often. */
	return (int64_t)(kMissedPeriods + hops - 1) * kContactPeriodUs *
	    (1 + daemons / kContactsPerMessage);
}
