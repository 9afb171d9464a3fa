#ifndef SAVORYFLOW_API_H
#define SAVORYFLOW_API_H

#include "serve/daemon.h"

/** HTTP server for callers and operators. */
struct api;

/** Listens on the address of --listen. @return NULL and an error on failure */
struct api *api_new(struct daemon *d, GError **err);

/** Accepts what is in the listen queue, closes that, and refuses new requests.
 */
void api_refuse_new(struct api *api);

/**
 * After api_refuse_new: true if no caller would notice that the connections are
 * closed. All requests that have begun to arrive are answered, all bytes are
 * read, and callers that have just connected had the time to send a request.
 */
bool api_is_quiet(struct api *api);

/** After api_refuse_new: aborts the requests that still run, and waits until
 * their answers are sent, unless they wait for the store. */
void api_give_up(struct api *api);

/** Connections and requests when the server stopped. */
struct api_counts {
	int32_t open;
	/** Requests that had not been received completely. */
	int32_t unfinished;
	/** Connections with bytes that were not read. */
	int32_t unread;
	/** Requests whose connection was closed before their answer was
	 * complete. */
	int32_t cut;
};

/** Aborts the remaining requests, then stops the server. */
void api_free(struct api *api, struct api_counts *counts);

#endif
