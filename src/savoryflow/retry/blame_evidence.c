/* Lost runs, and the evidence that they are against requests and parts. */
#include "savoryflow/retry/blame_evidence.h"

#include <string.h>
#include <xxhash.h>

#include "os/clock.h"
#include "savoryflow/arbiter/u64_hash.h"

enum {
	kRunsMax = 512,
	/* Lost runs of one key that are compared. */
	kChainsMax = 64,
	/* Weight of a lost run whose target has ended, and of one that may have
	 * lost its connection only. */
	kWeightEnded = 4,
	kWeightCut = 1,
	kWeightSuspect = 2 * kWeightEnded,
	kWeightBlock = 3 * kWeightEnded,
	/* Suffices even if no other request was answered meanwhile. */
	kWeightAlone = 6 * kWeightEnded,
	/* A call that is interrupted so often is to blame, whether or not its
	 * targets have ended. */
	kCallEnds = 3,
	/* A target that ends sooner was ending when it got the request. */
	kRunMinUs = 2 * kUsPerMs,
	/* So many other targets that end at the same time, under requests
	 * without the part, have another cause in common. */
	kMassTargets = 3,
	kMassWindowUs = 50 * kUsPerMs,
	kMassTargetsMax = 8,
	/* Times reported by different daemons are exact to about this. */
	kReportErrorUs = 100 * kUsPerMs,
	/* Assumed of runs without a key, beside those that were counted: one
	 * lost in this time. */
	kPriorExposureUs = 10 * kUsPerS,
	kPriorLosses = 1,
	/* Keys whose counterparts are counted. */
	kExposuresMax = 512,
};

/* A key is blocked if its losses are less likely than this by chance: a day has
 * thousands of parts that few requests share. */
static const double kChanceMax = 1e-5;

struct lost_run {
	struct blame_run run;
	/** Identifies the start of the target. */
	uint64_t target;
	uint64_t seen_by;
	/** Caused by another request or part that is known. */
	bool is_explained;
};

/** The runs of a key that followed from one another, up to one of them. */
struct chain {
	const struct lost_run *last;
	int32_t weight;
	int32_t ends;
	/** Time that these runs took until they were lost. */
	int64_t series_us;
	bool has_cut;
};

/** The latest lost runs of a key, each with its heaviest chain. */
struct chains {
	struct chain all[kChainsMax];
	int32_t count;
};

struct blame_evidence {
	const struct begun_times *begun;
	/** struct lost_run, ordered by end. */
	GArray *runs;
	/** How long runs without a key took until their answers began: struct
	 * exposure by key. */
	GHashTable *exposures;
};

static struct lost_run *
run_at(const struct blame_evidence *ev, guint i)
{
	return &g_array_index(ev->runs, struct lost_run, i);
}

struct blame_evidence *
blame_evidence_new(const struct begun_times *begun)
{
	struct blame_evidence *ev = g_new0(struct blame_evidence, 1);

	ev->begun = begun;
	ev->runs = g_array_new(FALSE, TRUE, sizeof(struct lost_run));
	ev->exposures = u64_hash_new(g_free);
	return ev;
}

void
blame_evidence_free(struct blame_evidence *ev)
{
	g_hash_table_unref(ev->exposures);
	g_array_unref(ev->runs);
	g_free(ev);
}

/** A key and what is recorded of it; the table frees both as one. */
struct exposure {
	uint64_t key;
	int64_t sum_us;
};

void
blame_evidence_expose(
    struct blame_evidence *ev, uint64_t key, int64_t exposure_us)
{
	struct exposure *ex = g_hash_table_lookup(ev->exposures, &key);

	if (ex == NULL) {
		if (g_hash_table_size(ev->exposures) >= kExposuresMax)
			g_hash_table_remove_all(ev->exposures);
		ex = g_new0(struct exposure, 1);
		ex->key = key;
		g_hash_table_insert(ev->exposures, &ex->key, ex);
	}
	ex->sum_us += exposure_us;
}

void
blame_evidence_forget_exposure(struct blame_evidence *ev, uint64_t key)
{
	g_hash_table_remove(ev->exposures, &key);
}

void
blame_evidence_add(struct blame_evidence *ev, const struct blame_run *run)
{
	struct lost_run lost = {.run = *run};
	guint i;

	lost.target = XXH3_64bits_withSeed(
	    run->target, strlen(run->target), (uint64_t)run->target_started_ms);
	lost.seen_by = XXH3_64bits(run->seen_by, strlen(run->seen_by));
	if (ev->runs->len >= kRunsMax)
		g_array_remove_index(ev->runs, 0);
	for (i = ev->runs->len;
	     i > 0 && run_at(ev, i - 1)->run.ended_us > run->ended_us;)
		i--;
	g_array_insert_val(ev->runs, i, lost);
}

void
blame_evidence_expire(struct blame_evidence *ev, int64_t before_us)
{
	guint n = 0;

	while (n < ev->runs->len && run_at(ev, n)->run.ended_us < before_us)
		n++;
	if (n > 0)
		g_array_remove_range(ev->runs, 0, n);
}

/* @return position of the key among those of the request, or -1 */
static int32_t
position_of(const struct blame_keys *keys, uint64_t key)
{
	for (int32_t i = 0; i < keys->count; i++)
		if (keys->keys[i] == key)
			return i;
	return -1;
}

/* Whether another suspect of the same run is more likely to blame: answers
 * began with it longer ago, or it is shared by fewer requests. */
static bool
has_likelier_key(const struct blame_evidence *ev, const struct blame_run *run,
    int32_t position, const GArray *suspects)
{
	int64_t begun_us = begun_times_get(ev->begun, run->keys.keys[position]);

	for (guint i = 0; suspects != NULL && i < suspects->len; i++) {
		uint64_t other = g_array_index(suspects, uint64_t, i);
		int32_t other_position = position_of(&run->keys, other);
		int64_t other_us = begun_times_get(ev->begun, other);

		if (other_position > 0 && other_position != position &&
		    (other_us < begun_us ||
			(other_us == begun_us && other_position > position)))
			return true;
	}
	return false;
}

/*
 * Whether a run was sent after the end of another one. Runs that were sent
 * before it end together when many targets crash at once, and say no more than
 * one of them.
 */
static bool
is_later(const struct lost_run *lost, const struct lost_run *earlier)
{
	int64_t error_us =
	    lost->seen_by == earlier->seen_by ? 0 : kReportErrorUs;

	return lost->run.sent_us >= earlier->run.ended_us + error_us;
}

/* Adds a run, which ended later than those before it. */
static void
chains_add(struct chains *ch, const struct lost_run *lost)
{
	struct chain own = {.last = lost};

	for (int32_t i = 0; i < ch->count; i++) {
		const struct chain *c = &ch->all[i];

		if (c->weight > own.weight && is_later(lost, c->last)) {
			own.weight = c->weight;
			own.ends = c->ends;
			own.series_us = c->series_us;
			own.has_cut = c->has_cut;
		}
	}
	own.series_us += MAX(lost->run.ended_us - lost->run.sent_us, 0);
	own.has_cut |= !lost->run.has_target_ended;
	own.weight += lost->run.has_target_ended ? kWeightEnded : kWeightCut;
	own.ends++;
	if (ch->count == kChainsMax)
		memmove(&ch->all[0], &ch->all[1],
		    sizeof(ch->all[0]) * (size_t)--ch->count);
	ch->all[ch->count++] = own;
}

/** A few distinct targets. */
struct target_set {
	uint64_t all[kMassTargetsMax];
	int32_t count;
};

static bool
target_set_has(const struct target_set *set, uint64_t target)
{
	for (int32_t i = 0; i < set->count; i++)
		if (set->all[i] == target)
			return true;
	return false;
}

static void
target_set_add(struct target_set *set, uint64_t target)
{
	if (set->count < kMassTargetsMax && !target_set_has(set, target))
		set->all[set->count++] = target;
}

/* Whether the run was lost as many targets ended, with and without the part. */
static bool
is_of_mass_crash(
    const struct blame_evidence *ev, const struct lost_run *lost, uint64_t key)
{
	struct target_set with = {.count = 0};
	struct target_set without = {.count = 0};
	int32_t others = 0;

	for (guint i = 0; i < ev->runs->len; i++) {
		const struct lost_run *near = run_at(ev, i);

		if (!near->run.has_target_ended ||
		    ABS(near->run.ended_us - lost->run.ended_us) >
			kMassWindowUs)
			continue;
		target_set_add(
		    position_of(&near->run.keys, key) >= 0 ? &with : &without,
		    near->target);
	}
	for (int32_t i = 0; i < without.count; i++)
		others += !target_set_has(&with, without.all[i]);
	return others >= kMassTargets;
}

static bool
is_too_short(const struct blame_run *run)
{
	return run->ended_us - run->sent_us < kRunMinUs;
}

/**
 * @param suspects runs that a likelier key among these explains are left out;
 *        may be NULL
 */
static struct blame_score
score(const struct blame_evidence *ev, uint64_t key, const GArray *suspects)
{
	struct blame_score found = {0};
	struct chains chains = {.count = 0};
	int64_t begun_us = begun_times_get(ev->begun, key);
	uint64_t first_request = 0;

	for (guint i = 0; i < ev->runs->len; i++) {
		const struct lost_run *lost = run_at(ev, i);
		int32_t position = position_of(&lost->run.keys, key);
		uint64_t request = lost->run.keys.keys[0];

		if (position < 0 || lost->is_explained ||
		    (position > 0 &&
			(is_too_short(&lost->run) ||
			    is_of_mass_crash(ev, lost, key))) ||
		    lost->run.ended_us <= begun_us ||
		    has_likelier_key(ev, &lost->run, position, suspects))
			continue;
		if (found.runs == 0) {
			first_request = request;
			found.first_end_us = lost->run.ended_us;
		}
		found.has_several_requests |= request != first_request;
		chains_add(&chains, lost);
		found.runs++;
		found.last_end_us = lost->run.ended_us;
	}
	for (int32_t i = 0; i < chains.count; i++) {
		const struct chain *c = &chains.all[i];

		found.ends = MAX(found.ends, c->ends);
		if (c->weight <= found.weight)
			continue;
		found.weight = c->weight;
		found.series_runs = c->ends;
		found.series_us = c->series_us;
		found.has_cut = c->has_cut;
	}
	found.is_enough_alone = found.weight >= kWeightAlone;
	return found;
}

struct blame_score
blame_evidence_score(const struct blame_evidence *ev, uint64_t key)
{
	return score(ev, key, NULL);
}

/* Counts a key; adds it to the list when it is met a second time. */
static void
count_key(GHashTable *counts, uint64_t *key, GArray *list)
{
	int n = GPOINTER_TO_INT(g_hash_table_lookup(counts, key)) + 1;

	g_hash_table_insert(counts, key, GINT_TO_POINTER(n));
	if (n == 2)
		g_array_append_val(list, *key);
}

/* Keys of more than one run. */
static GArray *
repeated_keys(const struct blame_evidence *ev)
{
	GHashTable *counts = g_hash_table_new(g_int64_hash, g_int64_equal);
	GArray *list = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (guint i = 0; i < ev->runs->len; i++) {
		struct lost_run *lost = run_at(ev, i);

		for (int32_t k = 0;
		     !lost->is_explained && k < lost->run.keys.count; k++)
			count_key(counts, &lost->run.keys.keys[k], list);
	}
	g_hash_table_unref(counts);
	return list;
}

static bool
is_part(const struct blame_evidence *ev, uint64_t key)
{
	for (guint i = 0; i < ev->runs->len; i++) {
		int32_t position = position_of(&run_at(ev, i)->run.keys, key);

		if (position >= 0)
			return position > 0;
	}
	return false;
}

/* Targets that ended while they had runs with the key: set of uint64_t. */
static GHashTable *
targets_of(const struct blame_evidence *ev, uint64_t key)
{
	GHashTable *targets = g_hash_table_new(g_int64_hash, g_int64_equal);

	for (guint i = 0; i < ev->runs->len; i++) {
		struct lost_run *lost = run_at(ev, i);

		if (position_of(&lost->run.keys, key) >= 0)
			g_hash_table_add(targets, &lost->target);
	}
	return targets;
}

/* Runs without the key that were lost in the same time, for a reason that is
 * not known, and for how long they had run. */
static int32_t
count_other_losses(const struct blame_evidence *ev, uint64_t key,
    const struct blame_score *sc, int64_t *run_us)
{
	GHashTable *targets = targets_of(ev, key);
	int32_t n = 0;

	*run_us = 0;
	for (guint i = 0; i < ev->runs->len; i++) {
		const struct lost_run *lost = run_at(ev, i);

		if (lost->is_explained || is_too_short(&lost->run) ||
		    lost->run.ended_us <
			sc->first_end_us - kBlameOthersWindowUs ||
		    (!lost->run.has_target_ended && !sc->has_cut) ||
		    g_hash_table_contains(targets, &lost->target))
			continue;
		*run_us += lost->run.ended_us - lost->run.sent_us;
		n++;
	}
	g_hash_table_unref(targets);
	return n;
}

/*
 * Upper bound of the probability that as many runs in a row are lost by chance,
 * at the rate at which runs without the key are lost: that of a Poisson
 * distribution's tail.
 */
static double
chance_of(
    const struct blame_evidence *ev, uint64_t key, const struct blame_score *sc)
{
	const struct exposure *ex = g_hash_table_lookup(ev->exposures, &key);
	int64_t run_us;
	int32_t losses = count_other_losses(ev, key, sc, &run_us);
	double exposure_us = (double)kPriorExposureUs + (double)run_us +
	    (ex != NULL ? (double)ex->sum_us : 0);
	double expected = (double)(kPriorLosses + losses) / exposure_us *
	    (double)sc->series_us;
	double chance = 1;

	for (int32_t i = 1; i <= sc->series_runs; i++)
		chance *= expected / i;
	return chance;
}

static bool
may_be_blocked(
    const struct blame_evidence *ev, uint64_t key, const struct blame_score *sc)
{
	return sc->weight >= kWeightBlock && sc->has_several_requests &&
	    chance_of(ev, key, sc) <= kChanceMax;
}

bool
blame_evidence_is_enough(const struct blame_evidence *ev, uint64_t key)
{
	struct blame_score sc = blame_evidence_score(ev, key);

	return may_be_blocked(ev, key, &sc);
}

bool
blame_evidence_is_call(const struct blame_evidence *ev, uint64_t key)
{
	return blame_evidence_score(ev, key).ends >= kCallEnds;
}

/* Parts with enough evidence against them, likelier ones included. */
static GArray *
find_suspects(const struct blame_evidence *ev)
{
	GArray *keys = repeated_keys(ev);

	for (guint i = keys->len; i > 0; i--) {
		uint64_t key = g_array_index(keys, uint64_t, i - 1);
		struct blame_score sc = blame_evidence_score(ev, key);

		if (!is_part(ev, key) || !may_be_blocked(ev, key, &sc))
			g_array_remove_index(keys, i - 1);
	}
	return keys;
}

bool
blame_evidence_is_suspect(const struct blame_evidence *ev, uint64_t key)
{
	return blame_evidence_score(ev, key).weight >= kWeightSuspect;
}

/* A part that sound requests share has the same ends as the one that causes
 * them: what a likelier one explains does not count. */
bool
blame_evidence_find_part(
    const struct blame_evidence *ev, uint64_t *key, struct blame_score *found)
{
	GArray *suspects = find_suspects(ev);
	struct blame_score best = {0};

	for (guint i = 0; i < suspects->len; i++) {
		uint64_t k = g_array_index(suspects, uint64_t, i);
		struct blame_score sc = score(ev, k, suspects);

		if (!may_be_blocked(ev, k, &sc) || sc.weight < best.weight ||
		    (sc.weight == best.weight &&
			begun_times_get(ev->begun, k) >=
			    begun_times_get(ev->begun, *key)))
			continue;
		best = sc;
		*key = k;
	}
	g_array_unref(suspects);
	*found = best;
	return best.weight > 0;
}

void
blame_evidence_explain(
    struct blame_evidence *ev, uint64_t key, bool is_for_part)
{
	GHashTable *targets = targets_of(ev, key);

	for (guint i = 0; i < ev->runs->len; i++) {
		struct lost_run *lost = run_at(ev, i);
		bool is_own = position_of(&lost->run.keys, key) >= 0;

		if (is_own ? is_for_part
			   : g_hash_table_contains(targets, &lost->target))
			lost->is_explained = true;
	}
	g_hash_table_unref(targets);
}

static void
add_name(GString *list, GHashTable *seen, const char *name)
{
	if (!g_hash_table_add(seen, (void *)name))
		return;
	if (list->len > 0)
		g_string_append_c(list, ',');
	g_string_append(list, name);
}

void
blame_evidence_describe(
    const struct blame_evidence *ev, uint64_t key, struct blame_case *found)
{
	GHashTable *targets = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *daemons = g_hash_table_new(g_str_hash, g_str_equal);

	found->lost_runs = 0;

	found->targets = g_string_new(NULL);
	found->seen_by = g_string_new(NULL);
	for (guint i = 0; i < ev->runs->len; i++) {
		const struct blame_run *run = &run_at(ev, i)->run;

		if (position_of(&run->keys, key) < 0)
			continue;
		found->lost_runs++;
		add_name(found->targets, targets, run->target);
		add_name(found->seen_by, daemons, run->seen_by);
	}
	g_hash_table_unref(targets);
	g_hash_table_unref(daemons);
}
