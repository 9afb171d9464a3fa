#ifndef SAVORYFLOW_STORE_H
#define SAVORYFLOW_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Outcome of one store operation. */
enum store_result {
	kStoreOk,
	kStoreNotFound,
	/** A condition of the transaction was not met; nothing was written. */
	kStoreConflict,
	/** Certainly not applied. */
	kStoreUnavailable,
	/** The answer was lost; a write may have been applied. */
	kStoreAmbiguous,
	/** The store answered, but the row's value is invalid. */
	kStoreUnreadable,
};

/** Purpose of an operation; store operations are counted per purpose. */
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
	/** Increases with each write of the row. */
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
	/** New value, or NULL to delete the row. */
	char *value;
};

/**
 * One transaction: all writes are applied if all conditions hold, otherwise
 * none.
 */
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
 * A key has the form TABLE/PARTITION/NAME. The rows of one transaction share
 * their partition; a store without partitions uses the key unchanged.
 */
struct store_ops {
	enum store_result (*get)(void *ctx, enum store_cause cause,
	    const char *key, struct store_row *row);
	/**
	 * Lists rows with the prefix and a key greater than after, at most
	 * limit; the store may answer fewer.
	 * @param has_more set to whether rows follow the last one
	 */
	enum store_result (*scan)(void *ctx, enum store_cause cause,
	    const char *prefix, const char *after, int32_t limit,
	    GPtrArray **rows, bool *has_more);
	enum store_result (*txn)(
	    void *ctx, enum store_cause cause, const struct store_txn *txn);
	enum store_result (*put_object)(void *ctx, enum store_cause cause,
	    const char *key, const char *data, size_t len);
	enum store_result (*get_object)(
	    void *ctx, enum store_cause cause, const char *key, GBytes **data);
	/** Deletes an object; succeeds if there is none. */
	enum store_result (*delete_object)(
	    void *ctx, enum store_cause cause, const char *key);
	/** Monotonic time of the store in ms. @return false until an answer has
	 * told it; now_ms is unchanged then */
	bool (*now_ms)(void *ctx, int64_t *now_ms);
	/** Lists changes of the VM list after *cursor, and advances *cursor. */
	enum store_result (*vms)(void *ctx, int64_t *cursor, GPtrArray **vms);
};

/** Store handle used by all modules that keep state on the platform. */
struct store {
	const struct store_ops *ops;
	void *ctx;
};

/** Name of a result as written to the log. */
const char *store_result_text(enum store_result res);

/** Counts one call to the store by its cause; called by implementations. */
void store_count_call(enum store_cause cause, bool is_write);

/** Logs a row of another writer that is left out; once for each row, as it is
 * met at each read. */
void store_report_row(const char *table, const char *key, const char *why);

/** Frees the contents of a row, but not the row itself. */
void store_row_clear(struct store_row *row);

/** @return new array of struct store_row * that owns its rows */
GPtrArray *store_rows_new(void);

/** @return new array of struct store_vm * that owns its elements */
GPtrArray *store_vms_new(void);

struct store_txn *store_txn_new(void);
void store_txn_free(struct store_txn *txn);

/** Adds a condition: the row does not exist. */
void store_txn_absent(struct store_txn *txn, const char *key);

/** Adds a condition: the row has this version. */
void store_txn_version(struct store_txn *txn, const char *key, int64_t version);

/** Adds a condition: a text field of the row's JSON object has this value. */
void store_txn_field(struct store_txn *txn, const char *key, const char *field,
    const char *text);

/** Adds a write of a row; a NULL value deletes the row. */
void store_txn_write(struct store_txn *txn, const char *key, const char *value);

#endif
