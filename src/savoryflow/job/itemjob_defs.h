#ifndef SAVORYFLOW_ITEMJOB_DEFS_H
#define SAVORYFLOW_ITEMJOB_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	/** Longest text, and longest value with its escapes, that are stored
	 * in one row. */
	kItemjobTextRowBytes = 40000,
	kItemjobRowBytes = 60000,
	/** Longest text of an item: one transaction stores it, with its values
	 * in base64. */
	kItemjobTextBytesMax = 700 * 1024,
	/** Most results that one read returns. */
	kItemjobResultsMax = 50,
};

/** A header of an item's request. */
struct itemjob_header {
	char *name;
	char *value;
};

/** One request of a job, as submitted. */
struct itemjob_item {
	char *id;
	char *path;
	/** struct itemjob_header. */
	GArray *headers;
	GBytes *body;
	/** Tokens of the prompt plus the longest output. */
	int64_t tokens;
};

/** A job whose items get their results one by one, at stable positions. */
struct itemjob {
	char *id;
	/** Host and path of the submission; they select the route. */
	char *host;
	char *path;
	/** Team that submitted it; NULL: none. */
	char *team;
	/** After a submission: another team's job has the id. */
	bool is_id_taken;
	/** Unique name of the submission; also of the object with the items,
	 * unless they are inline. */
	char *input;
	/** The items are in a row beside the job's. */
	bool is_inline;
	int32_t total;
	/** Time of the submission by the store's monotonic clock; -1 if it is
	 * unknown, as in rows of earlier versions. */
	int64_t accepted_ms;
	/** Route whose waiting tokens are limited; NULL: they are not. */
	char *quota_route;
	/** Tokens of all items. */
	int64_t quota_tokens;
	/** Version of the quota's fence row on which the submission depends. */
	int64_t quota_fence;
};

/** Row of an unfinished job. */
struct itemjob_open {
	char *id;
	/** Session of the daemon that runs it. */
	char *owner;
	/** Ended early: no further item is to run. */
	bool is_ended;
	int64_t version;
	/** As in struct itemjob. */
	char *quota_route;
	int64_t quota_tokens;
};

struct itemjob_result {
	int32_t position;
	char *item_id;
	/** False: the item was abandoned. */
	bool is_completed;
	/** As read: the row has no text. */
	bool has_lost_text;
	char *text;
};

/** Progress of an item's run when its daemon stopped. */
struct itemjob_progress {
	int32_t index;
	/** -1: none, the text is empty. */
	int64_t last_event_id;
	/** Answers of 500 so far. */
	int32_t failures;
	char *text;
};

/** An item that has a result. */
struct itemjob_done {
	int32_t index;
	int32_t position;
};

#endif
