#ifndef STANDIN_HTTP_H
#define STANDIN_HTTP_H

#include <glib.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

/** HTTP request passed to a handler. */
struct standin_request {
	struct MHD_Connection *con;
	const char *method;
	const char *url;
	GString *body;
	/** Set by the handler: bytes written to the connection some time after
	 * the complete response, with a pause in the middle; or NULL. */
	char *surplus;
	int surplus_delay_ms;
	int surplus_split_ms;
};

/**
 * Handles a request whose body has been read completely.
 * @return a response, or NULL to close the connection without one
 */
typedef struct MHD_Response *(*standin_handler)(
    void *ctx, struct standin_request *req, unsigned int *status);

/**
 * Serves on 127.0.0.1:port with one thread per connection, until SIGTERM or
 * SIGINT ends the process.
 * @return 1 if the server cannot be started
 */
int standin_serve(uint16_t port, standin_handler handler, void *ctx);

/** @return response whose body is a copy of the text */
struct MHD_Response *standin_text_response(const char *text);

/** Answers as a late second copy of another request's answer does. */
struct standin_foreign {
	/** Number of requests that get it. */
	gint left;
	unsigned int status;
	/** Attempt that the answer names; empty: none. */
	char attempt[40];
	/** It says that the request was not executed. */
	bool is_not_run;
};

/** Sets it from {"foreign","status","attempt","not_run"}. */
void standin_foreign_set(struct standin_foreign *fo, const char *json);

/** @return the answer if one is left, otherwise NULL; sets the status */
struct MHD_Response *standin_foreign_take(
    struct standin_foreign *fo, const char *type, unsigned int *status);

/** Appends one line to the history file; does nothing without a path. Write
 * errors are ignored. */
void standin_append_history(const char *path, const char *line);

/** @return value of the argument "name=value", or the default */
const char *standin_flag(
    int argc, char **argv, const char *name, const char *default_value);

int standin_platform(int argc, char **argv);
int standin_engine(int argc, char **argv);
int standin_plain(int argc, char **argv);
int standin_rows(int argc, char **argv);
int standin_worker(int argc, char **argv);
int standin_endless(int argc, char **argv);

#endif
