#ifndef SAVORYFLOW_STORE_H
#define SAVORYFLOW_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Outcome of one operation at the platform. */
enum store_result {
	kStoreOk,
	kStoreNotFound,
	/** A condition of the transaction did not hold; nothing was written. */
	kStoreConflict,
	/** Not done, for certain. */
	kStoreUnavailable,
	/** The answer was lost: a write may have taken effect. */
	kStoreAmbiguous,
};

/** What an operation is for; store operations are counted by it. */
enum store_cause {
	kCauseConfig,
	kCauseBatch,
	kCauseSession,
	kCauseIntent,
	kCauseVms,
};

struct store_row {
	char *key;
	char *value;
	/** Grows with each write of the row. */
	int64_t version;
};

enum store_cond_kind {
	kCondAbsent,
	kCondVersion,
	/** The row's value is a JSON object whose text field equals `text`. */
	kCondField,
};

struct store_cond {
	enum store_cond_kind kind;
	char *key;
	int64_t version;
	char *field;
	char *text;
};

struct store_write {
	char *key;
	/** New value; NULL deletes the row. */
	char *value;
};

/** One transaction: all conditions hold and all writes happen, or nothing. */
struct store_txn {
	GPtrArray *conds;
	GPtrArray *writes;
};

enum store_vm_state { kVmLive, kVmLeaving, kVmGone };

struct store_vm {
	/** Peer address of a daemon or URL of a target. */
	char *address;
	enum store_vm_state state;
};

/*
 * A key reads TABLE/PARTITION/NAME. The rows of one transaction share their
 * partition; a store that knows no partitions takes the key as it is.
 */
struct store_ops {
	enum store_result (*get)(void *ctx, enum store_cause cause,
	    const char *key, struct store_row *row);
	/** Rows whose key starts with prefix and is greater than after. */
	enum store_result (*scan)(void *ctx, enum store_cause cause,
	    const char *prefix, const char *after, int32_t limit,
	    GPtrArray **rows);
	enum store_result (*txn)(
	    void *ctx, enum store_cause cause, const struct store_txn *txn);
	enum store_result (*put_object)(void *ctx, enum store_cause cause,
	    const char *key, const char *data, size_t len);
	enum store_result (*get_object)(
	    void *ctx, enum store_cause cause, const char *key, GBytes **data);
	/** Drops an object; also if there is none. */
	enum store_result (*delete_object)(
	    void *ctx, enum store_cause cause, const char *key);
	/** Steady time of the store as last heard, in ms; -1 if unknown. */
	int64_t (*now_ms)(void *ctx);
	/** Changes of the VM list after *cursor, which is moved on. */
	enum store_result (*vms)(void *ctx, int64_t *cursor, GPtrArray **vms);
};

/** The platform as it is passed to everything that keeps state. */
struct store {
	const struct store_ops *ops;
	void *ctx;
};

/** Text of a result for the log. */
const char *store_result_text(enum store_result res);

/** Counts one call to the store by its cause; for implementations. */
void store_count_call(enum store_cause cause, bool is_write);

/** Frees what a row points to, not the row. */
void store_row_clear(struct store_row *row);

/** New array of struct store_row *, which frees its rows. */
GPtrArray *store_rows_new(void);

/** New array of struct store_vm *, which frees its elements. */
GPtrArray *store_vms_new(void);

/** New empty transaction. */
struct store_txn *store_txn_new(void);
void store_txn_free(struct store_txn *txn);

/** Condition: no such row. */
void store_txn_absent(struct store_txn *txn, const char *key);

/** Condition: the row has this version. */
void store_txn_version(struct store_txn *txn, const char *key, int64_t version);

/** Condition: a text field of the row's JSON object has this value. */
void store_txn_field(struct store_txn *txn, const char *key, const char *field,
    const char *text);

/** Write of a row; value NULL deletes it. */
void store_txn_write(struct store_txn *txn, const char *key, const char *value);

#endif
