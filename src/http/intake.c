/* Counts the bytes of an answer against their limits. */
#include "http/intake.h"

#include "log/log.h"

void
intake_init(struct intake *in, int64_t body_bytes_max)
{
	*in = (struct intake){.body_left = body_bytes_max};
}

bool
intake_head(struct intake *in, size_t len)
{
	in->head_bytes += (int64_t)len;
	if (in->head_bytes > kIntakeHeadBytesMax)
		in->limit = "head_bytes";
	return in->limit == NULL;
}

void
intake_head_end(struct intake *in, bool is_final)
{
	in->interim_bytes = in->head_bytes;
	in->has_head = is_final;
	in->head_since_us = 0;
}

static bool
is_head_late(struct intake *in, int64_t now_us)
{
	if (in->has_head || in->wire_bytes <= in->interim_bytes)
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
intake_log(const struct intake *in, const char *server)
{
	if (in->limit != NULL)
		log_event(kEvtAnswerCut, "server", server, "limit", in->limit,
		    "head_bytes", log_number(in->head_bytes), "body_bytes",
		    log_number(in->body_bytes), "wire_bytes",
		    log_number(in->wire_bytes), (char *)NULL);
}
