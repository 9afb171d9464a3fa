/* When keys are suspected and blocked, and when they no longer are. */
#include "os/clock.h"
#include "savoryflow/retry/blame_internal.h"

enum {
	/* Lost runs without a verdict count for this long. */
	kEvidenceUs = 60 * kUsPerS,
	/* Time for all daemons to hear of a suspicion and to report answers
	 * that speak against it. */
	kObjectionUs = 250 * kUsPerMs,
	/* A blocked key that no request has had for this long is forgotten. */
	kForgetUs = 600 * kUsPerS,
	/* Lifted verdicts are repeated for this long. The others forget them
	 * sooner, as the versions of new ones start anew. */
	kLiftedUs = 10 * kUsPerS,
	kLiftedToldUs = 5 * kUsPerS,
};

void
blame_announce(
    struct blame *bl, struct verdict *v, int64_t now_us, struct blame_out *out)
{
	v->note.at_us = now_us;
	/* Only coordinators make versions: the next one has to reach here. */
	if (!bl->is_coordinator)
		return;
	v->note.version++;
	g_array_append_val(out->notes, v->note);
}

void
blame_block(struct blame *bl, uint64_t key, bool is_part, int64_t now_us,
    struct blame_out *out)
{
	struct blame_score sc = blame_evidence_score(bl->evidence, key);
	struct verdict *v = blame_verdict_get(bl, key);

	v->note.verdict = kBlameBlocked;
	v->held_since_us = 0;
	v->note.is_part = is_part;
	v->note.lost_runs = sc.runs;
	v->note.last_end_us = sc.last_end_us;
	v->note.refused_us = now_us;
	blame_announce(bl, v, now_us, out);
	blame_evidence_explain(bl->evidence, key, is_part);
	g_array_append_val(bl->cases, key);
}

void
blame_lift(
    struct blame *bl, struct verdict *v, int64_t now_us, struct blame_out *out)
{
	v->note.verdict = kBlameNone;
	v->note.trial_by = 0;
	v->suspected_us = 0;
	v->held_losses = 0;
	v->held_since_us = 0;
	v->others_us = INT64_MIN;
	v->exposed_us = INT64_MIN;
	blame_evidence_forget_exposure(bl->evidence, v->note.key);
	blame_announce(bl, v, now_us, out);
}

void
blame_expose(struct blame *bl, uint64_t key, int64_t exposure_us)
{
	blame_evidence_expose(bl->evidence, key, exposure_us);
	bl->has_new_evidence = true;
}

void
blame_count_exposure(struct blame *bl, struct verdict *v,
    enum blame_note_kind kind, int64_t now_us, struct blame_out *out)
{
	struct blame_note note = {
	    .kind = kind, .key = v->note.key, .at_us = now_us};
	int64_t since_us = MAX(v->exposed_us, now_us - kBlameOthersWindowUs);

	note.exposure_us =
	    begun_runs_without(bl->begun_runs, v->note.key, since_us);
	v->exposed_us = now_us;
	if (bl->is_coordinator)
		blame_expose(bl, v->note.key, note.exposure_us);
	else
		g_array_append_val(out->notes, note);
}

void
blame_suspect_parts(struct blame *bl, const struct blame_keys *keys,
    int64_t now_us, struct blame_out *out)
{
	for (int32_t i = 1; i < keys->count; i++) {
		struct verdict *v;

		if (!blame_evidence_is_suspect(bl->evidence, keys->keys[i]))
			continue;
		v = blame_verdict_get(bl, keys->keys[i]);
		if (v->note.verdict == kBlameBlocked || v->suspected_us != 0)
			continue;
		v->suspected_us = now_us;
		/* Another daemon has told all. */
		if (v->note.verdict == kBlameSuspected)
			continue;
		v->note.last_end_us = MAX(v->note.last_end_us,
		    blame_evidence_score(bl->evidence, keys->keys[i])
			.last_end_us);
		v->others_us = INT64_MIN;
		v->note.verdict = kBlameSuspected;
		v->note.is_part = true;
		bl->has_suspects = true;
		v->held_since_us = now_us;
		blame_count_exposure(bl, v, kBlameNoteExposure, now_us, out);
		blame_announce(bl, v, now_us, out);
	}
}

int64_t
blame_last_use_us(const struct verdict *v)
{
	return MAX(v->note.at_us, MAX(v->note.last_end_us, v->note.refused_us));
}

/*
 * Whether the daemons had time to report answers to requests with the key, in
 * which targets answered others. While no target answers at all, a part that
 * most requests share looks like the one to blame.
 */
static bool
is_heard(const struct verdict *v, const struct blame_score *sc, int64_t now_us)
{
	if (v == NULL || v->suspected_us == 0 ||
	    now_us - v->suspected_us < kObjectionUs)
		return false;
	return sc->is_enough_alone ||
	    (v->others_us > sc->first_end_us &&
		now_us - v->others_us >= kObjectionUs);
}

static void
judge_parts(struct blame *bl, int64_t now_us, struct blame_out *out)
{
	struct blame_score sc;
	uint64_t key;

	while (blame_evidence_find_part(bl->evidence, &key, &sc)) {
		if (!is_heard(blame_verdict_find(bl, key), &sc, now_us))
			return;
		blame_block(bl, key, true, now_us, out);
	}
	bl->has_new_evidence = false;
}

/* @return true if the verdict is to be dropped */
static bool
expire_verdict(
    struct blame *bl, struct verdict *v, int64_t now_us, struct blame_out *out)
{
	switch (v->note.verdict) {
	case kBlameNone:
		return now_us - v->note.at_us >
		    (bl->is_coordinator ? kLiftedUs : kLiftedToldUs);
	case kBlameSuspected:
		if (bl->is_coordinator && v->suspected_us != 0 &&
		    !blame_evidence_is_suspect(bl->evidence, v->note.key))
			blame_lift(bl, v, now_us, out);
		return now_us - v->note.at_us > kEvidenceUs;
	case kBlameTrial:
	case kBlameHeld:
	case kBlameBlocked:
		return now_us - blame_last_use_us(v) > kForgetUs;
	}
	return true;
}

static void
update_verdicts(
    struct blame *bl, bool is_repeat_due, int64_t now_us, struct blame_out *out)
{
	GHashTableIter it;
	void *val;

	bl->has_suspects = false;
	g_hash_table_iter_init(&it, bl->verdicts);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct verdict *v = val;

		if (expire_verdict(bl, v, now_us, out)) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		bl->has_suspects |= v->note.verdict == kBlameSuspected;
		if (is_repeat_due)
			g_array_append_val(out->notes, v->note);
	}
}

void
blame_tick(struct blame *bl, int64_t now_us, struct blame_out *out)
{
	bool is_repeat_due = bl->is_coordinator &&
	    (bl->is_repeat_wanted ||
		now_us - bl->repeated_us >= kBlameRepeatPeriodUs);

	blame_evidence_expire(bl->evidence, now_us - kEvidenceUs);
	if (bl->is_coordinator && bl->has_new_evidence)
		judge_parts(bl, now_us, out);
	if (is_repeat_due) {
		bl->repeated_us = now_us;
		bl->is_repeat_wanted = false;
	}
	update_verdicts(bl, is_repeat_due, now_us, out);
}
