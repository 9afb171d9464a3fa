#ifndef SAVORYFLOW_GATEWAY_JOBS_TASK_H
#define SAVORYFLOW_GATEWAY_JOBS_TASK_H

#include "gateway/jobs_internal.h"
#include "store/change.h"

struct job_forward;

/** A task waits for a thread, then runs on it unless it was skipped. */
enum job_task_state {
	kTaskWaiting,
	kTaskRunning,
	kTaskSkipped,
};

/**
 * A request about a job that is executed at the store. If the store rejects
 * this daemon, or does not answer for a while, a peer that reaches it is tried
 * as well and the first good answer counts. All of these requests are
 * idempotent.
 */
struct job_task {
	struct jobs *js;
	/** NULL without a caller, or after it disconnected or was answered. */
	struct front_request *req;
	/** Name of the job, see job_name.h. */
	char *id;
	/** Team of the caller, or "". A job of another team is not found. */
	char *team;
	int64_t received_us;
	/** Runs on a pool thread. */
	void (*work)(struct job_task *task);
	/** Runs on the event loop; answers req unless it is NULL. */
	void (*done)(struct job_task *task);
	enum store_result outcome;
	struct job_forward *forward;
	/** Peers were tried. */
	bool was_forwarded;
	/** A change: the copies sent by this daemon and through peers. */
	struct store_change change;
	uint64_t hedge_timer;
	/** Ends the wait of the caller. */
	uint64_t answer_timer;
	/** enum job_task_state; also used by the thread. */
	gint state;
	/* Submission. */
	struct itemjob *job;
	GPtrArray *items;
	bool is_new;
	char *token;
	/** Request for the job's tokens, while it waits; 0: none. */
	uint64_t quota_wait;
	int64_t quota_limit;
	int32_t quota_conflicts;
	int64_t quota_retry_us;
	/* Reads. */
	int32_t from;
	int32_t total;
	char *item_id;
	GPtrArray *results;
	GBytes *body;
	/** Ended: session of the daemon that runs the job, or NULL. */
	char *owner;
	/* Takeover. */
	struct itemjob_open *open;
	/** Name of the last step. */
	const char *step;
	/** Why the items have only their ids, or kStoreOk. */
	enum store_result lost_items;
	GArray *done_items;
	/** Also the progress that is stored when the daemon leaves. */
	GArray *progress;
};

/** True if a job can have the id: UTF-8 text without slashes and control
 * characters. Its length is limited by that of a request's head. */
bool job_id_is_valid(const char *id);

/** Replies that there is no job with this id if none can have it.
 * @return true if it has replied */
bool job_reply_impossible_id(struct front_request *req, const char *id);

/** Logs the outcome of a task. */
void job_log_call(const struct job_task *task, const char *operation);

/**
 * @param req NULL without a caller
 * @param name of the job, see job_name.h
 */
struct job_task *job_task_new(
    struct jobs *js, struct front_request *req, const char *name);

/** A task for a call of a team. @param team "": none */
struct job_task *job_task_new_for(struct jobs *js, struct front_request *req,
    const char *name, const char *team);

/** Frees a task that was not started. */
void job_task_free(struct job_task *task);

/**
 * Logs that the caller of a request about a job is gone without an answer.
 * @param step what was in progress: "quota", "store",
 *        "store_and_peer" or "peer"
 */
void job_log_caller_left(const struct jobs *js, const struct front_request *req,
    const char *id, const char *step);

/* jobs_quota.c */

/** Asks for the tokens of a submission, then starts it or refuses it. */
void jobs_quota_submit(
    struct job_task *task, const struct routebook_route *route);

/** Another daemon counts the tokens by now: asks that one.
 * @return false if the submission is to fail */
bool jobs_quota_retry(struct job_task *task);

/** The submission had no effect: its tokens are free. */
void jobs_quota_release(struct job_task *task);

/** Refuses a submission whose id another team's job has. */
void jobs_refuse_taken_id(struct job_task *task);

/** Gives a submission a new token. */
void jobs_set_token(struct job_task *task);

/** Stores a submission that may be accepted. */
void jobs_submit_start(struct job_task *task);

/**
 * A task begins to submit the job or to read it from the store: until the last
 * one has ended, the list of open jobs does not start it.
 */
void jobs_begin_loading(struct jobs *js, const char *id);

/** A task no longer submits the job or reads it from the store. */
void jobs_end_loading(struct jobs *js, const char *id);

/**
 * Logs what the caller of a change was told, beside what is known of its
 * copies; nothing for reads.
 * @param step what gave the answer: "store", "thread", "quota" or "peer"
 */
void job_log_answer(const struct jobs *js, const struct front_request *req,
    const char *id, const char *step, int32_t status,
    const struct store_change *change);

/** @return HTTP status of the reply to a failed store operation */
int32_t job_store_error_status(enum store_result res);

/** Starts the task, which frees itself when done. */
void job_task_start(struct job_task *task);

/** Replies with the error for a failed store operation. */
void job_reply_store_error(struct front_request *req, enum store_result res);

/**
 * Replies that a task's change was not made, unless a copy of it may be.
 * @param code type of the error; it promises that nothing was done
 */
void job_task_refuse(struct job_task *task, int code, const char *message,
    int64_t retry_after_us);

#endif
