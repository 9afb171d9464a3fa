#ifndef SAVORYFLOW_CLI_CLIENT_H
#define SAVORYFLOW_CLI_CLIENT_H

#include <glib.h>
#include <stdbool.h>

#include "http/intake.h"

/** Address and API key for requests to one daemon. */
struct client {
	/** Base URL, for example http://127.0.0.1:8080. */
	const char *url;
	const char *key;
};

struct client_request {
	const char *method;
	const char *path;
	const char *body;
	size_t body_len;
	/** Extra header lines, NULL-terminated, or NULL. */
	const char *const *headers;
};

struct client_reply {
	/** HTTP status; 0 if no complete head arrived. */
	long status;
	GString *body;
	/** Value of the Savoryflow-Next header; -1 if absent. */
	long next;
	bool is_complete;
	struct intake intake;
};

/**
 * Performs one HTTP request. Free reply->body, also after a failure.
 * @return false if the daemon is unreachable or its answer is not whole
 */
bool client_perform(const struct client *cl, const struct client_request *req,
    struct client_reply *reply);

/** As client_perform; prints an error if there is no whole answer. */
bool client_perform_or_report(const struct client *cl,
    const struct client_request *req, struct client_reply *reply);

#endif
