#ifndef SAVORYFLOW_GATEWAY_ANSWER_H
#define SAVORYFLOW_GATEWAY_ANSWER_H

#include <stdbool.h>

#include "gateway/dialect.h"

/** Whether a response may decide about the attempt that was sent. */
enum answer_verdict {
	kAnswerOwn,
	/** It does not identify itself as the answer to this attempt. */
	kAnswerForeign,
	/** A refusal without an attempt id that may be the copy of one that
	 * was meant for another request: this one may run. */
	kAnswerUnproven,
};

/** @param is_first no other response came on this connection before */
enum answer_verdict answer_judge(
    const struct dialect_response *response, bool is_first);

#endif
