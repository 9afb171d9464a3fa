/* Lost runs and verdicts in messages between daemons. */
#include <inttypes.h>
#include <string.h>

#include "log/log.h"
#include "os/text_copy.h"
#include "peer/blame_wire.h"

enum {
	/* Ages that a sender cannot mean; guards the arithmetic. */
	kAgeMaxUs = INT32_MAX,
};

/* 0 stands for a time that is not known. */
static uint64_t
age_us(int64_t at_us, int64_t now_us)
{
	return at_us == INT64_MIN ? 0 : (uint64_t)MAX(now_us - at_us, 1);
}

static int64_t
time_us(uint64_t age, int64_t now_us)
{
	return age == 0 ? INT64_MIN : now_us - (int64_t)MIN(age, kAgeMaxUs);
}

bool
blame_wire_decode_run(const Sfpeer__LostRun *wire, const char *from,
    int64_t now_us, struct blame_run *run)
{
	*run = (struct blame_run){
	    .keys.count = (int32_t)MIN(wire->n_keys, kBlameKeysMax),
	    .keys.is_owed = wire->owed,
	    .target_started_ms = wire->target_started_ms,
	    .sent_us = time_us(wire->sent_age_us, now_us),
	    .ended_us = time_us(wire->ended_age_us, now_us),
	    .has_target_ended = wire->target_ended,
	};
	for (int32_t i = 0; i < run->keys.count; i++) {
		uint64_t age = (size_t)i < wire->n_begun_age_us
		    ? wire->begun_age_us[i]
		    : 0;

		run->keys.keys[i] = wire->keys[i];
		run->begun_us[i] = time_us(age, now_us);
	}
	text_copy_or_none(run->target, sizeof(run->target), wire->target);
	text_copy_or_none(run->seen_by, sizeof(run->seen_by), from);
	return run->keys.count > 0 && run->sent_us != INT64_MIN &&
	    run->ended_us != INT64_MIN;
}

bool
blame_wire_decode_note(
    const Sfpeer__BlameNote *wire, int64_t now_us, struct blame_note *note)
{
	*note = (struct blame_note){
	    .kind = (enum blame_note_kind)wire->kind,
	    .key = wire->key,
	    .at_us = time_us(wire->age_us, now_us),
	    .version = wire->version,
	    .verdict = (enum blame_verdict)wire->verdict,
	    .is_part = wire->part,
	    .lost_runs = (int32_t)wire->lost_runs,
	    .last_end_us = time_us(wire->last_end_age_us, now_us),
	    .refused_us = time_us(wire->refused_age_us, now_us),
	    .trials = (int32_t)MIN(wire->trials, INT32_MAX),
	    .exposure_us = (int64_t)MIN(wire->exposure_us, kAgeMaxUs),
	    .trial_by = wire->trial_by,
	    .trial_until_us =
		now_us + (int64_t)MIN(wire->trial_left_us, kAgeMaxUs),
	};
	return wire->kind >= kBlameNoteBegun &&
	    wire->kind <= kBlameNoteExposure &&
	    wire->verdict <= kBlameBlocked && note->at_us != INT64_MIN;
}

static void
encode_run(const struct blame_run *run, int64_t now_us, uint64_t *begun,
    Sfpeer__LostRun *wire)
{
	sfpeer__lost_run__init(wire);
	for (int32_t i = 0; i < run->keys.count; i++)
		begun[i] = age_us(run->begun_us[i], now_us);
	wire->n_keys = (size_t)run->keys.count;
	wire->keys = (uint64_t *)run->keys.keys;
	wire->n_begun_age_us = (size_t)run->keys.count;
	wire->begun_age_us = begun;
	wire->owed = run->keys.is_owed;
	wire->target = (char *)run->target;
	wire->target_started_ms = run->target_started_ms;
	wire->sent_age_us = age_us(run->sent_us, now_us);
	wire->ended_age_us = age_us(run->ended_us, now_us);
	wire->target_ended = run->has_target_ended;
}

static void
encode_note(
    const struct blame_note *note, int64_t now_us, Sfpeer__BlameNote *wire)
{
	sfpeer__blame_note__init(wire);
	wire->kind = note->kind;
	wire->key = note->key;
	wire->age_us = age_us(note->at_us, now_us);
	wire->version = note->version;
	wire->verdict = note->verdict;
	wire->part = note->is_part;
	wire->lost_runs = (uint32_t)note->lost_runs;
	wire->last_end_age_us = age_us(note->last_end_us, now_us);
	wire->refused_age_us = age_us(note->refused_us, now_us);
	wire->trials = (uint32_t)note->trials;
	wire->exposure_us = (uint64_t)note->exposure_us;
	wire->trial_by = note->trial_by;
	wire->trial_left_us = (uint64_t)MAX(note->trial_until_us - now_us, 0);
}

static void
send_to_all(const struct blame_wire_options *opt, const GPtrArray *to,
    Sfpeer__Envelope *env)
{
	for (guint i = 0; i < to->len; i++)
		opt->send(opt->ctx, to->pdata[i], env);
}

static void
send_runs(const struct blame_wire_options *opt, const GArray *runs, guint first,
    const GPtrArray *to)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__LostRun wire[kBlamePerMessageMax];
	Sfpeer__LostRun *refs[kBlamePerMessageMax];
	uint64_t begun[kBlamePerMessageMax][kBlameKeysMax];
	int64_t now_us = opt->now_us;

	env.lost_runs = refs;
	for (guint i = first;
	     i < runs->len && env.n_lost_runs < kBlamePerMessageMax; i++) {
		size_t n = env.n_lost_runs++;

		encode_run(&g_array_index(runs, struct blame_run, i), now_us,
		    begun[n], &wire[n]);
		refs[n] = &wire[n];
	}
	send_to_all(opt, to, &env);
}

static void
send_notes(const struct blame_wire_options *opt, const GArray *notes,
    guint first, const GPtrArray *to)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__BlameNote wire[kBlamePerMessageMax];
	Sfpeer__BlameNote *refs[kBlamePerMessageMax];
	int64_t now_us = opt->now_us;

	env.blame_notes = refs;
	for (guint i = first;
	     i < notes->len && env.n_blame_notes < kBlamePerMessageMax; i++) {
		size_t n = env.n_blame_notes++;

		encode_note(&g_array_index(notes, struct blame_note, i), now_us,
		    &wire[n]);
		refs[n] = &wire[n];
	}
	send_to_all(opt, to, &env);
}

static void
send_lists(const struct blame_wire_options *opt, const GArray *runs,
    const GArray *notes, const GPtrArray *to)
{
	for (guint i = 0; to->len > 0 && i < runs->len;
	     i += kBlamePerMessageMax)
		send_runs(opt, runs, i, to);
	for (guint i = 0; to->len > 0 && i < notes->len;
	     i += kBlamePerMessageMax)
		send_notes(opt, notes, i, to);
}

void
blame_wire_send(const struct blame_wire_options *opt,
    const struct blame_out *out, const GPtrArray *coordinators,
    const GPtrArray *all)
{
	GArray *verdicts = g_array_new(FALSE, TRUE, sizeof(struct blame_note));
	GArray *reports = g_array_new(FALSE, TRUE, sizeof(struct blame_note));
	GArray *no_runs = g_array_new(FALSE, TRUE, sizeof(struct blame_run));

	for (guint i = 0; i < out->notes->len; i++) {
		const struct blame_note *note =
		    &g_array_index(out->notes, struct blame_note, i);

		g_array_append_vals(
		    note->kind == kBlameNoteVerdict ? verdicts : reports, note,
		    1);
	}
	send_lists(opt, out->runs, reports, coordinators);
	send_lists(opt, no_runs, verdicts, all);
	g_array_unref(verdicts);
	g_array_unref(reports);
	g_array_unref(no_runs);
}

static void
log_told(const struct blame_note *note, const char *from)
{
	char key[20];

	g_snprintf(key, sizeof(key), "%" PRIx64, note->key);
	log_event(kEvtBlockTold, note->is_part ? "part" : "fingerprint", key,
	    "lost_runs", log_number(note->lost_runs), "told_by", from, NULL);
}

void
blame_wire_receive(struct blame *bl, const Sfpeer__Envelope *env,
    int64_t now_us, struct blame_out *out)
{
	uint64_t from = blame_daemon_hash(env->from);

	for (size_t i = 0; i < env->n_lost_runs; i++) {
		struct blame_run run;

		if (blame_wire_decode_run(
			env->lost_runs[i], env->from, now_us, &run))
			blame_on_run(bl, &run, now_us, out);
	}
	for (size_t i = 0; i < env->n_blame_notes; i++) {
		struct blame_note note;

		if (blame_wire_decode_note(
			env->blame_notes[i], now_us, &note) &&
		    blame_on_note(bl, from, &note, now_us, out))
			log_told(&note, env->from);
	}
}

void
blame_wire_log_cases(struct blame *bl)
{
	struct blame_case found;

	while (blame_take_case(bl, &found)) {
		char key[20];

		g_snprintf(key, sizeof(key), "%" PRIx64, found.key);
		log_event(
		    found.is_part ? kEvtPartBlocked : kEvtRequestCondemned,
		    found.is_part ? "part" : "fingerprint", key, "lost_runs",
		    log_number(found.lost_runs), "targets", found.targets->str,
		    "seen_by", found.seen_by->str, NULL);
		blame_case_clear(&found);
	}
}
