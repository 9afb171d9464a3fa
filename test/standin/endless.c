/*
 * Stand-in for a server that sends bytes without end, until its caller closes.
 * standin endless --port=N --mode=NAME [--slow=yes]: as fast as the caller
 * takes them, or a byte every 50 ms. It prints "closed BYTES MS" for each
 * request: how much was taken, and for how long.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "http.h"

enum {
	kBlockBytes = 65536,
	kHeadBytesMax = 65536,
	kSlowMs = 50,
	kBacklog = 128,
};

/* Fields that make the head of an answer acceptable; PATH and ATTEMPT are
 * replaced by those of the request. */
#define SIGNED "X-Attempt-Id: ATTEMPT\r\nX-Response-Seal: endless\r\n"
#define JSON_HEAD \
	"HTTP/1.1 200 OK\r\n" SIGNED "Content-Type: application/json\r\n"
#define STREAM_HEAD \
	"HTTP/1.1 200 OK\r\n" SIGNED "Content-Type: text/event-stream\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

struct mode {
	const char *name;
	/** Sent once. */
	const char *start;
	/** Sent again and again. */
	const char *unit;
};

static const struct mode modes[] = {
    {"head_lines", "HTTP/1.1 200 OK\r\n", "X-Filler: filler\r\n"},
    {"lines_without_colon", "HTTP/1.1 200 OK\r\n", "filler\r\n"},
    {"header_line", "HTTP/1.1 200 OK\r\nX-Filler: ", "filler"},
    {"garbage", "", "filler"},
    {"status_line", "HTTP/1.1 200 ", "filler"},
    {"interim_heads", "", "HTTP/1.1 102 Processing\r\nX-Filler: 1\r\n\r\n"},
    {"body", JSON_HEAD "\r\n", "filler"},
    {"chunks", JSON_HEAD CHUNKED, "6\r\nfiller\r\n"},
    {"chunk_extension", JSON_HEAD CHUNKED "6\r\nfiller\r\n6;", "filler=1;"},
    {"trailer", JSON_HEAD CHUNKED "6\r\nfiller\r\n0\r\n", "X-Filler: 1\r\n"},
    {"event", STREAM_HEAD "\r\n", "data: filler\n"},
    {"same_event", STREAM_HEAD "\r\n", "id: 1\ndata: PATH-1\n\n"},
    {"events", STREAM_HEAD "\r\n", "data: filler\n\n"},
    {"comments", STREAM_HEAD "\r\n", ": filler\n\n"},
    {"stream_chunk_extension", STREAM_HEAD CHUNKED "6;", "filler=1;"},
};

struct server {
	const struct mode *mode;
	bool is_slow;
};

struct connection {
	const struct server *srv;
	int fd;
};

/* Reads a request's head; its body is left unread or read along. */
static bool
read_request(int fd, GString *in)
{
	char buf[4096];
	ssize_t n;

	while (strstr(in->str, "\r\n\r\n") == NULL) {
		n = read(fd, buf, sizeof(buf));
		if (n <= 0 || in->len > kHeadBytesMax)
			return false;
		g_string_append_len(in, buf, n);
	}
	return true;
}

/* @return value of a field, or "", to be freed */
static char *
field_value(const char *head, const char *name)
{
	char **lines = g_strsplit(head, "\r\n", -1);
	char *value = NULL;
	size_t len = strlen(name);

	for (char **l = lines; *l != NULL && value == NULL; l++)
		if (g_ascii_strncasecmp(*l, name, len) == 0)
			value = g_strdup(g_strstrip(*l + len));
	g_strfreev(lines);
	return value != NULL ? value : g_strdup("");
}

static char *
fill_in(const char *template, const char *path, const char *attempt)
{
	GString *text = g_string_new(template);

	g_string_replace(text, "PATH", path, 0);
	g_string_replace(text, "ATTEMPT", attempt, 0);
	return g_string_free(text, FALSE);
}

static bool
is_closed(int fd)
{
	struct pollfd pfd = {.fd = fd, .events = POLLRDHUP};

	return poll(&pfd, 1, 0) > 0 &&
	    (pfd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/* @return bytes sent until the caller closed */
static int64_t
send_without_end(
    const struct connection *con, const char *start, const char *unit)
{
	GString *block = g_string_new(start);
	int64_t sent = 0;
	size_t at = 0;

	while (!is_closed(con->fd)) {
		size_t len;
		ssize_t n;

		if (at == block->len) {
			g_string_truncate(block, 0);
			at = 0;
		}
		while (block->len < kBlockBytes)
			g_string_append(block, unit);
		/* The start is no part of what is slow. */
		len = con->srv->is_slow
		    ? (sent == 0 && start[0] != '\0' ? strlen(start) : 1)
		    : block->len - at;
		n = send(con->fd, block->str + at, len, MSG_NOSIGNAL);
		if (n <= 0)
			break;
		sent += n;
		at += (size_t)n;
		if (con->srv->is_slow)
			g_usleep(kSlowMs * 1000);
	}
	g_string_free(block, TRUE);
	return sent;
}

static void *
serve_connection(void *ctx)
{
	struct connection *con = ctx;
	GString *in = g_string_new(NULL);

	if (read_request(con->fd, in)) {
		char **words = g_strsplit(in->str, " ", 3);
		char *attempt = field_value(in->str, "X-Attempt-Id:");
		char *start = fill_in(con->srv->mode->start, words[1], attempt);
		char *unit = fill_in(con->srv->mode->unit, words[1], attempt);
		int64_t from_us = g_get_monotonic_time();
		int64_t sent;

		printf("request %s\n", words[1]);
		fflush(stdout);
		sent = send_without_end(con, start, unit);
		printf("closed %" G_GINT64_FORMAT " %" G_GINT64_FORMAT "\n",
		    sent, (g_get_monotonic_time() - from_us) / 1000);
		fflush(stdout);
		g_free(unit);
		g_free(start);
		g_free(attempt);
		g_strfreev(words);
	}
	close(con->fd);
	g_string_free(in, TRUE);
	g_free(con);
	return NULL;
}

static const struct mode *
find_mode(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(modes); i++)
		if (strcmp(modes[i].name, name) == 0)
			return &modes[i];
	return NULL;
}

int
standin_endless(int argc, char **argv)
{
	struct server srv = {
	    .mode = find_mode(standin_flag(argc, argv, "--mode", "body")),
	    .is_slow =
		strcmp(standin_flag(argc, argv, "--slow", "no"), "yes") == 0,
	};
	uint16_t port =
	    (uint16_t)atoi(standin_flag(argc, argv, "--port", "7300"));
	struct sockaddr_in addr = {
	    .sin_family = AF_INET, .sin_port = htons(port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (srv.mode == NULL ||
	    bind(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0 ||
	    listen(fd, kBacklog) != 0)
		return 1;
	printf("listening %d\n", port);
	fflush(stdout);
	for (;;) {
		int peer = accept(fd, NULL, NULL);
		struct connection *con;
		pthread_t thread;

		if (peer < 0)
			return 1;
		con = g_new0(struct connection, 1);
		con->srv = &srv;
		con->fd = peer;
		if (pthread_create(&thread, NULL, serve_connection, con) != 0) {
			g_free(con);
			return 1;
		}
		pthread_detach(thread);
	}
}
