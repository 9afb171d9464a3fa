#ifndef STANDIN_SURPLUS_H
#define STANDIN_SURPLUS_H

#include <jansson.h>
#include <stdint.h>

#include "http.h"

/** Fault: bytes that follow a complete answer on its connection. */
struct surplus_fault {
	/** Number of answers to come that it applies to. */
	int left;
	int delay_ms;
	/** Pause in the middle of the bytes; 0: sent at once. */
	int split_ms;
	/** The copy lacks the attempt id. */
	bool lacks_id;
	/** The copy is chunked instead of having a length. */
	bool is_chunked;
	/** Sent instead of a copy of the answer, unless empty. */
	char text[128];
};

/** An answer that is sent a second time. */
struct surplus_answer {
	unsigned int status;
	const char *attempt;
	/** Further header fields, each line with its end. */
	const char *headers;
	const char *body;
};

/** Reads {"count","delay_ms","split_ms","no_id","chunked","text"}. */
void surplus_fault_parse(struct surplus_fault *fault, const json_t *doc);

/** Uses up one of the fault, if any is left, for the answer to a request. */
void surplus_apply(struct surplus_fault *fault, struct standin_request *req,
    const struct surplus_answer *answer);

#endif
