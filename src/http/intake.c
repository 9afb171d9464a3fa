/* Counts the bytes of an answer against their limits, and tells a whole answer
 * from one that broke off. */
#include "http/intake.h"

#include <glib.h>
#include <string.h>

#include "log/log.h"

enum {
	kStatusSwitching = 101,
	kStatusFinalFirst = 200,
	kStatusNoContent = 204,
	kStatusNotModified = 304,
};

void
intake_init(struct intake *in, int64_t body_bytes_max)
{
	*in = (struct intake){.body_left = body_bytes_max};
}

/* A status line within a line: that of another answer was cut off. */
static bool
has_status_line(const char *line, size_t len)
{
	const char *at = g_strstr_len(line, (gssize)len, "HTTP/1.");

	return at != NULL &&
	    head_line_status(at, (size_t)(line + len - at)) != 0;
}

/* libcurl ends a head or trailer at such a line. */
static bool
is_end(const char *line, size_t len)
{
	return len > 0 && (line[0] == '\r' || line[0] == '\n');
}

static enum intake_line
field_line(struct intake *in, const char *line, size_t len)
{
	in->is_malformed = !head_line_is_field(line, len, &in->framing);
	return in->is_malformed ? kIntakeLineMalformed : kIntakeLineField;
}

static enum intake_line
trailer_line(struct intake *in, const char *line, size_t len)
{
	in->is_malformed =
	    !is_end(line, len) && !head_line_is_field(line, len, NULL);
	return in->is_malformed ? kIntakeLineMalformed : kIntakeLineTrailer;
}

static enum intake_line
head_end(struct intake *in)
{
	in->interim_bytes = in->head_bytes;
	in->head_since_us = 0;
	in->is_in_head = false;
	if (in->head_status < kStatusFinalFirst)
		return kIntakeLineInterimEnd;
	in->status = in->head_status;
	return kIntakeLineEnd;
}

static enum intake_line
status_line(struct intake *in, const char *line, size_t len)
{
	in->framing = (struct head_framing){0};
	in->head_status = head_line_status(line, len);
	/* No request of this product asks for another protocol. */
	if (in->head_status == kStatusSwitching)
		in->head_status = 0;
	in->is_in_head = in->head_status != 0;
	in->is_garbled = !in->is_in_head || has_status_line(line + 1, len - 1);
	if (!in->is_garbled)
		return kIntakeLineStatus;
	return in->is_in_head ? kIntakeLineMixed : kIntakeLineRefused;
}

enum intake_line
intake_line(struct intake *in, const char *line, size_t len)
{
	in->head_bytes += (int64_t)len;
	if (in->head_bytes > kIntakeHeadBytesMax)
		in->limit = "head_bytes";
	if (in->limit != NULL)
		return kIntakeLineRefused;
	if (in->is_malformed)
		return kIntakeLineMalformed;
	if (in->status != 0)
		return trailer_line(in, line, len);
	if (!in->is_in_head)
		return status_line(in, line, len);
	in->is_garbled = has_status_line(line, len);
	if (in->is_garbled)
		return kIntakeLineMixed;
	if (is_end(line, len))
		return head_end(in);
	return field_line(in, line, len);
}

static bool
is_head_late(struct intake *in, int64_t now_us)
{
	if (in->status != 0 || in->wire_bytes <= in->interim_bytes)
		return false;
	if (in->head_since_us == 0)
		in->head_since_us = now_us;
	return now_us - in->head_since_us > kIntakeHeadTimeUs;
}

bool
intake_wire(struct intake *in, int64_t wire_bytes, int64_t now_us)
{
	in->wire_bytes = wire_bytes;
	if (wire_bytes - in->head_bytes - in->body_bytes >
	    kIntakeFramingBytesMax + kIntakeFramingPerBodyByte * in->body_bytes)
		in->limit = "framing_bytes";
	else if (is_head_late(in, now_us))
		in->limit = "head_time";
	return in->limit == NULL;
}

bool
intake_body(struct intake *in, size_t len)
{
	in->body_bytes += (int64_t)len;
	in->body_left -= (int64_t)len;
	if (in->body_left < 0)
		in->limit = "body_bytes";
	return in->limit == NULL;
}

void
intake_allow_body(struct intake *in, int64_t bytes)
{
	in->body_left = bytes;
}

void
intake_set_unacknowledged(struct intake *in, int32_t bytes)
{
	in->unacknowledged_bytes = bytes;
}

void
intake_record_sent(struct intake *in, CURL *easy, int64_t body_bytes)
{
	curl_off_t sent = 0;

	curl_easy_getinfo(easy, CURLINFO_SIZE_UPLOAD_T, &sent);
	in->is_request_cut = sent < body_bytes || in->unacknowledged_bytes > 0;
}

static bool
ends_with_connection(const struct intake *in)
{
	return !in->framing.has_length && !in->framing.has_chunks &&
	    in->status != kStatusNoContent && in->status != kStatusNotModified;
}

bool
intake_is_whole(const struct intake *in, CURLcode code)
{
	return code == CURLE_OK && in->status != 0 && in->limit == NULL &&
	    !in->is_garbled && !in->is_malformed &&
	    !(in->is_request_cut && ends_with_connection(in));
}

/* The server ended it: not a limit, a time limit or a callback of ours. */
static bool
is_broken_off(const struct intake *in, CURLcode code)
{
	if (in->is_garbled || in->is_malformed)
		return true;
	switch (code) {
	case CURLE_OK:
		return !intake_is_whole(in, code);
	case CURLE_PARTIAL_FILE:
	case CURLE_RECV_ERROR:
	case CURLE_WEIRD_SERVER_REPLY:
		return in->head_bytes > 0;
	default:
		return false;
	}
}

static const char *
broken_part(const struct intake *in)
{
	if (in->is_garbled)
		return "status_line";
	if (in->is_malformed)
		return "field";
	if (in->status == 0)
		return "head";
	return in->is_request_cut && ends_with_connection(in) ? "request"
							      : "body";
}

void
intake_log(const struct intake *in, const char *server, CURLcode code)
{
	if (in->limit != NULL)
		log_event(kEvtAnswerCut, "server", server, "limit", in->limit,
		    "head_bytes", log_number(in->head_bytes), "body_bytes",
		    log_number(in->body_bytes), "wire_bytes",
		    log_number(in->wire_bytes), (char *)NULL);
	else if (is_broken_off(in, code))
		log_event(kEvtAnswerBrokenOff, "server", server, "part",
		    broken_part(in), "status", log_number(in->head_status),
		    "head_bytes", log_number(in->head_bytes), "body_bytes",
		    log_number(in->body_bytes), (char *)NULL);
}
