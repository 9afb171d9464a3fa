#ifndef SAVORYFLOW_BLAME_INTERNAL_H
#define SAVORYFLOW_BLAME_INTERNAL_H

#include "savoryflow/retry/begun_runs.h"
#include "savoryflow/retry/blame_evidence.h"

/* Internal to the blame module. */

struct verdict {
	/** Verdict and key as told to others. */
	struct blame_note note;
	/** Coordinator: when the key became suspect; 0: it is not. */
	int64_t suspected_us;
	/** When this daemon last reported that it refused a request. */
	int64_t reported_us;
	/** When an answer last began to a request without the suspected key. */
	int64_t others_us;
	/** Answers without the suspected key that began until then are
	 * counted. */
	int64_t exposed_us;
	/** Since when the key is suspected, as known here; 0: it is not. */
	int64_t held_since_us;
	/** Requests that were lost while the key was suspected. */
	int32_t held_losses;
	bool is_trial_used;
};

struct blame {
	char self[kBlameNameMax];
	uint64_t self_hash;
	bool is_coordinator;
	bool is_primary;
	struct begun_times *begun;
	struct begun_runs *begun_runs;
	struct blame_evidence *evidence;
	/** struct verdict by key. */
	GHashTable *verdicts;
	/** Keys blocked here, for the log: array of uint64_t. */
	GArray *cases;
	/** There is evidence that was not judged yet. */
	bool has_new_evidence;
	/** Some key is suspect. */
	bool has_suspects;
	int64_t repeated_us;
	bool is_repeat_wanted;
};

/** The verdict on a key; NULL if there is none. */
struct verdict *blame_verdict_find(const struct blame *bl, uint64_t key);

/** The verdict on a key; a new one is kBlameNone. */
struct verdict *blame_verdict_get(struct blame *bl, uint64_t key);

/* blame_judge.c */

/** Coordinator: tells all daemons of a verdict that has changed. */
void blame_announce(
    struct blame *bl, struct verdict *v, int64_t now_us, struct blame_out *out);

/** Blocks a key for which there is evidence. */
void blame_block(struct blame *bl, uint64_t key, bool is_part, int64_t now_us,
    struct blame_out *out);

void blame_lift(
    struct blame *bl, struct verdict *v, int64_t now_us, struct blame_out *out);

/** Coordinator: parts with enough evidence are suspect, so that the daemons
 * hold requests with them and report answers that speak against it. */
void blame_suspect_parts(struct blame *bl, const struct blame_keys *keys,
    int64_t now_us, struct blame_out *out);

/** Records how long runs without a key took until their answers began. */
void blame_expose(struct blame *bl, uint64_t key, int64_t exposure_us);

/** Counts the answers of this daemon that began without a key since they were
 * last counted: as a coordinator here, else in a note for the coordinators. */
void blame_count_exposure(struct blame *bl, struct verdict *v,
    enum blame_note_kind kind, int64_t now_us, struct blame_out *out);

/** When the key of a verdict last mattered. */
int64_t blame_last_use_us(const struct verdict *v);

#endif
