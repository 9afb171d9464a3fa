#ifndef SAVORYFLOW_PLATFORM_H
#define SAVORYFLOW_PLATFORM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Outcome of one operation at the platform. */
enum platform_result {
	kPlatformOk,
	kPlatformNotFound,
	/** A condition of the transaction did not hold; nothing was written. */
	kPlatformConflict,
	/** Not done, for certain. */
	kPlatformUnavailable,
	/** The answer was lost: a write may have taken effect. */
	kPlatformAmbiguous,
};

/** What an operation is for; store operations are counted by it. */
enum platform_cause {
	kCauseConfig,
	kCauseBatch,
	kCauseSession,
	kCauseIntent,
	kCauseVms,
};

struct platform_row {
	char *key;
	char *value;
	/** Grows with each write of the row. */
	int64_t version;
};

enum platform_cond_kind {
	kCondAbsent,
	kCondVersion,
	/** The row's value is a JSON object whose text field equals `text`. */
	kCondField,
};

struct platform_cond {
	enum platform_cond_kind kind;
	char *key;
	int64_t version;
	char *field;
	char *text;
};

struct platform_write {
	char *key;
	/** New value; NULL deletes the row. */
	char *value;
};

/** One transaction: all conditions hold and all writes happen, or nothing. */
struct platform_txn {
	GPtrArray *conds;
	GPtrArray *writes;
};

enum platform_vm_state { kVmLive, kVmLeaving, kVmGone };

struct platform_vm {
	/** Peer address of a daemon or URL of a target. */
	char *address;
	enum platform_vm_state state;
};

struct platform_ops {
	enum platform_result (*get)(void *ctx, enum platform_cause cause,
	    const char *key, struct platform_row *row);
	/** Rows whose key starts with prefix and is greater than after. */
	enum platform_result (*scan)(void *ctx, enum platform_cause cause,
	    const char *prefix, const char *after, int32_t limit,
	    GPtrArray **rows);
	enum platform_result (*txn)(void *ctx, enum platform_cause cause,
	    const struct platform_txn *txn);
	enum platform_result (*put_object)(void *ctx, enum platform_cause cause,
	    const char *key, const char *data, size_t len);
	enum platform_result (*get_object)(void *ctx, enum platform_cause cause,
	    const char *key, GBytes **data);
	/** Changes of the VM list after *cursor, which is moved on. */
	enum platform_result (*vms)(
	    void *ctx, int64_t *cursor, GPtrArray **vms);
};

/** The platform as it is passed to everything that keeps state. */
struct platform {
	const struct platform_ops *ops;
	void *ctx;
};

/** Frees what a row points to, not the row. */
void platform_row_clear(struct platform_row *row);

/** New array of struct platform_row *, which frees its rows. */
GPtrArray *platform_rows_new(void);

/** New array of struct platform_vm *, which frees its elements. */
GPtrArray *platform_vms_new(void);

/** New empty transaction. */
struct platform_txn *platform_txn_new(void);
void platform_txn_free(struct platform_txn *txn);

/** Condition: no such row. */
void platform_txn_absent(struct platform_txn *txn, const char *key);

/** Condition: the row has this version. */
void platform_txn_version(
    struct platform_txn *txn, const char *key, int64_t version);

/** Condition: a text field of the row's JSON object has this value. */
void platform_txn_field(struct platform_txn *txn, const char *key,
    const char *field, const char *text);

/** Write of a row; value NULL deletes it. */
void platform_txn_write(
    struct platform_txn *txn, const char *key, const char *value);

#endif
