#ifndef SAVORYFLOW_PLATFORM_HTTP_H
#define SAVORYFLOW_PLATFORM_HTTP_H

#include "platform/platform.h"

struct platform_http_options {
	/** Base URL, without a slash at the end. */
	const char *url;
	/** Time for one operation, connecting included. */
	int64_t timeout_ms;
};

/**
 * Client of the platform's services over HTTP. Calls block; any thread may
 * make them, each thread has a connection of its own.
 */
struct platform *platform_http_new(const struct platform_http_options *opt);
void platform_http_free(struct platform *plat);

#endif
