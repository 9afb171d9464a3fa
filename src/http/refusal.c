/* Answers to requests that are not received completely. */
#include "http/refusal.h"

#include <glib.h>
#include <string.h>
#include <sys/socket.h>

#include "error/error.h"

enum {
	/* A longer header field is left out: the refusal must fit into the
	 * buffer of a socket. */
	kHeaderBytesMax = 512,
	kMsPerS = 1000,
};

static const char *
reason(int status)
{
	switch (status) {
	case 408:
		return "Request Timeout";
	case 413:
		return "Content Too Large";
	default:
		return "Service Unavailable";
	}
}

bool
refusal_send(int fd, const struct refusal *r)
{
	int status = sf_error_status(r->code);
	char *body = g_strdup_printf(
	    "{\"error\":{\"type\":\"%s\",\"code\":%d,\"message\":\"the request "
	    "was not received and did not run\"}}",
	    sf_error_type(r->code), status);
	GString *text = g_string_new(NULL);
	bool is_sent;

	g_string_printf(text,
	    "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
	    "Savoryflow-Ran: no\r\nConnection: close\r\n"
	    "Content-Length: %zu\r\n",
	    status, reason(status), strlen(body));
	if (status == 503)
		g_string_append_printf(text, "Retry-After: %d.%03d\r\n",
		    r->retry_after_ms / kMsPerS, r->retry_after_ms % kMsPerS);
	if (r->header_value != NULL &&
	    strlen(r->header_value) < kHeaderBytesMax)
		g_string_append_printf(
		    text, "%s: %s\r\n", r->header_name, r->header_value);
	g_string_append_printf(text, "\r\n%s", body);
	is_sent = send(fd, text->str, text->len, MSG_NOSIGNAL | MSG_DONTWAIT) ==
	    (ssize_t)text->len;
	shutdown(fd, SHUT_WR);
	g_string_free(text, TRUE);
	g_free(body);
	return is_sent;
}
