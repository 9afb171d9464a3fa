#ifndef SAVORYFLOW_GATEWAY_DIALECT_H
#define SAVORYFLOW_GATEWAY_DIALECT_H

#include "gateway/headers.h"
#include "savoryflow/fleet/fleet.h"
#include "savoryflow/job/itemjob_defs.h"
#include "savoryflow/routebook/routebook.h"
#include "store/store.h"

/*
 * What an adapter translates between the gateway and the installation it runs
 * in. The gateway decides; an adapter only decodes and encodes.
 */

enum {
	/** Longest id of a caller's attempt, with its end. */
	kAttemptIdMax = 128,
};

enum dialect_endpoint {
	/** Goes to the route that its host and path select. */
	kEndpointRoute,
	kEndpointJobResults,
	kEndpointJobItem,
	kEndpointJobEnd,
};

/** What a caller's request asks for, decoded. */
struct dialect_call {
	enum dialect_endpoint endpoint;
	/** Id of this attempt; empty if the caller gave none. */
	char attempt_id[kAttemptIdMax];
	/** Time that the caller waits; 0 if it does not say. */
	int64_t wait_us;
	/** Stream position that the caller has already; -1 for none. */
	int64_t last_event_id;
	/** Hash of the prompt's shared parts; 0 if there are none. */
	uint64_t prefix;
	/** Jobs: id, first position wanted, item wanted. */
	char job_id[kAttemptIdMax];
	int32_t from_position;
	char item_id[kAttemptIdMax];
};

/** What goes along with a request to a target. */
struct dialect_forward {
	const char *attempt_id;
	/** The target that is meant; another one has to turn it away. */
	const char *target_id;
	/** Time left, 0 for no limit. */
	int64_t remaining_us;
	/** The stream goes on after this event; -1: from the start. */
	int64_t last_event_id;
};

/** What the head of a target's answer says. */
struct dialect_response {
	/** The answer belongs to the attempt that was sent. */
	bool has_matching_attempt;
	/** The target says that it did not run the request. */
	bool was_not_executed;
	/** Another target has the address. */
	bool is_misdirected;
	/** The target vouches for its answer. */
	bool is_signed;
	bool is_event_stream;
};

struct dialect_ops {
	void (*decode_call)(const char *method, const char *uri,
	    const struct header_list *headers, struct dialect_call *call);
	/** Sets the fields of a request that is sent to a target. */
	void (*encode_forward)(
	    struct header_list *headers, const struct dialect_forward *fwd);
	void (*decode_response)(int32_t status,
	    const struct header_list *headers, const char *attempt_id,
	    struct dialect_response *facts);
	/** @return NULL and a typed error if it is no submission */
	GPtrArray *(*decode_job)(const char *data, size_t len, GError **err);
	/** Body of a page of results; free with free(). */
	char *(*encode_results)(
	    int32_t total, int32_t from, const GPtrArray *results);
};

/** One row of the installation's lists, for daemons that cannot read them. */
struct view_row {
	char *table;
	char *key;
	/** NULL if the row is gone. */
	char *value;
	int64_t version;
};

/** What the adapter's watch tells; on its own threads. */
struct watch_ops {
	/** New routing rules; the reference is passed on. */
	void (*on_routes)(void *ctx, struct routebook *book);
	void (*on_target)(void *ctx, const struct fleet_target *target);
	void (*on_target_removed)(void *ctx, const char *id, int64_t version);
	/** The whole list as of a version: array of struct fleet_target. */
	void (*on_target_list)(void *ctx, const GArray *list, int64_t version);
	/** A row could not be read; it is passed over. */
	void (*on_bad_row)(
	    void *ctx, const char *table, const char *key, const char *why);
	/** All lists can be read, or one of them no longer; at first none. */
	void (*on_reachability)(
	    void *ctx, bool is_reachable, const char *table);
};

struct watch;

struct adapter_ops {
	const struct dialect_ops *dialect;
	/** @param address IP:PORT or URL of the store */
	struct store *(*store_new)(const char *address);
	void (*store_free)(struct store *st);
	/** Starts to watch routes and targets. */
	struct watch *(*watch_new)(
	    struct store *st, const struct watch_ops *ops, void *ctx);
	void (*watch_free)(struct watch *w);
	/** Takes rows that a peer knows: array of struct view_row. */
	void (*watch_apply_rows)(struct watch *w, const GArray *rows);
	/** All rows known here; array of struct view_row, owning its texts. */
	GArray *(*watch_rows)(struct watch *w);
};

#endif
