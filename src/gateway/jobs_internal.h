#ifndef SAVORYFLOW_GATEWAY_JOBS_INTERNAL_H
#define SAVORYFLOW_GATEWAY_JOBS_INTERNAL_H

#include "gateway/jobs.h"
#include "savoryflow/job/item_pace.h"

/* Shared by the files of the jobs module only. */

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
	int64_t next_try_us;
	/** Answers of 500, and cuts without any event in between. */
	int32_t failures;
	int32_t fruitless_cuts;
	/** Data of the events so far. */
	GString *text;
	bool has_text;
	int64_t last_event_id;
	/** When its present run asked for a slot, and its last event then. */
	int64_t run_asked_us;
	int64_t run_first_event_id;
	int32_t status;
	bool is_stream;
	bool had_event;
	bool is_completed;
};

/** A job that this daemon runs. */
struct job_run {
	struct jobs *js;
	struct itemjob *job;
	/** struct itemjob_item *, owned. */
	GPtrArray *items;
	/** struct item_run, one for each item. */
	struct item_run *runs;
	int64_t started_us;
	int64_t accepted_us;
	int64_t due_us;
	int64_t ttl_us;
	/** Results that wait to be listed: struct item_run *, in order. */
	GQueue ready;
	int32_t next_position;
	bool is_committing;
	bool is_dropped;
	int32_t listed;
};

struct jobs {
	struct jobs_options opt;
	/** struct job_run by id. */
	GHashTable *runs;
	/** Ids that are being read to be run. */
	GHashTable *loading;
	/** struct itemjob by id, as the store showed it. */
	GHashTable *known;
	struct item_pace pace;
	bool is_leaving;
	/** Jobs whose progress is on its way to the store. */
	int32_t saving;
	uint64_t timer;
};

/**
 * Starts to run a job; takes job and items over.
 * @param done struct itemjob_done of the items that are listed, or NULL
 * @param progress struct itemjob_progress of a daemon before, or NULL
 */
void jobs_run_start(struct jobs *js, struct itemjob *job, GPtrArray *items,
    const GArray *done, const GArray *progress, int64_t accepted_us);

/** Ends the runs of items at targets. @return how far they had come */
GArray *jobs_run_halt(struct job_run *run);

/** Stops a job here; what is listed stays. */
void jobs_run_drop(struct job_run *run, const char *why);

/** Starts the items whose time has come. */
void jobs_run_pump(struct job_run *run);

void jobs_run_free(void *p);

/** Notes a job that the store showed. */
void jobs_note_known(struct jobs *js, const struct itemjob *job);
const struct itemjob *jobs_known(struct jobs *js, const char *id);

#endif
