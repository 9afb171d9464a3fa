#ifndef SAVORYFLOW_ITEMJOB_STORE_H
#define SAVORYFLOW_ITEMJOB_STORE_H

#include "savoryflow/job/itemjob.h"
#include "store/store.h"

/*
 * Batch jobs whose results have stable positions, in the table service and the
 * object store.
 *
 * Rows: job/jobs/ID; input/jobs/ID with the items if they fit, otherwise with
 * their ids; open/jobs/ID until the job is finished, with the session that runs
 * it; result/ID/POSITION, and text/ID/POSITION-PART for a long text;
 * item/ID/INDEX with the position of the item's result; progress/ID/INDEX with
 * the partial output of an unfinished item, written when its daemon stops.
 * Object: input/ID/TOKEN with the items if they do not fit a row; immutable.
 *
 * A commit succeeds only if neither its position nor its item has a result, so
 * that two daemons that run the same job can neither list an item twice nor put
 * two results at one position. Functions block; they return kStoreAmbiguous
 * only if the store did not answer.
 */

/**
 * Accepts a job; a known id refers to the existing job. Returns kStoreConflict
 * if the job's quota is counted by another daemon by now, or if the job is
 * another team's (is_id_taken is set), and kStoreUnavailable if the store's
 * time cannot be learnt; nothing was written.
 * @param token unique token of this submission
 * @param owner session that is to run it
 * @param is_new set to whether this submission created the job
 */
enum store_result itemjob_submit(const struct store *st, struct itemjob *job,
    const GPtrArray *items, const char *token, const char *owner, bool *is_new);

/** Reads a job. @param job set on kStoreOk; free it */
enum store_result itemjob_get(
    const struct store *st, const char *id, struct itemjob **job);

/** Time since the submission in us; 0 if it is unknown, so that no item is
 * given up too early. */
int64_t itemjob_age_us(const struct store *st, const struct itemjob *job);

enum store_result itemjob_load_items(
    const struct store *st, const struct itemjob *job, GPtrArray **items);

/**
 * Reads the ids of a job's items whose contents cannot be read.
 * @param items set on kStoreOk: items without a path and a body
 */
enum store_result itemjob_load_ids(
    const struct store *st, const struct itemjob *job, GPtrArray **items);

/** Reads results from a position on, at most kItemjobResultsMax. */
enum store_result itemjob_read_results(
    const struct store *st, const char *id, int32_t from, GPtrArray **results);

/** Reads which items have a result: array of struct itemjob_done. */
enum store_result itemjob_read_done(
    const struct store *st, const char *id, GArray **done);

/**
 * Stores a result at its position.
 * @return kStoreOk also if the item had a result already; kStoreConflict if
 *         another item has the position
 */
enum store_result itemjob_commit(const struct store *st, const char *id,
    int32_t index, const struct itemjob_result *result);

/** Saves the progress of unfinished items for the daemon that takes over the
 * job. A text that is too long for a row is left out: that item restarts from
 * the beginning; its failures are kept. */
enum store_result itemjob_save_progress(
    const struct store *st, const char *id, const GArray *progress);
enum store_result itemjob_read_progress(
    const struct store *st, const char *id, GArray **progress);

/** Reads all unfinished jobs: array of struct itemjob_open *. */
enum store_result itemjob_read_open(const struct store *st, GPtrArray **list);

/** Takes over a job whose owner's session has ended. */
enum store_result itemjob_claim(
    const struct store *st, const struct itemjob_open *open, const char *owner);

/**
 * Ends a job early.
 * @param owner set to the session of the daemon that runs the job, or NULL if
 * it is finished; free with g_free
 * @return kStoreOk also if it is finished, kStoreNotFound if it is unknown
 */
enum store_result itemjob_end(
    const struct store *st, const char *id, char **owner);

/**
 * Makes this daemon the one that counts the waiting tokens of a route:
 * submissions that depend on an earlier fence fail from now on.
 * @param owner session of this daemon
 * @param fence version of the fence row
 */
enum store_result itemjob_take_quota_fence(const struct store *st,
    const char *route, const char *owner, int64_t *fence);

/** Marks the job as finished: it needs no owner any more. */
enum store_result itemjob_close(const struct store *st, const char *id);

/**
 * Reads the ids of finished jobs that were submitted before a time of the
 * store's clock: array of strings, which it frees. Returns a limited number per
 * call.
 */
enum store_result itemjob_read_expired(
    const struct store *st, int64_t before_ms, GPtrArray **ids);

/** Removes a job with all its rows and objects. The job's row goes last, so
 * that an interrupted removal is repeated. */
enum store_result itemjob_remove(const struct store *st, const char *id);

#endif
