#ifndef SAVORYFLOW_ITEMJOB_STORE_H
#define SAVORYFLOW_ITEMJOB_STORE_H

#include "savoryflow/job/itemjob.h"
#include "store/store.h"

/*
 * Batch jobs whose results have stable positions, in the table service and
 * the object store.
 *
 * Rows: job/jobs/ID; input/jobs/ID with the items if they fit; open/jobs/ID
 * until the job is finished, with the session that runs it; result/ID/POSITION,
 * and text/ID/POSITION-PART for a long text; item/ID/INDEX with the position of
 * the item's result; progress/ID/INDEX with what a daemon had of an unfinished
 * item when it left. Object: input/ID/TOKEN with the items if they don't fit a
 * row, never changed.
 *
 * A commit holds only if neither its position nor its item has a result, so
 * that two daemons that run the same job cannot list an item twice or put two
 * results at one position. Functions block; they return kStoreAmbiguous only
 * if the store stayed silent.
 */

/**
 * Accepts a job; a job with the id of a known one is that one.
 * @param token unique token of this submission
 * @param owner session that is to run it
 * @param is_new set to whether this submission made the job
 */
enum store_result itemjob_submit(const struct store *st, struct itemjob *job,
    const GPtrArray *items, const char *token, const char *owner, bool *is_new);

/** Reads a job. @param job set on kStoreOk; free it */
enum store_result itemjob_get(
    const struct store *st, const char *id, struct itemjob **job);

enum store_result itemjob_load_items(
    const struct store *st, const struct itemjob *job, GPtrArray **items);

/** Results from a position on, kItemjobResultsMax at most. */
enum store_result itemjob_read_results(
    const struct store *st, const char *id, int32_t from, GPtrArray **results);

/** Items that have a result: array of struct itemjob_done. */
enum store_result itemjob_read_done(
    const struct store *st, const char *id, GArray **done);

/**
 * Lists a result at its position.
 * @return kStoreOk also if the item had a result already; kStoreConflict if
 *         the position is another item's
 */
enum store_result itemjob_commit(const struct store *st, const char *id,
    int32_t index, const struct itemjob_result *result);

/** Keeps unfinished work for the daemon that takes the job over. What is too
 * long for a row is left out: that item starts anew. */
enum store_result itemjob_save_progress(
    const struct store *st, const char *id, const GArray *progress);
enum store_result itemjob_read_progress(
    const struct store *st, const char *id, GArray **progress);

/** All jobs that are not finished: array of struct itemjob_open *. */
enum store_result itemjob_read_open(const struct store *st, GPtrArray **list);

/** Takes over a job from a session that is gone. */
enum store_result itemjob_claim(
    const struct store *st, const struct itemjob_open *open, const char *owner);

/** Ends a job early; kStoreOk also if it is finished, kStoreNotFound if it is
 * not known. */
enum store_result itemjob_end(const struct store *st, const char *id);

/** The job is finished: nobody has to run it any more. */
enum store_result itemjob_close(const struct store *st, const char *id);

/**
 * Ids of finished jobs that were submitted before a time of the store; array
 * of strings, which frees them. Some at a time.
 */
enum store_result itemjob_read_expired(
    const struct store *st, int64_t before_ms, GPtrArray **ids);

/** Removes a job with all that belongs to it; the job's row goes last, so that
 * a removal that was cut short is done again. */
enum store_result itemjob_remove(const struct store *st, const char *id);

#endif
