#ifndef SAVORYFLOW_GATEWAY_DIALECT_H
#define SAVORYFLOW_GATEWAY_DIALECT_H

#include "gateway/headers.h"
#include "savoryflow/fleet/fleet.h"
#include "savoryflow/job/itemjob_defs.h"
#include "savoryflow/limits/stated_rate.h"
#include "savoryflow/routebook/routebook.h"
#include "store/store.h"

/*
 * Interface between the gateway and the adapter for the installation it runs
 * in. The gateway makes all decisions; an adapter only decodes and encodes.
 */

enum {
	/** Longest id of an attempt, a job or an item, in bytes. Targets send
	 * the id back, also as a part of other fields: the answer's head has to
	 * fit beside that of the request. */
	kIdBytesMax = 8192,
	/** Parts of a prompt that are told apart. */
	kPromptPartsMax = 15,
	/** Tokens of a part count as this at most. */
	kPartTokensMax = 1000000,
};

/** Parts of a prompt that other requests may share, in order. */
struct prompt_parts {
	uint64_t ids[kPromptPartsMax];
	/** At least 1. */
	int32_t tokens[kPromptPartsMax];
	int32_t count;
};

enum dialect_endpoint {
	/** Routed by host and path. */
	kEndpointRoute,
	kEndpointJobResults,
	kEndpointJobItem,
	kEndpointJobEnd,
};

/** What a request carries in place of its key, or that it carries one. */
enum dialect_key_state {
	kKeyMissing,
	/** More than one field with credentials. */
	kKeyDoubled,
	kKeyEmpty,
	/** Over kTeamKeyBytesMax. */
	kKeyTooLong,
	/** Another scheme, or a key with white space. */
	kKeyMalformed,
	kKeyGiven,
};

/** A caller's request, decoded. */
struct dialect_call {
	enum dialect_endpoint endpoint;
	/** Attempt id of any length; empty if the request has none. */
	char *attempt_id;
	/** Time that the caller waits for the answer; 0 if unspecified. */
	int64_t wait_us;
	/** Id of the last stream event that the caller has; -1 for none. */
	int64_t last_event_id;
	/** Hash of the prompt's shared prefix; 0 if there is none. */
	uint64_t prefix;
	struct prompt_parts parts;
	enum dialect_key_state key_state;
	/** Given: the key, in the request's headers, and its length. */
	const char *key;
	size_t key_len;
	/** Jobs: job id, position of the first result requested, item id. */
	char *job_id;
	int32_t from_position;
	char *item_id;
};

/** Fields added to a request that is sent to a target. */
struct dialect_forward {
	const char *attempt_id;
	/** Intended target; any other target must reject the request. */
	const char *target_id;
	/** Time until the caller's deadline; 0 for no limit. */
	int64_t remaining_us;
	/** The stream resumes after this event; -1: from the start. */
	int64_t last_event_id;
	/** Team that the request is attributed to; NULL or "": none. */
	const char *team;
};

/** What the head of a target's response states. */
struct dialect_response {
	/** The response carries the id of the attempt that was sent. */
	bool has_matching_attempt;
	/** The target states that it did not execute the request. Nothing else
	 * does, whatever the status: the request has run, or may have. */
	bool was_not_executed;
	/** Another target now has the address. */
	bool is_misdirected;
	/** The target has signed the response. */
	bool is_signed;
	bool is_event_stream;
	/** The target leaves: it is to get no new requests. */
	bool is_target_leaving;
	/** The attempt id that the response carries, in its headers; NULL if it
	 * has none. */
	const char *attempt_id;
	struct stated_rate rate;
	/** Callers take the status as a promise that the request did not run,
	 * but the target has not stated so: no caller may get it. */
	bool is_unconfirmed_refusal;
};

/** Frees the texts of a request that was decoded, or is all zero. */
void dialect_call_clear(struct dialect_call *call);

struct dialect_ops {
	/** @param call receives the request, for dialect_call_clear */
	void (*decode_call)(const char *method, const char *uri,
	    const struct header_list *headers, struct dialect_call *call);
	void (*decode_parts)(
	    const struct header_list *headers, struct prompt_parts *parts);
	/** Whether a header field identifies the caller: its key, or the team
	 * that it names itself. */
	bool (*is_credential)(const char *name);
	/** Removes the fields that identify the caller. */
	void (*strip_credentials)(struct header_list *headers);
	/** Sets the header fields of a request to a target. */
	void (*encode_forward)(
	    struct header_list *headers, const struct dialect_forward *fwd);
	/** @param sent what the request had been sent with */
	void (*decode_response)(int32_t status,
	    const struct header_list *headers,
	    const struct dialect_forward *sent,
	    struct dialect_response *response);
	/** @return NULL and a typed error if the body is not a valid job */
	GPtrArray *(*decode_job)(const char *data, size_t len, GError **err);
	/** The body of a job without header fields of items that identify the
	 * caller; a new reference if there are none. */
	GBytes *(*strip_job)(GBytes *body);
	/** Response body with a page of results; free with free(). */
	char *(*encode_results)(
	    int32_t total, int32_t from, const GPtrArray *results);
};

/** A row of the installation's lists, for daemons that cannot read them. */
struct view_row {
	char *table;
	char *key;
	/** NULL if the row was removed. */
	char *value;
	int64_t version;
};

/** Callbacks of the adapter's watch; they run on its own threads. */
struct watch_ops {
	/** New routing rules; the callee takes over the reference. */
	void (*on_routes)(void *ctx, struct routebook *book);
	void (*on_target)(void *ctx, const struct fleet_target *target);
	void (*on_target_removed)(void *ctx, const char *id, int64_t version);
	/** The complete list as of a version: array of struct fleet_target. */
	void (*on_target_list)(void *ctx, const GArray *list, int64_t version);
	/** A row could not be decoded and is skipped. */
	void (*on_bad_row)(
	    void *ctx, const char *table, const char *key, const char *why);
	/** All lists have become readable, or one of them no longer is.
	 * Initially, none is. */
	void (*on_reachability)(
	    void *ctx, bool is_reachable, const char *table);
	/** A read shows that the row with this version is the newest
	 * configuration; called after on_routes of that version, if it could be
	 * decoded.
	 * @param sent_us when the read was sent, clock_boot_us */
	void (*on_proof)(void *ctx, int64_t sent_us, int64_t version);
	/** A read that watch_prove asked for has ended. */
	void (*on_proof_read)(void *ctx, bool is_ok);
};

struct watch;

struct adapter_ops {
	const struct dialect_ops *dialect;
	/** @param address IP:PORT or URL of the store */
	struct store *(*store_new)(const char *address);
	void (*store_free)(struct store *st);
	/** Starts watching routes and targets. */
	struct watch *(*watch_new)(
	    struct store *st, const struct watch_ops *ops, void *ctx);
	void (*watch_free)(struct watch *w);
	/**
	 * Applies rows received from a peer.
	 * @param rows array of struct view_row
	 * @param version with these rows, all changes up to it are known
	 */
	void (*watch_apply_rows)(
	    struct watch *w, const GArray *rows, int64_t version);
	/** Copies of the known rows that are newer than a version: array of
	 * struct view_row, which owns its strings. */
	GArray *(*watch_rows)(struct watch *w, int64_t after);
	/** Version up to which all changes are known. */
	int64_t (*watch_version)(struct watch *w);
	/**
	 * From now on, proofs that the configuration is the newest are needed.
	 * @param feed_wait_ms longest wait of the configuration's feed
	 */
	void (*watch_require_proofs)(struct watch *w, int64_t feed_wait_ms);
	/** Reads the configuration beside the feed; on_proof_read follows. */
	void (*watch_prove)(struct watch *w);
};

#endif
