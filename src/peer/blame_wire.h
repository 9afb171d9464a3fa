#ifndef SAVORYFLOW_BLAME_WIRE_H
#define SAVORYFLOW_BLAME_WIRE_H

#include "peer/peer.pb-c.h"
#include "savoryflow/retry/blame.h"

/* Lost runs and verdicts in messages between daemons. */

enum {
	/** Daemons that judge parts of prompts: one may be down. */
	kBlameCoordinators = 2,
	/** Lost runs, or notes, in one message. */
	kBlamePerMessageMax = 64,
};

struct blame_wire_options {
	int64_t now_us;
	void (*send)(void *ctx, const char *to, Sfpeer__Envelope *env);
	void *ctx;
};

/** Decodes a lost run from a message. @return false if it is invalid */
bool blame_wire_decode_run(const Sfpeer__LostRun *wire, const char *from,
    int64_t now_us, struct blame_run *run);

/** Decodes a note from a message. @return false if it is invalid */
bool blame_wire_decode_note(
    const Sfpeer__BlameNote *wire, int64_t now_us, struct blame_note *note);

/**
 * Sends what the blame module has left, in as many messages as needed.
 * @param coordinators addresses, for lost runs and reports
 * @param all addresses, for verdicts
 */
void blame_wire_send(const struct blame_wire_options *opt,
    const struct blame_out *out, const GPtrArray *coordinators,
    const GPtrArray *all);

/** Handles the lost runs and notes of a message, and logs what it blocks. */
void blame_wire_receive(struct blame *bl, const Sfpeer__Envelope *env,
    int64_t now_us, struct blame_out *out);

/** Logs the keys that this daemon itself has blocked since the last call. */
void blame_wire_log_cases(struct blame *bl);

#endif
