#ifndef SAVORYFLOW_ROUTEBOOK_DEFS_H
#define SAVORYFLOW_ROUTEBOOK_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** What may be repeated on a route. */
enum routebook_kind {
	/** May run more than once. */
	kRoutebookIdempotent,
	/** Runs at most once for each attempt of the caller. */
	kRoutebookAtMostOnce,
	/** An event stream; at most once unless it may be resumed. */
	kRoutebookStream,
	/** Submissions of batch jobs. */
	kRoutebookBatch,
};

struct routebook_share {
	char *service;
	int32_t weight;
};

/** One rule: requests of a host below a path prefix go to services. */
struct routebook_route {
	char *name;
	char *host;
	/** Begins and ends with a slash. */
	char *prefix;
	enum routebook_kind kind;
	/** Longest time that a request may be kept waiting. */
	int64_t timeout_us;
	/** Latency objective; streams: of the first event. */
	int64_t objective_us;
	/** Longest pause between two events of a stream that is on time. */
	int64_t event_gap_max_us;
	/** 0 is the most urgent. */
	int32_t priority;
	/** Targets that one attempt of a caller may be sent to. */
	int32_t attempts_max;
	bool is_resumable;
	/** Batch: time from the first submission until all results are due. */
	int64_t job_due_us;
	/** Batch: time after which an item may be given up. */
	int64_t item_ttl_us;
	/** struct routebook_share; one at least. */
	GArray *shares;
};

struct routebook_service {
	char *name;
	char *health_path;
	/** Connections that one target takes from all daemons together. */
	int32_t connections_max;
	/** Requests that an engine of the service runs at once, 0 if unknown.
	 */
	int32_t slots;
};

struct routebook_limits {
	int64_t header_bytes;
	int64_t body_bytes;
	int64_t header_timeout_us;
	int64_t idle_timeout_us;
};

/** One version of the routing rules; immutable and counted. */
struct routebook {
	gint refs;
	int64_t version;
	/** struct routebook_route *. */
	GPtrArray *routes;
	/** struct routebook_service by name. */
	GHashTable *services;
	struct routebook_limits limits;
};

#endif
