#ifndef SAVORYFLOW_ITEMJOB_DEFS_H
#define SAVORYFLOW_ITEMJOB_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	/** Longest text that is stored in one row. */
	kItemjobTextRowBytes = 40000,
	/** Most results that one read returns. */
	kItemjobResultsMax = 50,
};

/** A header that an item's request carries. */
struct itemjob_header {
	char *name;
	char *value;
};

/** One request of a job, as it was submitted. */
struct itemjob_item {
	char *id;
	char *path;
	/** struct itemjob_header. */
	GArray *headers;
	GBytes *body;
	/** Tokens of the prompt and of the longest output together. */
	int64_t tokens;
};

/** A job whose items get their results one by one, at fixed positions. */
struct itemjob {
	char *id;
	/** Host and path of the submission; they select the route. */
	char *host;
	char *path;
	/** Unique name of the submission; of the object with the items, unless
	 * they are in a row beside the job's. */
	char *input;
	bool is_inline;
	int32_t total;
	/** Steady time of the store at the submission. */
	int64_t accepted_ms;
};

/** Row of a job that is not finished. */
struct itemjob_open {
	char *id;
	/** Session of the daemon that runs it. */
	char *owner;
	bool is_ended;
	int64_t version;
};

struct itemjob_result {
	int32_t position;
	char *item_id;
	/** False: the item was given up. */
	bool is_completed;
	char *text;
};

/** How far a run of an item had come when its daemon stopped. */
struct itemjob_progress {
	int32_t index;
	int64_t last_event_id;
	char *text;
};

/** An item that has its result. */
struct itemjob_done {
	int32_t index;
	int32_t position;
};

#endif
