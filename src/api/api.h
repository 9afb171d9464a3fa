#ifndef SAVORYFLOW_API_H
#define SAVORYFLOW_API_H

#include "serve/daemon.h"

/** HTTP server for callers and operators. */
struct api;

/** Listens on the address of --listen. @return NULL and an error on failure */
struct api *api_new(struct daemon *d, GError **err);

/** Closes the listening socket and refuses new requests. */
void api_refuse_new(struct api *api);

/** Number of requests whose response is not complete. */
int32_t api_active(struct api *api);

/** Aborts the remaining requests, then stops the server. */
void api_free(struct api *api);

#endif
