#ifndef SAVORYFLOW_GATEWAY_REPLY_H
#define SAVORYFLOW_GATEWAY_REPLY_H

#include "gateway/front.h"

/**
 * Answers with a typed error and, if a retry is useful, a Retry-After field.
 * @param code sf_error_code
 * @param retry_after_us delay before a retry; 0: a retry is not useful
 */
void reply_error(struct front_request *req, int code, const char *message,
    int64_t retry_after_us);

/** Answers with a JSON document. */
void reply_json(struct front_request *req, int32_t status, const char *text);

#endif
