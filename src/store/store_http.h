#ifndef SAVORYFLOW_STORE_HTTP_H
#define SAVORYFLOW_STORE_HTTP_H

#include "store/store.h"

struct store_http_options {
	/** Base URL, without a slash at the end. */
	const char *url;
	/** Time for one operation, connecting included. */
	int64_t timeout_ms;
};

/**
 * Client of the platform's services over HTTP. Calls block; any thread may
 * make them, each thread has a connection of its own.
 */
struct store *store_http_new(const struct store_http_options *opt);
void store_http_free(struct store *store);

#endif
