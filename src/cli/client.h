#ifndef SAVORYFLOW_CLI_CLIENT_H
#define SAVORYFLOW_CLI_CLIENT_H

#include <glib.h>
#include <stdbool.h>

/** A client of one daemon's API. */
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
	/** Extra header lines, closed by NULL, or NULL. */
	const char *const *headers;
};

struct client_reply {
	/** HTTP status; 0 if no daemon answered. */
	long status;
	GString *body;
	/** Value of Savoryflow-Next, or -1. */
	long next;
	bool is_complete;
};

/** Makes one request. Free reply->body. @return false if unreachable */
bool client_perform(const struct client *cl, const struct client_request *req,
    struct client_reply *reply);

#endif
