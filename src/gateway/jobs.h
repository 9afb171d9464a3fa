#ifndef SAVORYFLOW_GATEWAY_JOBS_H
#define SAVORYFLOW_GATEWAY_JOBS_H

#include "gateway/access/access.h"
#include "gateway/crash_guard.h"
#include "gateway/front.h"
#include "gateway/offload.h"
#include "gateway/relay.h"
#include "savoryflow/job/itemjob_store.h"

struct jobs_options {
	struct relay_deps deps;
	struct offload *offload;
	struct quota *quota;
	struct crash_guard *guard;
	const struct store *store;
	/** Session of this daemon, which owns the jobs it runs. */
	const char *session;
	/** Routing rules in force, borrowed; NULL before the first are
	 * loaded. */
	const struct routebook *(*routes)(void *ctx);
	/** Notifies the daemon with the owner's session that its job was
	 * ended. */
	void (*notify_ended)(void *ctx, const char *id, const char *owner);
	/** Whether the store is believed to answer, and a report of whether it
	 * did. */
	bool (*store_is_up)(void *ctx);
	void (*report_store)(void *ctx, bool is_up);
	/** Front address of a peer that reaches the store, other than
	 * `excluded`, or NULL. */
	const char *(*front_reaching_store)(void *ctx, const char *excluded);
	void *ctx;
};

/**
 * Batch jobs: requests of callers about them, and the jobs that this daemon
 * runs. Must be used on the event loop only.
 */
struct jobs;

struct jobs *jobs_new(const struct jobs_options *opt);
void jobs_free(struct jobs *js);

/** Has the quotas counted here for which this daemon is elected; about once a
 * second. */
void jobs_prepare_quotas(struct jobs *js);

/** Ids of the jobs that this daemon runs: array of strings, borrowed. */
GPtrArray *jobs_running_ids(const struct jobs *js);

/** True if this daemon runs any job. */
bool jobs_has_running(const struct jobs *js);

void jobs_submit(struct jobs *js, struct front_request *req,
    const struct dialect_call *call, const struct routebook_route *route,
    const struct access_caller *caller);
void jobs_results(struct jobs *js, struct front_request *req,
    const struct dialect_call *call, const struct access_caller *caller);
void jobs_item(struct jobs *js, struct front_request *req,
    const struct dialect_call *call, const struct access_caller *caller);
void jobs_end(struct jobs *js, struct front_request *req,
    const struct dialect_call *call, const struct access_caller *caller);

/** Handles the end of a job by its caller: stops it if this daemon runs it. */
void jobs_on_ended(struct jobs *js, const char *id);

/**
 * Applies the list of open jobs: starts jobs of this session that are not
 * running, and drops running jobs that this session no longer owns.
 * @param list array of struct itemjob_open *
 * @param read_at_us time before the list was read
 */
void jobs_on_open_list(
    struct jobs *js, const GPtrArray *list, int64_t read_at_us);

/** Takes over a job whose owning session has ended. */
void jobs_take_over(struct jobs *js, const struct itemjob_open *open);

/** Closes a job that was ended and that no daemon runs. */
void jobs_close(struct jobs *js, const char *id);

/**
 * Stops all items when this daemon leaves, and stores their progress for the
 * daemons that take the jobs over.
 */
void jobs_hand_over(struct jobs *js);

/**
 * Number of items that run at a target or wait to be listed, plus jobs whose
 * progress is being stored.
 */
int32_t jobs_active_items(const struct jobs *js);

#endif
