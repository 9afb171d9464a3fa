#ifndef SAVORYFLOW_GATEWAY_CRASH_GUARD_INTERNAL_H
#define SAVORYFLOW_GATEWAY_CRASH_GUARD_INTERNAL_H

#include "gateway/crash_guard.h"

/* Internal to the crash guard: messages. */

enum {
	/* Daemons that judge parts of prompts: one may be down. */
	kCoordinators = 2,
	/** Lost runs, and notes, in one message. */
	kGuardPerMessageMax = 64,
};

/** Decodes a lost run from a message. @return false if it is invalid */
bool crash_guard_decode_run(const Sfpeer__LostRun *wire, const char *from,
    int64_t now_us, struct blame_run *run);

/** Decodes a note from a message. @return false if it is invalid */
bool crash_guard_decode_note(
    const Sfpeer__BlameNote *wire, int64_t now_us, struct blame_note *note);

/**
 * Sends lost runs and notes, in as many messages as needed.
 * @param notes array of struct blame_note, or NULL
 * @param runs array of struct blame_run, or NULL
 * @param to addresses
 */
void crash_guard_send(const struct crash_guard_options *opt, const GArray *runs,
    const GArray *notes, const GPtrArray *to);

#endif
