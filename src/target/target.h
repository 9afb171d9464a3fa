#ifndef SAVORYFLOW_TARGET_H
#define SAVORYFLOW_TARGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "savoryflow/limits/stated_rate.h"

enum {
	/** Size of the value of a Content-Type that is passed on, with NUL. */
	kContentTypeMax = 256,
};

/** How a transfer ended at the transport level. */
enum transfer_end {
	kTransferComplete,
	/** No connection was established; no byte was sent. */
	kTransferNotSent,
	/** The connection was lost, or ended within the answer's head or body.
	 */
	kTransferInterrupted,
	/** Silent for too long. */
	kTransferStalled,
	kTransferCancelled,
};

struct transfer_result {
	enum transfer_end end;
	/** HTTP status, 0 if no complete head was received. */
	long status;
	/** A part of an answer has arrived. */
	bool has_answered;
	/** The answer names another attempt, or names none and is not the first
	 * one on its connection: it may be a late copy of another's. Neither
	 * its bytes nor its status are passed on. */
	bool is_foreign;
	/** Empty: none, or over kContentTypeMax. */
	char content_type[kContentTypeMax];
	/** The target reports that it did not execute the request. */
	bool is_not_executed;
	/** The answer is that to a second copy: the first one may have been
	 * executed. */
	bool is_resent;
	/** What the answer says of the target's rate. */
	struct stated_rate rate;
	/** The target refuses and asks for no requests for so long; 0: it does
	 * not. */
	int64_t pause_us;
};

/** What a part of an answer is worth. */
enum target_data {
	/** Aborts the transfer. */
	kTargetDataRefused,
	/** No progress: the time without progress goes on. */
	kTargetDataIdle,
	/** Progress of an answer that is kept whole. */
	kTargetDataPart,
	/** Progress of a stream: more may follow. */
	kTargetDataEvent,
};

struct target_ops {
	/** Receives a part of the answer. */
	enum target_data (*on_data)(void *ctx, uint64_t attempt, long status,
	    const char *data, size_t len);
	/** The transfer has ended; no further callback follows. */
	void (*on_done)(
	    void *ctx, uint64_t attempt, const struct transfer_result *res);
	void (*ref)(void *ctx);
	void (*unref)(void *ctx);
	/** Called at each stall timeout that passes without progress. A
	 * transfer without this function ends at the first one.
	 * @param silent_us time since the last progress
	 * @return false if the transfer is to end as stalled */
	bool (*on_silent)(void *ctx, uint64_t attempt, int64_t silent_us);
	/** The head of the attempt's own answer has arrived; may be NULL. */
	void (*on_head)(
	    void *ctx, uint64_t attempt, const struct transfer_result *res);
};

struct transfer_options {
	uint64_t attempt;
	const char *method;
	const char *url;
	GBytes *body;
	/** Time without progress after which a target counts as silent. */
	int64_t stall_timeout_us;
	/** The request must not be sent twice: it uses a new connection,
	 * because libcurl resends a request if a pooled connection was closed
	 * by the target. */
	bool is_sent_once;
	/** Additional header lines, NULL-terminated, or NULL. */
	const char *const *headers;
	const struct target_ops *ops;
	void *ctx;
};

/** HTTP client for targets, running on its own thread. */
struct target_client;

struct target_client *target_client_new(void);

/** Aborts all transfers, without on_done, and stops the thread. */
void target_client_free(struct target_client *tc);

/**
 * Starts a transfer; thread-safe. on_done is called when it ends, unless the
 * client is freed first.
 */
void target_client_start(
    struct target_client *tc, const struct transfer_options *opt);

/** Cancels a transfer if it is still in progress; thread-safe. */
void target_client_cancel(struct target_client *tc, uint64_t attempt);

#endif
