#ifndef SAVORYFLOW_BATCH_STORE_H
#define SAVORYFLOW_BATCH_STORE_H

#include "savoryflow/batch/batch_defs.h"
#include "store/store.h"

/*
 * Batch jobs, leased and committed chunk by chunk, in the platform's table
 * service and object store.
 *
 * Rows: job/TEAM/ID; open/TEAM/ID while the job runs; chunk/TEAM/ID/NNNNNN once
 * a chunk is leased; session/ID for each daemon. Objects: input/UPLOAD/NNNNNN
 * and result/TEAM/ID/NNNNNN/CLAIM, immutable.
 *
 * Every commit is conditional on the lease, the session and the state of the
 * job, so that a daemon that has lost one of them cannot write, even if it does
 * not know yet. Functions return kStoreAmbiguous only if the store did not
 * answer.
 */

void batch_job_free(struct batch_job *job);
void batch_chunk_free(struct batch_chunk *chunk);

/** Number of chunks of a job. */
int32_t batch_job_chunks(const struct batch_job *job);

/** Stores the items (JSON lines) of one chunk of an upload. */
enum store_result batch_put_input(const struct store *store, const char *upload,
    int32_t chunk, const char *data, size_t len);
enum store_result batch_get_input(const struct store *store,
    const struct batch_job *job, int32_t chunk, GBytes **data);

/**
 * Accepts a job. The same id with the same digest is the same job.
 * @return kStoreConflict if the id has a different digest
 */
enum store_result batch_submit(
    const struct store *store, const struct batch_job *job);

/** Reads a job. @param job set on kStoreOk; free it */
enum store_result batch_get_job(const struct store *store, const char *team,
    const char *id, struct batch_job **job);

/** Reads the running jobs: array of struct batch_job *. */
enum store_result batch_open_jobs(const struct store *store, GPtrArray **jobs);

/** Reads all chunks of a job: array of struct batch_chunk *, by number. */
enum store_result batch_chunks(
    const struct store *store, const struct batch_job *job, GPtrArray **chunks);

enum store_result batch_progress(const struct store *store, const char *team,
    const char *id, struct batch_progress *progress);

/**
 * Leases a chunk that is open, whose holder's session has ended, or that this
 * session holds already.
 * @param claim unique token of this lease
 */
enum store_result batch_claim(const struct store *store,
    const struct batch_session *session, const struct batch_job *job,
    const struct batch_chunk *chunk, const char *claim);

/** Releases a lease without results. */
enum store_result batch_release_claim(const struct store *store,
    const struct batch_job *job, int32_t chunk, const char *claim);

struct batch_results {
	int32_t chunk;
	const char *claim;
	/** JSON lines, one per item, in the order of the items. */
	const char *data;
	size_t len;
	int32_t ok;
	int32_t failed;
};

/**
 * Commits the results of a leased chunk once; a repeated commit has no effect.
 * @return kStoreConflict if the lease, the session or the job has ended
 */
enum store_result batch_commit(const struct store *store,
    const struct batch_session *session, const struct batch_job *job,
    const struct batch_results *results);

/** Marks the job done if all its chunks are. @param done set to the outcome */
enum store_result batch_finish(
    const struct store *store, const struct batch_job *job, bool *done);

/** Cancels a running job. @return kStoreConflict if it has ended */
enum store_result batch_cancel(
    const struct store *store, const char *team, const char *id);

enum store_result batch_get_results(
    const struct store *store, const char *object, GBytes **data);

/** Text of a state: "running", "cancelled" or "done". */
const char *batch_job_state_text(enum batch_job_state state);

#endif
