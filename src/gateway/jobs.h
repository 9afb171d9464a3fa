#ifndef SAVORYFLOW_GATEWAY_JOBS_H
#define SAVORYFLOW_GATEWAY_JOBS_H

#include "gateway/front.h"
#include "gateway/offload.h"
#include "gateway/relay.h"
#include "savoryflow/job/itemjob_store.h"

struct jobs_options {
	struct relay_deps deps;
	struct offload *offload;
	const struct store *store;
	/** Session of this daemon; jobs are run under it. */
	const char *session;
	/** Routing rules in force, borrowed; NULL before the first. */
	const struct routebook *(*routes)(void *ctx);
	/** Tells the peers that a job was ended. */
	void (*notify_ended)(void *ctx, const char *id);
	/** Whether the store answers as far as is known; and news of that. */
	bool (*store_is_up)(void *ctx);
	void (*report_store)(void *ctx, bool is_up);
	/** Front address of a peer other than `but` that reaches the store, or
	 * NULL. */
	const char *(*front_reaching_store)(void *ctx, const char *but);
	void *ctx;
};

/** Batch jobs: what callers ask of them, and those that run here. Loop only.
 */
struct jobs;

struct jobs *jobs_new(const struct jobs_options *opt);
void jobs_free(struct jobs *js);

/** True if items of any job run here. */
bool jobs_has_running(const struct jobs *js);

void jobs_submit(struct jobs *js, struct front_request *req,
    const struct dialect_call *call, const struct routebook_route *route);
void jobs_results(struct jobs *js, struct front_request *req,
    const struct dialect_call *call);
void jobs_item(struct jobs *js, struct front_request *req,
    const struct dialect_call *call);
void jobs_end(struct jobs *js, struct front_request *req,
    const struct dialect_call *call);

/** A job was ended; it stops if it runs here. */
void jobs_on_ended(struct jobs *js, const char *id);

/**
 * Takes the list of open jobs: starts those of this session that are not
 * running, drops those that are no longer this session's.
 * @param list array of struct itemjob_open *
 * @param read_at_us time before the list was read
 */
void jobs_on_open_list(
    struct jobs *js, const GPtrArray *list, int64_t read_at_us);

/** Takes over a job from a session that is gone. */
void jobs_take_over(struct jobs *js, const struct itemjob_open *open);

/** Closes a job that was ended and that nobody runs. */
void jobs_close(struct jobs *js, const char *id);

/** The daemon leaves: items stop, and how far they came is kept for the
 * daemons that take the jobs over. */
void jobs_hand_over(struct jobs *js);

/** Items that run at a target, or wait to be listed or handed over. */
int32_t jobs_active_items(const struct jobs *js);

#endif
