#ifndef SAVORYFLOW_STORE_HTTP_H
#define SAVORYFLOW_STORE_HTTP_H

#include "store/store.h"

struct store_http_options {
	/** Base URL without a trailing slash. */
	const char *url;
	/** Time-out of one operation, including connection setup. */
	int64_t timeout_ms;
};

/**
 * HTTP client of the platform's services. Calls block and are thread-safe; each
 * thread has its own connection.
 */
struct store *store_http_new(const struct store_http_options *opt);
void store_http_free(struct store *store);

#endif
