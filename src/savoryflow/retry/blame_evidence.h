#ifndef SAVORYFLOW_BLAME_EVIDENCE_H
#define SAVORYFLOW_BLAME_EVIDENCE_H

#include "savoryflow/retry/begun_times.h"
#include "savoryflow/retry/blame.h"

/* Internal to the blame module: the lost runs, and what they say of a key. */

/** Evidence against one key. */
struct blame_score {
	/** Ends of targets that followed from one another, weighted. */
	int32_t weight;
	/** Their number. */
	int32_t ends;
	/** The heaviest series of runs that followed from one another: their
	 * number, and the time that they took until they were lost. */
	int32_t series_runs;
	int64_t series_us;
	/** A connection of the series may have been lost without its target. */
	bool has_cut;
	bool has_several_requests;
	/** Lost runs with the key. */
	int32_t runs;
	int64_t first_end_us;
	int64_t last_end_us;
	/** Nothing but the key can be to blame. */
	bool is_enough_alone;
};

enum {
	/** Runs without a key are counted from so long before the first one
	 * that was lost with it. */
	kBlameOthersWindowUs = 10000000,
};

struct blame_evidence;

/** @param begun times of answers, borrowed */
struct blame_evidence *blame_evidence_new(const struct begun_times *begun);
void blame_evidence_free(struct blame_evidence *ev);

/** Records a run. */
void blame_evidence_add(struct blame_evidence *ev, const struct blame_run *run);

/** Records how long runs without a key took until their answers began. */
void blame_evidence_expose(
    struct blame_evidence *ev, uint64_t key, int64_t exposure_us);

/** Forgets what was recorded with blame_evidence_expose. */
void blame_evidence_forget_exposure(struct blame_evidence *ev, uint64_t key);

/** Drops runs that ended before a time. */
void blame_evidence_expire(struct blame_evidence *ev, int64_t before_us);

struct blame_score blame_evidence_score(
    const struct blame_evidence *ev, uint64_t key);

/**
 * Finds the part of prompts that is most likely to blame, if any.
 * @param found receives what speaks against it
 * @return false if there is none
 */
bool blame_evidence_find_part(
    const struct blame_evidence *ev, uint64_t *key, struct blame_score *found);

/** True if the evidence against a key suffices to suspect it. */
bool blame_evidence_is_suspect(const struct blame_evidence *ev, uint64_t key);

/** True if the evidence against a part suffices to block it. */
bool blame_evidence_is_enough(const struct blame_evidence *ev, uint64_t key);

/** True if a call as a whole is to blame. */
bool blame_evidence_is_call(const struct blame_evidence *ev, uint64_t key);

/**
 * Records that a key is to blame: the other runs at the targets that ended
 * under it say nothing of their own requests.
 * @param is_part false: the runs of the request still count for its parts
 */
void blame_evidence_explain(
    struct blame_evidence *ev, uint64_t key, bool is_part);

/** Fills in the names of targets and daemons of a key's runs. */
void blame_evidence_describe(
    const struct blame_evidence *ev, uint64_t key, struct blame_case *found);

#endif
