/* Verdicts on requests and parts of prompts, and their exchange. */
#include "savoryflow/retry/blame.h"

#include <string.h>
#include <xxhash.h>

#include "os/clock.h"
#include "os/text_copy.h"
#include "savoryflow/arbiter/u64_hash.h"
#include "savoryflow/retry/blame_internal.h"

enum {
	/* Time for a daemon that has just refused a request to get another one
	 * that it may send; and for a held request to be sent and answered. */
	kTrialWindowUs = 5 * kUsPerS,
	kHeldTrialWindowUs = 500 * kUsPerMs,
	/* Time to the next request with a suspected key after one was lost;
	 * doubled for each further one. */
	kHeldBackoffUs = 250 * kUsPerMs,
	kHeldDoublingsMax = 4,
	/* No answer has begun for so long: calls with the key are refused until
	 * a trial is answered. */
	kHeldMaxUs = 3 * kUsPerS,
	kTrialDoublingsMax = 4,
	/* A part that is not blocked by then needs more evidence. */
	kJudgingUs = kUsPerS,
	kVerdictsMax = 512,
};

struct blame *
blame_new(const char *self)
{
	struct blame *bl = g_new0(struct blame, 1);

	text_copy_or_none(bl->self, sizeof(bl->self), self);
	bl->self_hash = blame_daemon_hash(self);
	bl->begun = begun_times_new();
	bl->begun_runs = begun_runs_new();
	bl->evidence = blame_evidence_new(bl->begun);
	bl->verdicts = u64_hash_new(g_free);
	bl->cases = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return bl;
}

void
blame_free(struct blame *bl)
{
	g_array_unref(bl->cases);
	g_hash_table_unref(bl->verdicts);
	blame_evidence_free(bl->evidence);
	begun_runs_free(bl->begun_runs);
	begun_times_free(bl->begun);
	g_free(bl);
}

struct blame_out *
blame_out_new(void)
{
	struct blame_out *out = g_new(struct blame_out, 1);

	out->runs = g_array_new(FALSE, TRUE, sizeof(struct blame_run));
	out->notes = g_array_new(FALSE, TRUE, sizeof(struct blame_note));
	return out;
}

void
blame_out_clear(struct blame_out *out)
{
	g_array_set_size(out->runs, 0);
	g_array_set_size(out->notes, 0);
}

void
blame_out_free(struct blame_out *out)
{
	g_array_unref(out->runs);
	g_array_unref(out->notes);
	g_free(out);
}

uint64_t
blame_daemon_hash(const char *address)
{
	return XXH3_64bits(address, strlen(address));
}

uint64_t
blame_request_key(const char *uri, const char *body, size_t len)
{
	uint64_t seed = XXH3_64bits(uri, strlen(uri));

	return XXH3_64bits_withSeed(body, len, seed);
}

void
blame_set_role(struct blame *bl, bool is_coordinator, bool is_primary)
{
	bl->is_coordinator = is_coordinator;
	bl->is_primary = is_primary;
}

static void
send_note(struct blame_out *out, enum blame_note_kind kind, uint64_t key,
    int64_t at_us)
{
	struct blame_note note = {.kind = kind, .key = key, .at_us = at_us};

	g_array_append_val(out->notes, note);
}

struct verdict *
blame_verdict_find(const struct blame *bl, uint64_t key)
{
	return g_hash_table_lookup(bl->verdicts, &key);
}

static void
evict_oldest(struct blame *bl)
{
	struct verdict *oldest = NULL;
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, bl->verdicts);
	while (g_hash_table_iter_next(&it, NULL, &val))
		if (oldest == NULL ||
		    blame_last_use_us(val) < blame_last_use_us(oldest))
			oldest = val;
	if (oldest != NULL)
		g_hash_table_remove(bl->verdicts, &oldest->note.key);
}

struct verdict *
blame_verdict_get(struct blame *bl, uint64_t key)
{
	struct verdict *v = blame_verdict_find(bl, key);

	if (v != NULL)
		return v;
	if (g_hash_table_size(bl->verdicts) >= kVerdictsMax)
		evict_oldest(bl);
	v = g_new0(struct verdict, 1);
	v->note = (struct blame_note){
	    .kind = kBlameNoteVerdict,
	    .key = key,
	    .at_us = INT64_MIN,
	    .last_end_us = INT64_MIN,
	    .refused_us = INT64_MIN,
	};
	v->others_us = INT64_MIN;
	v->exposed_us = INT64_MIN;
	g_hash_table_insert(bl->verdicts, &v->note.key, v);
	return v;
}

/* A run was lost though the key is known: if it was the trial, the next one
 * of a blocked key waits longer. */
static void
count_lost_run(struct blame *bl, struct verdict *v, const struct blame_run *run,
    struct blame_out *out, int64_t now_us)
{
	bool is_blocked = v->note.verdict == kBlameBlocked;

	v->note.lost_runs++;
	v->note.last_end_us = MAX(v->note.last_end_us, run->ended_us);
	if (v->note.trial_by == 0)
		return;
	v->note.trial_by = 0;
	v->note.trial_until_us = now_us;
	v->note.trials += is_blocked;
	if (!is_blocked) {
		v->note.trial_until_us += (int64_t)kHeldBackoffUs
		    << MIN(v->held_losses, kHeldDoublingsMax);
		v->held_losses++;
	}
	blame_announce(bl, v, now_us, out);
}

static bool
is_blocked(const struct blame *bl, uint64_t key)
{
	const struct verdict *v = blame_verdict_find(bl, key);

	return v != NULL && v->note.verdict == kBlameBlocked;
}

static void
add_evidence(struct blame *bl, const struct blame_run *run, int64_t now_us,
    struct blame_out *out)
{
	uint64_t whole = run->keys.keys[0];

	if (run->keys.is_owed && !run->has_target_ended)
		return;
	blame_evidence_add(bl->evidence, run);
	bl->has_new_evidence = true;
	for (int32_t i = 0; i < run->keys.count; i++) {
		struct verdict *v = blame_verdict_find(bl, run->keys.keys[i]);

		if (v == NULL || v->note.verdict == kBlameNone)
			continue;
		if (v->note.verdict == kBlameBlocked)
			blame_evidence_explain(
			    bl->evidence, v->note.key, v->note.is_part);
		count_lost_run(bl, v, run, out, now_us);
	}
	if (bl->is_coordinator)
		blame_suspect_parts(bl, &run->keys, now_us, out);
	if (!run->keys.is_owed && !is_blocked(bl, whole) &&
	    blame_evidence_is_call(bl->evidence, whole))
		blame_block(bl, whole, false, now_us, out);
}

void
blame_record_run(struct blame *bl, const struct blame_run *run, int64_t now_us,
    struct blame_out *out)
{
	struct blame_run own = *run;

	for (int32_t i = 0; i < own.keys.count; i++)
		own.begun_us[i] = begun_times_get(bl->begun, own.keys.keys[i]);
	add_evidence(bl, &own, now_us, out);
	g_array_append_val(out->runs, own);
}

void
blame_ask(struct blame *bl, int64_t now_us, struct blame_out *out)
{
	send_note(out, kBlameNoteAsk, 0, now_us);
}

/* An answer began after the last run that speaks against the key. */
static bool
is_refuted(const struct verdict *v, int64_t begun_us)
{
	return v->note.verdict != kBlameNone && begun_us > v->note.last_end_us;
}

static void
apply_begun(struct blame *bl, uint64_t key, int64_t at_us, int64_t now_us,
    struct blame_out *out)
{
	struct verdict *v = blame_verdict_find(bl, key);

	begun_times_record(bl->begun, key, at_us);
	if (v == NULL || !is_refuted(v, at_us))
		return;
	if (bl->is_coordinator)
		blame_lift(bl, v, now_us, out);
	else
		send_note(out, kBlameNoteBegun, key, at_us);
}

/* Targets answer requests without the suspected keys. */
static void
record_others(struct blame *bl, const struct blame_keys *keys, int64_t now_us,
    struct blame_out *out)
{
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, bl->verdicts);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct verdict *v = val;

		if (v->note.verdict != kBlameSuspected ||
		    blame_keys_have(keys, v->note.key))
			continue;
		if (!bl->is_coordinator && v->others_us != INT64_MIN &&
		    now_us - v->others_us < kBlameReportPeriodUs)
			continue;
		v->others_us = now_us;
		blame_count_exposure(bl, v, kBlameNoteOthers, now_us, out);
	}
}

void
blame_record_begun(struct blame *bl, const struct blame_keys *keys,
    int64_t sent_us, int64_t now_us, struct blame_out *out)
{
	begun_runs_record(
	    bl->begun_runs, keys, MAX(now_us - sent_us, 0), now_us);
	for (int32_t i = 0; i < keys->count; i++)
		apply_begun(bl, keys->keys[i], now_us, now_us, out);
	if (bl->has_suspects)
		record_others(bl, keys, now_us, out);
}

void
blame_on_run(struct blame *bl, const struct blame_run *run, int64_t now_us,
    struct blame_out *out)
{
	for (int32_t i = 0; i < run->keys.count; i++)
		if (run->begun_us[i] != INT64_MIN)
			apply_begun(bl, run->keys.keys[i], run->begun_us[i],
			    now_us, out);
	add_evidence(bl, run, now_us, out);
}

static int64_t
next_trial_us(const struct verdict *v)
{
	int64_t wait_us = v->note.trials == 0 ? kBlameFirstTrialUs
					      : (int64_t)kBlameTrialUs
		<< MIN(v->note.trials - 1, kTrialDoublingsMax);

	if (v->note.verdict == kBlameSuspected)
		return v->note.trial_until_us;
	return MAX(v->note.last_end_us + wait_us, v->note.trial_until_us);
}

/* Another trial would tell nothing new. */
static bool
is_being_judged(const struct blame *bl, const struct verdict *v, int64_t now_us)
{
	return v->note.verdict == kBlameSuspected && v->suspected_us != 0 &&
	    now_us - v->suspected_us < kJudgingUs &&
	    blame_evidence_is_enough(bl->evidence, v->note.key);
}

/* Primary coordinator: a daemon that has just held or refused a request may
 * send it, or the next one, if a trial is due. */
static void
allow_trial(struct blame *bl, struct verdict *v, uint64_t daemon,
    int64_t now_us, struct blame_out *out)
{
	bool is_suspected = v->note.verdict == kBlameSuspected;

	if (!bl->is_primary || v->note.verdict == kBlameNone ||
	    now_us < next_trial_us(v) || is_being_judged(bl, v, now_us))
		return;
	v->note.trial_by = daemon;
	v->note.trial_until_us =
	    now_us + (is_suspected ? kHeldTrialWindowUs : kTrialWindowUs);
	v->is_trial_used = false;
	blame_announce(bl, v, now_us, out);
}

static void
record_refused(
    struct blame *bl, struct verdict *v, int64_t now_us, struct blame_out *out)
{
	int64_t period_us = v->note.verdict == kBlameSuspected
	    ? kBlameHeldReportPeriodUs
	    : kBlameReportPeriodUs;

	v->note.refused_us = now_us;
	if (bl->is_coordinator)
		allow_trial(bl, v, bl->self_hash, now_us, out);
	if (v->reported_us != 0 && now_us - v->reported_us < period_us)
		return;
	v->reported_us = now_us;
	send_note(out, kBlameNoteRefused, v->note.key, now_us);
}

static bool
take_trial(struct blame *bl, struct verdict *v, bool will_send, int64_t now_us)
{
	if (v->note.trial_by != bl->self_hash || v->is_trial_used ||
	    now_us >= v->note.trial_until_us)
		return false;
	v->is_trial_used = will_send;
	return true;
}

static bool
is_refused(const struct verdict *v, bool is_owed, int64_t now_us)
{
	if (v->note.verdict == kBlameBlocked)
		return true;
	return !is_owed && v->held_since_us != 0 &&
	    now_us - v->held_since_us >= kHeldMaxUs;
}

static enum blame_verdict
check_key(struct blame *bl, const struct blame_keys *keys, int32_t position,
    bool will_send, int64_t now_us, struct blame_out *out)
{
	uint64_t key = keys->keys[position];
	struct verdict *v = blame_verdict_find(bl, key);
	enum blame_verdict verdict = v != NULL ? v->note.verdict : kBlameNone;

	if (verdict == kBlameNone)
		return blame_evidence_is_suspect(bl->evidence, key)
		    ? kBlameSuspected
		    : kBlameNone;
	if (take_trial(bl, v, will_send, now_us))
		return kBlameTrial;
	record_refused(bl, v, now_us, out);
	/* The primary coordinator may have allowed itself the trial. */
	if (take_trial(bl, v, will_send, now_us))
		return kBlameTrial;
	return is_refused(v, keys->is_owed, now_us) ? kBlameBlocked
						    : kBlameHeld;
}

enum blame_verdict
blame_check(struct blame *bl, const struct blame_keys *keys, bool will_send,
    int64_t now_us, struct blame_out *out, uint64_t *key)
{
	enum blame_verdict worst = kBlameNone;

	for (int32_t i = 0; i < keys->count && worst != kBlameBlocked; i++) {
		enum blame_verdict verdict =
		    check_key(bl, keys, i, will_send, now_us, out);

		if (verdict <= worst)
			continue;
		worst = verdict;
		*key = keys->keys[i];
	}
	return worst;
}

/* Of two changes that coordinators made at once, the stricter one holds. */
static bool
is_newer(const struct blame_note *known, const struct blame_note *note)
{
	if (note->version != known->version)
		return note->version > known->version;
	return note->verdict > known->verdict;
}

static bool
apply_verdict(struct blame *bl, const struct blame_note *note, int64_t now_us,
    struct blame_out *out)
{
	struct verdict *v = blame_verdict_get(bl, note->key);
	int64_t refused_us = MAX(v->note.refused_us, note->refused_us);
	bool was_blocked = v->note.verdict == kBlameBlocked;
	bool is_new_trial = note->trial_by != 0 &&
	    note->trial_until_us >
		v->note.trial_until_us + kHeldTrialWindowUs / 2;
	int64_t begun_us = begun_times_get(bl->begun, note->key);

	if (is_newer(&v->note, note)) {
		v->note = *note;
		if (is_new_trial)
			v->is_trial_used = false;
	}
	/* What this daemon knows against the key is refuted as well. */
	if (v->note.verdict == kBlameNone && v->note.last_end_us != INT64_MIN)
		begun_times_record(
		    bl->begun, note->key, v->note.last_end_us + 1);
	v->note.refused_us = refused_us;
	bl->has_suspects |= v->note.verdict == kBlameSuspected;
	if (v->note.verdict == kBlameNone) {
		v->others_us = INT64_MIN;
		v->exposed_us = INT64_MIN;
		v->suspected_us = 0;
	}
	if (v->note.verdict != kBlameSuspected)
		v->held_since_us = 0;
	else if (v->held_since_us == 0)
		v->held_since_us = now_us;
	if (v->note.verdict == kBlameSuspected && v->exposed_us == INT64_MIN)
		blame_count_exposure(bl, v, kBlameNoteExposure, now_us, out);
	if (is_refuted(v, begun_us) && !bl->is_coordinator)
		send_note(out, kBlameNoteBegun, note->key, begun_us);
	if (v->note.verdict != kBlameBlocked || was_blocked)
		return false;
	blame_evidence_explain(bl->evidence, note->key, note->is_part);
	return true;
}

bool
blame_on_note(struct blame *bl, uint64_t from, const struct blame_note *note,
    int64_t now_us, struct blame_out *out)
{
	struct verdict *v = blame_verdict_find(bl, note->key);

	switch (note->kind) {
	case kBlameNoteBegun:
		apply_begun(bl, note->key, note->at_us, now_us, out);
		break;
	case kBlameNoteRefused:
		if (v == NULL)
			break;
		v->note.refused_us = MAX(v->note.refused_us, note->at_us);
		allow_trial(bl, v, from, now_us, out);
		break;
	case kBlameNoteOthers:
		if (v != NULL)
			v->others_us = MAX(v->others_us, note->at_us);
		blame_expose(bl, note->key, note->exposure_us);
		break;
	case kBlameNoteExposure:
		blame_expose(bl, note->key, note->exposure_us);
		break;
	case kBlameNoteAsk:
		bl->is_repeat_wanted = true;
		break;
	case kBlameNoteVerdict:
		return apply_verdict(bl, note, now_us, out);
	}
	return false;
}

bool
blame_take_case(struct blame *bl, struct blame_case *found)
{
	const struct verdict *v;

	if (bl->cases->len == 0)
		return false;
	found->key = g_array_index(bl->cases, uint64_t, 0);
	g_array_remove_index(bl->cases, 0);
	v = blame_verdict_find(bl, found->key);
	found->is_part = v != NULL && v->note.is_part;
	blame_evidence_describe(bl->evidence, found->key, found);
	return true;
}

void
blame_case_clear(struct blame_case *found)
{
	g_string_free(found->targets, TRUE);
	g_string_free(found->seen_by, TRUE);
}

int32_t
blame_blocked_count(const struct blame *bl)
{
	int32_t n = 0;
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, bl->verdicts);
	while (g_hash_table_iter_next(&it, NULL, &val))
		n += ((struct verdict *)val)->note.verdict == kBlameBlocked;
	return n;
}
