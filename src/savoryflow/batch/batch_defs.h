#ifndef SAVORYFLOW_BATCH_DEFS_H
#define SAVORYFLOW_BATCH_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum batch_job_state {
	kJobRunning,
	kJobCancelled,
	kJobDone,
};

/** A batch job as stored in its row of the table service. */
struct batch_job {
	char *team;
	char *id;
	char *service;
	/** Unique token of the upload; input objects are stored under it. */
	char *upload;
	/** SHA-256 of service and items. */
	char *digest;
	int32_t items;
	int32_t chunk_items;
	int32_t weight;
	/** Wall-clock time in microseconds; 0 if there is no due time. */
	int64_t due_us;
	int64_t created_us;
	enum batch_job_state state;
};

enum batch_chunk_state {
	kChunkOpen,
	kChunkLeased,
	kChunkDone,
};

/** A chunk as stored in its row; a chunk without a row is open. */
struct batch_chunk {
	int32_t number;
	enum batch_chunk_state state;
	/** Version of the row; 0 without a row. */
	int64_t version;
	/** Session that holds the lease. */
	char *session;
	/** Unique token of the lease. */
	char *claim;
	/** Key of the object with the results. */
	char *object;
	int32_t ok;
	int32_t failed;
};

/** The session of a daemon, whose heartbeat renews all its leases. */
struct batch_session {
	char *id;
	/** Heartbeats written so far. */
	int64_t counter;
};

struct batch_progress {
	enum batch_job_state state;
	int32_t items;
	int32_t ok;
	int32_t failed;
	int32_t chunks;
	int32_t chunks_done;
	int32_t chunks_leased;
};

#endif
