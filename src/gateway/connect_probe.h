#ifndef SAVORYFLOW_GATEWAY_CONNECT_PROBE_H
#define SAVORYFLOW_GATEWAY_CONNECT_PROBE_H

#include "gateway/loop.h"

/** What became of a connection to a target. */
enum connect_result {
	kConnectAccepted,
	/** The target's port is closed: its process has ended. */
	kConnectRefused,
	/** No answer in time, or another error. */
	kConnectUnknown,
};

/** @param ctx freed by the callee; the probe has ended */
typedef void (*connect_probe_fn)(void *ctx, enum connect_result result);

/** Probes that have not ended. */
struct connect_probes;

struct connect_probes *connect_probes_new(struct loop *lp);

/** Ends all probes with kConnectUnknown. */
void connect_probes_free(struct connect_probes *cp);

/**
 * Opens a connection to a target and closes it at once, to learn whether the
 * target's process still runs.
 * @param address IP:PORT
 * @param fn called once, possibly from within this function
 */
void connect_probe_start(struct connect_probes *cp, const char *address,
    connect_probe_fn fn, void *ctx);

#endif
