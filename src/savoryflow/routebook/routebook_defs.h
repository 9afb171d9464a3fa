#ifndef SAVORYFLOW_ROUTEBOOK_DEFS_H
#define SAVORYFLOW_ROUTEBOOK_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "savoryflow/teams/team_keys.h"

/** Kind of a route's requests; decides whether they may be repeated. */
enum routebook_kind {
	/** May run more than once. */
	kRoutebookIdempotent,
	/** Runs at most once per attempt of the caller. */
	kRoutebookAtMostOnce,
	/** An event stream; at most once unless it is resumable. */
	kRoutebookStream,
	/** Submissions of batch jobs. */
	kRoutebookBatch,
};

struct routebook_share {
	char *service;
	int32_t weight;
};

/** Maps the requests of a host below a path prefix to services. */
struct routebook_route {
	char *name;
	char *host;
	/** Starts and ends with a slash. */
	char *prefix;
	enum routebook_kind kind;
	/** Maximum time that a request may wait. */
	int64_t timeout_us;
	/** Latency objective; for streams, of the first event. */
	int64_t objective_us;
	/** Objective for the maximum gap between two events of a stream. */
	int64_t event_gap_max_us;
	/** 0 is the most urgent. */
	int32_t priority;
	/** Maximum number of targets per attempt of the caller. */
	int32_t attempts_max;
	bool is_resumable;
	/** Batch: time from the first submission until all results are due. */
	int64_t job_due_us;
	/** Batch: time after which an item may be abandoned. */
	int64_t item_ttl_us;
	/** Batch: maximum tokens of accepted items that wait for a run; 0: no
	 * limit. */
	int64_t waiting_tokens_max;
	/** Requests need no key. */
	bool is_public;
	/** struct routebook_share; at least one. */
	GArray *shares;
};

struct routebook_service {
	char *name;
	char *health_path;
	/** Maximum connections to one target from all daemons together. */
	int32_t connections_max;
	/** Requests that an engine runs concurrently, 0 if unknown. */
	int32_t slots;
};

/** A customer; its requests carry one of its keys. */
struct routebook_team {
	char *name;
	/** Precedes the priority of the route; 0 is the most urgent. */
	int32_t priority;
	/** False: the priority of the route applies. */
	bool has_priority;
	/** Thousandths of requests a second over all daemons; 0: no limit. */
	int64_t rate_milli_per_s;
	/** Requests beyond the rate that may come at once. */
	int64_t burst;
};

/** A request's claim to a scarce pool. */
struct routebook_claim {
	/** Thousandths of requests a second; 0: the usual weight. */
	uint32_t weight;
	/** 0 first. */
	uint32_t priority;
};

struct routebook_limits {
	int64_t header_bytes;
	int64_t body_bytes;
	int64_t header_timeout_us;
	int64_t idle_timeout_us;
};

/** One version of the routing rules; immutable and reference-counted. */
struct routebook {
	gint refs;
	int64_t version;
	/** Version of the row that holds it; 0 if unknown. */
	int64_t row_version;
	/** struct routebook_route *. */
	GPtrArray *routes;
	/** struct routebook_service by name. */
	GHashTable *services;
	/** struct routebook_team by name; NULL if requests need no key. */
	GHashTable *teams;
	/** Keys of the teams; NULL without teams. */
	struct team_keys *keys;
	struct routebook_limits limits;
};

#endif
