#ifndef SAVORYFLOW_HTTP_REFUSAL_H
#define SAVORYFLOW_HTTP_REFUSAL_H

#include <stdbool.h>
#include <stdint.h>

/** Refusal of a request that has not been received completely. */
struct refusal {
	/** sf_error_code of an error that says that it did not run. */
	int code;
	/** Delay before a retry, sent with status 503. */
	int32_t retry_after_ms;
	/** Further header field; NULL: none. */
	const char *header_name;
	const char *header_value;
};

/**
 * Sends the refusal on a connection and shuts down its sending side, without
 * waiting. libmicrohttpd itself sends no answer before the end of a body.
 * @return false if the socket did not take all of it
 */
bool refusal_send(int fd, const struct refusal *r);

#endif
