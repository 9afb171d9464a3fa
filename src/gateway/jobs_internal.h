#ifndef SAVORYFLOW_GATEWAY_JOBS_INTERNAL_H
#define SAVORYFLOW_GATEWAY_JOBS_INTERNAL_H

#include "gateway/jobs.h"
#include "savoryflow/job/item_pace.h"
#include "savoryflow/job/item_retry.h"
#include "savoryflow/retry/retry_table.h"

/* Internal to the jobs module. */

enum item_phase {
	kItemWaiting,
	kItemRunning,
	/** Its result waits to be listed. */
	kItemReady,
	kItemListed,
};

struct item_run {
	struct job_run *run;
	int32_t index;
	struct itemjob_item *item;
	enum item_phase phase;
	struct relay *relay;
	int64_t next_attempt_us;
	struct item_retry retry;
	struct blame_keys keys;
	/** It waits as it would crash targets. */
	bool is_blocked;
	/** It runs to find out whether it still crashes targets. */
	bool is_trial;
	/** Data of the events received so far. */
	GString *text;
	bool has_text;
	int64_t last_event_id;
	/** Time of the current run's slot request, and the last event id
	 * then. */
	int64_t run_requested_us;
	int64_t run_first_event_id;
	int32_t status;
	bool is_stream;
	bool is_completed;
};

/** A job that this daemon runs. */
struct job_run {
	struct jobs *js;
	struct itemjob *job;
	/** struct itemjob_item *, owned. */
	GPtrArray *items;
	/** struct item_run, one per item. */
	struct item_run *runs;
	int64_t started_us;
	int64_t accepted_us;
	int64_t due_us;
	/** Time to live of the items by the route last known; 0: none. */
	int64_t ttl_us;
	/** Since when no version in force here has the route; 0: it has. */
	int64_t route_gone_us;
	bool was_route_known;
	/** The items that wait have ended with the route. */
	bool is_route_ended;
	/** Results that wait to be listed: struct item_run *, in order. */
	GQueue ready;
	int32_t next_position;
	/** Waiting tokens last reported to the route's quota, and when. */
	int64_t reported_tokens;
	int64_t reported_us;
	bool is_committing;
	bool is_dropped;
	int32_t listed;
};

struct jobs {
	struct jobs_options opt;
	/** struct job_run by id. */
	GHashTable *runs;
	/** How many tasks submit a job or read it from the store, by id. */
	GHashTable *loading;
	/** Takeovers that failed, by id of the job. */
	struct retry_table *takeovers;
	/** struct itemjob by id, as read from the store. */
	GHashTable *cached;
	struct item_pace pace;
	bool is_leaving;
	/** Tokens given to submissions. */
	uint64_t tokens;
	/** Jobs whose progress is being stored. */
	int32_t saves_in_flight;
	uint64_t timer;
	/** Time when the connections of quotas were last used. */
	int64_t quotas_connected_us;
	/** int64_t: time of the last submission, by name of a team's quota. */
	GHashTable *team_quotas;
};

/**
 * Starts a job unless it runs; takes ownership of job and items.
 * @param done struct itemjob_done of the listed items, or NULL
 * @param progress struct itemjob_progress stored by the previous daemon, or
 *         NULL
 */
void jobs_run_start(struct jobs *js, struct itemjob *job, GPtrArray *items,
    const GArray *done, const GArray *progress, int64_t accepted_us);

/**
 * Cancels the runs of all items.
 * @return progress and failures of the unfinished items: array of struct
 *         itemjob_progress
 */
GArray *jobs_progress_halt(struct job_run *run);

/** Resumes items where the previous daemon stopped them. */
void jobs_progress_restore(struct job_run *run, const GArray *progress);

/** Saves the failures of an item in case this daemon is killed. */
void jobs_progress_save_failures(const struct item_run *ir);

/**
 * Stores progress of a job's items for the daemon that takes it over.
 * @param progress array of struct itemjob_progress; takes ownership
 */
void jobs_save_progress(struct jobs *js, const char *id, GArray *progress);

/** Stops running a job here; listed results stay. */
void jobs_run_drop(struct job_run *run, const char *reason);

/** Starts the items that are due for an attempt. */
void jobs_run_start_due(struct job_run *run);

void jobs_run_free(void *p);

/** Ends the items that wait once the job's route has been gone for a while. */
void jobs_route_check(struct job_run *run);

/** A submission here asks for tokens of a team's quota: it is prepared for a
 * while, see jobs_prepare_quotas. */
void jobs_note_team_quota(struct jobs *js, const char *name);

/** Whether the configuration in force has teams. */
bool jobs_has_teams(const struct jobs *js);

/* jobs_check.c */

/**
 * Checks what a submission names before anything of it is stored.
 * @param id of the job, as its caller sent it
 * @return false with a typed error: it can never be accepted
 */
bool jobs_check_submission(const struct jobs *js, const char *id,
    const GPtrArray *items, GError **err);

/** Name of a job by its id, see job_name.h; logs the name if it is not the id.
 * @return a new text; free with g_free */
char *jobs_name_of(const char *id);

/** Header fields of an item; free with header_list_free. */
struct header_list *jobs_item_headers(const struct itemjob_item *item);

/* jobs_guard.c */

/** Fills in the keys of an item. */
void jobs_guard_init(struct item_run *ir);

/** True if an item that is due must wait as it would crash targets. */
bool jobs_guard_is_blocked(struct item_run *ir, int64_t now_us);

/** Callbacks of an item's relay; ctx is the struct item_run. */
bool jobs_guard_may_run(void *ctx, bool is_repeat);
void jobs_guard_on_begun(void *ctx, int64_t sent_us);
bool jobs_guard_on_lost_run(void *ctx, const struct relay_lost_run *run);

/** Reports the job's waiting tokens to its route's quota, if due. */
void jobs_quota_report(struct job_run *run);

/** Forgets the failed takeovers of jobs that are not open any more. */
void jobs_takeover_forget(struct jobs *js, const GPtrArray *list);

/** Caches a job that was read from the store. */
void jobs_cache_job(struct jobs *js, const struct itemjob *job);
const struct itemjob *jobs_cached_job(struct jobs *js, const char *id);

#endif
