/* Answers to callers: their heads, and bodies that are sent in parts. */
#include <string.h>
#include <sys/socket.h>

#include "gateway/budget/front_budget.h"
#include "gateway/front_internal.h"
#include "log/log.h"

enum {
	kStreamBlockBytes = 8192,
	/* Bytes of a stream that its caller has not read: it is cut. */
	kUnreadBytesMax = 4 * 1024 * 1024,
	/* With a budget, longer answers are sent in parts, so that progress of
	 * their readers shows, and the buffers of longer streams are freed as
	 * soon as they are empty. */
	kLargeAnswerBytes = 64 * 1024,
	/* What libmicrohttpd adds to the head of an answer, and what it keeps
	 * for each field of a request, at least: an answer that may fit is
	 * tried. */
	kOwnHeadBytes = 96,
	kFieldBytes = 48,
	/* ": " and CRLF. */
	kFieldExtraBytes = 4,
};

/* Callers use no connection again that was idle for longer. A drain lasts
 * longer: it ends with connections that nobody uses. */
static const char kKeepAlive[] = "timeout=2";

static void send_in_parts(struct front_request *req, uint64_t total);

static void
add_headers(struct front_request *req, const struct header_list *headers)
{
	const char *forwarded =
	    header_list_get(req->headers, kFrontForwardedHeader);

	for (guint i = 0; headers != NULL && i < header_list_len(headers);
	     i++) {
		const struct header *h = header_list_at(headers, i);

		/* libmicrohttpd adds these itself. */
		if (g_ascii_strcasecmp(h->name, "Date") != 0 &&
		    !header_is_hop_by_hop(h->name))
			MHD_add_response_header(
			    req->response, h->name, h->value);
	}
	if (forwarded != NULL)
		MHD_add_response_header(
		    req->response, kFrontForwardedHeader, forwarded);
	if (req->fr->is_closing)
		MHD_add_response_header(req->response, "Connection", "close");
	else
		MHD_add_response_header(
		    req->response, "Keep-Alive", kKeepAlive);
}

bool
front_has_head_room(
    const struct front_request *req, const struct header_list *headers)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    req->con, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
	size_t bytes =
	    kOwnHeadBytes + (size_t)header_list_len(req->headers) * kFieldBytes;

	if (info != NULL)
		bytes += info->header_size;
	for (guint i = 0; i < header_list_len(headers); i++) {
		const struct header *h = header_list_at(headers, i);

		bytes += strlen(h->name) + strlen(h->value) + kFieldExtraBytes;
	}
	return bytes <= kConnectionMemoryBytes;
}

void
front_reply(struct front_request *req, int32_t status,
    const struct header_list *headers, const char *body, size_t len)
{
	if (req->response != NULL)
		return;
	req->status = (unsigned int)status;
	front_budget_reply(req, len);
	if (req->fr->opt.budget != NULL && len > kLargeAnswerBytes) {
		g_string_append_len(req->out, body, (gssize)len);
		req->is_ended = req->is_complete = true;
		send_in_parts(req, len);
	} else {
		req->response = MHD_create_response_from_buffer(
		    len, (void *)body, MHD_RESPMEM_MUST_COPY);
	}
	add_headers(req, headers);
	front_resume(req);
}

/* Moves the unsent bytes to the front once they are the smaller part, so that
 * their copies cost no more than the bytes themselves. */
static void
trim_sent(struct front_request *req)
{
	if (req->out_sent < req->out->len - req->out_sent)
		return;
	if (req->fr->opt.budget != NULL && req->out_sent == req->out->len &&
	    req->out->allocated_len > kLargeAnswerBytes) {
		g_string_free(req->out, TRUE);
		req->out = g_string_new(NULL);
		req->out_sent = 0;
		return;
	}
	g_string_erase(req->out, 0, (gssize)req->out_sent);
	req->out_sent = 0;
}

/* Without chunks only a reset tells an answer that broke off from a whole one,
 * and libmicrohttpd shuts the connection down before it closes it. */
static ssize_t
break_off(struct front_request *req)
{
	const struct sockaddr reset = {.sa_family = AF_UNSPEC};

	if (req->lacks_chunks)
		(void)connect(req->peer->fd, &reset, sizeof(reset));
	return MHD_CONTENT_READER_END_WITH_ERROR;
}

static ssize_t
read_stream(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct front_request *req = cls;
	size_t n = MIN(max, req->out->len - req->out_sent);

	if (req->is_disconnected || req->is_overrun)
		return break_off(req);
	if (n > 0) {
		memcpy(buf, req->out->str + req->out_sent, n);
		req->out_sent += n;
		front_budget_sent(req, n, req->out->len - req->out_sent);
		trim_sent(req);
		return (ssize_t)n;
	}
	if (req->is_ended && !req->is_complete)
		return break_off(req);
	if (req->is_ended)
		return MHD_CONTENT_READER_END_OF_STREAM;
	front_suspend(req);
	return 0;
}

static void
send_in_parts(struct front_request *req, uint64_t total)
{
	req->response = MHD_create_response_from_callback(
	    total, kStreamBlockBytes, read_stream, req, NULL);
}

void
front_stream(struct front_request *req, int32_t status,
    const struct header_list *headers)
{
	if (req->response != NULL)
		return;
	req->status = (unsigned int)status;
	req->is_streamed = true;
	send_in_parts(req, MHD_SIZE_UNKNOWN);
	add_headers(req, headers);
	front_resume(req);
}

void
front_stream_data(struct front_request *req, const char *data, size_t len)
{
	size_t unread = req->out->len - req->out_sent;

	if (req->is_overrun || len == 0)
		return;
	if (unread + len > kUnreadBytesMax || !front_budget_stream(req, len)) {
		log_event(kEvtAnswerCut, "limit", "unread_bytes", "body_bytes",
		    log_number((int64_t)unread), (char *)NULL);
		front_budget_cut(req);
	}
	if (!req->is_overrun)
		g_string_append_len(req->out, data, (gssize)len);
	front_resume(req);
}

void
front_stream_end(struct front_request *req, bool is_complete)
{
	req->is_ended = true;
	req->is_complete = is_complete;
	front_resume(req);
}
