#ifndef SAVORYFLOW_GATEWAY_JOBS_TASK_H
#define SAVORYFLOW_GATEWAY_JOBS_TASK_H

#include "gateway/jobs_internal.h"

struct job_forward;

/**
 * A request about a job that goes to the store. If the store turns this daemon
 * away, or keeps silent for a while, a peer that reaches it is asked as well;
 * the first good answer counts. All of these requests are idempotent.
 */
struct job_task {
	struct jobs *js;
	/** NULL without a caller, or once it has left or has its answer. */
	struct front_request *req;
	char *id;
	int64_t received_us;
	/** Runs on a thread of the pool. */
	void (*work)(struct job_task *task);
	/** Runs on the loop; answers req unless it is NULL. */
	void (*done)(struct job_task *task);
	enum store_result outcome;
	struct job_forward *forward;
	/** Peers were asked; without an answer one may have done it. */
	bool was_forwarded;
	bool peer_may_have_done;
	uint64_t patience_timer;
	/* Submission. */
	struct itemjob *job;
	GPtrArray *items;
	bool is_new;
	char *token;
	/* Reads. */
	int32_t from;
	int32_t total;
	char *item_id;
	GPtrArray *results;
	GBytes *body;
	/* Taking a job over. */
	struct itemjob_open *open;
	GArray *done_items;
	/** Also what is handed over when the daemon leaves. */
	GArray *progress;
};

/** @param req NULL without a caller */
struct job_task *job_task_new(
    struct jobs *js, struct front_request *req, const char *id);

/** Starts the task, which frees itself in the end. */
void job_task_start(struct job_task *task);

/** Answers that the store failed. */
void job_reply_store_error(struct front_request *req, enum store_result res);

#endif
