/* Failure detection by pings, which also carry changes of members. */
#include "savoryflow/membership/membership.h"

#include "os/text_copy.h"

#include <assert.h>
#include <string.h>
#include <xxhash.h>

enum {
	/* Members asked to ping an unresponsive one. */
	kIndirectPings = 2,
	/* Members notified when this daemon leaves. */
	kLeaveFanout = 4,
	/* Periods between attempts to ping a member that is down. */
	kRetryDownPeriods = 5,
	/* Periods between exchanges started here, doubled up to the maximum. */
	kExchangePeriodsFirst = 1,
	kExchangePeriodsMax = 20,
	/* Send count of an entry that needs no further dissemination. */
	kSendsExhausted = 1000,
	kExpiryChecksPerPeriod = 4,
};

struct membership {
	struct membership_options opt;
	/** struct member by address, excluding this daemon. */
	GHashTable *members;
	GPtrArray *ping_order;
	guint ping_next;
	char pinged[kMemberAddressMax];
	bool is_ping_acked;
	bool is_indirect_ping_sent;
	int64_t ping_sent_us;
	int64_t next_ping_us;
	int64_t next_exchange_us;
	int64_t exchange_wait_us;
	int64_t next_expiry_us;
	uint64_t periods;
	uint64_t epoch;
	uint64_t digest;
	bool is_digest_valid;
	uint64_t rng;
	bool is_leaving;
};

uint32_t
membership_random(struct membership *ms, uint32_t n)
{
	ms->rng ^= ms->rng << 13;
	ms->rng ^= ms->rng >> 7;
	ms->rng ^= ms->rng << 17;
	return n > 0 ? (uint32_t)((ms->rng >> 16) % n) : 0;
}

void
membership_message_free(void *p)
{
	struct member_message *msg = p;

	g_array_unref(msg->entries);
	g_free(msg);
}

GPtrArray *
membership_messages_new(void)
{
	return g_ptr_array_new_with_free_func(membership_message_free);
}

struct member_message *
membership_message_new(void)
{
	struct member_message *msg = g_new0(struct member_message, 1);

	msg->entries = g_array_new(FALSE, TRUE, sizeof(struct member_entry));
	return msg;
}

struct membership *
membership_new(const struct membership_options *opt)
{
	struct membership *ms = g_new0(struct membership, 1);

	assert(opt->period_us > 0);
	ms->opt = *opt;
	ms->opt.self.state = kMemberAlive;
	ms->members =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	ms->ping_order = g_ptr_array_new_with_free_func(g_free);
	ms->is_ping_acked = true;
	ms->exchange_wait_us = kExchangePeriodsFirst * opt->period_us;
	ms->rng = opt->seed | 1;
	return ms;
}

void
membership_free(struct membership *ms)
{
	g_hash_table_unref(ms->members);
	g_ptr_array_unref(ms->ping_order);
	g_free(ms);
}

bool
membership_is_usable(const struct member *m)
{
	return m->entry.incarnation > 0 &&
	    (m->entry.state == kMemberAlive ||
		m->entry.state == kMemberSuspect);
}

static struct member *
member_get(const struct membership *ms, const char *address)
{
	return g_hash_table_lookup(ms->members, address);
}

static struct member *
member_add(struct membership *ms, const char *address, int64_t now_us)
{
	struct member *m = g_new0(struct member, 1);
	guint at = membership_random(ms, ms->ping_order->len + 1);

	text_copy_or_none(m->entry.address, sizeof(m->entry.address), address);
	m->changed_us = now_us;
	g_hash_table_insert(ms->members, m->entry.address, m);
	g_ptr_array_insert(ms->ping_order, (gint)at, g_strdup(address));
	return m;
}

void
membership_seed(struct membership *ms, const char *address, int64_t now_us)
{
	if (strcmp(address, ms->opt.self.address) == 0)
		return;
	if (member_get(ms, address) == NULL)
		member_add(ms, address, now_us);
}

static void
member_set(struct membership *ms, struct member *m,
    const struct member_entry *entry, int64_t now_us)
{
	bool was_usable = membership_is_usable(m);

	ms->is_digest_valid = false;
	m->entry = *entry;
	m->changed_us = now_us;
	m->sends = 0;
	if (membership_is_usable(m) != was_usable)
		ms->epoch++;
}

static void
member_set_state(struct membership *ms, struct member *m,
    enum member_state state, int64_t now_us)
{
	struct member_entry entry = m->entry;

	entry.state = state;
	member_set(ms, m, &entry, now_us);
}

/* Refutes an entry by which this daemon is suspect, down or has left. */
static void
refute(struct membership *ms, const struct member_entry *entry)
{
	if (ms->is_leaving || entry->state == kMemberAlive)
		return;
	if (entry->incarnation >= ms->opt.self.incarnation)
		ms->opt.self.incarnation = entry->incarnation + 1;
	ms->is_digest_valid = false;
}

/* The higher incarnation wins, then the worse state. */
static bool
entry_is_newer(const struct member_entry *a, const struct member_entry *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	return a->state > b->state;
}

/* @param sends initial send count of the entry if it is newer */
static void
entry_merge(struct membership *ms, const struct member_entry *entry,
    int32_t sends, int64_t now_us)
{
	struct member *m;

	if (entry->address[0] == '\0' || entry->incarnation == 0)
		return;
	if (strcmp(entry->address, ms->opt.self.address) == 0) {
		refute(ms, entry);
		return;
	}
	m = member_get(ms, entry->address);
	if (m == NULL) {
		if (entry->state >= kMemberDown)
			return;
		m = member_add(ms, entry->address, now_us);
	}
	if (!entry_is_newer(entry, &m->entry))
		return;
	member_set(ms, m, entry, now_us);
	m->sends = sends;
}

static uint64_t
compute_digest(const struct membership *ms)
{
	uint64_t sum = XXH3_64bits_withSeed(ms->opt.self.address,
	    strlen(ms->opt.self.address), ms->opt.self.incarnation);
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, ms->members);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		const struct member *m = val;

		if (membership_is_usable(m))
			sum += XXH3_64bits_withSeed(m->entry.address,
			    strlen(m->entry.address), m->entry.incarnation);
	}
	return sum;
}

static uint64_t
table_digest(struct membership *ms)
{
	if (!ms->is_digest_valid)
		ms->digest = compute_digest(ms);
	ms->is_digest_valid = true;
	return ms->digest;
}

static struct member_message *
message_new(
    struct membership *ms, enum member_message_kind kind, const char *to)
{
	struct member_message *msg = membership_message_new();

	msg->kind = kind;
	text_copy_or_none(msg->to, sizeof(msg->to), to);
	TEXT_ASSIGN(msg->from, ms->opt.self.address);
	msg->digest = table_digest(ms);
	g_array_append_val(msg->entries, ms->opt.self);
	return msg;
}

static GPtrArray *
known_members(const struct membership *ms)
{
	GPtrArray *list = g_ptr_array_sized_new(g_hash_table_size(ms->members));
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, ms->members);
	while (g_hash_table_iter_next(&it, NULL, &val))
		if (((struct member *)val)->entry.incarnation > 0)
			g_ptr_array_add(list, val);
	return list;
}

static void
send_message(struct membership *ms, enum member_message_kind kind,
    const char *to, const char *subject, GPtrArray *out)
{
	struct member_message *msg = message_new(ms, kind, to);
	const struct member *receiver = member_get(ms, to);
	GPtrArray *known = known_members(ms);

	if (subject != NULL)
		text_copy_or_none(msg->subject, sizeof(msg->subject), subject);
	/* A receiver that is not seen as alive must learn this to refute it. */
	if (receiver != NULL && receiver->entry.incarnation > 0 &&
	    receiver->entry.state != kMemberAlive)
		g_array_append_val(msg->entries, receiver->entry);
	ms->opt.selection->select(ms, known,
	    kMemberEntriesMax - (int32_t)msg->entries->len, msg->entries);
	g_ptr_array_unref(known);
	g_ptr_array_add(out, msg);
}

static void
send_exchange(struct membership *ms, enum member_message_kind kind,
    const char *to, GPtrArray *out)
{
	struct member_message *msg = message_new(ms, kind, to);
	GPtrArray *known = known_members(ms);

	for (guint i = 0; i < known->len; i++) {
		const struct member *m = known->pdata[i];

		g_array_append_val(msg->entries, m->entry);
	}
	g_ptr_array_unref(known);
	g_ptr_array_add(out, msg);
}

static void
shuffle_ping_order(struct membership *ms)
{
	GPtrArray *order = ms->ping_order;

	for (guint i = order->len; i > 1; i--) {
		guint j = membership_random(ms, i);
		void *tmp = order->pdata[i - 1];

		order->pdata[i - 1] = order->pdata[j];
		order->pdata[j] = tmp;
	}
	ms->ping_next = 0;
}

/* Members that are down are pinged to detect the end of a partition. */
static bool
should_ping(const struct membership *ms, const struct member *m)
{
	if (membership_is_usable(m))
		return true;
	if (m->entry.state == kMemberLeft)
		return false;
	return m->entry.incarnation == 0 ||
	    ms->periods % kRetryDownPeriods == 0;
}

static struct member *
ping_next_member(struct membership *ms)
{
	for (guint i = 0; i < ms->ping_order->len; i++) {
		struct member *m;

		if (ms->ping_next >= ms->ping_order->len)
			shuffle_ping_order(ms);
		m = member_get(ms, ms->ping_order->pdata[ms->ping_next++]);
		if (m != NULL && should_ping(ms, m))
			return m;
	}
	return NULL;
}

static struct member *
random_usable(struct membership *ms, const char *excluded)
{
	guint n = ms->ping_order->len;
	guint start = membership_random(ms, n);

	for (guint i = 0; i < n; i++) {
		struct member *m =
		    member_get(ms, ms->ping_order->pdata[(start + i) % n]);

		if (m != NULL && membership_is_usable(m) &&
		    strcmp(m->entry.address, excluded) != 0)
			return m;
	}
	return NULL;
}

static void
request_indirect_pings(struct membership *ms, GPtrArray *out)
{
	ms->is_indirect_ping_sent = true;
	for (int i = 0; i < kIndirectPings; i++) {
		const struct member *m = random_usable(ms, ms->pinged);

		if (m != NULL)
			send_message(ms, kMemberPingRequest, m->entry.address,
			    ms->pinged, out);
	}
}

static void
suspect_unanswered(struct membership *ms, int64_t now_us)
{
	struct member *m = member_get(ms, ms->pinged);

	if (ms->is_ping_acked || m == NULL)
		return;
	if (m->entry.state == kMemberAlive && m->entry.incarnation > 0)
		member_set_state(ms, m, kMemberSuspect, now_us);
}

static void
start_period(struct membership *ms, int64_t now_us, GPtrArray *out)
{
	struct member *m;

	suspect_unanswered(ms, now_us);
	ms->next_ping_us = now_us + ms->opt.period_us;
	ms->periods++;
	m = ping_next_member(ms);
	if (m == NULL)
		return;
	TEXT_ASSIGN(ms->pinged, m->entry.address);
	ms->ping_sent_us = now_us;
	ms->is_ping_acked = false;
	ms->is_indirect_ping_sent = false;
	send_message(ms, kMemberPing, ms->pinged, NULL, out);
}

static bool
is_expired(const struct membership *ms, const struct member *m, int64_t now_us)
{
	return (m->entry.state >= kMemberDown) &&
	    now_us - m->changed_us > ms->opt.forget_us;
}

static void
ping_order_remove(struct membership *ms, const char *address)
{
	for (guint i = 0; i < ms->ping_order->len; i++) {
		if (strcmp(ms->ping_order->pdata[i], address) == 0) {
			g_ptr_array_remove_index(ms->ping_order, i);
			return;
		}
	}
}

static void
expire_members(struct membership *ms, int64_t now_us)
{
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, ms->members);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct member *m = val;

		if (m->entry.state == kMemberSuspect &&
		    now_us - m->changed_us > ms->opt.suspect_us)
			member_set_state(ms, m, kMemberDown, now_us);
		if (is_expired(ms, m, now_us)) {
			ms->is_digest_valid = false;
			ping_order_remove(ms, m->entry.address);
			g_hash_table_iter_remove(&it);
		}
	}
}

void
membership_tick(struct membership *ms, int64_t now_us, GPtrArray *out)
{
	if (now_us >= ms->next_expiry_us) {
		ms->next_expiry_us =
		    now_us + ms->opt.period_us / kExpiryChecksPerPeriod;
		expire_members(ms, now_us);
	}
	if (now_us >= ms->next_ping_us)
		start_period(ms, now_us, out);
	else if (!ms->is_ping_acked && !ms->is_indirect_ping_sent &&
	    now_us - ms->ping_sent_us > ms->opt.period_us / 2)
		request_indirect_pings(ms, out);
}

static void
record_message(
    struct membership *ms, const struct member_message *msg, int64_t now_us)
{
	struct member *m = member_get(ms, msg->from);

	if (m != NULL) {
		m->last_message_us = now_us;
		if (m->entry.state == kMemberSuspect)
			member_set_state(ms, m, kMemberAlive, now_us);
	}
	if (strcmp(msg->from, ms->pinged) == 0 ||
	    (msg->kind == kMemberAckForwarded &&
		strcmp(msg->subject, ms->pinged) == 0))
		ms->is_ping_acked = true;
}

static void
exchange_if_different(struct membership *ms, const struct member_message *msg,
    int64_t now_us, GPtrArray *out)
{
	if (ms->opt.no_exchange)
		return;
	if (msg->digest == table_digest(ms)) {
		ms->exchange_wait_us =
		    kExchangePeriodsFirst * ms->opt.period_us;
		return;
	}
	if (now_us < ms->next_exchange_us)
		return;
	ms->next_exchange_us = now_us + ms->exchange_wait_us;
	ms->exchange_wait_us = MIN(
	    2 * ms->exchange_wait_us, kExchangePeriodsMax * ms->opt.period_us);
	send_exchange(ms, kMemberExchange, msg->from, out);
}

static void
forward_ack(
    struct membership *ms, const struct member_message *msg, GPtrArray *out)
{
	if (msg->subject[0] != '\0')
		send_message(
		    ms, kMemberAckForwarded, msg->subject, msg->from, out);
}

void
membership_receive(struct membership *ms, const struct member_message *msg,
    int64_t now_us, GPtrArray *out)
{
	bool is_exchange =
	    msg->kind == kMemberExchange || msg->kind == kMemberExchangeReply;

	/* Exchanged entries reach other members by exchanges as well. */
	for (guint i = 0; i < msg->entries->len; i++)
		entry_merge(ms,
		    &g_array_index(msg->entries, struct member_entry, i),
		    is_exchange ? kSendsExhausted : 0, now_us);
	record_message(ms, msg, now_us);
	switch (msg->kind) {
	case kMemberPing:
		/* The subject of a ping is the member that requested it. */
		send_message(ms, kMemberAck, msg->from, msg->subject, out);
		break;
	case kMemberAck:
		forward_ack(ms, msg, out);
		break;
	case kMemberAckForwarded:
		break;
	case kMemberPingRequest:
		send_message(ms, kMemberPing, msg->subject, msg->from, out);
		return;
	case kMemberExchange:
		send_exchange(ms, kMemberExchangeReply, msg->from, out);
		return;
	case kMemberExchangeReply:
		return;
	}
	exchange_if_different(ms, msg, now_us, out);
}

void
membership_leave(struct membership *ms, int64_t now_us, GPtrArray *out)
{
	ms->is_leaving = true;
	ms->is_digest_valid = false;
	ms->opt.self.incarnation++;
	ms->opt.self.state = kMemberLeft;
	for (int i = 0; i < kLeaveFanout; i++) {
		const struct member *m = random_usable(ms, "");

		if (m != NULL)
			send_message(
			    ms, kMemberPing, m->entry.address, NULL, out);
	}
}

void
membership_remove(struct membership *ms, const char *address, int64_t now_us)
{
	struct member *m = member_get(ms, address);

	if (m == NULL || now_us - m->last_message_us < ms->opt.suspect_us)
		return;
	if (m->entry.state < kMemberDown && m->entry.incarnation > 0)
		member_set_state(ms, m, kMemberDown, now_us);
}

uint64_t
membership_epoch(const struct membership *ms)
{
	return ms->epoch;
}

const struct member *
membership_find(const struct membership *ms, const char *address)
{
	return member_get(ms, address);
}

GPtrArray *
membership_list(const struct membership *ms)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, ms->members);
	while (g_hash_table_iter_next(&it, NULL, &val))
		g_ptr_array_add(list, val);
	return list;
}

int32_t
membership_usable_count(const struct membership *ms)
{
	int32_t n = 0;
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, ms->members);
	while (g_hash_table_iter_next(&it, NULL, &val))
		if (membership_is_usable(val))
			n++;
	return n;
}
