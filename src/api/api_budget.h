#ifndef SAVORYFLOW_API_API_BUDGET_H
#define SAVORYFLOW_API_API_BUDGET_H

#include "api/request.h"
#include "savoryflow/budget/budget.h"

/*
 * The budget of the own API. All functions run on libmicrohttpd's thread and do
 * nothing without a budget. A body for which there is no room is refused
 * instead of waiting.
 */
struct api_budget;

/** One connection; its fields belong to the module. */
struct api_debtor {
	struct budget_debtor debt;
	struct api_budget *ab;
	struct MHD_Connection *con;
	int fd;
	/** Its request from the first line on, or NULL. */
	struct request *request;
	int64_t used_us;
	bool is_closing;
};

/** @return NULL if neither memory-mb nor max-descriptors is set */
struct api_budget *api_budget_new(struct daemon *d);
void api_budget_free(struct api_budget *ab);

/** Most connections that may be open; unlimited without a budget. */
unsigned int api_budget_connections(
    const struct api_budget *ab, unsigned int unlimited);

/** A connection is accepted; another one may be closed for it. */
void api_budget_open(
    struct api_budget *ab, struct api_debtor *peer, struct MHD_Connection *con);
void api_budget_closed(struct api_budget *ab, struct api_debtor *peer);

/** The first line of a request has arrived. */
void api_budget_begin(struct request *req);
void api_budget_end(struct request *req);

/**
 * Charges a part of a body before it is kept, or refuses the request. A refused
 * request keeps nothing more.
 */
void api_budget_read(struct request *req, size_t len);

/** What a streamed body occupies, after a part was consumed. */
void api_budget_set_kept(struct request *req, size_t bytes);

/** The request has been received completely. */
void api_budget_received(struct request *req);

/**
 * Drops a part of a request that was refused early.
 * @return false if the connection is to be closed
 */
bool api_budget_drop(struct request *req, size_t len);

#endif
