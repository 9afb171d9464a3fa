#ifndef SAVORYFLOW_API_H
#define SAVORYFLOW_API_H

#include "serve/daemon.h"

/** HTTP towards callers and operators. */
struct api;

/** Listens on the daemon's address. @return NULL and an error on failure */
struct api *api_new(struct daemon *d, GError **err);

/** Closes the listening socket and refuses new requests. */
void api_refuse_new(struct api *api);

/** Requests without their final answer. */
int32_t api_active(struct api *api);

/** Ends all connections. */
void api_free(struct api *api);

#endif
