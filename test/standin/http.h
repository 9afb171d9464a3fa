#ifndef STANDIN_HTTP_H
#define STANDIN_HTTP_H

#include <glib.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

/** A request as a stand-in sees it. */
struct standin_request {
	struct MHD_Connection *con;
	const char *method;
	const char *url;
	GString *body;
};

/**
 * Handles a whole request.
 * @return a response, or NULL to close the connection without an answer
 */
typedef struct MHD_Response *(*standin_handler)(
    void *ctx, struct standin_request *req, unsigned int *status);

/** Serves on 127.0.0.1:port, one thread a connection, until a signal. */
int standin_serve(uint16_t port, standin_handler handler, void *ctx);

/** Response with a copied text. */
struct MHD_Response *standin_text_response(const char *text);

/** Appends one line to the history file; NULL path: nothing. */
void standin_append_history(const char *path, const char *line);

/** Value of "--name=value" among the arguments, or the default. */
const char *standin_flag(
    int argc, char **argv, const char *name, const char *otherwise);

int standin_platform(int argc, char **argv);
int standin_engine(int argc, char **argv);
int standin_plain(int argc, char **argv);
int standin_rows(int argc, char **argv);
int standin_worker(int argc, char **argv);

#endif
