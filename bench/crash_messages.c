/* Daemons of the crash bench, and the messages between them. */
#include <string.h>

#include "crash_internal.h"

int64_t
crash_now_us(const struct fleet *fl)
{
	return fl->now_ms * kMs;
}

int32_t
crash_pick(struct fleet *fl, int32_t from, int32_t to)
{
	return g_rand_int_range(fl->rand, from, to + 1);
}

bool
crash_is_up(const struct fleet *fl, int32_t daemon)
{
	return fl->daemons[daemon].up_at_ms <= fl->now_ms;
}

static bool
is_coordinator(const struct fleet *fl, int32_t daemon, bool *is_primary)
{
	int32_t before = 0;

	for (int32_t i = 0; i < daemon; i++)
		before += crash_is_up(fl, i);
	*is_primary = before == 0;
	return before < kCoordinators;
}

int64_t
crash_delay_ms(int32_t a, int32_t b)
{
	return a % kRegions == b % kRegions ? kNearMs : kFarMs;
}

static gint
compare_messages(const void *a, const void *b, void *ctx)
{
	const struct message *x = a;
	const struct message *y = b;

	return x->at_ms < y->at_ms ? -1 : x->at_ms > y->at_ms;
}

void
crash_post(struct fleet *fl, const struct message *msg)
{
	struct message *copy = g_new(struct message, 1);
	GList *at = fl->messages.tail;

	*copy = *msg;
	while (at != NULL && compare_messages(at->data, copy, NULL) > 0)
		at = at->prev;
	if (at == NULL)
		g_queue_push_head(&fl->messages, copy);
	else
		g_queue_insert_after(&fl->messages, at, copy);
}

static void
post_to_peers(struct fleet *fl, int32_t from, bool to_all, struct message *msg)
{
	for (int32_t i = 0; i < fl->sc->daemons; i++) {
		bool is_primary;

		if (i == from || !crash_is_up(fl, i) ||
		    (!to_all && !is_coordinator(fl, i, &is_primary)))
			continue;
		msg->to = i;
		msg->at_ms = fl->now_ms + crash_delay_ms(from, i);
		fl->res.messages++;
		crash_post(fl, msg);
	}
}

static void
count_blocked(struct fleet *fl, struct daemon *d)
{
	struct blame_case found;

	while (blame_take_case(d->bl, &found)) {
		bool is_bad = found.is_part && found.key >= kBadPart &&
		    found.key < kSessionPart;

		if (is_bad && fl->res.ends_until_known == 0)
			fl->res.ends_until_known = fl->res.ends;
		/* Both coordinators block a part. */
		if (!is_bad && found.is_part && found.key != fl->wrong_part) {
			fl->wrong_part = found.key;
			fl->res.wrong_parts++;
		}
		if (!found.is_part)
			fl->res.wrong_requests++;
		blame_case_clear(&found);
	}
}

/* Sends what a daemon's blame module has left. */
void
crash_flush(struct fleet *fl, int32_t daemon)
{
	struct daemon *d = &fl->daemons[daemon];
	struct message msg = {.from = blame_daemon_hash(d->name)};

	for (guint i = 0; i < d->out->runs->len; i++) {
		msg.is_run = true;
		msg.run = g_array_index(d->out->runs, struct blame_run, i);
		post_to_peers(fl, daemon, false, &msg);
	}
	for (guint i = 0; i < d->out->notes->len; i++) {
		msg.is_run = false;
		msg.note = g_array_index(d->out->notes, struct blame_note, i);
		post_to_peers(
		    fl, daemon, msg.note.kind == kBlameNoteVerdict, &msg);
	}
	blame_out_clear(d->out);
	count_blocked(fl, d);
}

void
crash_deliver(struct fleet *fl)
{
	struct message *msg;

	while ((msg = g_queue_peek_head(&fl->messages)) != NULL &&
	    msg->at_ms <= fl->now_ms) {
		struct daemon *d = &fl->daemons[msg->to];

		g_queue_pop_head(&fl->messages);
		if (!crash_is_up(fl, msg->to)) {
			g_free(msg);
			continue;
		}
		if (msg->is_own)
			blame_record_run(
			    d->bl, &msg->run, crash_now_us(fl), d->out);
		else if (msg->is_run)
			blame_on_run(
			    d->bl, &msg->run, crash_now_us(fl), d->out);
		else
			blame_on_note(d->bl, msg->from, &msg->note,
			    crash_now_us(fl), d->out);
		crash_flush(fl, msg->to);
		g_free(msg);
	}
}

enum blame_verdict
crash_check(struct fleet *fl, const struct run *run, bool will_send)
{
	struct daemon *d = &fl->daemons[run->daemon];
	uint64_t key;
	enum blame_verdict verdict = blame_check(
	    d->bl, &run->keys, will_send, crash_now_us(fl), d->out, &key);

	crash_flush(fl, run->daemon);
	return verdict;
}

/* @return -1 if no worker is up with a free slot */

void
crash_tick_daemons(struct fleet *fl)
{
	for (int32_t i = 0; i < fl->sc->daemons; i++) {
		struct daemon *d = &fl->daemons[i];
		bool is_primary;
		bool coordinates;

		if (!crash_is_up(fl, i) || (fl->now_ms + i) % kTickMs != 0)
			continue;
		coordinates = is_coordinator(fl, i, &is_primary);
		if (fl->now_ms - d->up_at_ms <= kTickMs)
			blame_ask(d->bl, crash_now_us(fl), d->out);
		blame_set_role(d->bl, coordinates, is_primary);
		blame_tick(d->bl, crash_now_us(fl), d->out);
		crash_flush(fl, i);
	}
}
