#ifndef SAVORYFLOW_TARGET_H
#define SAVORYFLOW_TARGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** How a transfer ended, as far as the transport can tell. */
enum transfer_end {
	kTransferComplete,
	/** No connection was made; no byte was sent. */
	kTransferNotSent,
	/** The connection broke or the answer is shorter than announced. */
	kTransferInterrupted,
	kTransferStalled,
	kTransferCancelled,
};

struct transfer_result {
	enum transfer_end end;
	/** HTTP status, 0 if none came. */
	long status;
	/** Attempt id that the target echoed, or empty. */
	char echoed_attempt[32];
	char content_type[64];
	/** The target says that it did not run the request. */
	bool is_not_executed;
};

struct target_ops {
	/**
	 * A part of the answer has come. @return false to end the transfer
	 */
	bool (*on_data)(void *ctx, uint64_t attempt, long status,
	    const char *data, size_t len);
	/** The transfer has ended; nothing follows. */
	void (*on_done)(
	    void *ctx, uint64_t attempt, const struct transfer_result *res);
	void (*ref)(void *ctx);
	void (*unref)(void *ctx);
};

struct transfer_options {
	uint64_t attempt;
	const char *method;
	const char *url;
	GBytes *body;
	/** No progress for so long ends the transfer. */
	int64_t stall_timeout_us;
	/**
	 * The request must not be sent twice: it gets a connection of its own,
	 * since libcurl repeats a request on a pooled one that was closed.
	 */
	bool is_sent_once;
	/** Extra header lines, or NULL. */
	const char *const *headers;
	const struct target_ops *ops;
	void *ctx;
};

/** HTTP to targets, on one thread of its own. */
struct target_client;

struct target_client *target_client_new(void);

/** Ends all transfers and the thread. */
void target_client_free(struct target_client *tc);

/** Starts a transfer; any thread. Always ends with on_done. */
void target_client_start(
    struct target_client *tc, const struct transfer_options *opt);

/** Ends a transfer, if it is still there; any thread. */
void target_client_cancel(struct target_client *tc, uint64_t attempt);

#endif
